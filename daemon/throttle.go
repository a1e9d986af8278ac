package daemon

import (
	"context"
	"sync"
	"time"
)

// throttle runs a function at most once per interval. Calls in between are combined
// into one run at the end of the interval.
type throttle struct {
	interval time.Duration
	run      func()

	mu      sync.Mutex
	lastRun time.Time
	timer   *time.Timer // nil unless a run is pending
}

func newThrottle(interval time.Duration, run func()) *throttle {
	return &throttle{interval: interval, run: run}
}

// trigger runs the function now or, if it ran less than an interval ago, at the end
// of that interval.
func (t *throttle) trigger() {
	t.mu.Lock()
	if t.timer != nil {
		t.mu.Unlock()
		return
	}
	if wait := t.interval - time.Since(t.lastRun); wait > 0 {
		t.timer = time.AfterFunc(wait, t.flush)
		t.mu.Unlock()
		return
	}
	t.lastRun = time.Now()
	t.mu.Unlock()
	t.run()
}

// flush runs the function now if a run is pending.
func (t *throttle) flush() {
	t.mu.Lock()
	pending := t.timer != nil
	if pending {
		t.timer.Stop()
		t.timer = nil
		t.lastRun = time.Now()
	}
	t.mu.Unlock()
	if pending {
		t.run()
	}
}

func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
