package relay

import (
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/platform"
)

// StartGate holds requests while the instance has no state yet. Await waits until a
// request of the given size in bytes may be served; its caller still waits for the timeout,
// 0 if that is not known. If ok is false, the request must be refused.
type StartGate interface {
	Await(timeout time.Duration, size int) (retryAfter time.Duration, ok bool)
}

// WithStartGate holds requests while the instance starts.
func WithStartGate(gate StartGate) Option { return func(s *Server) { s.startGate = gate } }

// awaitStart waits until the instance has its state, if the request can be served then.
func (s *Server) awaitStart(req *fasthttp.Request, c *call) *failure {
	if s.startGate == nil {
		return nil
	}
	remaining := time.Duration(0)
	if timeout, ok := platform.CallerTimeout(&req.Header); ok {
		remaining = max(time.Millisecond, timeout-time.Since(c.arrival))
	}
	if retryAfter, ok := s.startGate.Await(remaining, len(req.Header.RawHeaders())+len(c.body)); !ok {
		return unavailableFailure(refusedStale, "instance starts and has no state yet", retryAfter)
	}
	return nil
}
