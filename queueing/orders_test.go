package queueing

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// The orders that the queue is compared with.

// ownOrder is the queue of the package.
type ownOrder struct {
	queue      *Queue
	throughput Throughput
	calls      map[*Waiter]*call
	random     *rand.Rand
	refuse     refuseFunc
}

func newOwnOrder(random *rand.Rand, refuse refuseFunc) order {
	return &ownOrder{queue: New(random), calls: map[*Waiter]*call{}, random: random, refuse: refuse}
}

func (o *ownOrder) add(c *call, slots int, now time.Time) {
	w := o.queue.Add(c.attempt, o.throughput.Rate(float64(slots), now), now)
	o.calls[w] = c
	o.report(now)
	o.throughput.SetWaiting(o.queue.Len() > Scanners, now)
}

func (o *ownOrder) report(now time.Time) {
	if len(o.calls) == o.queue.Len() {
		return
	}
	for _, w := range o.inOrder() {
		if w.refusal != nil {
			c := o.calls[w]
			delete(o.calls, w)
			o.refuse(c, w.refusal.RetryAfter, now)
		}
	}
}

// inOrder returns the waiters in the order of their arrival, so that a seed gives the same
// result each time.
func (o *ownOrder) inOrder() []*Waiter {
	return slices.SortedFunc(maps.Keys(o.calls), func(a, b *Waiter) int { return cmp.Compare(a.number, b.number) })
}

func (o *ownOrder) next(now time.Time) *call {
	if o.queue.Len() == 0 {
		return nil
	}
	w := o.queue.waiters[o.random.IntN(min(Scanners, o.queue.Len()))]
	o.queue.Serve(w, now)
	c := o.calls[w]
	delete(o.calls, w)
	o.throughput.SetWaiting(o.queue.Len() > Scanners, now)
	return c
}

func (o *ownOrder) check(slots int, now time.Time) {
	rate := o.throughput.Rate(float64(slots), now)
	o.queue.check(rate, now)
	for _, w := range o.inOrder() {
		if !now.Before(w.limit) {
			o.queue.Refuse(w, now)
		}
	}
	o.report(now)
}

func (o *ownOrder) completed(work time.Duration, now time.Time) { o.throughput.Record(work, now) }

// listOrder is a list of waiting calls that is sorted by less. An arrival is refused if
// it is not expected to start in time, and a waiting call when it can no longer.
type listOrder struct {
	waiting    []*call
	less       func(o *listOrder, a, b *call, now time.Time) int
	throughput Throughput
	random     *rand.Rand
	refuse     refuseFunc
	used       map[string]float64 // work served by tenant
}

func newListOrder(less func(o *listOrder, a, b *call, now time.Time) int) func(*rand.Rand, refuseFunc) order {
	return func(random *rand.Rand, refuse refuseFunc) order {
		return &listOrder{less: less, random: random, refuse: refuse, used: map[string]float64{}}
	}
}

func (o *listOrder) sort(now time.Time) {
	slices.SortStableFunc(o.waiting, func(a, b *call) int { return o.less(o, a, b, now) })
}

func (o *listOrder) add(c *call, slots int, now time.Time) {
	o.waiting = append(o.waiting, c)
	o.sort(now)
	ahead := 0.0
	for i, other := range o.waiting {
		if other == c {
			wait := time.Duration(ahead / o.throughput.Rate(float64(slots), now) * float64(time.Second))
			if i >= Scanners && now.Add(wait).After(c.startBy()) {
				o.waiting = slices.Delete(o.waiting, i, i+1)
				o.refuse(c, meanRetryAfter, now)
			}
			return
		}
		ahead += other.attempt.Work.Seconds()
	}
}

func (c *call) startBy() time.Time {
	return slices.MinFunc([]time.Time{c.attempt.Limit(), c.attempt.lateAt()}, time.Time.Compare)
}

func (o *listOrder) next(now time.Time) *call {
	if len(o.waiting) == 0 {
		return nil
	}
	o.sort(now)
	i := o.random.IntN(min(Scanners, len(o.waiting)))
	c := o.waiting[i]
	o.waiting = slices.Delete(o.waiting, i, i+1)
	o.used[c.source.tenant] += c.attempt.Work.Seconds()
	return c
}

