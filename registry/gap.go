package registry

import (
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
