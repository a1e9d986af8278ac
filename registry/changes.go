package registry

import (
	"strconv"

	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

func (f *TargetFollower) decodeTargets(records []platform.Record) []targets.Target {
	decoded := make([]targets.Target, 0, len(records))
	for _, c := range f.decodeChanges(records) {
		if c.Target != nil {
			decoded = append(decoded, *c.Target)
		}
	}
	return decoded
}

// decodeChanges decodes records. A malformed registration counts as a removed
// target. A record whose key can be no ID is left out: no target has registered with it.
func (f *TargetFollower) decodeChanges(records []platform.Record) []targets.Change {
	decoded := make([]targets.Change, 0, len(records))
	for _, r := range records {
		if !targets.IsID(r.Key) {
			f.logger.WithField("offset", r.Offset).WithField("key", strconv.QuoteToASCII(r.Key)).Warn("record of the registry has a key that is no ID and is ignored")
			continue
		}
		c := targets.Change{ID: r.Key}
		if r.Value != nil {
			t, err := platform.DecodeTarget(r.Key, r.Value)
			if err != nil {
				f.logger.WithError(err).WithField("target", r.Key).Warn("registration of a target is invalid and counts as removed")
			}
			c.Target = t
		}
		decoded = append(decoded, c)
	}
	return decoded
}

// offsetsOf returns the offset of each change. The changes must come from the
// records and be in the same order.
func offsetsOf(changes []targets.Change, records []platform.Record) []int64 {
	offsets := make([]int64, 0, len(changes))
	i := 0
	for _, c := range changes {
		for records[i].Key != c.ID {
			i++
		}
		offsets = append(offsets, records[i].Offset)
		i++
	}
	return offsets
}