func (o *listOrder) check(_ int, now time.Time) {
	if len(o.waiting) <= Scanners {
		return
	}
	for _, c := range slices.Clone(o.waiting) {
		if now.After(c.startBy()) {
			o.waiting = slices.DeleteFunc(o.waiting, func(other *call) bool { return other == c })
			o.refuse(c, meanRetryAfter, now)
		}
	}
}

func (o *listOrder) completed(work time.Duration, now time.Time) { o.throughput.Record(work, now) }

func byDeadline(_ *listOrder, a, b *call, _ time.Time) int { return a.startBy().Compare(b.startBy()) }

func byAgedPriority(_ *listOrder, a, b *call, _ time.Time) int {
	aged := func(c *call) time.Time {
		return c.attempt.Arrival.Add(time.Duration(c.attempt.TenantPriority+c.attempt.Priority) * time.Second)
	}
	return aged(a).Compare(aged(b))
}

func byValue(_ *listOrder, a, b *call, _ time.Time) int {
	value := func(c *call) float64 {
		return 1 / float64(1+c.attempt.TenantPriority+c.attempt.Priority) / c.attempt.Work.Seconds()
	}
	return cmp.Compare(value(b), value(a))
}

// byTenant is deficit round robin: the tenant that has got the least work goes first.
func byTenant(o *listOrder, a, b *call, _ time.Time) int {
	return cmp.Compare(o.used[a.source.tenant], o.used[b.source.tenant])
}

func byTenantThenDeadline(o *listOrder, a, b *call, now time.Time) int {
	return cmp.Or(byTenant(o, a, b, now), byDeadline(o, a, b, now))
}

// formerOrder is the order before this package: by arrival, one priorityStep later for
// each step below the highest priority; late requests go behind the others and are
// refused unless they are among the first three.
type formerOrder struct {
	waiting    []*call
	throughput Throughput // of requests, each counted as a second of work
	random     *rand.Rand
	refuse     refuseFunc
}

func newFormerOrder(random *rand.Rand, refuse refuseFunc) order {
	return &formerOrder{random: random, refuse: refuse}
}

func (o *formerOrder) sort(now time.Time) {
	effective := func(c *call) time.Time {
		return c.attempt.Arrival.Add(time.Duration(c.attempt.TenantPriority+c.attempt.Priority) * priorityStep)
	}
	slices.SortStableFunc(o.waiting, func(a, b *call) int {
		if late := !now.Before(a.attempt.lateAt()); late == now.Before(b.attempt.lateAt()) {
			if late {
				return 1
			}
			return -1
		}
		return effective(a).Compare(effective(b))
	})
}

func (o *formerOrder) add(c *call, slots int, now time.Time) {
	o.waiting = append(o.waiting, c)
	o.sort(now)
	ahead := slices.Index(o.waiting, c)
	rate := max(1, o.throughput.Rate(float64(slots)/c.attempt.Work.Seconds(), now))
	wait := time.Duration(float64(ahead) / rate * float64(time.Second))
	if ahead >= Scanners && !now.Add(wait).Before(c.attempt.Limit()) {
		o.waiting = slices.Delete(o.waiting, ahead, ahead+1)
		o.refuse(c, min(2*time.Second, max(minRetryAfter, wait)), now)
		return
	}
	o.check(slots, now)
}

func (o *formerOrder) next(now time.Time) *call {
	if len(o.waiting) == 0 {
		return nil
	}
	o.sort(now)
	i := o.random.IntN(min(Scanners, len(o.waiting)))
	c := o.waiting[i]
	o.waiting = slices.Delete(o.waiting, i, i+1)
	return c
}

func (o *formerOrder) check(_ int, now time.Time) {
	o.sort(now)
	for i := len(o.waiting) - 1; i >= 0; i-- {
		c := o.waiting[i]
		late := i >= Scanners && !now.Before(c.attempt.lateAt())
		if late || !now.Before(c.attempt.Limit()) {
			o.waiting = slices.Delete(o.waiting, i, i+1)
			o.refuse(c, time.Second, now)
		}
	}
}

func (o *formerOrder) completed(_ time.Duration, now time.Time) {
	o.throughput.Record(time.Second, now)
}
