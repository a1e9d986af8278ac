package relay

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/bodies"
	"rhubarbrelay/crashes"
	"rhubarbrelay/platform"
	"rhubarbrelay/reachability"
	"rhubarbrelay/routing"
)

// responseMargin is how long after the deadline a response is still awaited:
// a target that times out responds at the deadline itself.
const responseMargin = 60 * time.Millisecond

// dispatchState is the state of a request that is sent to one or more targets.
type dispatchState struct {
	server      *Server
	caller      *callerWatch
	req         *fasthttp.Request
	call        *call
	finished    chan *try
	inFlight    []*try
	started     []*try
	unsentTries int
}

// dispatch sends the request to a target and, where retries and hedging are safe
// and within their limits, to further ones. It responds to the caller.
func (s *Server) dispatch(caller *callerWatch, req *fasthttp.Request, resp *fasthttp.Response, c *call) {
	r := &dispatchState{
		server: s, caller: caller, req: req, call: c,
		// Only tries in flight have yet to send. None blocks after the request has ended.
		finished: make(chan *try, maxTriesInFlight),
	}
	defer func() {
		for _, t := range r.started {
			t.abandon()
		}
	}()
	defer s.sends.beginExchange(caller)()
	c.elsewhere = s.mayPassOn(c)
	if c.dispatcher.Reach() == reachability.Lost {
		if s.passOn(caller, req, resp, c) {
			return
		}
		c.elsewhere = false
	}
	err := r.startTry(firstTry)
	if errors.Is(err, routing.ErrUnreachable) {
		if s.passOn(caller, req, resp, c) {
			return
		}
		c.elsewhere = false
		err = r.startTry(firstTry)
	}
	if err != nil {
		s.refuseUndispatched(resp, c, err, caller.closed())
		return
	}
	final, reason := r.awaitResponse()
	switch {
	case final != nil:
		s.forwardResponse(resp, c, final)
	case reason == nil && c.unreached() && s.passOn(caller, req, resp, c):
	case reason == nil:
		s.respondWithLastTry(resp, c)
	case errors.Is(reason, errCallerClosed):
		s.fail(resp, c, callerClosedFailure(c.mayHaveRun))
	default:
		s.fail(resp, c, unknownOutcomeFailure(fasthttp.StatusGatewayTimeout, reason.Error()))
	}
}

// errTimeout means that no response arrived until responseMargin after the
// deadline.
var errTimeout = errors.New("no answer in time")

// awaitResponse returns the try whose response is to be forwarded. Otherwise the
// reason says why there is none; it is nil when all tries have failed.
func (r *dispatchState) awaitResponse() (final *try, reason error) {
	timeout := time.NewTimer(time.Until(r.call.deadline) + responseMargin)
	defer timeout.Stop()
	hedge := time.NewTimer(r.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case t := <-r.finished:
			r.finishTry(t)
			if t.isFinal() {
				r.cancelInFlight(true)
				return t, nil
			}
			if r.retry(t) {
				continue
			}
			if len(r.inFlight) == 0 {
				return nil, nil
			}
		case <-hedge.C:
			r.hedge()
		case <-r.caller.Done():
			if r.call.route.Idempotent {
				r.cancelInFlight(false)
			}
			return nil, context.Cause(r.caller)
		case <-timeout.C:
			r.cancelInFlight(false)
			return nil, errTimeout
		}
	}
}

// acquire acquires a target, unless copies of the request have ended too many targets.
// It checks that again after the wait, in which others may have ended, and that the API
// key of the request was not revoked meanwhile.
func (r *dispatchState) acquire(kind tryKind) (*routing.Lease, error) {
	c := r.call
	ended := r.server.crashCount(r.req)
	if ended >= crashes.MaxCrashes {
		return nil, errEndsTargets
	}
	ctx, leave := r.server.sends.enter(r.caller)
	defer leave()
	lease, err := c.dispatcher.Acquire(ctx, &routing.Request{
		Route: c.route.Key(), Arrival: c.arrival, PriorElapsed: c.priorElapsed, Deadline: c.deadline, Objective: c.route.Objective,
		Priority: c.priority(), Exclude: c.triedTargets, Suspect: ended > 0,
		Retry: kind == furtherTry, Requeued: kind == requeuedTry, Elsewhere: c.elsewhere && kind != furtherTry,
	})
	if errors.Is(context.Cause(ctx), errDraining) {
		if lease != nil {
			lease.Release(routing.Inconclusive, platform.ResponseInfo{})
		}
		return nil, errDraining
	}
	if err != nil {
		return nil, err
	}
	if r.server.crashCount(r.req) >= crashes.MaxCrashes {
		lease.Release(routing.Inconclusive, platform.ResponseInfo{})
		return nil, errEndsTargets
	}
	if r.server.isRevoked(c) {
		lease.Release(routing.Inconclusive, platform.ResponseInfo{})
		return nil, errKeyRevoked
	}
	return lease, nil
}

// startTry acquires a target and starts a try on it.
func (r *dispatchState) startTry(kind tryKind) error {
	lease, err := r.acquire(kind)
	if err != nil {
		return err
	}
	c := r.call
	c.sentTries++
	c.triedTargets = append(c.triedTargets, lease.Target().Incarnation())
	t := &try{
		lease: lease, req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse(),
		deadline: c.deadline, started: time.Now(), number: c.sentTries, crashes: r.server.crashes, sends: r.server.sends,
		reservation: bodies.NewReservation(r.server.responseMemory, 1),
	}
	r.req.CopyTo(t.req)
	r.inFlight = append(r.inFlight, t)
	r.started = append(r.started, t)
	c.lastTry = t
	go t.run(r.finished)
	return nil
}

// finishTry removes a try from those in flight and updates the call with its
// result.
func (r *dispatchState) finishTry(t *try) {
	for i, a := range r.inFlight {
		if a == t {
			r.inFlight = append(r.inFlight[:i], r.inFlight[i+1:]...)
			break
		}
	}
	c := r.call
	switch {
	case t.err != nil && t.notRun():
		c.sentTries-- // nothing was sent
		r.unsentTries++
	case !t.notRun():
		c.mayHaveRun = true
	}
	if !t.isFinal() {
		c.lastTry = t
		r.server.logFailedTry(c, t)
	}
}

// cancelInFlight cancels the tries in flight. If superseded is set, another try
// of the request has responded first.
func (r *dispatchState) cancelInFlight(superseded bool) {
	for _, t := range r.inFlight {
		t.cancel(superseded)
	}
}
