package relay

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/header"
	"rhubarbrelay/routing"
	"rhubarbrelay/timeline"
	"rhubarbrelay/upstream"
)

// retryAfter is the Retry-After of overload refusals, in seconds. It is the
// smallest value of that header; overloads last seconds.
const retryAfter = "1"

// failure is an answer that the relay gives in place of a target.
type failure struct {
	status  int
	outcome string
	reason  string
	// overload asks the caller to come back later.
	overload bool
	// hangUp closes the caller's connection: what follows the request on it
	// cannot be trusted.
	hangUp bool
	cause  refusal
}

func (f *failure) because(cause refusal) *failure {
	f.cause = cause
	return f
}

func notRun(status int, reason string) *failure {
	return &failure{status: status, outcome: header.OutcomeNotRun, reason: reason}
}

func unknown(status int, reason string) *failure {
	return &failure{status: status, outcome: header.OutcomeUnknown, reason: reason}
}

func overloaded(cause refusal, reason string) *failure {
	return &failure{
		status: fasthttp.StatusServiceUnavailable, outcome: header.OutcomeNotRun, reason: reason, overload: true, cause: cause,
	}
}

// fail answers the call with the failure. A claim of not run is withdrawn when
// the call may have run.
func (s *Server) fail(resp *fasthttp.Response, c *call, f *failure) {
	outcome := f.outcome
	if outcome == header.OutcomeNotRun && c.mayHaveRun {
		outcome = header.OutcomeUnknown
	}
	writeFailure(resp, f, outcome)
	s.counters.refuse(f, outcome)
	if c.id != "" {
		resp.Header.Set(header.RequestID, c.id)
	}
	switch {
	case outcome == header.OutcomeUnknown:
		s.record(timeline.RequestUnknown, c, "", f.reason)
	case outcome == header.OutcomeNotRun && s.recorder != nil && s.refusals.Allow():
		s.record(timeline.RequestRefused, c, "", f.reason)
	}
}

func writeFailure(resp *fasthttp.Response, f *failure, outcome string) {
	head := resp.SkipBody
	resp.Reset()
	resp.SkipBody = head
	resp.SetStatusCode(f.status)
	resp.Header.Set(header.Outcome, outcome)
	resp.Header.Set(header.Reason, f.reason)
	resp.Header.SetContentType("text/plain; charset=utf-8")
	if f.overload {
		resp.Header.Set(fasthttp.HeaderRetryAfter, retryAfter)
	}
	if f.hangUp {
		resp.SetConnectionClose()
	}
	resp.SetBodyString(f.reason + "\n")
}

func (s *Server) record(kind timeline.Kind, c *call, target, detail string) {
	s.recordEvent(c, timeline.Event{Kind: kind, Target: target, Detail: detail})
}

// recordEvent adds what is known of the call to the event and records it.
func (s *Server) recordEvent(c *call, event timeline.Event) {
	if s.recorder == nil {
		return
	}
	event.Request = c.id
	if c.service != nil {
		event.Service = c.service.Name
	}
	s.recorder.Record(event)
}

// handleError answers a request that fasthttp could not read.
func (s *Server) handleError(ctx *fasthttp.RequestCtx, err error) {
	var c call
	defer s.endPanic(&ctx.Request, &ctx.Response, &c)
	f := failureOfRead(err)
	f.hangUp = true
	// What did not arrive may carry the key of a request that ran. A malformed
	// header is a different request.
	c.mayHaveRun = f.status == fasthttp.StatusRequestTimeout ||
		len(ctx.Request.Header.Peek(header.IdempotencyKey)) > 0
	s.fail(&ctx.Response, &c, f)
	s.counters.answered(&ctx.Response)
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

// failureOfAcquire maps the refusals of a dispatcher.
func failureOfAcquire(err error) *failure {
	switch {
	case errors.Is(err, routing.ErrQueueFull):
		return overloaded(refusedQueueFull, err.Error())
	case errors.Is(err, routing.ErrTooLate):
		return overloaded(refusedTooLate, err.Error())
	case errors.Is(err, routing.ErrNoTarget):
		return overloaded(refusedNoTarget, err.Error())
	case errors.Is(err, errNotFresh):
		return overloaded(refusedStale, err.Error())
	case errors.Is(err, errCallerClosed):
		f := overloaded(refusedCallerClosed, err.Error())
		f.hangUp = true
		return f
	}
	return notRun(fasthttp.StatusServiceUnavailable, err.Error()).because(refusedInternal)
}

// failureOfExchange maps the errors of an exchange. The reason names no address
// of a target.
func failureOfExchange(err error, deadline time.Time) *failure {
	switch {
	case errors.Is(err, upstream.ErrNoConnection):
		return overloaded(refusedNoConnection, "no connection to the target is free")
	case errors.Is(err, upstream.ErrNotRun):
		return overloaded(refusedShed, "target did not run the request")
	case errors.Is(err, upstream.ErrNotSent) && !time.Now().Before(deadline):
		return notRun(fasthttp.StatusGatewayTimeout, "deadline passed before the request was sent").because(refusedDeadline)
	case errors.Is(err, upstream.ErrNotSent):
		return notRun(fasthttp.StatusBadGateway, "target cannot be reached").because(refusedUnreachable)
	case !time.Now().Before(deadline):
		return unknown(fasthttp.StatusGatewayTimeout, "no answer before the deadline")
	}
	return unknown(fasthttp.StatusBadGateway, "exchange with the target broke")
}
