package relay

import (
	"errors"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"rhubarbrelay/bodies"
	"rhubarbrelay/callers"
	"rhubarbrelay/platform"
	"rhubarbrelay/routing"
	"rhubarbrelay/timeline"
)

// failure is an error response that the relay itself generates.
type failure struct {
	status int
	// notRun states that the request has not run and never will.
	notRun bool
	reason string
	// retryAfter is the value of the Retry-After header; 0 omits it.
	retryAfter time.Duration
	// closeConnection closes the caller's connection after the response, for
	// example because the bytes that follow a malformed request may not be the
	// start of another one.
	closeConnection bool
	cause           refusalCause
}

func (f *failure) withConnectionClose() *failure {
	f.closeConnection = true
	return f
}

// notRunFailure returns the failure of a request that has not run.
func notRunFailure(cause refusalCause, status int, reason string) *failure {
	return &failure{status: status, notRun: true, reason: reason, cause: cause}
}

func unknownOutcomeFailure(status int, reason string) *failure {
	return &failure{status: status, reason: reason}
}

func unavailableFailure(cause refusalCause, reason string, retryAfter time.Duration) *failure {
	return &failure{
		status: fasthttp.StatusServiceUnavailable, notRun: true, reason: reason, retryAfter: retryAfter, cause: cause,
	}
}

// callerClosedFailure returns the failure of a request whose caller has closed its
// connection. mayHaveRun covers only tries that have ended: if no such try may have
// run the request, it is logged, counted and recorded as not run, although a try in
// flight may run it. A caller that has closed only its sending side receives the
// response, whose status 502 does not imply that the request has not run.
func callerClosedFailure(mayHaveRun bool) *failure {
	f := unknownOutcomeFailure(fasthttp.StatusBadGateway, errCallerClosed.Error())
	f.notRun, f.cause = !mayHaveRun, refusedCallerClosed
	return f.withConnectionClose()
}

// fail responds with the failure, logs it, counts it and records it in the
// timeline. If a try that has ended may have run the request, the failure does not
// state that the request has not run.
func (s *Server) fail(resp *fasthttp.Response, c *call, f *failure) {
	if f.notRun && c.mayHaveRun {
		f.notRun = false
		if impliesNotRun(f.status) {
			f.status, f.retryAfter = fasthttp.StatusBadGateway, 0
		}
	}
	s.returnToken(c, f)
	writeFailure(resp, f)
	if f.status == fasthttp.StatusUnauthorized {
		platform.SetChallenge(&resp.Header)
	}
	if f.closeConnection && f.notRun {
		c.input.conn.LingerOnClose()
	}
	if c.id != "" {
		platform.SetRequestID(&resp.Header, []byte(c.id))
	}
	s.counters.countFailure(f)
	if !s.mayLog(f) {
		return
	}
	s.logFailure(c, f)
	switch {
	case !f.notRun:
		s.recordEvent(timeline.RequestUnknown, c, "", f.reason)
	case s.recorder != nil && s.refusalEvents.Allow():
		s.recordEvent(timeline.RequestRefused, c, "", f.reason)
	}
}

// mayLog reports whether a failure is logged. Callers beyond their quota or without a valid
// key may send many requests.
func (s *Server) mayLog(f *failure) bool {
	switch {
	case !f.notRun:
		return true
	case f.cause == refusedUnauthorized:
		return s.unauthorizedLogs.Allow()
	case f.cause == refusedQuota:
		return s.quotaLogs.Allow()
	}
	return true
}

func writeFailure(resp *fasthttp.Response, f *failure) {
	skipBody := resp.SkipBody
	resp.Reset()
	resp.SkipBody = skipBody
	resp.SetStatusCode(f.status)
	resp.Header.SetContentType("text/plain; charset=utf-8")
	if f.retryAfter > 0 {
		resp.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 2, 64))
	}
	if f.closeConnection {
		resp.SetConnectionClose()
	}
	resp.SetBodyString(f.reason + "\n")
}

