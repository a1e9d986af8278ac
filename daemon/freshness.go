package daemon

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minSuspension is the duration of a suspension above which the known state must
	// be read again.
	minSuspension = 300 * time.Millisecond
	// staleMargin determines the maximum age of the target state: the drain delay
	// minus staleMargin, but at least half the drain delay. With older state, a
	// draining target could get requests after the drain delay.
	staleMargin = 300 * time.Millisecond
	// refreshTimeout limits the wait for a refresh of stale state when the machine
	// was not suspended.
	refreshTimeout = 150 * time.Millisecond
	// freshnessPollInterval is the time between checks while a request waits.
	freshnessPollInterval = 5 * time.Millisecond
)

// freshness checks whether the known targets and configuration are recent enough
// to use. The monotonic clock stops while the machine is suspended, so timers and
// ages do not show a suspension. CLOCK_BOOTTIME does not stop: the difference
// between the two clocks is the time spent suspended.
type freshness struct {
	targets      targetFollower
	config       configFollower
	maxAge       time.Duration
	onSuspension func(time.Duration)
	// suspendedTime returns how long the machine was suspended since boot.
	suspendedTime func() time.Duration

	mu            sync.Mutex
	lastSuspended time.Duration // suspended time at the last check
	resumedAt     time.Time     // zero unless the state must be read again after a suspension
}

// targetFollower is the part of registry.TargetFollower that freshness uses.
type targetFollower interface {
	Age() time.Duration
	Failing() bool
	Refresh()
}

// configFollower is the part of registry.ConfigFollower that freshness uses.
type configFollower interface {
	ReadAge() time.Duration
	Refresh()
}

func newFreshness(targets targetFollower, config configFollower, drainDelay time.Duration, onSuspension func(time.Duration)) *freshness {
	return &freshness{
		targets: targets, config: config, maxAge: max(drainDelay/2, drainDelay-staleMargin), onSuspension: onSuspension,
		suspendedTime: suspendedTime, lastSuspended: suspendedTime(),
	}
}

// suspendedTime returns how long the machine was suspended since boot.
func suspendedTime() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0 // the kernel lacks the clock; only ages are checked
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}

// Await waits until the state is recent enough to serve a request and reports
// whether the request may be served. Without a suspension of the machine it always
// returns true: after refreshTimeout, or when the context ends, the state is used
// although it is not recent. After a suspension it returns false if the state was
// not read again before the context ended, unless the store is failing.
func (f *freshness) Await(ctx context.Context) bool {
	f.detectSuspension()
	if f.isFresh() {
		return true
	}
	f.targets.Refresh()
	ticker := time.NewTicker(freshnessPollInterval)
	defer ticker.Stop()
	deadline := time.Now().Add(refreshTimeout)
	for ctx.Err() == nil {
		<-ticker.C
		if f.isFresh() {
			return true
		}
		if !f.needsReread() && time.Now().After(deadline) {
			return true // the store is slow; use the known state
		}
	}
	return !f.needsReread()
}

// detectSuspension detects a suspension since the last call. If it was longer than
// minSuspension, it reports the suspension and requests a refresh of the state.
func (f *freshness) detectSuspension() {
	now := f.suspendedTime()
	f.mu.Lock()
	suspension := now - f.lastSuspended
	f.lastSuspended = now
	if suspension > minSuspension {
		f.resumedAt = time.Now()
	}
	f.mu.Unlock()
	if suspension > minSuspension {
		f.config.Refresh()
		f.targets.Refresh()
		f.onSuspension(suspension)
	}
}

func (f *freshness) needsReread() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.resumedAt.IsZero()
}

// isFresh reports whether the state may be used now. While the store is failing,
// the known state is used regardless of its age. It clears resumedAt once the state
// was read again after a suspension or the store is failing.
func (f *freshness) isFresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := f.targets.Age()
	if !f.resumedAt.IsZero() {
		since := time.Since(f.resumedAt)
		read := age < since && f.config.ReadAge() < since
		if !read && !f.targets.Failing() {
			return false
		}
		f.resumedAt = time.Time{}
	}
	return age <= f.maxAge || f.targets.Failing()
}
