package relay

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/routing"
	"rhubarbrelay/timeline"
)

const (
	// answerGrace is how much longer than its deadline an answer is awaited:
	// the target answers at the deadline itself.
	answerGrace = 60 * time.Millisecond
	// maxUnsent bounds the tries that failed before anything was sent.
	maxUnsent = 4
	// hedgeFactor is the age of a try, as a multiple of its expected duration,
	// and hedgeShare as a part of the objective, from which an idempotent
	// request is sent to a second target. The later of the two counts.
	hedgeFactor = 2.5
	hedgeShare  = 0.4
	// minTryTime is the time left below which no further try is begun.
	minTryTime = 10 * time.Millisecond
)

// run is the state of a dispatched request.
type run struct {
	server *Server
	caller *callerWatch
	req    *fasthttp.Request
	call   *call
	done   chan *try
	active []*try
	unsent int
}

// dispatch sends the request to a target, and to further ones as long as that
// is safe and allowed, until there is an answer.
func (s *Server) dispatch(caller *callerWatch, req *fasthttp.Request, resp *fasthttp.Response, c *call) {
	r := &run{
		server: s, caller: caller, req: req, call: c,
		done: make(chan *try, c.route.Attempts+maxUnsent+1),
	}
	if err := r.start(false); err != nil {
		s.refuse(resp, c, err, caller.closed())
		return
	}
	answer, reason := r.await()
	switch {
	case answer != nil:
		s.deliver(resp, c, answer)
	case reason == nil:
		s.giveUp(resp, c)
	case errors.Is(reason, errCallerClosed):
		s.fail(resp, c, callerGone(c.mayHaveRun))
	default:
		s.fail(resp, c, unknown(fasthttp.StatusGatewayTimeout, reason.Error()))
	}
}

// errTimeout means that the time for the answer is over.
var errTimeout = errors.New("no answer in time")

// await returns the answer to pass on. Without an answer, the reason is nil
// when all tries have failed.
func (r *run) await() (answer *try, reason error) {
	timeout := time.NewTimer(time.Until(r.call.deadline) + answerGrace)
	defer timeout.Stop()
	hedge := time.NewTimer(r.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case t := <-r.done:
			r.finish(t)
			if t.final() {
				r.cancelOthers(true)
				return t, nil
			}
			if r.retry(t) {
				continue
			}
			if len(r.active) == 0 {
				return nil, nil
			}
		case <-hedge.C:
			r.hedge()
		case <-r.caller.Done():
			if r.call.route.Idempotent {
				r.cancelOthers(false)
			}
			return nil, errCallerClosed
		case <-timeout.C:
			r.cancelOthers(false)
			return nil, errTimeout
		}
	}
}

// hedgeDelay returns the time after which the first try counts as late.
func (r *run) hedgeDelay() time.Duration {
	if !r.call.route.Idempotent || len(r.active) == 0 {
		return time.Until(r.call.deadline) + time.Hour
	}
	expected := time.Duration(hedgeFactor * float64(r.active[0].lease.Expected()))
	return max(expected, time.Duration(hedgeShare*float64(r.call.route.Objective)))
}

// start acquires a target and begins a try.
func (r *run) start(repeat bool) error {
	c := r.call
	lease, err := c.dispatcher.Acquire(r.caller, &routing.Request{
		Route: c.route.Key(), Arrival: c.arrival, Elapsed: c.spent, Deadline: c.deadline, Objective: c.route.Objective,
		Priority: c.route.Priority, Exclude: c.tried, Retry: repeat,
	})
	if err != nil {
		return err
	}
	c.sent++
	c.tried = append(c.tried, lease.Target().Incarnation())
	t := &try{
		lease: lease, req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse(),
		deadline: c.deadline, started: time.Now(), number: c.sent,
	}
	r.req.CopyTo(t.req)
	r.active = append(r.active, t)
	c.last = t
	go t.run(r.done)
	return nil
}

// finish takes a try out of the active ones and notes what it means.
func (r *run) finish(t *try) {
	for i, a := range r.active {
		if a == t {
			r.active = append(r.active[:i], r.active[i+1:]...)
			break
		}
	}
	c := r.call
	switch {
	case t.err != nil && t.notRun():
		c.sent-- // nothing left this instance
		r.unsent++
	case !t.notRun():
		c.mayHaveRun = true
	}
	if !t.final() {
		c.last = t
		r.server.noteFailedTry(c, t)
	}
}

// retry begins another try after a failed one, if that is safe and allowed.
func (r *run) retry(failed *try) bool {
	c := r.call
	badRequest := failed.err == nil && failed.resp.StatusCode() == fasthttp.StatusBadRequest
	if badRequest || !failed.notRun() && !c.route.Idempotent || len(r.active) > 0 && !failed.notRun() {
		return false
	}
	unsent := failed.err != nil && failed.notRun()
	if c.sent >= c.route.Attempts || r.unsent > maxUnsent || time.Until(c.deadline) < minTryTime || r.caller.Err() != nil {
		return false
	}
	if !unsent && !c.dispatcher.AllowRetry() {
		return false
	}
	if r.start(true) != nil {
		return false // the failed try decides the answer
	}
	r.server.counters.retries.Add(1)
	return true
}

// hedge sends an idempotent request that is late to a second target.
func (r *run) hedge() {
	c := r.call
	if !c.route.Idempotent || len(r.active) != 1 || c.sent >= c.route.Attempts || time.Until(c.deadline) < minTryTime {
		return
	}
	if !c.dispatcher.AllowRetry() || r.start(true) != nil {
		return
	}
	r.server.counters.hedges.Add(1)
	r.server.record(timeline.RequestRetried, c, c.last.lease.Target().ID, "first target is late")
}

// cancelOthers ends the tries that are still active.
func (r *run) cancelOthers(outrun bool) {
	for _, t := range r.active {
		t.cancel(outrun)
	}
}
