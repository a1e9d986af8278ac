package registry

import (
	"cmp"
	"slices"

	"rhubarbrelay/peer"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

// forgetPosition makes the next read fetch all registrations. f.mu is held.
func (f *TargetFollower) forgetPosition() {
	if isKnown(f.next) {
		f.expired = f.next
	}
	f.next = unknownPosition
}

// advance moves next to the end of an update that continues the state, and reports
// whether it does. After an update of a newer era that does not, next is unknown. f.mu
// is held.
func (f *TargetFollower) advance(update peer.TargetUpdate) bool {
	if update.To.Before(f.next) {
		return false // also a late copy: it does not show what has changed since
	}
	if f.continues(update) {
		f.recordFresh(f.clock())
		f.moveTo(update.To)
		return true
	}
	f.noteAhead(update)
	if f.next.Era < update.To.Era {
		f.forgetPosition()
	}
	return false
}

// continues reports whether all changes before the end of the update are known once it
// is applied. f.mu is held.
func (f *TargetFollower) continues(update peer.TargetUpdate) bool {
	if update.From.Era == update.To.Era {
		return f.next != unknownPosition && update.From.Era == f.next.Era && update.From.Offset <= f.next.Offset
	}
	// An update that begins an era does not remove targets that its sender did not know.
	// So the state must be exactly that of the sender.
	exact := f.next
	if !isKnown(exact) {
		exact = f.expired
	}
	return update.From == exact && update.To.Era == f.era && !exact.Before(f.ahead)
}

// moveTo sets next unless it is later. f.mu is held.
func (f *TargetFollower) moveTo(to platform.Position) {
	if !f.next.Before(to) {
		return
	}
	switch {
	case isKnown(to):
		f.expired = unknownPosition
	case isKnown(f.next):
		f.expired, f.ahead = f.next, to // until the rest of a split update has arrived
	default:
		f.ahead = to
	}
	f.next = to
}

// beginsEra reports whether the update, or the one of which it is a part, begins an era.
func beginsEra(update peer.TargetUpdate) bool {
	return update.From.Era < update.To.Era || update.From.Offset < 0
}

// lost returns the changes with their removals marked as lost registrations.
func lost(changes []targets.Change) []targets.Change {
	marked := slices.Clone(changes)
	for i := range marked {
		marked[i].Lost = marked[i].Target == nil
	}
	return marked
}

// newChanges returns the changes of an update that apply: none if it ends in the era of
// the state, at its position or before. A target that it removes may have registered
// again.
func (f *TargetFollower) newChanges(update peer.TargetUpdate) []targets.Change {
	f.mu.Lock()
	known := update.To.Era == f.next.Era && !f.next.Before(update.To)
	f.mu.Unlock()
	switch {
	case known:
		return nil
	case beginsEra(update):
		return f.applicable(lost(update.Changes), update.To)
	}
	return f.applicable(update.Changes, update.To)
}

// applicable returns the changes without the registrations of an older era of targets
// that are not known. The restored store may lack them, and if their targets do not
// register again, no removal follows.
func (f *TargetFollower) applicable(changes []targets.Change, to platform.Position) []targets.Change {
	f.mu.Lock()
	older := to.Era < f.next.Era
	f.mu.Unlock()
	if !older {
		return changes
	}
	return slices.DeleteFunc(slices.Clone(changes), func(c targets.Change) bool { return c.Target != nil && !f.directory.Knows(c.ID) })
}

// broadcastAll broadcasts the changes that a read of all registrations has found, if
// they fit into one datagram or the update begins an era.
func (f *TargetFollower) broadcastAll(update peer.TargetUpdate, allZones bool) {
	var offsets []int64
	if len(update.Changes) > peer.MaxUpdateChanges {
		if update.From.Era == update.To.Era || !allZones && f.readOrder() >= maxRepeatOrder {
			return
		}
		offsets = offsetsBeforeEra(update.Changes)
	}
	f.broadcaster.BroadcastUpdate(update, offsets, allZones)
}

// offsetsBeforeEra sorts the changes and returns negative offsets for them, before the
// records of the era that they begin. So a receiver detects that a part of the split
// update is missing, and equal changes from two instances have equal offsets.
func offsetsBeforeEra(changes []targets.Change) []int64 {
	slices.SortFunc(changes, func(a, b targets.Change) int { return cmp.Compare(a.ID, b.ID) })
	offsets := make([]int64, 0, len(changes))
	for i := range changes {
		offsets = append(offsets, int64(i-len(changes)))
	}
	return offsets
}
