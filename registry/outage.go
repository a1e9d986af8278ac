package registry

import (
	"time"

	"rhubarbrelay/peer"
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
	begins = f.expired != unknownPosition && f.expired.Era < next.Era
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

// outageIsNews reports whether this instance may have been affected by the outage whose
// end the update reports: its state is or was recently old, or is of an older era.
// Otherwise the sender alone was, and nothing is to be expected from the store.
func (f *TargetFollower) outageIsNews(update peer.TargetUpdate) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	return f.isOld(now) || now.Sub(f.oldUntil) <= outageBroadcastPeriod || f.next.Era < update.To.Era
}

// isOld reports whether the state is so old that registrations may have expired in an
// outage. f.mu is held.
func (f *TargetFollower) isOld(now time.Time) bool { return now.Sub(f.freshAt) > minOutageAge }

// recordFresh records that the state is complete as of the given time. f.mu is held.
func (f *TargetFollower) recordFresh(asOf time.Time) {
	if now := f.clock(); f.isOld(now) {
		f.oldUntil = now
	}
	f.freshAt = asOf
}
