package routing

import (
	"slices"
	"sort"
	"time"
)

// priorityStep is the time by which a request counts as arriving later for each
// step below the highest priority. A request of lower priority that arrived
// earlier by more than the difference still goes first, which prevents
// starvation.
const priorityStep = 250 * time.Millisecond

// maxPriority is the largest number by which requests are ranked. The delay of a request
// with a larger one would not fit into a time.Duration.
const maxPriority = 1 << 20

// maxScanners is the number of waiting requests that may scan for a target at
// the same time.
const maxScanners = 3

// waiter is a request in the queue.
type waiter struct {
	// effectiveArrival is the arrival, delayed by one priorityStep for each
	// step below the highest priority.
	effectiveArrival time.Time
	// lateAt is the time from which the request cannot finish within its
	// objective, or its deadline if it has none. It then waits behind all requests
	// that can. If it may not scan, Acquire refuses it.
	lateAt time.Time
	late   bool
	wake   chan struct{}
}

func newWaiter(r *Request, estimate time.Duration) *waiter {
	w := &waiter{
		effectiveArrival: r.Arrival.Add(time.Duration(min(r.Priority, maxPriority)) * priorityStep),
		lateAt:           r.due().Add(-time.Duration(lateMargin * float64(estimate))),
		wake:             make(chan struct{}, 1),
	}
	if r.Objective <= 0 {
		w.lateAt = r.Deadline
	}
	return w
}

// lateMargin is the time that a request needs to finish within its objective,
// as a multiple of its estimated duration.
const lateMargin = 1.2

// before reports whether w precedes other: requests that are not late come first,
// then those of the earlier effective arrival.
func (w *waiter) before(other *waiter) bool {
	if w.late != other.late {
		return other.late
	}
	return w.effectiveArrival.Before(other.effectiveArrival)
}

// queue holds the waiting requests of a service in the order in which they may
// scan for a target.
type queue struct{ waiters []*waiter }

func (q *queue) len() int { return len(q.waiters) }

func (q *queue) add(w *waiter) {
	i := sort.Search(len(q.waiters), func(i int) bool { return w.before(q.waiters[i]) })
	q.waiters = slices.Insert(q.waiters, i, w)
}

func (q *queue) position(w *waiter) int { return slices.Index(q.waiters, w) }

func (q *queue) remove(w *waiter) {
	if i := q.position(w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
	q.wakeScanners()
}

// markLate moves a waiter that has become late behind those that are not late.
func (q *queue) markLate(w *waiter, now time.Time) {
	if w.late || now.Before(w.lateAt) {
		return
	}
	q.remove(w)
	w.late = true
	q.add(w)
}

// wakeScanners wakes the waiters at the front of the queue, which may scan for a
// target.
func (q *queue) wakeScanners() {
	for _, w := range q.waiters[:min(maxScanners, len(q.waiters))] {
		select {
		case w.wake <- struct{}{}:
		default: // a wake-up is pending already
		}
	}
}
