package registry

import "time"

// recordOutageEnd records the end of an outage of the registry, if one has ended.
func (f *TargetFollower) recordOutageEnd(ended bool) {
	if !ended {
		return
	}
	now := f.clock()
	f.mu.Lock()
	f.outageEndedAt = now
	f.mu.Unlock()
	f.directory.SetOutageEnd(now)
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
