package relay

import (
	"errors"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/bodies"
	"rhubarbrelay/targets"
	"rhubarbrelay/timeline"
	"rhubarbrelay/upstream"
)

const (
	// maxUnsentTries limits the retries of a request after tries in which nothing
	// was sent. Such tries do not count towards the route's limit of tries.
	maxUnsentTries = 4
	// maxTriesInFlight is the number of tries of a request that are in flight at the same
	// time: a try and a hedge, or the retry of one of them.
	maxTriesInFlight = 2
	// An idempotent request is sent to a second target (hedged) when the first
	// try takes longer than hedgeDurationFactor times its expected duration and
	// longer than the fraction hedgeObjectiveFraction of the route's objective.
	hedgeDurationFactor    = 2.5
	hedgeObjectiveFraction = 0.4
	// minTryTime is the time before the deadline within which no further try is
	// started.
	minTryTime = 10 * time.Millisecond
)

// tryKind says how a target is acquired for a try.
type tryKind int

const (
	firstTry tryKind = iota
	// requeuedTry follows one in which nothing was sent, as no connection was free.
	requeuedTry
	// furtherTry is a retry or a hedge, which does not wait for a target.
	furtherTry
)

// hedgeDelay returns the time after which the request is hedged. If hedging is not
// safe, this time ends only after the deadline.
func (r *dispatchState) hedgeDelay() time.Duration {
	if !r.call.route.Idempotent || len(r.inFlight) == 0 {
		return time.Until(r.call.deadline) + time.Hour
	}
	expected := time.Duration(hedgeDurationFactor * float64(r.inFlight[0].lease.Expected()))
	return max(expected, time.Duration(hedgeObjectiveFraction*float64(r.call.route.Objective)))
}

// allowsFurtherTry reports whether the request may be sent to one more target within
// its limit of tries, its deadline and the memory.
func (r *dispatchState) allowsFurtherTry() bool {
	c := r.call
	return len(r.inFlight) < maxTriesInFlight && c.sentTries < c.route.MaxTries && time.Until(c.deadline) >= minTryTime && r.reserveCopy()
}

// reserveCopy reserves the memory for the copy of a large request that a further try
// sends, and reports whether there was enough. That of the first try is reserved when
// the request is read.
func (r *dispatchState) reserveCopy() bool {
	body := r.req.Body()
	return len(body) <= bodies.SmallBody || r.call.reservation.Add((len(body)+1)/requestCopies) == nil
}

// retry starts another try after a failed one, if that is safe and within the
// limits. After a try that may have run the request, it does so only if the request
// is idempotent and no other try is in flight. A response with status 400 is not
// retried, even if it states that the request has not run. Retries after tries in
// which nothing was sent do not draw on the retry budget.
func (r *dispatchState) retry(failed *try) bool {
	c := r.call
	badRequest := failed.err == nil && failed.resp.StatusCode() == fasthttp.StatusBadRequest
	if badRequest || !failed.notRun() && !c.route.Idempotent || len(r.inFlight) > 0 && !failed.notRun() {
		return false
	}
	if r.unsentTries > maxUnsentTries || r.caller.Err() != nil || !r.allowsFurtherTry() {
		return false
	}
	unsent := failed.err != nil && failed.notRun()
	if !unsent && !c.dispatcher.AllowRetry() {
		return false
	}
	if r.startTry(r.kindAfter(failed)) != nil {
		return false // without a try in flight, respondWithLastTry uses the failed one
	}
	r.server.counters.retries.Add(1)
	return true
}

// kindAfter returns the kind of the try after a failed one. A request whose target had no
// free connection waits for one again, at that target or another one.
func (r *dispatchState) kindAfter(failed *try) tryKind {
	if !errors.Is(failed.err, upstream.ErrPoolExhausted) || len(r.inFlight) > 0 {
		return furtherTry
	}
	target := failed.lease.Target().Incarnation()
	r.call.triedTargets = slices.DeleteFunc(r.call.triedTargets, func(tried targets.Incarnation) bool { return tried == target })
	return requeuedTry
}

// hedge sends an idempotent request to a second target while the first try is
// still in flight, unless a target has ended while a copy of it was in flight there.
func (r *dispatchState) hedge() {
	c := r.call
	if !c.route.Idempotent || len(r.inFlight) != 1 || r.server.crashCount(r.req) > 0 || !r.allowsFurtherTry() {
		return
	}
	if !c.dispatcher.AllowRetry() || r.startTry(furtherTry) != nil {
		return
	}
	r.server.counters.hedges.Add(1)
	r.server.recordEvent(timeline.RequestRetried, c, c.lastTry.lease.Target().ID, "first target is late")
}
