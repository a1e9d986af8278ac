package registry

import (
	"slices"

	"rhubarbrelay/peer"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

// noteAhead notes the changes of an update that does not continue the state. f.mu is
// held.
func (f *TargetFollower) noteAhead(update peer.TargetUpdate) {
	if len(update.Changes) == 0 {
		return
	}
	if f.aheadIDs == nil || !f.next.Before(f.ahead) {
		f.aheadIDs = map[string]bool{}
	}
	for _, c := range update.Changes {
		f.aheadIDs[c.ID] = true
	}
	if f.ahead.Before(update.To) {
		f.ahead = update.To
	}
}

// skipKnown returns the start and the records of a batch without those that updates have
// brought during the read. In a broadcast of the whole range their changes would be
// missing, as they no longer have an effect.
func (f *TargetFollower) skipKnown(from platform.Position, batch platform.Batch) (platform.Position, []platform.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next.Era != from.Era || !from.Before(f.next) {
		return from, batch.Records
	}
	from = f.next
	if batch.Next.Before(from) {
		from = batch.Next
	}
	return from, slices.DeleteFunc(slices.Clone(batch.Records), func(r platform.Record) bool { return r.Offset < from.Offset })
}

// changesSince returns the changes to broadcast after a read from a position: the
// effective ones, and those that had no effect since they were known ahead of it. The
// receivers may have missed these too.
func (f *TargetFollower) changesSince(from platform.Position, read, effective []targets.Change) []targets.Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !from.Before(f.ahead) {
		return effective
	}
	isEffective := make(map[targets.Change]bool, len(effective))
	for _, c := range effective {
		isEffective[c] = true
	}
	var changes []targets.Change
	for _, c := range read {
		if isEffective[c] || f.aheadIDs[c.ID] {
			changes = append(changes, c)
		}
	}
	return changes
}
