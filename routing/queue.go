package routing

import (
	"container/heap"
	"time"
)

// waiter is a request that waits for a slot.
type waiter struct {
	call    Call
	long    bool
	index   int    // position in its heap, or -1
	order   uint64 // of arrival in the queue
	expires time.Time
	// slot or err is set before done closes.
	slot *Slot
	err  error
	done chan struct{}
}

// before orders waiters by deadline, then by arrival.
func (w *waiter) before(o *waiter) bool {
	if !w.call.Deadline.Equal(o.call.Deadline) {
		return w.call.Deadline.Before(o.call.Deadline)
	}
	return w.order < o.order
}

// waitHeap implements heap.Interface.
type waitHeap []*waiter

func (h waitHeap) Len() int           { return len(h) }
func (h waitHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push is called by package heap.
func (h *waitHeap) Push(x any) {
	w := x.(*waiter) //nolint:errcheck,forcetypeassert // Only waiters are pushed.
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop is called by package heap.
func (h *waitHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.index = -1
	return w
}

// queue holds the waiting requests of a service, earliest deadline first. Long
// ones wait apart, so that they do not block short ones when all the slots that
// long work may hold are taken.
type queue struct {
	short waitHeap
	long  waitHeap
	next  uint64
}

func (q *queue) len() int { return len(q.short) + len(q.long) }

func (q *queue) add(w *waiter) {
	w.order = q.next
	q.next++
	q.push(w)
}

func (q *queue) push(w *waiter) { heap.Push(q.heapOf(w), w) }

func (q *queue) remove(w *waiter) { heap.Remove(q.heapOf(w), w.index) }

func (q *queue) heapOf(w *waiter) *waitHeap {
	if w.long {
		return &q.long
	}
	return &q.short
}

// ahead returns how many waiters have an earlier deadline.
func (q *queue) ahead(deadline time.Time) int {
	n := 0
	for _, h := range []waitHeap{q.short, q.long} {
		for _, w := range h {
			if !w.call.Deadline.After(deadline) {
				n++
			}
		}
	}
	return n
}

// head returns the waiter to serve next; short or long ones can be left out.
func (q *queue) head(short, long bool) *waiter {
	short = short && len(q.short) > 0
	long = long && len(q.long) > 0
	switch {
	case short && long:
		if q.long[0].before(q.short[0]) {
			return q.long[0]
		}
		return q.short[0]
	case short:
		return q.short[0]
	case long:
		return q.long[0]
	default:
		return nil
	}
}
