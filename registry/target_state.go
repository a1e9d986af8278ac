package registry

import (
	"time"

	"rhubarbrelay/peer"
)

// State returns the known targets. ok is false if they were never read completely or
// their place in the log is not known.
func (f *TargetFollower) State() (state peer.TargetState, ok bool) {
	f.mu.Lock()
	// The position is read before the targets: changes that are applied in between are
	// applied twice by the receiver, and none is missing.
	state.Next = f.next
	state.Age = f.clock().Sub(f.freshAt)
	f.mu.Unlock()
	if state.Next == unknownPosition || !f.directory.Loaded() {
		return peer.TargetState{}, false
	}
	// A target that is removed in between is in both lists, of which Restore prefers the
	// removals.
	state.Targets, state.Removed = f.directory.Registered(), f.directory.Removed()
	return state, true
}

// Restore takes over the targets that another instance knew at the given time, unless
// this instance has read them already, and the removals in any case. It is called before
// Run or while Run reads.
func (f *TargetFollower) Restore(state peer.TargetState, at time.Time) {
	f.directory.AddRemoved(state.Removed)
	if f.takeOver(state, at) {
		f.onRestored()
	}
}

// takeOver replaces the state by that of another instance, unless this one has its own.
// It reports whether the state shows that the store was restored.
func (f *TargetFollower) takeOver(state peer.TargetState, at time.Time) (restored bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next != unknownPosition || f.directory.Loaded() {
		return false
	}
	// The state may lack targets whose registrations have arrived by updates. They are
	// read again, as they are after its position.
	f.directory.ReplaceRestored(state.Targets)
	f.next = state.Next
	f.recordFresh(at.Add(-state.Age))
	f.eraUnknown = state.Next.Era == 0
	restored = f.recordEra(state.Next.Era, "peer")
	if state.Next.Era < f.era {
		f.forgetPosition() // another instance has reported the new era already
	}
	return restored
}
