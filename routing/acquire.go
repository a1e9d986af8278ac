package routing

import (
	"context"
	"errors"
	"fmt"
	"time"

	"rhubarbrelay/reachability"
)

const (
	// rescanInterval is the longest time between two scans of a waiting
	// request. A scan is needed even without a release in this instance, since
	// other instances release slots too.
	rescanInterval = 12 * time.Millisecond
	// waitFraction is the fraction of the time until its deadline that a
	// request may spend waiting.
	waitFraction = 0.5
	// maxWaitObjectives limits the wait to this multiple of the request's
	// objective.
	maxWaitObjectives = 1.5
	// throughputTimeConstant is the time constant of the moving average of
	// successful tries per second.
	throughputTimeConstant = 500 * time.Millisecond
)

// RefusalError states why a request was refused and after which time the caller
// may retry.
type RefusalError struct {
	Cause      error
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("%s; retry after %s", e.Cause, e.RetryAfter)
}

// Unwrap returns the cause of the refusal.
func (e *RefusalError) Unwrap() error { return e.Cause }

const (
	// minRetryAfter and maxRetryAfter limit the retry delay of a request that
	// is refused on arrival.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// timeoutRetryAfter is the retry delay of a request that is refused after
	// it was queued: when all targets are full, they stay full for seconds. It
	// also applies to a late request or a retry that is refused at once, and to
	// a service without targets.
	timeoutRetryAfter = time.Second
)

// Acquire waits until a target has capacity for the request and returns a lease
// for it. The error is a *RefusalError, ErrUnreachable or the error of the context; in
// each case the request was not run. The lease must be released exactly once.
//
// A late request that may not scan is refused at once: it is not expected to finish
// within its objective, and would wait behind all requests that are not late.
// A retry that may not scan is refused at once whether it is late or not, because
// a retry does not wait.
func (d *Dispatcher) Acquire(ctx context.Context, r *Request) (*Lease, error) {
	lease, err := d.acquire(ctx, r)
	var refusal *RefusalError
	if r.Elsewhere && errors.As(err, &refusal) && d.Reach() != reachability.Reachable {
		err = ErrUnreachable
	}
	// A request that another instance runs counts there.
	if !r.Retry && !r.Requeued && !errors.Is(err, ErrUnreachable) {
		d.retryBudget.Deposit()
	}
	return lease, err
}

func (d *Dispatcher) acquire(ctx context.Context, r *Request) (*Lease, error) {
	limit := waitLimit(r)
	w, err := d.enqueue(r, limit)
	if err != nil {
		return nil, err
	}
	defer d.dequeue(w)
	for {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		final := r.Retry || !d.clock().Before(limit)
		mayScan, late := d.queueState(w)
		if late && !mayScan && !r.Retry {
			return nil, d.refuse(ErrNoCapacity)
		}
		if mayScan {
			if l, err := d.scanOrRefuse(r, late, limit); l != nil || err != nil {
				return l, err
			}
		}
		if r.Elsewhere && d.Reach() != reachability.Reachable {
			return nil, ErrUnreachable
		}
		if final {
			return nil, d.refuse(d.timeoutCause())
		}
		d.waitForWake(ctx, w, limit)
	}
}

// waitLimit returns the time until which a request may wait for a target.
func waitLimit(r *Request) time.Time {
	wait := time.Duration(waitFraction * float64(r.Deadline.Sub(r.Arrival)))
	if r.Objective > 0 {
		wait = min(wait, time.Duration(maxWaitObjectives*float64(r.Objective)))
	}
	return r.Arrival.Add(wait)
}

// enqueue adds the request to the queue, or refuses it when the requests ahead
// are expected to take longer than it may wait.
func (d *Dispatcher) enqueue(r *Request, limit time.Time) (*waiter, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := newWaiter(r, d.durations.estimate(r))
	d.queue.add(w)
	now := d.clock()
	ahead := d.queue.position(w)
	if ahead < maxScanners {
		return w, nil
	}
	expectedWait := time.Duration(float64(ahead) / d.dequeueRate(r, now) * float64(time.Second))
	if now.Add(expectedWait).Before(limit) {
		return w, nil
	}
	d.queue.remove(w)
	d.stats.RefusedEarly++
	return nil, &RefusalError{Cause: ErrNoCapacity, RetryAfter: min(maxRetryAfter, max(minRetryAfter, expectedWait))}
}

// dequeueRate returns the expected number of requests per second that leave the
// queue. It is the larger of the recent throughput and a fraction of what this
// instance's share of the targets can run.
func (d *Dispatcher) dequeueRate(r *Request, now time.Time) float64 {
	throughput := d.throughput * decay(now.Sub(d.throughputAt), throughputTimeConstant)
	capacity, coldRate := d.usableCapacity(now)
	maxRate := float64(capacity) / float64(max(1, d.instances.Active)) / d.durations.estimate(r).Seconds()
	return max(throughput, usableRateFraction*maxRate+coldRate, 1)
}

// usableRateFraction is the fraction of the highest possible rate that is
// expected, since some targets are slow.
const usableRateFraction = 0.5

func (d *Dispatcher) dequeue(w *waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.remove(w)
}

// queueState returns whether the waiter may scan for a target, and whether it
// is late.
func (d *Dispatcher) queueState(w *waiter) (mayScan, late bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.markLate(w, d.clock())
	return d.queue.position(w) < maxScanners, w.late
}

// timeoutCause returns the cause for refusing a request that has reached its
// wait limit, or a retry that got no target at once.
func (d *Dispatcher) timeoutCause() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.targets) == 0 {
		return ErrNoTarget
	}
	return ErrNoCapacity
}

func (d *Dispatcher) refuse(cause error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if errors.Is(cause, ErrNoTarget) {
		d.stats.RefusedNoTarget++
	} else {
		d.stats.RefusedLate++
	}
	return &RefusalError{Cause: cause, RetryAfter: timeoutRetryAfter}
}

// scanOrRefuse scans once for a target. Lease and error are nil if the request should
// wait.
func (d *Dispatcher) scanOrRefuse(r *Request, late bool, limit time.Time) (*Lease, error) {
	if d.onlyEvacuated() {
		return nil, d.refuse(ErrEvacuated)
	}
	l, available := d.scan(r, late)
	if l != nil || available {
		return l, nil
	}
	return nil, d.refuseWithoutCandidate(r, limit)
}

// refuseWithoutCandidate refuses a retry for which there is no candidate, and any other
// request if no usable target takes one of this instance before its wait limit, by what
// the targets have stated. The caller may retry when the first one does. The error is
// nil if the request should wait.
func (d *Dispatcher) refuseWithoutCandidate(r *Request, limit time.Time) error {
	if r.Retry {
		return d.refuse(ErrNoTarget)
	}
	at, known, closed := d.opensAt()
	if !closed || known && !at.After(limit) {
		return nil
	}
	refusal := &RefusalError{Cause: ErrNoCapacity, RetryAfter: timeoutRetryAfter}
	if known {
		refusal.RetryAfter = at.Sub(d.clock())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stats.RefusedLate++
	return refusal
}

// waitForWake waits until the queue wakes the waiter, the next scan is due, the
// wait limit is reached or the context is done. The queue wakes waiters, for
// example, after a slot was released.
func (d *Dispatcher) waitForWake(ctx context.Context, w *waiter, limit time.Time) {
	timer := time.NewTimer(min(rescanInterval, max(0, limit.Sub(d.clock()))))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-w.wake:
	case <-timer.C:
	}
}
