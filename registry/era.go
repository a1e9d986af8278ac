package registry

import (
	"slices"
	"time"

	"rhubarbrelay/peer"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

// forgetPosition makes the next read fetch all registrations. f.mu is held.
func (f *TargetFollower) forgetPosition() {
	if f.next != unknownPosition {
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
		f.next, f.expired = update.To, unknownPosition
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
	if exact == unknownPosition {
		exact = f.expired
	}
	return update.From == exact && update.To.Era == f.era && !exact.Before(f.ahead)
}

// correctEra gives up an era that was wrongly reported: the era of the store never
// decreases, so that a read that began after the report cannot be of an older one. f.mu
// is held.
func (f *TargetFollower) correctEra(read int64, asOf time.Time) {
	if read >= f.era || asOf.Before(f.eraAt) {
		return
	}
	f.logger.WithField("era", read).WithField("reported_era", f.era).Warn("era of the store was wrongly reported by another instance")
	f.era = read
	f.outageEra = min(f.outageEra, read)
	if f.ahead.Era > read {
		f.ahead, f.aheadIDs = platform.Position{}, nil
	}
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
	case update.From.Era < update.To.Era:
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
// they fit into one datagram. Parts of them could not be told from those of another
// instance that has read the store at another time.
func (f *TargetFollower) broadcastAll(update peer.TargetUpdate, allZones bool) {
	if len(update.Changes) <= peer.MaxUpdateChanges {
		f.broadcaster.BroadcastUpdate(update, nil, allZones)
	}
}
