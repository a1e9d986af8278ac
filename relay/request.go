package relay

import (
	"bytes"
	"context"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/bodies"
	"rhubarbrelay/config"
	"rhubarbrelay/platform"
	"rhubarbrelay/routing"
	"rhubarbrelay/targets"
)

const (
	// maxRequestID limits the length of the caller's request ID in bytes.
	maxRequestID = 128
	// maxPooledBody limits the size, in bytes, of the body buffers that are kept
	// for reuse, so that idle connections do not hold the memory of their largest
	// bodies.
	maxPooledBody = 64 << 10
	// requestCopies is the number of copies of a request body: the one that was read
	// and that of a try, which may outlive the request.
	requestCopies = 2
)

// call is the state of a caller's request while it is handled.
type call struct {
	id         string
	document   *config.Document
	route      *config.Route
	service    string
	tenant     *config.Tenant // nil if the request needs no API key
	keyDigest  config.KeyDigest
	dispatcher *routing.Dispatcher
	arrival    time.Time
	// priorElapsed is the estimated duration of the caller's earlier attempts.
	priorElapsed time.Duration
	// deadline is the arrival plus the caller's timeout or the route's, whichever
	// is shorter.
	deadline time.Time
	// mayHaveRun is set when a try has ended that may have run the request. A try
	// in flight does not set it.
	mayHaveRun   bool
	sentTries    int // tries in flight and ended tries in which a byte may have been sent
	triedTargets []targets.Incarnation
	header       headerInspection
	input        input
	body         []byte
	reservation  *bodies.Reservation // for body
	lastTry      *try
	// elsewhere is set while another instance may run the request.
	elsewhere bool
	// holdsToken is set while a token of the tenant's quota is taken for the request.
	holdsToken bool
	fromPeer   bool           // whether another instance has passed the request on
	peer       netip.AddrPort // the instance that the request was passed on to last
	// peerFailure is the failure that this instance has responded with, empty if none.
	peerFailure string
}

