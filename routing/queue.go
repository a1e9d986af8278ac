package routing

import (
	"slices"
	"sort"
	"time"
)

// urgency is how much earlier a waiting request counts as arrived for each step
// of priority. A less urgent one that has waited longer than that goes first,
// so that none starves.
const urgency = 250 * time.Millisecond

// scanners is the number of waiting requests that look for a target at a time.
const scanners = 3

// waiter is a request that waits for a target.
type waiter struct {
	rank time.Time
	// lateAt is the time from which the request cannot be answered within its
	// objective. It then waits behind all that can.
	lateAt time.Time
	late   bool
	wake   chan struct{}
}

func newWaiter(r *Request, expected time.Duration) *waiter {
	w := &waiter{
		rank:   r.Arrival.Add(time.Duration(r.Priority) * urgency),
		lateAt: r.due().Add(-time.Duration(timelyMargin * float64(expected))),
		wake:   make(chan struct{}, 1),
	}
	if r.Objective <= 0 {
		w.lateAt = r.Deadline
	}
	return w
}

// timelyMargin is the part of its expected duration that a request needs until
// its objective to be in time.
const timelyMargin = 1.2

// before returns whether a waiter goes before another one: those in time first,
// then by rank.
func (w *waiter) before(o *waiter) bool {
	if w.late != o.late {
		return o.late
	}
	return w.rank.Before(o.rank)
}

// queue holds the waiting requests of a service in the order in which they look
// for a target.
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
	q.wakeFirst()
}

// review moves a waiter that has become late behind those in time.
func (q *queue) review(w *waiter, now time.Time) {
	if w.late || now.Before(w.lateAt) {
		return
	}
	q.remove(w)
	w.late = true
	q.add(w)
}

// wakeFirst lets the first waiting requests look for a target.
func (q *queue) wakeFirst() {
	for _, w := range q.waiters[:min(scanners, len(q.waiters))] {
		select {
		case w.wake <- struct{}{}:
		default: // it is awake already
		}
	}
}
