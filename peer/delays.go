package peer

import (
	"slices"
	"sync"
	"time"
)

// delayWindow is the number of messages over which the smallest difference of
// the clocks is taken. Older ones are forgotten, because clocks are adjusted.
const delayWindow = 16

// delays estimates how long a message was on its way or in a buffer, without
// synchronised clocks: the difference between the arrival and the sender's
// time, less the smallest difference among the recent messages.
type delays struct {
	mu     sync.Mutex
	recent [delayWindow]time.Duration
	count  int
}

// add notes a message and returns its delay.
func (d *delays) add(sentWallMS int64, arrived time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	difference := arrived.Sub(time.UnixMilli(sentWallMS))
	d.recent[d.count%delayWindow] = difference
	d.count++
	return difference - slices.Min(d.recent[:min(d.count, delayWindow)])
}

// of returns the delay of a message without noting it.
func (d *delays) of(sentWallMS int64, arrived time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.count == 0 {
		return 0
	}
	difference := arrived.Sub(time.UnixMilli(sentWallMS))
	return max(0, difference-slices.Min(d.recent[:min(d.count, delayWindow)]))
}
