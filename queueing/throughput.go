package queueing

import (
	"math"
	"time"
)

const (
	// throughputTimeConstant is the time constant of the moving average of the
	// throughput. After a change of the capacity, six sevenths of the change show within
	// a second.
	throughputTimeConstant = 500 * time.Millisecond
	// usableFraction is the fraction of the slots that is expected to be available, since
	// the other instances take some of them.
	usableFraction = 0.5
)

// Throughput measures how much work a service completes. Work is the time for which
// requests occupy a slot, so that its rate is a number of slots.
type Throughput struct {
	slots float64
	// busyWork and busyTime are the work that was completed, and the time in seconds, while
	// requests waited.
	busyWork, busyTime float64
	waiting            bool
	at                 time.Time
}

const (
	// idleTimeConstant is the time constant with which the measurement while requests
	// waited is forgotten while none wait.
	idleTimeConstant = 5 * time.Second
	// minBusyTime is the time in seconds while requests waited that makes a measurement.
	minBusyTime = 0.1
)

// Record adds completed work.
func (t *Throughput) Record(work time.Duration, now time.Time) {
	t.advance(now)
	t.slots += work.Seconds() / throughputTimeConstant.Seconds()
	if t.waiting {
		t.busyWork += work.Seconds()
	}
}

// SetWaiting states whether more requests wait than look for a target.
func (t *Throughput) SetWaiting(waiting bool, now time.Time) {
	t.advance(now)
	t.waiting = waiting
}

// Rate returns the expected rate at which work is completed while requests wait. That is
// the measured one. It is at least a fraction of the slots that the targets have now, and
// a measurement of a former time counts for no more than these.
func (t *Throughput) Rate(slots float64, now time.Time) float64 {
	t.advance(now)
	rate := max(t.slots, usableFraction*slots)
	if t.busyTime < minBusyTime {
		return rate
	}
	return max(rate, min(slots, t.busyWork/t.busyTime))
}

func (t *Throughput) advance(now time.Time) {
	elapsed := max(0, now.Sub(t.at).Seconds())
	t.at = now
	factor := math.Exp(-elapsed / throughputTimeConstant.Seconds())
	t.slots *= factor
	if !t.waiting {
		factor = math.Exp(-elapsed / idleTimeConstant.Seconds())
		t.busyWork, t.busyTime = t.busyWork*factor, t.busyTime*factor
		return
	}
	t.busyWork *= factor
	t.busyTime = t.busyTime*factor + (1-factor)*throughputTimeConstant.Seconds()
}
