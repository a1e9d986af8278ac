package daemon

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// pauseTickInterval is the time between two records that the process runs.
	pauseTickInterval = 100 * time.Millisecond
	// minPause is the time without such a record that counts as a pause.
	minPause = 300 * time.Millisecond
	// resumeTime is the time after a pause in which a signal that was sent during it is
	// handled.
	resumeTime = 200 * time.Millisecond
)

// pauses records pauses of the process and suspensions of its machine. A signal that is sent
// during one is handled after it, when a part of the grace period has passed.
type pauses struct {
	clock func() time.Duration // since boot, suspensions included

	mu        sync.Mutex
	lastTick  time.Duration
	resumedAt time.Duration // the end of the last pause
	pause     time.Duration // its duration, 0 if there was none
}

func newPauses(clock func() time.Duration) *pauses { return &pauses{clock: clock, lastTick: clock()} }

// bootTime returns the time since the machine was booted, 0 if it is not known.
func bootTime() time.Duration {
	var boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano())
}

// run records until the context ends that the process runs.
func (p *pauses) run(ctx context.Context) error {
	return runPeriodically(ctx, pauseTickInterval, p.tick)
}

func (p *pauses) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tickLocked()
}

func (p *pauses) tickLocked() {
	now := p.clock()
	if gap := now - p.lastTick; gap >= minPause {
		p.resumedAt, p.pause = now, gap
	}
	p.lastTick = now
}

// signalAge returns how long ago a signal that is handled now was sent at most.
func (p *pauses) signalAge() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tickLocked()
	if since := p.clock() - p.resumedAt; p.pause > 0 && since <= resumeTime {
		return p.pause + since
	}
	return 0
}
