package relay

import (
	"bytes"
	"encoding/hex"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/config"
	"rhubarbrelay/header"
	"rhubarbrelay/idempotency"
	"rhubarbrelay/routing"
)

const (
	// maxRequestID bounds the request id that a caller may choose, in bytes.
	maxRequestID = 128
	// maxKeptBody bounds the buffers, in bytes, that are kept for later bodies:
	// idle callers must not hold the memory of their
	// largest bodies.
	maxKeptBody = 64 << 10
)

// call is a request on its way through the relay.
type call struct {
	id         string
	service    *config.Service
	dispatcher *routing.Dispatcher
	arrival    time.Time
	deadline   time.Time
	idempotent bool
	long       bool
	// class groups requests whose durations are alike.
	class string
	// key is set for non-idempotent requests that carry one.
	key   idempotency.Key
	keyed bool
	// forwarded marks a request that another instance passed on.
	forwarded bool
	// mayHaveRun is set while an attempt, or a request with the same key, may
	// have run.
	mayHaveRun bool
	// dispatched is set before the first byte may leave for a target or for
	// the owner of the key.
	dispatched bool
	// slot is the last one that the call got. It may be released already.
	slot    *routing.Slot
	attempt int
	tried   []netip.AddrPort
	found   inspection
	body    []byte
	caller  callerContext
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
	ctx.Response.ReleaseBody(maxKeptBody)
	c := s.calls.Get().(*call)
	c.caller.conn = ctx.Conn()
	s.serve(&ctx.Request, &ctx.Response, c)
	s.counters.answered(&ctx.Response)
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
	defer s.endPanic(&ctx.Request, &ctx.Response, &c)
	f := s.admit(&ctx.Request, &c)
	if f == nil {
		return fasthttp.StatusContinue
	}
	s.fail(&ctx.Response, &c, f)
	s.counters.answered(&ctx.Response)
	return f.status
}

func (s *Server) serve(req *fasthttp.Request, resp *fasthttp.Response, c *call) {
	defer s.endPanic(req, resp, c)
	resp.SkipBody = req.Header.IsHead()
	f := s.readBody(req, c)
	if f == nil {
		f = s.admit(req, c)
	}
	if f != nil {
		s.fail(resp, c, f)
		return
	}
	if c.service == nil {
		s.handleReserved(req, resp, c)
		return
	}
	prepare(req, c)
	if c.keyed {
		s.serveKeyed(req, resp, c)
		return
	}
	s.dispatch(req, resp, c)
}

