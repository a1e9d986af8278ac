package daemon

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minPause is the time for which the process must have stood still to
	// distrust what it knows.
	minPause = 300 * time.Millisecond
	// ageMargin is how much earlier than the drain delay the state of the
	// targets counts as old.
	ageMargin = 300 * time.Millisecond
	// ageWait bounds the wait for a newer state when the process was not paused.
	ageWait = 150 * time.Millisecond
	// freshPoll is the time between two looks while a request waits.
	freshPoll = 5 * time.Millisecond
)

// freshness tells whether what this process knows is recent. While a machine is
// suspended the monotonic clock stands still, so that timers and ages do not
// show it; the clock of the time since the boot does.
type freshness struct {
	targets targetState
	config  configState
	maxAge  time.Duration
	onPause func(time.Duration)
	// suspended returns how long the machine stood still since its boot.
	suspended func() time.Duration

	mu        sync.Mutex
	offset    time.Duration // between the two clocks
	resumedAt time.Time     // zero when nothing is distrusted
}

// targetState is what is known of the targets.
type targetState interface {
	Age() time.Duration
	Failing() bool
	Refresh()
}

// configState is what is known of the configuration.
type configState interface {
	ReadAge() time.Duration
	Refresh()
}

func newFreshness(targets targetState, config configState, drainDelay time.Duration, onPause func(time.Duration)) *freshness {
	return &freshness{
		targets: targets, config: config, maxAge: max(drainDelay/2, drainDelay-ageMargin), onPause: onPause,
		suspended: suspended, offset: suspended(),
	}
}

// suspended returns the time that the machine was suspended since its boot.
func suspended() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0 // a kernel without the clock; ages alone decide
	}
	return time.Duration(boot.Nano() - steady.Nano())
}

// Await waits until the state is recent enough to act on. It returns false when
// the process was paused and its state was not read again in time.
func (f *freshness) Await(ctx context.Context) bool {
	f.detect()
	if f.fresh() {
		return true
	}
	f.targets.Refresh()
	ticker := time.NewTicker(freshPoll)
	defer ticker.Stop()
	limit := time.Now().Add(ageWait)
	for ctx.Err() == nil {
		<-ticker.C
		if f.fresh() {
			return true
		}
		if !f.paused() && time.Now().After(limit) {
			return true // the store is slow; what is known still serves
		}
	}
	return !f.paused()
}

// detect notes a pause of the process.
func (f *freshness) detect() {
	now := f.suspended()
	f.mu.Lock()
	pause := now - f.offset
	f.offset = now
	if pause > minPause {
		f.resumedAt = time.Now()
	}
	f.mu.Unlock()
	if pause > minPause {
		f.config.Refresh()
		f.targets.Refresh()
		f.onPause(pause)
	}
}

func (f *freshness) paused() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.resumedAt.IsZero()
}

// fresh returns whether the state may be used now. While the store fails, what
// is known has to serve.
func (f *freshness) fresh() bool {
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
