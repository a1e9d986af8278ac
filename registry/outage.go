package registry

import (
	"time"

	"rhubarbrelay/platform"
)

// recordOutageEnd records the end of an outage of the registry, after which the store
// is in the given era.
func (f *TargetFollower) recordOutageEnd(at time.Time, era int64) {
	f.mu.Lock()
	if at.After(f.outageEndedAt) {
		f.outageEndedAt = at
	}
	f.outageEra = max(f.outageEra, era)
	f.mu.Unlock()
	f.directory.SetOutageEnd(at)
}

// beginsEra reports whether the position is the first known one of its era, and whether
// no other instance has reported the outage before it.
func (f *TargetFollower) beginsEra(next platform.Position) (begins, unreported bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	begins = isKnown(f.expired) && f.expired.Era < next.Era
	return begins, begins && f.outageEra < next.Era
}

// timeSinceOutage returns the time since the end of the last outage, at least 1 ms,
// or 0 if there was none within outageBroadcastPeriod.
func (f *TargetFollower) timeSinceOutage() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	since := f.clock().Sub(f.outageEndedAt)
	if f.outageEndedAt.IsZero() || since > outageBroadcastPeriod {
		return 0
	}
	return max(time.Millisecond, since)
}