// admit checks a request and fills in the call. The call's service stays nil
// for a reserved path.
func (s *Server) admit(req *fasthttp.Request, c *call) *failure {
	c.arrival = time.Now()
	if err := c.found.inspect(req.Header.RawHeaders()); err != nil {
		f := notRun(fasthttp.StatusBadRequest, err.Error())
		f.hangUp = true
		return f
	}
	if c.found.announced > s.http.MaxRequestBodySize {
		c.mayHaveRun = len(req.Header.Peek(header.IdempotencyKey)) > 0
		f := failureOfRead(fasthttp.ErrBodyTooLarge)
		f.hangUp = true
		return f
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
	if bytes.HasPrefix(req.URI().Path(), []byte(header.ReservedPrefix)) {
		return nil
	}
	if f := c.readKey(req); f != nil {
		return f
	}
	service := s.serviceOf(req)
	if service == nil {
		return notRun(fasthttp.StatusNotFound, "unknown service")
	}
	c.dispatcher = s.dispatchers.Dispatcher(service.Name)
	if c.dispatcher == nil {
		return notRun(fasthttp.StatusNotFound, "unknown service")
	}
	c.service = service
	return c.setTerms(req)
}

// identify takes the caller's request id or makes one.
func (c *call) identify(req *fasthttp.Request) *failure {
	given := req.Header.Peek(header.RequestID)
	if len(given) > maxRequestID {
		return notRun(fasthttp.StatusBadRequest, "request id is longer than "+strconv.Itoa(maxRequestID)+" bytes")
	}
	if len(given) > 0 {
		c.id = string(given)
		return nil
	}
	var random [16]byte
	high, low := rand.Uint64(), rand.Uint64()
	for i := range 8 {
		random[i], random[8+i] = byte(high>>(8*i)), byte(low>>(8*i))
	}
	c.id = hex.EncodeToString(random[:])
	return nil
}

// readKey parses the idempotency key. From here until the deduplication table
// decides, a request with the same key may have run. A malformed key counts
// only for non-idempotent requests.
func (c *call) readKey(req *fasthttp.Request) *failure {
	text := req.Header.Peek(header.IdempotencyKey)
	if len(text) == 0 {
		return nil
	}
	key, err := idempotency.Parse(string(text))
	if err == nil {
		c.key, c.keyed, c.mayHaveRun = key, true, true
	}
	return nil
}

// serviceOf finds the service by its header, else by the host.
func (s *Server) serviceOf(req *fasthttp.Request) *config.Service {
	services := s.fleet.Fleet().Services
	if name := req.Header.Peek(header.Service); len(name) > 0 {
		return services[string(name)]
	}
	host := req.Host()
	if colon := bytes.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	if service, ok := services[string(host)]; ok {
		return service
	}
	return services[strings.ToLower(string(host))]
}

// setTerms sets the deadline and the marks of the call.
func (c *call) setTerms(req *fasthttp.Request) *failure {
	var route config.Route
	if len(c.service.Routes) > 0 {
		route = c.service.Match(string(req.Header.Method()), string(req.URI().Path()))
	}
	c.long = route.Long
	c.class = classOf(req, route)
	c.idempotent = !c.forwarded && isIdempotent(req, route)
	if f := c.checkKey(req); f != nil {
		return f
	}
	timeout := c.service.Deadline
	if route.Deadline > 0 {
		timeout = route.Deadline
	}
	if text := req.Header.Peek(header.Deadline); len(text) > 0 {
		own, err := time.ParseDuration(string(text))
		if err != nil {
			return notRun(fasthttp.StatusBadRequest, "deadline is not a duration such as 250ms")
		}
		if own <= 0 {
			return notRun(fasthttp.StatusGatewayTimeout, "deadline has passed").because(refusedDeadline)
		}
		timeout = min(timeout, own)
	}
	c.deadline = c.arrival.Add(timeout)
	return nil
}

// classOf returns the method with the prefix of the route, or with the first
// part of the path where no route matches.
func classOf(req *fasthttp.Request, route config.Route) string {
	prefix := route.PathPrefix
	if prefix == "" {
		path := req.URI().Path()
		if end := bytes.IndexByte(path[min(1, len(path)):], '/'); end >= 0 {
			path = path[:end+1]
		}
		prefix = string(path)
	}
	return string(req.Header.Method()) + " " + prefix
}

// checkKey drops the key of an idempotent request, which needs none, and
// refuses a malformed key on any other.
func (c *call) checkKey(req *fasthttp.Request) *failure {
	if c.idempotent {
		c.keyed, c.mayHaveRun = false, false
		return nil
	}
	if !c.keyed && len(req.Header.Peek(header.IdempotencyKey)) > 0 {
		return notRun(fasthttp.StatusBadRequest, "idempotency key is not <prefix>~<issue time in Unix ms>~<random>")
	}
	return nil
}

// isIdempotent returns whether a request may be sent more than once. The
// operator's mark on the route wins, then the caller's, then the method.
func isIdempotent(req *fasthttp.Request, route config.Route) bool {
	if route.Idempotency != config.Unmarked {
		return route.Idempotency == config.Idempotent
	}
	switch string(req.Header.Peek(header.Idempotent)) {
	case "true":
		return true
	case "false":
		return false
	}
	return req.Header.IsGet() || req.Header.IsHead() || req.Header.IsOptions()
}
