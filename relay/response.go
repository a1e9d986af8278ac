package relay

import (
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"rhubarbrelay/platform"
	"rhubarbrelay/routing"
	"rhubarbrelay/timeline"
)

// failure is an answer that the relay gives in place of a target.
type failure struct {
	status int
	// notRun promises that the request has not run and never will.
	notRun bool
	reason string
	// retryAfter asks the caller to come back later.
	retryAfter time.Duration
	// hangUp closes the caller's connection: what follows the request on it
	// cannot be trusted.
	hangUp bool
	cause  refusal
}

func (f *failure) hangingUp() *failure {
	f.hangUp = true
	return f
}

func notRun(status int, reason string) *failure {
	return &failure{status: status, notRun: true, reason: reason}
}

func unknown(status int, reason string) *failure { return &failure{status: status, reason: reason} }

func overloaded(cause refusal, reason string, retryAfter time.Duration) *failure {
	return &failure{
		status: fasthttp.StatusServiceUnavailable, notRun: true, reason: reason, retryAfter: retryAfter, cause: cause,
	}
}

// callerGone is the answer that nobody receives.
func callerGone(mayHaveRun bool) *failure {
	f := unknown(fasthttp.StatusBadGateway, errCallerClosed.Error())
	f.notRun, f.cause = !mayHaveRun, refusedCallerClosed
	return f.hangingUp()
}

// fail answers the call with the failure. A promise that the request has not
// run is withdrawn when it may have.
func (s *Server) fail(resp *fasthttp.Response, c *call, f *failure) {
	if f.notRun && c.mayHaveRun {
		f.notRun = false
		if promises(f.status) {
			f.status, f.retryAfter = fasthttp.StatusBadGateway, 0
		}
	}
	writeFailure(resp, f)
	if c.id != "" {
		platform.SetRequestID(&resp.Header, []byte(c.id))
	}
	s.counters.refuse(f)
	s.logFailure(c, f)
	switch {
	case !f.notRun:
		s.record(timeline.RequestUnknown, c, "", f.reason)
	case s.recorder != nil && s.refusals.Allow():
		s.record(timeline.RequestRefused, c, "", f.reason)
	}
}

func writeFailure(resp *fasthttp.Response, f *failure) {
	head := resp.SkipBody
	resp.Reset()
	resp.SkipBody = head
	resp.SetStatusCode(f.status)
	resp.Header.SetContentType("text/plain; charset=utf-8")
	if f.retryAfter > 0 {
		resp.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 2, 64))
	}
	if f.hangUp {
		resp.SetConnectionClose()
	}
	resp.SetBodyString(f.reason + "\n")
}

// deliver passes a target's answer on.
func (s *Server) deliver(resp *fasthttp.Response, c *call, t *try) {
	skip := resp.SkipBody
	t.resp.CopyTo(resp)
	resp.SkipBody = skip
	c.found.stripResponse(&resp.Header)
	platform.RemoveInternalHeaders(&resp.Header)
	resp.Header.ResetConnectionClose()
	resp.Header.SetProtocol([]byte("HTTP/1.1"))
	resp.Header.SetNoDefaultContentType(true)
	s.counters.run.Add(1)
	s.counters.observe(time.Since(c.arrival))
	if s.served.Allow() {
		s.logger.WithFields(s.fields(c, t)).WithField("status", resp.StatusCode()).Info("request answered")
	}
}

// giveUp answers after the last try. A target's own failure is passed on unless
// its status would promise what the target did not say.
func (s *Server) giveUp(resp *fasthttp.Response, c *call) {
	t := c.last
	if t.err == nil && t.reply.Sealed && !t.reply.NotRun && !promises(t.resp.StatusCode()) {
		s.deliver(resp, c, t)
		return
	}
	s.fail(resp, c, failureOfTry(t))
}

