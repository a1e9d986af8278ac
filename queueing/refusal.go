package queueing

import "time"

const (
	// minRetryAfter is the lowest retry delay, unless a third of the time that the
	// caller has left is less.
	minRetryAfter = 100 * time.Millisecond
	// meanRetryAfter is the mean retry delay while a service is overloaded, which it is
	// for seconds, if there is room by then. Delays are spread from half of it on.
	meanRetryAfter = time.Second
	// retryFraction is the fraction of the time until its deadline that a caller waits
	// before it retries.
	retryFraction = 1.0 / 3
	// priorityValue is the ratio of the values of two requests of the same work, one of
	// which is less urgent by one step. A ratio of values below minValueRatio does not
	// count, as the estimates of the work vary.
	priorityValue = 2.0
	minValueRatio = 1.5
)

// check refuses waiting requests until all others are expected to start in time.
func (q *Queue) check(rate float64, now time.Time) {
	q.rate, q.checkedAt = rate, now
	q.shares.compare(now)
	q.markLate(now)
	for len(q.waiters) > Scanners {
		last := q.firstInVain(now)
		if last < 0 {
			return
		}
		q.refuse(q.cheapest(q.waiters[:last+1], now), now)
	}
}

// markLate moves waiters that have become late behind the others.
func (q *Queue) markLate(now time.Time) {
	var late []*Waiter
	for _, w := range q.waiters {
		if !w.late && !w.boosted && !now.Before(w.lateAt) {
			late = append(late, w)
		}
	}
	for _, w := range late {
		q.remove(w)
		w.late = true
		q.insert(w)
	}
}

// firstInVain returns the position of the first waiter that is not expected to start in
// time, or -1. The first Scanners of them may always wait.
func (q *Queue) firstInVain(now time.Time) int {
	ahead, elapsed := 0.0, now.Sub(q.epoch).Seconds()
	for i, w := range q.waiters {
		if i >= Scanners {
			if w.late || i >= maxWaiting {
				return i
			}
			if elapsed+q.expectedWait(w, ahead, now) > w.startBy {
				return i
			}
		}
		ahead += w.request.Work.Seconds()
	}
	return -1
}

// expectedWait returns the expected time in seconds until a waiter can start, with the
// given work ahead of it. The rate is at least one request like it in a second. Requests
// that arrive later and are placed before it are expected at the rate at which such
// requests were served, until the time of its own place.
func (q *Queue) expectedWait(w *Waiter, ahead float64, now time.Time) float64 {
	rate := max(q.rate, w.request.Work.Seconds())
	if w.boosted || w.kind.overtaking == 0 {
		return ahead / rate
	}
	untilPlace := max(0, w.place.Sub(now).Seconds())
	wait := (ahead + w.kind.overtaking*untilPlace) / rate
	if left := rate - w.kind.overtaking; left > 0 {
		wait = min(wait, ahead/left)
	}
	return wait
}

// cheapest returns the waiter whose refusal costs callers least.
func (q *Queue) cheapest(waiters []*Waiter, now time.Time) *Waiter {
	scale := q.shares.scale(now)
	found := waiters[0]
	for _, w := range waiters[1:] {
		if w.cheaper(found, scale) {
			found = w
		}
	}
	return found
}

// cheaper reports whether refusing w costs callers less than refusing other.
func (w *Waiter) cheaper(other *Waiter, scale float64) bool {
	a, b := &w.request, &other.request
	switch {
	case w.late != other.late:
		return w.late
	case w.behind() != other.behind():
		return other.behind()
	case a.TenantPriority != b.TenantPriority:
		return a.TenantPriority > b.TenantPriority
	case w.value*minValueRatio < other.value || other.value*minValueRatio < w.value:
		return w.value < other.value
	case a.repeated() != b.repeated():
		return a.repeated()
	case w.tenant != other.tenant:
		return w.tenant.overuse(scale) > other.tenant.overuse(scale)
	}
	return w.number > other.number
}

// behind reports whether the request is exempt from refusals because its kind or tenant
// is served less often than it must be. Repeated attempts are not, so that a flood of them
// does not displace first ones.
func (w *Waiter) behind() bool {
	return (w.kind.behind || w.tenant.behind) && !w.request.repeated()
}

// weight returns the weight with which the end of the request counts: that of its call,
// which begins with the first attempt.
func (w *Waiter) weight() float64 {
	if w.request.repeated() {
		return 0
	}
	return 1
}

func (q *Queue) refuse(w *Waiter, now time.Time) {
	refusal := q.RetryAfter(&w.request, now)
	w.refusal = &Refusal{RetryAfter: refusal}
	q.leave(w)
	scale := q.shares.scale(now)
	for _, g := range []*group{w.kind, w.tenant, &q.shares.all} {
		g.ended += w.weight() * scale
	}
	w.signal()
}

// RetryAfter returns after which time a caller may retry: a random time between the one
// at which the waiting requests are expected to leave room for it and a third of the time
// until its deadline, which is the longest time that callers wait. The range grows with
// the waiting requests.
func (q *Queue) RetryAfter(r *Request, now time.Time) time.Duration {
	backlog := time.Duration(q.work.Seconds() / max(q.rate, r.Work.Seconds(), 1e-3) * float64(time.Second))
	room := max(minRetryAfter, backlog-max(0, r.Limit().Sub(r.Arrival)))
	latest := max(0, time.Duration(retryFraction*float64(r.Deadline.Sub(now))))
	from := max(room, meanRetryAfter/2)
	to := min(from+max(meanRetryAfter, backlog), latest)
	from = min(to, max(room, min(from, to/2)))
	return from + time.Duration(q.random.Float64()*float64(to-from))
}
