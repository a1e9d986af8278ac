// Package queueing decides in which order the waiting requests of one service are served,
// and which of them are refused.
//
// It handles a service that gets more requests than its targets can run: for a moment,
// after a burst or a loss of targets, or for as long as callers ask for more. All waiting
// requests that are not refused are expected to start in time. When they are too many,
// the request whose refusal costs callers least is refused at once: one of a lower
// priority, a repeated attempt, one of a tenant that uses more than its share, one that
// needs more work, the newest. Kinds of requests and tenants that are served much less
// often than others are exempt. The package uses no network and no clock of its own, and
// its types are not safe for concurrent use.
package queueing

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

const (
	// Scanners is the number of waiting requests that may look for a target at the same
	// time.
	Scanners = 3
	// maxWaiting limits the number of waiting requests, and with it the time that an
	// arrival takes.
	maxWaiting = 1024
)

// Waiter is a request in the queue.
type Waiter struct {
	request Request
	place   time.Time
	limit   time.Time
	lateAt  time.Time
	// startBy is the time since the epoch of the queue by which the request must start to
	// be of use, in seconds. A late request of a kind or tenant that is behind is of use
	// until its limit.
	startBy      float64
	value        float64 // see Request.value
	kind, tenant *group
	number       uint64 // in the order of arrival
	// boosted is set if the kind or tenant was behind on arrival.
	boosted bool
	late    bool
	queued  bool
	refusal *Refusal
	wake    chan struct{}
}

// Refusal says when the caller of a refused request may retry.
type Refusal struct{ RetryAfter time.Duration }

// Limit returns the time until which the request may wait.
func (w *Waiter) Limit() time.Time { return w.limit }

// Refusal returns nil unless the request was refused.
func (w *Waiter) Refusal() *Refusal { return w.refusal }

// Wake returns the channel that receives when the waiter may look for a target, or was
// refused.
func (w *Waiter) Wake() <-chan struct{} { return w.wake }

func (w *Waiter) signal() {
	select {
	case w.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// before reports whether w precedes other in the order in which targets are looked for.
func (w *Waiter) before(other *Waiter) bool {
	switch {
	case w.late != other.late:
		return other.late
	case w.boosted != other.boosted:
		return w.boosted
	case !w.place.Equal(other.place):
		return w.place.Before(other.place)
	}
	return w.number < other.number
}

// Queue holds the waiting requests of a service in the order in which they may look for
// a target.
type Queue struct {
	waiters []*Waiter
	shares  *shares
	random  *rand.Rand
	arrived uint64
	epoch   time.Time // of the first request
	// work is the work of all waiting requests.
	work time.Duration
	// rate is the expected rate at which work is completed, in slots.
	rate float64
	// checkedAt is the last time at which all waiting requests were checked.
	checkedAt time.Time
}

// New returns an empty queue.
func New(random *rand.Rand) *Queue { return &Queue{shares: newShares(), random: random} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiters) }

// Add adds a request. rate is the expected rate at which work is completed, in slots. If
// the waiting requests are then too many, some are refused: the new one or others.
func (q *Queue) Add(r Request, rate float64, now time.Time) *Waiter {
	w := q.newWaiter(r, now)
	scale := q.shares.scale(now)
	if !r.repeated() {
		w.tenant.demand += r.Work.Seconds() * scale
	}
	q.insert(w)
	q.check(rate, now)
	return w
}

// Admits reports whether a request that does not wait may look for a target now, and
// whether it is late.
func (q *Queue) Admits(r Request, now time.Time) (mayScan, late bool) {
	w := q.newWaiter(r, now)
	return len(q.waiters) < Scanners || w.before(q.waiters[Scanners-1]), !now.Before(w.lateAt)
}

func (q *Queue) newWaiter(r Request, now time.Time) *Waiter {
	if q.arrived == 0 {
		q.epoch = now
	}
	q.arrived++
	q.shares.compare(now)
	w := &Waiter{
		request: r, place: r.place(), limit: r.Limit(), lateAt: r.lateAt(), value: r.value(), number: q.arrived, wake: make(chan struct{}, 1),
		kind: groupOf(q.shares.kinds, r.Kind), tenant: groupOf(q.shares.tenants, r.Tenant),
	}
	w.kind.priority, w.kind.offset = r.Priority, w.place.Sub(r.Arrival)
	w.boosted = w.behind()
	w.late = !w.boosted && !now.Before(w.lateAt)
	w.startBy = w.limit.Sub(q.epoch).Seconds()
	if !w.boosted && w.lateAt.Before(w.limit) {
		w.startBy = w.lateAt.Sub(q.epoch).Seconds()
	}
	return w
}

func (q *Queue) insert(w *Waiter) {
	i := sort.Search(len(q.waiters), func(i int) bool { return w.before(q.waiters[i]) })
	q.waiters = slices.Insert(q.waiters, i, w)
	w.queued = true
	q.count(w, 1)
}

func (q *Queue) remove(w *Waiter) {
	i := sort.Search(len(q.waiters), func(i int) bool { return !q.waiters[i].before(w) })
	q.waiters = slices.Delete(q.waiters, i, i+1)
	w.queued = false
	q.count(w, -1)
}

func (q *Queue) count(w *Waiter, n int) {
	work := time.Duration(n) * w.request.Work
	q.work += work
	for _, g := range []*group{w.kind, w.tenant} {
		g.waiting += n
		g.waitingWork += work.Seconds()
	}
}

// State is the state of a waiting request.
type State struct {
	// MayScan is set if the request may look for a target.
	MayScan bool
	// Late is set if the request cannot finish within its objective any more.
	Late bool
	// Refusal is not nil if the request was refused.
	Refusal *Refusal
}

// State returns the state of a waiter, after checking what waits.
func (q *Queue) State(w *Waiter, rate float64, now time.Time) State {
	if now.Sub(q.checkedAt) >= shareInterval || !w.late && !now.Before(w.lateAt) {
		q.check(rate, now)
	}
	return State{
		MayScan: slices.Contains(q.waiters[:min(Scanners, len(q.waiters))], w),
		Late:    !now.Before(w.lateAt), Refusal: w.refusal,
	}
}

// Serve removes a waiter that has got a target. It may have been refused while it looked
// for one.
func (q *Queue) Serve(w *Waiter, now time.Time) {
	scale := q.shares.scale(now)
	q.leave(w)
	for _, g := range []*group{w.kind, w.tenant, &q.shares.all} {
		if w.refusal == nil {
			g.ended += w.weight() * scale
		}
		g.served += scale
		g.usage += w.request.Work.Seconds() * scale
	}
}

// Refuse removes a waiter that has got no target until its limit, and returns after which
// time its caller may retry.
func (q *Queue) Refuse(w *Waiter, now time.Time) Refusal {
	if w.refusal == nil {
		q.refuse(w, now)
	}
	return *w.refusal
}

// Cancel removes a waiter whose caller no longer waits for it.
func (q *Queue) Cancel(w *Waiter) { q.leave(w) }

func (q *Queue) leave(w *Waiter) {
	if w.queued {
		q.remove(w)
		q.WakeScanners()
	}
}

// WakeScanners wakes the waiters that may look for a target.
func (q *Queue) WakeScanners() {
	for _, w := range q.waiters[:min(Scanners, len(q.waiters))] {
		w.signal()
	}
}
