package routing

import (
	"context"
	"fmt"
	"time"
)

const (
	// rescanInterval is the time after which a waiting request looks again
	// although nothing was released: other instances release slots too.
	rescanInterval = 12 * time.Millisecond
	// waitShare is the part of the time left that a request may spend waiting.
	waitShare = 0.5
	// maxObjectives bounds the wait in multiples of the request's objective.
	maxObjectives = 1.5
	// finishWindow is the time constant of the rate of finished requests.
	finishWindow = 500 * time.Millisecond
)

// RefusalError is a refusal with the time after which the request may find a
// target.
type RefusalError struct {
	Cause      error
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("%s; retry after %s", e.Cause, e.RetryAfter)
}

// Unwrap returns the cause.
func (e *RefusalError) Unwrap() error { return e.Cause }

const (
	// minRetryAfter and maxRetryAfter bound the time after which a refused
	// request should come back.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// waitedRetryAfter is that time for a request that has waited in vain: what
	// fills all targets lasts for seconds.
	waitedRetryAfter = time.Second
)

// Acquire waits until a target may run the request. The error is a
// *RefusalError or the context's; each means that the request was not run.
// A lease must be released exactly once.
func (d *Dispatcher) Acquire(ctx context.Context, r *Request) (*Lease, error) {
	if !r.Retry {
		d.retries.Deposit()
	}
	limit := waitLimit(r)
	w, err := d.enter(r, limit)
	if err != nil {
		return nil, err
	}
	defer d.exit(w)
	for {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		last := r.Retry || !d.clock().Before(limit)
		turn, late := d.turn(w)
		if late && !turn && !r.Retry {
			return nil, d.refuse(ErrNoCapacity)
		}
		if turn {
			l, known := d.scan(r, late)
			if l != nil {
				return l, nil
			}
			if !known && r.Retry {
				return nil, d.refuse(ErrNoTarget)
			}
		}
		if last {
			return nil, d.refuse(d.lateCause())
		}
		d.sleep(ctx, w, limit)
	}
}

// waitLimit returns the time until which a request may wait for a target.
func waitLimit(r *Request) time.Time {
	wait := time.Duration(waitShare * float64(r.Deadline.Sub(r.Arrival)))
	if r.Objective > 0 {
		wait = min(wait, time.Duration(maxObjectives*float64(r.Objective)))
	}
	return r.Arrival.Add(wait)
}

// enter gives the request a place in the queue, unless those ahead of it will
// take longer than it may wait.
func (d *Dispatcher) enter(r *Request, limit time.Time) (*waiter, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := newWaiter(r, d.durations.expect(r))
	d.queue.add(w)
	now := d.clock()
	ahead := d.queue.position(w)
	if ahead < scanners {
		return w, nil
	}
	expected := time.Duration(float64(ahead) / d.rate(r, now) * float64(time.Second))
	if now.Add(expected).Before(limit) {
		return w, nil
	}
	d.queue.remove(w)
	d.stats.RefusedEarly++
	return nil, &RefusalError{Cause: ErrNoCapacity, RetryAfter: min(maxRetryAfter, max(minRetryAfter, expected))}
}

// rate returns the number of requests per second that leave the queue: as many
// as have finished of late, or as this instance's part of the targets can run.
func (d *Dispatcher) rate(r *Request, now time.Time) float64 {
	finished := d.finished * fade(now.Sub(d.finishAt), finishWindow)
	room := 0
	for _, t := range d.targets {
		if t.usable(now) {
			room += t.room()
		}
	}
	possible := float64(room) / float64(max(1, d.sharing.Active)) / d.durations.expect(r).Seconds()
	return max(finished, possibleShare*possible, 1)
}

// possibleShare is the part of the possible rate that is counted on: some of
// the targets are slow.
const possibleShare = 0.5

func (d *Dispatcher) exit(w *waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.remove(w)
}

// turn returns whether the waiter is among those that look for a target, and
// whether it is late.
func (d *Dispatcher) turn(w *waiter) (turn, late bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.review(w, d.clock())
	return d.queue.position(w) < scanners, w.late
}

func (d *Dispatcher) lateCause() error {
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
	if cause == ErrNoTarget { //nolint:errorlint // The sentinel itself.
		d.stats.RefusedNoTarget++
	} else {
		d.stats.RefusedLate++
	}
	return &RefusalError{Cause: cause, RetryAfter: waitedRetryAfter}
}

// sleep waits for a released slot, or a while.
func (d *Dispatcher) sleep(ctx context.Context, w *waiter, limit time.Time) {
	timer := time.NewTimer(min(rescanInterval, max(0, limit.Sub(d.clock()))))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-w.wake:
	case <-timer.C:
	}
}