func failureOfTry(t *try) *failure {
	switch {
	case t.err == nil && t.reply.NotRun:
		return overloaded(refusedShed, "target did not run the request", shedRetryAfter)
	case t.err == nil:
		return unknown(fasthttp.StatusBadGateway, "target gave no valid answer")
	case t.notRun():
		return overloaded(refusedUnreachable, "target cannot be reached", shedRetryAfter)
	case !time.Now().Before(t.deadline):
		return unknown(fasthttp.StatusGatewayTimeout, "no answer before the deadline")
	}
	return unknown(fasthttp.StatusBadGateway, "exchange with the target broke")
}

// shedRetryAfter is when a request should come back that a target did not take.
const shedRetryAfter = 100 * time.Millisecond

// refuse answers a request that got no target.
func (s *Server) refuse(resp *fasthttp.Response, c *call, err error, callerClosed bool) {
	var refusal *routing.RefusalError
	switch {
	case callerClosed:
		s.fail(resp, c, callerGone(false))
	case errors.As(err, &refusal):
		cause := refusedTooLate
		if errors.Is(err, routing.ErrNoTarget) {
			cause = refusedNoTarget
		}
		s.fail(resp, c, overloaded(cause, refusal.Cause.Error(), refusal.RetryAfter))
	default:
		s.fail(resp, c, overloaded(refusedInternal, err.Error(), startRetryAfter))
	}
}

// handleError answers a request that fasthttp could not read.
func (s *Server) handleError(ctx *fasthttp.RequestCtx, err error) {
	var c call
	defer s.endPanic(&ctx.Response, &c)
	s.fail(&ctx.Response, &c, failureOfRead(err).hangingUp())
}

func failureOfRead(err error) *failure {
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.As(err, &small):
		return notRun(fasthttp.StatusRequestHeaderFieldsTooLarge, "request header is too large")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return notRun(fasthttp.StatusRequestEntityTooLarge, "request body is too large")
	case errors.Is(err, fasthttp.ErrTimeout), errors.As(err, &network) && network.Timeout():
		return notRun(fasthttp.StatusRequestTimeout, "request did not arrive in time")
	}
	return notRun(fasthttp.StatusBadRequest, "request is malformed")
}

func (s *Server) record(kind timeline.Kind, c *call, target, detail string) {
	if s.recorder == nil {
		return
	}
	s.recorder.Record(timeline.Event{Kind: kind, Request: c.id, Service: c.service, Target: target, Detail: detail})
}

// fields returns what decided on a request.
func (s *Server) fields(c *call, t *try) log.Fields {
	f := log.Fields{"request": c.id, "elapsed": time.Since(c.arrival).Round(time.Microsecond).String()}
	if c.document != nil {
		f["config_version"] = c.document.Version
	}
	if c.route != nil {
		f["route"], f["service"], f["tries"] = c.route.Name, c.service, c.sent
	}
	if c.spent > 0 {
		f["spent"] = c.spent.Round(time.Millisecond).String()
	}
	if t != nil {
		d := t.lease.Decision
		f["target"], f["waited"], f["probes"] = t.lease.Target().ID, d.Waited.Round(time.Microsecond).String(), d.Probes
		f["report_age"], f["running"], f["waiting"] = d.ReportAge.Round(time.Microsecond).String(), d.Running, d.Waiting
		f["slowdown"], f["target_zone"] = d.Slowdown, t.lease.Target().Zone
	}
	return f
}

func (s *Server) logFailure(c *call, f *failure) {
	s.logger.WithFields(s.fields(c, c.last)).WithField("status", f.status).WithField("not_run", f.notRun).
		WithField("reason", f.reason).Warn("request failed")
}

// noteFailedTry logs a try that did not give the answer.
func (s *Server) noteFailedTry(c *call, t *try) {
	reason := "status " + strconv.Itoa(t.resp.StatusCode())
	if t.err != nil {
		reason = t.err.Error()
	}
	s.logger.WithFields(s.fields(c, t)).WithField("try", t.number).WithField("not_run", t.notRun()).
		WithField("reason", reason).Warn("try failed")
	s.record(timeline.RequestRetried, c, t.lease.Target().ID, reason)
}
