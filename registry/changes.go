package registry

import (
	"strconv"
	"time"

	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

const (
	// firstOddRecords is the number of odd records that are logged in any case, and
	// oddRecordInterval the time between two of them that are logged afterwards.
	firstOddRecords   = 5
	oddRecordInterval = 10 * time.Second
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
			f.logOddRecord(r, nil, "record of the registry has a key that is no ID and is ignored")
			continue
		}
		c := targets.Change{ID: r.Key}
		if r.Value != nil {
			t, err := platform.DecodeTarget(r.Key, r.Value)
			if err != nil {
				f.logOddRecord(r, err, "registration of a target is invalid and counts as removed")
			}
			c.Target = t
		}
		decoded = append(decoded, c)
	}
	return decoded
}

// logOddRecord logs the first odd records and then a sample of them: one that a faulty
// program writes is written again and again.
func (f *TargetFollower) logOddRecord(r platform.Record, err error, message string) {
	f.oddRecords.Do(func() {
		logger := f.logger.WithField("offset", r.Offset).WithField("key", strconv.QuoteToASCII(r.Key))
		if err != nil {
			logger = logger.WithError(err)
		}
		logger.Warn(message)
	})
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
