package timeline

import (
	"sync/atomic"
	"time"
)

// Timestamp is a hybrid logical clock timestamp: Unix milliseconds in the upper
// 48 bits, a logical counter in the lower 16.
type Timestamp uint64

const counterBits = 16

// TimestampAt returns the lowest timestamp of a wall-clock time. Times before 1970
// give 0.
func TimestampAt(t time.Time) Timestamp {
	return Timestamp(max(0, t.UnixMilli())) << counterBits
}

// Time returns the wall-clock part of the timestamp.
func (t Timestamp) Time() time.Time { return time.UnixMilli(int64(t >> counterBits)) }

// Counter returns the logical counter, which orders timestamps within a
// millisecond.
func (t Timestamp) Counter() int { return int(t & (1<<counterBits - 1)) }

// MaxDrift is how far a remote timestamp may be ahead of the wall clock. Observe
// ignores timestamps beyond it: otherwise one process with a wrong clock would
// permanently advance the clocks of all others.
const MaxDrift = time.Hour

// Clock is a hybrid logical clock: its timestamps increase strictly and exceed
// every observed timestamp. It is safe for concurrent use.
type Clock struct {
	last atomic.Uint64
	now  func() time.Time
}

// NewClock returns a clock that reads the wall clock with now.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a timestamp later than all that were returned or observed before.
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

// Observe advances the clock to a timestamp from another process. It ignores a
// timestamp more than MaxDrift ahead of the wall clock and returns false.
func (c *Clock) Observe(t Timestamp) bool {
	if t > TimestampAt(c.now().Add(MaxDrift)) {
		return false
	}
	for {
		last := c.last.Load()
		if uint64(t) <= last || c.last.CompareAndSwap(last, uint64(t)) {
			return true
		}
	}
}