// forwardResponse forwards a target's response to the caller.
func (s *Server) forwardResponse(resp *fasthttp.Response, c *call, t *try) {
	s.copyResponse(resp, c, t.resp, t.takeBody)
	if c.fromPeer && t.info.Leaving {
		setLeavingTarget(resp, t.lease.Target().Incarnation())
	}
	if s.forwardLogs.Allow() {
		s.logger.WithFields(s.logFields(c, t)).WithField("status", resp.StatusCode()).Info("request answered")
	}
}

// copyResponse copies a target's response for the caller. hold takes over the memory of a
// large body.
func (s *Server) copyResponse(resp *fasthttp.Response, c *call, from *fasthttp.Response, hold func(body []byte) *heldBody) {
	skipBody := resp.SkipBody
	if body := from.Body(); len(body) > bodies.SmallBody {
		from.Header.CopyTo(&resp.Header)
		resp.SetBodyStream(hold(body), len(body))
	} else {
		from.CopyTo(resp)
	}
	resp.SkipBody = skipBody
	c.header.stripResponse(&resp.Header)
	platform.RemoveInternalHeaders(&resp.Header)
	resp.Header.Del(leavingTargetHeader)
	resp.Header.ResetConnectionClose()
	resp.Header.SetProtocol([]byte("HTTP/1.1"))
	resp.Header.SetNoDefaultContentType(true)
	s.counters.forwarded.Add(1)
	s.counters.observeLatency(time.Since(c.arrival))
}

// respondWithLastTry responds after all tries have failed. It forwards the
// target's error response if it is sealed and neither states nor implies by its
// status that the request has not run. Otherwise it responds with a failure of
// its own.
func (s *Server) respondWithLastTry(resp *fasthttp.Response, c *call) {
	t := c.lastTry
	if t.err == nil && t.info.Sealed && !t.info.NotRun && !impliesNotRun(t.resp.StatusCode()) {
		s.forwardResponse(resp, c, t)
		return
	}
	s.fail(resp, c, tryFailure(t))
}

func tryFailure(t *try) *failure {
	switch {
	case t.err == nil && t.info.NotRun:
		return unavailableFailure(refusedShed, "target did not run the request", shedRetryAfter)
	case t.err == nil:
		return unknownOutcomeFailure(fasthttp.StatusBadGateway, "target gave no valid answer")
	case t.notRun():
		return unavailableFailure(refusedUnreachable, "target cannot be reached", shedRetryAfter)
	case !time.Now().Before(t.deadline):
		return unknownOutcomeFailure(fasthttp.StatusGatewayTimeout, "no answer before the deadline")
	}
	return unknownOutcomeFailure(fasthttp.StatusBadGateway, "exchange with the target broke")
}

// shedRetryAfter is the value of the Retry-After header when no target accepted
// the request.
const shedRetryAfter = 100 * time.Millisecond

// memoryRetryAfter is the value of the Retry-After header when large bodies hold the
// memory of the instance: sending one takes about as long.
const memoryRetryAfter = 500 * time.Millisecond

// refuseUndispatched responds to a request for which no target was acquired.
func (s *Server) refuseUndispatched(resp *fasthttp.Response, c *call, err error, callerClosed bool) {
	var refusal *routing.RefusalError
	switch {
	case callerClosed:
		s.fail(resp, c, callerClosedFailure(false))
	case errors.Is(err, errDraining):
		s.fail(resp, c, drainingFailure(err.Error()))
	case errors.Is(err, bodies.ErrNoMemory):
		s.fail(resp, c, readFailure(err, c.input.conn))
	case errors.Is(err, errEndsTargets):
		s.counters.blocked.Add(1)
		s.fail(resp, c, unknownOutcomeFailure(fasthttp.StatusBadGateway, err.Error()))
	case errors.Is(err, errKeyRevoked):
		s.fail(resp, c, unauthorizedFailure())
	case errors.As(err, &refusal):
		cause := refusedNoCapacity
		if errors.Is(err, routing.ErrNoTarget) {
			cause = refusedNoTarget
		}
		s.fail(resp, c, unavailableFailure(cause, refusal.Cause.Error(), refusal.RetryAfter))
	default:
		s.fail(resp, c, unavailableFailure(refusedInternal, err.Error(), notReadyRetryAfter))
	}
}

