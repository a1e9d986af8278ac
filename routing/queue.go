package routing

import (
	"slices"
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
	wake chan struct{}
}

// queue holds the waiting requests of a service in the order in which they look
// for a target.
type queue struct{ waiters []*waiter }

func (q *queue) len() int { return len(q.waiters) }

func (q *queue) add(r *Request) *waiter {
	w := &waiter{rank: r.Arrival.Add(time.Duration(r.Priority) * urgency), wake: make(chan struct{}, 1)}
	i, _ := slices.BinarySearchFunc(q.waiters, w, func(a, b *waiter) int {
		if a.rank.After(b.rank) {
			return 1
		}
		return -1 // equal ones keep their order
	})
	q.waiters = slices.Insert(q.waiters, i, w)
	return w
}

func (q *queue) position(w *waiter) int { return slices.Index(q.waiters, w) }

func (q *queue) remove(w *waiter) {
	if i := q.position(w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
	q.wakeFirst()
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
