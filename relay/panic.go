package relay

import (
	"runtime/debug"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/header"
	"rhubarbrelay/routing"
)

// endPanic is deferred where a request is handled. It ends a panic: it releases
// what the request holds, logs the panic with its stack and answers. It records
// no event, because the recorder may be what failed.
func (s *Server) endPanic(req *fasthttp.Request, resp *fasthttp.Response, c *call) {
	cause := recover()
	if cause == nil {
		return
	}
	s.counters.panics.Add(1)
	s.logger.WithField("panic", cause).WithField("request", c.id).WithField("stack", string(debug.Stack())).
		Error("request ended by a panic")
	_ = c.caller.endWait()
	if c.slot != nil {
		c.slot.Release(routing.Result{Status: routing.Unused, Reported: routing.NoReport})
	}
	f := notRun(fasthttp.StatusInternalServerError, "internal error").because(refusedInternal)
	f.hangUp = true // the rest of the request may be unread
	// Until the call has its service, the key may not have been read.
	keyed := c.service == nil && len(req.Header.Peek(header.IdempotencyKey)) > 0
	if c.dispatched || c.mayHaveRun || keyed {
		f.outcome = header.OutcomeUnknown
	}
	writeFailure(resp, f, f.outcome)
	s.counters.refuse(f, f.outcome)
	if c.id != "" {
		resp.Header.Set(header.RequestID, c.id)
	}
}
