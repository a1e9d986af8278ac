package relay

import (
	"context"
	"errors"
	"sync"
	"time"
)

// StartDraining sets Connection: close in every further response, after which the
// connection is closed. A further request whose deadline is after the end is refused
// if it must not run twice; any other one gets the end as its deadline. From the end on,
// nothing is sent to targets.
func (s *Server) StartDraining(end time.Time) {
	s.drainEnd.Store(&end)
	time.AfterFunc(time.Until(end), s.sends.close)
	s.conns.StartDraining()
}

// Shutdown accepts no further connections, closes those without a request and waits,
// until the context is done, for the others: until their requests have been received and
// answered. When the server must have drained, it sends no further request to a target
// and refuses those that wait for one or were received in part.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.peerPools.close()
	end := s.drainEnd.Load()
	if end == nil {
		deadline, ok := ctx.Deadline()
		if !ok {
			deadline = time.Now().Add(maxShutdownTime)
		}
		s.StartDraining(deadline)
		end = &deadline
	}
	defer s.sends.close()
	return s.conns.Shutdown(ctx, *end)
}

// maxShutdownTime is the time after which a shutdown without a limit refuses requests.
const maxShutdownTime = time.Hour

// Connections describes the number of open connections in each state.
func (s *Server) Connections() string { return s.conns.Counts().String() }

// drained reports whether the server must have drained.
func (s *Server) drained() bool {
	end := s.drainEnd.Load()
	return end != nil && !time.Now().Before(*end)
}

// limitToDrainEnd refuses a request that may be in progress when the server has drained,
// or shortens its deadline. A request that must not run twice would end with an unknown
// outcome.
func (s *Server) limitToDrainEnd(c *call) *failure {
	end := s.drainEnd.Load()
	if end == nil || !c.deadline.After(*end) {
		return nil
	}
	if !c.route.Idempotent || time.Until(*end) < c.route.Objective {
		return drainingFailure("instance shuts down before the deadline")
	}
	c.deadline = *end
	return nil
}

func drainingFailure(reason string) *failure {
	return unavailableFailure(refusedDraining, reason, notReadyRetryAfter).withConnectionClose()
}

// errDraining means that a request is sent to no target, as the instance shuts down.
var errDraining = errors.New("instance shuts down")

// sendGate decides whether requests may be sent to targets. Once it is closed, the waits for
// a target end: an exchange that begins then could not end before the process.
type sendGate struct {
	mu      sync.Mutex
	closed  bool
	waiting map[*context.CancelCauseFunc]struct{}
	// exchanges are the callers of requests that are in progress.
	exchanges map[*callerWatch]struct{}
}

func newSendGate() *sendGate {
	return &sendGate{waiting: map[*context.CancelCauseFunc]struct{}{}, exchanges: map[*callerWatch]struct{}{}}
}

// beginExchange ends a request when the gate closes if the responses to others have to wait
// for its own: they could not be sent before the process ends. end must be called after the
// request.
func (g *sendGate) beginExchange(caller *callerWatch) (end func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.exchanges[caller] = struct{}{}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.exchanges, caller)
	}
}

// enter returns a context for the wait for a target, which is canceled with errDraining when
// the gate closes. leave must be called after the wait.
func (g *sendGate) enter(ctx context.Context) (waitCtx context.Context, leave func()) {
	waitCtx, cancel := context.WithCancelCause(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		cancel(errDraining)
	}
	g.waiting[&cancel] = struct{}{}
	return waitCtx, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.waiting, &cancel)
		cancel(nil)
	}
}

func (g *sendGate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for cancel := range g.waiting {
		(*cancel)(errDraining)
	}
	for caller := range g.exchanges {
		if caller.delaysOthers() {
			caller.cancel(errDraining)
		}
	}
}

// isClosed reports whether the gate is closed. No gate is never closed.
func (g *sendGate) isClosed() bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}