// reset clears the call for reuse. It keeps the body buffer unless it is large.
func (c *call) reset() {
	body := c.body
	*c = call{}
	if cap(body) <= maxPooledBody {
		c.body = body[:0]
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	arrival := time.Now()
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	ctx.Response.ReleaseBody(maxPooledBody)
	c := s.calls.Get().(*call) //nolint:errcheck,forcetypeassert // The pool holds nothing else.
	c.reservation = bodies.NewReservation(s.requestMemory, requestCopies)
	c.arrival = arrival
	c.input = newInput(ctx.Conn(), ctx.ConnRequestNum())
	if c.fromPeer = c.input.fromPeer(); c.fromPeer {
		s.counters.takenOver.Add(1)
	}
	besideOthers := beginRequest(ctx)
	if !s.takeAhead(ctx, besideOthers) {
		s.relayRequest(&ctx.Request, &ctx.Response, c, func() *callerWatch {
			return s.watchConn(ctx, besideOthers && c.route.Idempotent)
		})
	}
	c.reservation.Release()
	ctx.Request.ResetBody() // the body refers to the call's buffer
	c.reset()
	s.calls.Put(c)
	if s.drainEnd.Load() != nil {
		ctx.Response.SetConnectionClose()
	}
	deferClose(ctx)
	if !besideOthers {
		// A deadline that the handler sets, if only to none, makes fasthttp send the response
		// at once. Otherwise it waits for the response to a further request that it has read.
		_ = ctx.SetWriteDeadline(time.Time{}) // fails only if the connection is closed
	}
}

// handleExpect responds to a request with an Expect header. It responds with 100
// Continue, after which the caller sends the body, only if the request passes
// the checks; it is admitted when its body has arrived.
func (s *Server) handleExpect(ctx *fasthttp.RequestCtx) (status int) {
	c := call{arrival: time.Now(), input: newInput(ctx.Conn(), ctx.ConnRequestNum()+1)}
	c.fromPeer = c.input.fromPeer()
	status = fasthttp.StatusInternalServerError // after a panic
	defer s.recoverPanic(&ctx.Response, &c)
	f := s.check(&ctx.Request, &c)
	if f == nil {
		return fasthttp.StatusContinue
	}
	// The caller may send the body without waiting for the response.
	s.fail(&ctx.Response, &c, f.withConnectionClose())
	return f.status
}

// relayRequest handles a request. It calls watchCaller once the request was read.
func (s *Server) relayRequest(req *fasthttp.Request, resp *fasthttp.Response, c *call, watchCaller func() *callerWatch) {
	defer s.recoverPanic(resp, c)
	resp.SkipBody = req.Header.IsHead()
	f := s.readBody(req, c)
	if f == nil {
		c.input.conn.Received()
		f = s.admit(req, c)
	}
	if f == nil {
		f = s.takeToken(c)
	}
	if f != nil {
		if c.header.isBodyHidden(req) {
			f = f.withConnectionClose()
		}
		s.fail(resp, c, f)
		return
	}
	prepareRequest(req, c)
	watch := watchCaller()
	defer watch.stop()
	if watch.closed() {
		s.fail(resp, c, callerClosedFailure(false))
		return
	}
	s.dispatch(watch, req, resp, c)
}

// admit checks a request and chooses its service. It counts the request for the traffic split
// and the timeouts of its route, and must be called once.
func (s *Server) admit(req *fasthttp.Request, c *call) *failure {
	if f := s.check(req, c); f != nil {
		return f
	}
	if timeout, ok := platform.CallerTimeout(&req.Header); ok {
		if c.fromPeer {
			c.priorElapsed = statedElapsed(&req.Header)
		} else {
			c.priorElapsed = s.timeouts.recordTimeout(c.route.Key(), timeout)
		}
	}
	c.service = s.trafficSplits.next(c.route)
	c.dispatcher = s.dispatchers.Dispatcher(c.service)
	if c.dispatcher == nil {
		return unavailableFailure(refusedNoTarget, "service is not known", notReadyRetryAfter)
	}
	return nil
}

// check validates a request and fills in the call, whose arrival is set, but for the service.
func (s *Server) check(req *fasthttp.Request, c *call) *failure {
	if err := c.header.inspect(req.Header.RawHeaders()); err != nil {
		c.input.endIn(stageHeader, err)
		return notRunFailure(refusedMalformed, fasthttp.StatusBadRequest, err.Error()).withConnectionClose()
	}
	if limit := s.maxRequestBody(); c.header.contentLength > limit {
		c.input.limit, c.input.declared = limit, c.header.contentLength
		return s.bodyTooLargeFailure(c.header.contentLength).withConnectionClose()
	}
	if f := c.setRequestID(req); f != nil {
		return f
	}
	if expect := req.Header.Peek(fasthttp.HeaderExpect); len(expect) > 0 && !bytes.EqualFold(expect, []byte("100-continue")) {
		return notRunFailure(refusedUnsupported, fasthttp.StatusExpectationFailed, "expectation is not 100-continue")
	}
	if req.Header.IsConnect() {
		return notRunFailure(refusedUnsupported, fasthttp.StatusMethodNotAllowed, "method CONNECT is not relayed")
	}
	return s.resolveRoute(req, c)
}

// setRequestID validates and stores the caller's request ID.
func (c *call) setRequestID(req *fasthttp.Request) *failure {
	id := platform.RequestID(&req.Header)
	switch {
	case len(id) == 0:
		return notRunFailure(refusedMalformed, fasthttp.StatusBadRequest, "request has no ID")
	case len(id) > maxRequestID:
		return notRunFailure(refusedMalformed, fasthttp.StatusBadRequest, "request ID is too long")
	}
	c.id = string(id)
	return nil
}

// recentDocument returns the active configuration. It waits for recent state first,
// because an old configuration may lack a route or have lower limits.
func (s *Server) recentDocument() (*config.Document, *failure) {
	if s.freshness != nil {
		ctx, cancel := context.WithTimeout(context.Background(), freshnessTimeout)
		defer cancel()
		if !s.freshness.Await(ctx) {
			return nil, unavailableFailure(refusedStale, "instance was paused and has not read its state again", notReadyRetryAfter)
		}
	}
	document := s.config.Current()
	if document == nil {
		return nil, unavailableFailure(refusedStale, "instance has no configuration yet", notReadyRetryAfter)
	}
	return document, nil
}

// resolveRoute determines the route and the deadline of a request.
func (s *Server) resolveRoute(req *fasthttp.Request, c *call) (f *failure) {
	if s.drained() { // recentDocument could wait for longer than there is time
		return drainingFailure("instance shuts down")
	}
	if f = s.awaitStart(req, c); f != nil {
		return f
	}
	if c.document, f = s.recentDocument(); f != nil {
		return f
	}
	if limit := c.document.Limits.MaxBodyBytes; limit > 0 && len(c.body) > limit {
		c.input.limit, c.input.declared, c.input.read = limit, req.Header.ContentLength(), len(c.body)
		return s.bodyTooLargeFailure(len(c.body))
	}
	host, path := string(req.Host()), requestPath(req.Header.RequestURI())
	c.route = c.document.Match(host, path)
	if c.route == nil {
		c.input.host, c.input.path = host, path
		return notRunFailure(refusedNoRoute, fasthttp.StatusNotFound, "no route matches")
	}
	if f := c.setTenant(req); f != nil {
		return f
	}
	c.deadline = c.arrival.Add(c.route.Timeout)
	timeout, ok := platform.CallerTimeout(&req.Header)
	c.input.conn.SetSendDeadline(c.arrival.Add(min(max(timeout, c.route.Timeout), maxSendTime)))
	if ok {
		if timeout == 0 {
			return unavailableFailure(refusedDeadline, "deadline has passed", notReadyRetryAfter)
		}
		if d := c.arrival.Add(timeout); d.Before(c.deadline) {
			c.deadline = d
		}
	}
	return s.limitToDrainEnd(c)
}

const (
	// freshnessTimeout limits the wait for recent state.
	freshnessTimeout = 300 * time.Millisecond
	// notReadyRetryAfter is the value of the Retry-After header when this instance
	// refuses a request because of its own state or the caller's deadline.
	notReadyRetryAfter = 200 * time.Millisecond
)

// requestPath returns the path of the HTTP request-target as sent, not normalized.
func requestPath(uri []byte) string {
	uri = originForm(uri)
	if end := bytes.IndexAny(uri, "?#"); end >= 0 {
		uri = uri[:end]
	}
	return string(uri)
}

// prepareRequest turns the caller's request into the one that all tries send.
func prepareRequest(req *fasthttp.Request, c *call) {
	h := &req.Header
	if c.document.RequiresKeys() {
		c.header.removed = append(c.header.removed, c.header.credentials.names...)
	}
	c.header.stripRequest(h)
	h.Del(elapsedHeader)
	c.replaceCredentials(h)
	h.SetProtocol("HTTP/1.1")
	h.SetNoDefaultContentType(true)
	h.SetRequestURIBytes(originForm(h.RequestURI()))
	if body := req.Body(); len(body) > 0 || h.ContentLength() != 0 && !h.IsGet() && !h.IsHead() {
		h.SetContentLength(len(body))
	}
}

// originForm converts an HTTP request-target in absolute form to origin form (path
// and query). It does not use fasthttp's URI, which normalizes the path.
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
