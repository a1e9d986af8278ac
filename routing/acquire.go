package routing

import (
	"context"
	"errors"
	"fmt"
	"time"

	"rhubarbrelay/limits"
)

// maxLongWaiting is the part of the waiting places that long requests may
// take, so that they do not keep short ones out of the queue.
const maxLongWaiting = 0.5

// errUnfair is the refusal of a service above its fair share of the instance.
var errUnfair = fmt.Errorf("%w: the service holds its share of the instance", ErrQueueFull)

// Acquire waits until a target may run the call. The error is ErrQueueFull,
// ErrTooLate or ErrNoTarget, or the context's error; each means that the
// request was not run. A slot must be released exactly once.
func (d *Dispatcher) Acquire(ctx context.Context, call Call) (*Slot, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	slot, w, err := d.begin(call)
	if err != nil || slot != nil {
		return slot, err
	}
	timer := time.NewTimer(w.expires.Sub(d.clock()))
	defer timer.Stop()
	select {
	case <-w.done:
		return w.slot, w.err
	case <-timer.C:
		return d.abandon(w, ErrTooLate)
	case <-ctx.Done():
		return d.abandon(w, ctx.Err())
	}
}

// begin gives the call a slot or a place in the queue, or refuses it.
func (d *Dispatcher) begin(call Call) (*Slot, *waiter, error) {
	if len(call.Exclude) == 0 {
		d.retries.Deposit()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	call = d.complete(call, now)
	if !d.enter() {
		d.stats.RefusedUnfair++
		return nil, nil, errUnfair
	}
	slot, w, err := d.admit(call, now)
	if err != nil {
		d.leave()
		d.countRefusal(err)
	}
	return slot, w, err
}

// complete fills in what the caller left out.
func (d *Dispatcher) complete(call Call, now time.Time) Call {
	if call.Arrival.IsZero() {
		call.Arrival = now
	}
	if call.Deadline.IsZero() {
		call.Deadline = call.Arrival.Add(d.service.Deadline)
	}
	return call
}

func (d *Dispatcher) admit(call Call, now time.Time) (*Slot, *waiter, error) {
	d.expireEjections(now)
	long := call.Long || d.durations.long(call.Class)
	if !d.reachable(call) {
		return nil, nil, ErrNoTarget
	}
	if d.baseline != nil {
		t := d.baseline.choose(d.available, d.random, call.Exclude)
		return d.give(t, call, long, now), nil, nil
	}
	if d.queue.len() == 0 {
		if t := d.pick(call, long, now); t != nil {
			return d.give(t, call, long, now), nil, nil
		}
	}
	if err := d.checkQueue(call, long, now); err != nil {
		return nil, nil, err
	}
	w := &waiter{call: call, long: long, expires: d.expiry(call), done: make(chan struct{})}
	d.queue.add(w)
	d.pump(now)
	if w.slot != nil {
		return w.slot, nil, nil
	}
	d.stats.Queued++
	return nil, w, nil
}

// reachable returns whether any target may ever run the call.
func (d *Dispatcher) reachable(call Call) bool {
	return from(d.available, 0, call.Exclude) != nil
}

// expiry returns the time at which the call has waited long enough.
func (d *Dispatcher) expiry(call Call) time.Time {
	end := call.Arrival.Add(d.service.MaxWait)
	if call.Deadline.Before(end) {
		return call.Deadline
	}
	return end
}

// checkQueue refuses a call that must wait but has no place in the queue, or
// no chance of a slot in time.
func (d *Dispatcher) checkQueue(call Call, long bool, now time.Time) error {
	waiting := d.queue.len()
	if waiting >= d.service.MaxQueue {
		return ErrQueueFull
	}
	if long && float64(len(d.queue.long)) >= maxLongWaiting*float64(d.service.MaxQueue) {
		return ErrQueueFull
	}
	left := d.expiry(call).Sub(now)
	if left <= 0 {
		return ErrTooLate
	}
	rate := d.completionRate()
	if rate == 0 || float64(waiting)/rate <= left.Seconds() {
		return nil
	}
	if float64(d.queue.ahead(call.Deadline))/rate > left.Seconds() {
		return ErrTooLate
	}
	return nil
}

// completionRate returns the requests that finish per second while as many are
// in flight as now. Counting past completions instead would underestimate the
// rate at the start of a peak.
func (d *Dispatcher) completionRate() float64 {
	return float64(d.inFlight) / d.durations.mean
}

// abandon takes a waiter out of the queue. A slot that was given at the same
// moment is used when only the wait was over, else it goes back.
func (d *Dispatcher) abandon(w *waiter, reason error) (*Slot, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.err != nil {
		return nil, w.err
	}
	if w.slot != nil {
		if errors.Is(reason, ErrTooLate) {
			return w.slot, nil
		}
		d.releaseLocked(w.slot, Result{Status: Unused, Reported: NoReport}, d.clock())
		d.stats.Canceled++
		return nil, reason
	}
	d.queue.remove(w)
	d.leave()
	if errors.Is(reason, ErrTooLate) {
		d.stats.RefusedWaited++
	} else {
		d.stats.Canceled++
	}
	return nil, reason
}

// refuseWaiting ends the wait of every waiter.
func (d *Dispatcher) refuseWaiting(reason error) {
	for w := d.queue.head(true, true); w != nil; w = d.queue.head(true, true) {
		d.queue.remove(w)
		d.leave()
		d.countRefusal(reason)
		w.err = reason
		close(w.done)
	}
}

func (d *Dispatcher) countRefusal(err error) {
	switch {
	case errors.Is(err, ErrNoTarget):
		d.stats.RefusedNone++
	case errors.Is(err, ErrTooLate):
		d.stats.RefusedEarly++
	default:
		d.stats.RefusedFull++
	}
}

func (d *Dispatcher) enter() bool { return d.share == nil || d.share.Enter() }

func (d *Dispatcher) leave() {
	if d.share != nil {
		d.share.Leave()
	}
}

// give hands a slot of the target to the call.
func (d *Dispatcher) give(t *target, call Call, long bool, now time.Time) *Slot {
	s := &Slot{dispatcher: d, target: t, config: t.config, class: call.Class, start: now, long: long}
	t.advance(d.durations.typical, now)
	t.hold(s)
	d.inFlight++
	if long {
		d.longHeld++
	}
	d.stats.Acquired++
	d.refresh(t)
	return s
}

// pump gives slots to waiters as long as there are any, earliest deadline
// first. A waiter whose targets are all excluded does not block the others.
func (d *Dispatcher) pump(now time.Time) {
	var skipped []*waiter
	short, long := true, true
	for len(d.free) > 0 {
		w := d.queue.head(short, long)
		if w == nil {
			break
		}
		t := d.pick(w.call, w.long, now)
		switch {
		case t != nil:
			d.queue.remove(w)
			w.slot = d.give(t, w.call, w.long, now)
			close(w.done)
		case len(w.call.Exclude) > 0:
			d.queue.remove(w)
			skipped = append(skipped, w)
		case w.long:
			long = false
		default:
			short = false
		}
	}
	for _, w := range skipped {
		d.queue.push(w)
	}
	d.scheduleReview()
}

// scheduleReview makes the queue be looked at again while requests wait.
func (d *Dispatcher) scheduleReview() {
	if d.reviewing || d.queue.len() == 0 {
		return
	}
	d.reviewing = true
	time.AfterFunc(reviewInterval, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.reviewing = false
		now := d.clock()
		d.expireEjections(now)
		d.pump(now)
	})
}

// expireEjections lets targets whose ejection is over take a trial request.
func (d *Dispatcher) expireEjections(now time.Time) {
	for _, t := range d.ejected {
		if t.ejection.State() == limits.Ejected && t.ejection.Expire(now) {
			d.refresh(t)
		}
	}
}
