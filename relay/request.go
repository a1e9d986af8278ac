package relay

import (
	"bytes"
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/config"
	"rhubarbrelay/platform"
	"rhubarbrelay/routing"
	"rhubarbrelay/targets"
)

const (
	// maxRequestID bounds the request ID that a caller may choose, in bytes.
	maxRequestID = 128
	// maxKeptBody bounds the buffers, in bytes, that are kept for later bodies:
	// idle callers must not hold the memory of their largest bodies.
	maxKeptBody = 64 << 10
)

// call is a request on its way through the relay.
type call struct {
	id         string
	document   *config.Document
	route      *config.Route
	service    string
	dispatcher *routing.Dispatcher
	arrival    time.Time
	// spent is the time that earlier attempts of the caller have taken.
	spent time.Duration
	// deadline is the time of the final answer: what the caller waits, and the
	// timeout of the route if that is shorter.
	deadline time.Time
	// mayHaveRun is set while a try may have run.
	mayHaveRun bool
	sent       int // tries of which a byte may have left
	tried      []targets.Incarnation
	found      inspection
	body       []byte
	last       *try
}

// reset clears the call for reuse and keeps a buffer of usual size.
func (c *call) reset() {
	body := c.body
	*c = call{}
	if cap(body) <= maxKeptBody {
		c.body = body[:0]
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	ctx.Response.ReleaseBody(maxKeptBody)
	c := s.calls.Get().(*call) //nolint:errcheck,forcetypeassert // The pool holds nothing else.
	s.serve(ctx, c)
	ctx.Request.ResetBody() // it uses the call's buffer
	c.reset()
	s.calls.Put(c)
	if s.closing.Load() {
		ctx.Response.SetConnectionClose()
	}
}

// handleExpect decides whether a caller that waits for 100 Continue should send
// its body.
func (s *Server) handleExpect(ctx *fasthttp.RequestCtx) (status int) {
	var c call
	status = fasthttp.StatusInternalServerError // after a panic
	defer s.endPanic(&ctx.Response, &c)
	f := s.admit(&ctx.Request, &c)
	if f == nil {
		return fasthttp.StatusContinue
	}
	s.fail(&ctx.Response, &c, f)
	return f.status
}

func (s *Server) serve(ctx *fasthttp.RequestCtx, c *call) {
	req, resp := &ctx.Request, &ctx.Response
	defer s.endPanic(resp, c)
	resp.SkipBody = req.Header.IsHead()
	f := s.readBody(req, c)
	if f == nil {
		f = s.admit(req, c)
	}
	if f != nil {
		s.fail(resp, c, f)
		return
	}
	prepare(req, c)
	watch := watchCaller(ctx.Conn())
	defer watch.stop()
	s.dispatch(watch, req, resp, c)
}

// admit checks a request and fills in the call.
func (s *Server) admit(req *fasthttp.Request, c *call) *failure {
	c.arrival = time.Now()
	if err := c.found.inspect(req.Header.RawHeaders()); err != nil {
		return notRun(fasthttp.StatusBadRequest, err.Error()).hangingUp()
	}
	if c.found.announced > s.http.MaxRequestBodySize {
		return failureOfRead(fasthttp.ErrBodyTooLarge).hangingUp()
	}
	if f := c.identify(req); f != nil {
		return f
	}
	if expect := req.Header.Peek(fasthttp.HeaderExpect); len(expect) > 0 && !bytes.EqualFold(expect, []byte("100-continue")) {
		return notRun(fasthttp.StatusExpectationFailed, "expectation is not 100-continue")
	}
	if req.Header.IsConnect() {
		return notRun(fasthttp.StatusMethodNotAllowed, "method CONNECT is not relayed")
	}
	return s.findRoute(req, c)
}

// identify takes the caller's request ID.
func (c *call) identify(req *fasthttp.Request) *failure {
	id := platform.RequestID(&req.Header)
	switch {
	case len(id) == 0:
		return notRun(fasthttp.StatusBadRequest, "request has no ID")
	case len(id) > maxRequestID:
		return notRun(fasthttp.StatusBadRequest, "request ID is too long")
	}
	c.id = string(id)
	return nil
}

// findRoute finds the route, the service and the deadline of a request. What
// the instance knows must be recent: an old configuration may lack the route.
func (s *Server) findRoute(req *fasthttp.Request, c *call) *failure {
	if s.freshness != nil {
		ctx, cancel := context.WithTimeout(context.Background(), freshWait)
		defer cancel()
		if !s.freshness.Await(ctx) {
			return overloaded(refusedStale, "instance was paused and has not read its state again", startRetryAfter)
		}
	}
	c.document = s.config.Current()
	if c.document == nil {
		return overloaded(refusedStale, "instance has no configuration yet", startRetryAfter)
	}
	if limit := c.document.Limits.MaxBodyBytes; limit > 0 && len(c.body) > limit {
		return failureOfRead(fasthttp.ErrBodyTooLarge)
	}
	c.route = c.document.Match(string(req.Host()), pathOf(req))
	if c.route == nil {
		return notRun(fasthttp.StatusNotFound, "no route matches")
	}
	c.deadline = c.arrival.Add(c.route.Timeout)
	if wait, ok := platform.CallerTimeout(&req.Header); ok {
		if wait == 0 {
			return overloaded(refusedDeadline, "deadline has passed", startRetryAfter)
		}
		if d := c.arrival.Add(wait); d.Before(c.deadline) {
			c.deadline = d
		}
		c.spent = s.waits.spent(c.route.Key(), wait)
	}
	c.service = s.splits.next(c.route)
	c.dispatcher = s.dispatchers.Dispatcher(c.service)
	if c.dispatcher == nil {
		return overloaded(refusedNoTarget, "service is not known", startRetryAfter)
	}
	return nil
}

const (
	// freshWait bounds the wait for a recent view.
	freshWait = 300 * time.Millisecond
	// startRetryAfter is when a request should come back that this instance
	// could not judge.
	startRetryAfter = 200 * time.Millisecond
)

// pathOf returns the path of the request target as it was sent.
func pathOf(req *fasthttp.Request) string {
	uri := originForm(req.Header.RequestURI())
	if end := bytes.IndexAny(uri, "?#"); end >= 0 {
		uri = uri[:end]
	}
	return string(uri)
}

// prepare removes what must not leave the relay and sets what all tries share.
func prepare(req *fasthttp.Request, c *call) {
	h := &req.Header
	c.found.stripRequest(h)
	h.SetProtocol("HTTP/1.1")
	h.SetNoDefaultContentType(true)
	h.SetRequestURIBytes(originForm(h.RequestURI()))
	if body := req.Body(); len(body) > 0 || h.ContentLength() != 0 && !h.IsGet() && !h.IsHead() {
		h.SetContentLength(len(body))
	}
}

// originForm returns the path and query of a request target in absolute form as
// they are, which fasthttp's URI would normalise.
func originForm(uri []byte) []byte {
	if len(uri) > 0 && (uri[0] == '/' || uri[0] == '*') {
		return uri
	}
	_, rest, _ := bytes.Cut(uri, []byte("://"))
	start := bytes.IndexAny(rest, "/?")
	if start < 0 {
		return []byte("/")
	}
	if rest[start] == '/' {
		return rest[start:]
	}
	return append([]byte("/"), rest[start:]...)
}
