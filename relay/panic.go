package relay

import (
	"runtime/debug"

	"github.com/valyala/fasthttp"
)

// endPanic is deferred where a request is handled. It ends a panic: it logs the
// panic with its stack and answers. It records no event, because the recorder
// may be what failed.
func (s *Server) endPanic(resp *fasthttp.Response, c *call) {
	cause := recover()
	if cause == nil {
		return
	}
	s.counters.panics.Add(1)
	s.logger.WithField("panic", cause).WithField("request", c.id).WithField("stack", string(debug.Stack())).
		Error("request ended by a panic")
	// A status that promises nothing: a try may have run.
	f := unknown(fasthttp.StatusInternalServerError, "internal error").hangingUp()
	writeFailure(resp, f)
	s.counters.refuse(f)
}