// handleError responds to a request that fasthttp could not read.
func (s *Server) handleError(ctx *fasthttp.RequestCtx, err error) {
	c := call{arrival: time.Now(), input: newInput(ctx.Conn(), ctx.ConnRequestNum()+1)}
	defer s.recoverPanic(&ctx.Response, &c)
	c.input.endIn(c.input.stageOf(err), err)
	f := readFailure(err, c.input.conn)
	if isHeaderTooLarge(err) {
		c.input.limit = maxRequestHeader
		f = s.headerTooLargeFailure()
	}
	s.fail(&ctx.Response, &c, f.withConnectionClose())
}

// readFailure returns the failure of a request that could not be read.
func readFailure(err error, conn *callers.Conn) *failure {
	switch {
	case conn.Interrupted():
		return drainingFailure("instance shuts down before the request has arrived")
	case errors.Is(err, bodies.ErrNoMemory):
		return unavailableFailure(refusedMemory, "instance has no memory for the request", memoryRetryAfter)
	case errors.Is(err, bodies.ErrExceedsMemory), errors.Is(err, bodies.ErrTooFragmented):
		return instanceLimitFailure("request body exceeds a limit of the instance")
	case conn.ReadTimedOut():
		return notRunFailure(refusedIncomplete, fasthttp.StatusRequestTimeout, "request did not arrive in time")
	case conn.ReadErr() != nil:
		return notRunFailure(refusedIncomplete, fasthttp.StatusRequestTimeout, "request did not arrive completely")
	}
	return notRunFailure(refusedMalformed, fasthttp.StatusBadRequest, "request is malformed")
}

func (s *Server) recordEvent(kind timeline.Kind, c *call, target, detail string) {
	if s.recorder == nil {
		return
	}
	s.recorder.Record(timeline.Event{Kind: kind, Request: c.id, Service: c.service, Target: target, Detail: detail})
}

// logFields returns the log fields of a request and, unless t is nil, of a try.
func (s *Server) logFields(c *call, t *try) log.Fields {
	f := log.Fields{"request": c.id, "elapsed": time.Since(c.arrival).Round(time.Microsecond).String()}
	if c.document != nil {
		f["config_version"] = c.document.Version
	}
	if c.route != nil {
		f["route"], f["service"], f["tries"] = c.route.Name, c.service, c.sentTries
	}
	if c.tenant != nil {
		f["tenant"] = c.tenant.Name
	}
	if c.fromPeer {
		f["from_peer"] = true
	}
	if c.peer.IsValid() {
		f["peer"] = c.peer.String()
	}
	if c.peerFailure != "" {
		f["peer_failure"] = c.peerFailure
	}
	if c.priorElapsed > 0 {
		f["spent"] = c.priorElapsed.Round(time.Millisecond).String()
	}
	if t != nil {
		d := t.lease.Decision
		f["target"], f["waited"], f["probes"] = t.lease.Target().ID, d.Waited.Round(time.Microsecond).String(), d.Probes
		f["report_age"], f["running"], f["waiting"] = d.ReportAge.Round(time.Microsecond).String(), d.Running, d.Waiting
		f["slowdown"], f["target_zone"] = d.Slowdown, t.lease.Target().Zone
		if d.Limited {
			f["limit"] = d.Limit
		}
	}
	return f
}

func (s *Server) logFailure(c *call, f *failure) {
	fields := s.logFields(c, c.lastTry)
	if isInputCause(f.cause) && f.notRun {
		s.addConfigFields(fields)
		c.input.addFields(fields)
	}
	s.logger.WithFields(fields).WithField("status", f.status).WithField("not_run", f.notRun).
		WithField("reason", f.reason).Warn("request failed")
}

// logFailedTry logs and records a failed try.
func (s *Server) logFailedTry(c *call, t *try) {
	reason := "status " + strconv.Itoa(t.resp.StatusCode())
	if t.err != nil {
		reason = t.err.Error()
	}
	fields := s.logFields(c, t)
	if t.targetEnded {
		fields["target_ended"], fields["fingerprint"] = true, fingerprint(t.req).String()
	}
	s.logger.WithFields(fields).WithField("try", t.number).WithField("not_run", t.notRun()).
		WithField("reason", reason).Warn("try failed")
	s.recordEvent(timeline.RequestRetried, c, t.lease.Target().ID, reason)
}
