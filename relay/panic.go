package relay

import (
	"runtime/debug"

	"github.com/valyala/fasthttp"
)

// recoverPanic recovers from a panic in a request handler. It must be deferred.
// It logs the panic with its stack and responds. It records no event, because
// the recorder may be what panicked.
func (s *Server) recoverPanic(resp *fasthttp.Response, c *call) {
	cause := recover()
	if cause == nil {
		return
	}
	s.counters.panics.Add(1)
	s.logger.WithField("panic", cause).WithField("request", c.id).WithField("stack", string(debug.Stack())).
		Error("request ended by a panic")
	// The response does not state that the request has not run: a try may have.
	f := unknownOutcomeFailure(fasthttp.StatusInternalServerError, "internal error").withConnectionClose()
	writeFailure(resp, f)
	s.counters.countFailure(f)
}
