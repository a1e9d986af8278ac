package timeline

import (
	"sync/atomic"
	"time"
)

// Timestamp is a time of a hybrid logical clock: Unix milliseconds in the upper 48
// bits, a counter in the lower 16.
type Timestamp uint64

const counterBits = 16

// TimestampAt returns the first stamp of the wall time. A time before 1970 gives
// the stamp 0.
func TimestampAt(t time.Time) Timestamp {
	return Timestamp(max(0, t.UnixMilli())) << counterBits
}

// Time returns the wall time of the stamp.
func (s Timestamp) Time() time.Time { return time.UnixMilli(int64(s >> counterBits)) }

// Counter returns the position of the stamp within its millisecond.
func (s Timestamp) Counter() int { return int(s & (1<<counterBits - 1)) }

// MaxDrift is how far ahead of the wall clock a remote stamp may be. A stamp
// beyond it is not observed: one process with a wrong clock would otherwise
// move the clocks of all others for good.
const MaxDrift = time.Hour

// Clock is a hybrid logical clock. It never goes back, and it passes every
// stamp that it observes. It is safe for concurrent use.
type Clock struct {
	last atomic.Uint64
	now  func() time.Time
}

// NewClock returns a clock over the wall time that the function gives.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a stamp later than every stamp returned or observed before.
func (c *Clock) Now() Timestamp {
	wall := uint64(TimestampAt(c.now()))
	for {
		last := c.last.Load()
		next := max(last+1, wall)
		if c.last.CompareAndSwap(last, next) {
			return Timestamp(next)
		}
	}
}

// Observe moves the clock past a stamp from another process. It returns false
// for a stamp more than MaxDrift ahead of the wall clock, which it ignores.
func (c *Clock) Observe(s Timestamp) bool {
	if s > TimestampAt(c.now().Add(MaxDrift)) {
		return false
	}
	for {
		last := c.last.Load()
		if uint64(s) <= last || c.last.CompareAndSwap(last, uint64(s)) {
			return true
		}
	}
}
