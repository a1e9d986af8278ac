package relay

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/entry"
	"rhubarbrelay/header"
	"rhubarbrelay/routing"
	"rhubarbrelay/timeline"
	"rhubarbrelay/upstream"
)

// The two ignored goroutines belong to fasthttp's server: the clock of the Date
// header lives as long as the process, and the worker pool's cleaner ends up to
// 10 s after its server.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// testTimeout ends a test that hangs; no working test comes near it.
const testTimeout = 20 * time.Second

// harness is a relay with its targets, all on loopback.
type harness struct {
	relay     *Server
	address   string
	service   *config.Service
	fleet     *config.Fleet
	table     *routing.Table
	pools     *upstream.Pools
	events    *eventLog
	announced *announcements
}

// Fleet implements Fleet.
func (h *harness) Fleet() *config.Fleet { return h.fleet }

// Plan implements Planner.
func (h *harness) Plan(*config.Service, string) entry.Answer { return entry.Answer{TTL: time.Second} }

type announcements struct {
	mu       sync.Mutex
	draining map[string]bool
}

// AnnounceTarget implements Targets.
func (a *announcements) AnnounceTarget(t config.Target, draining bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining[t.Name] = draining
}

type eventLog struct {
	mu     sync.Mutex
	events []timeline.Event
}

// Record implements Recorder.
func (l *eventLog) Record(e timeline.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, e)
}

func (l *eventLog) count(kind timeline.Kind) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// newHarness serves the service spoolkeep from the targets.
func newHarness(t testing.TB, targets []config.Target, opts ...Option) *harness {
	t.Helper()
	h := &harness{
		service: config.NewService("spoolkeep"), fleet: config.NewFleet(), table: routing.NewTable(),
		pools: upstream.NewPools(1, upstream.WithMaxWait(time.Second)), events: &eventLog{},
		announced: &announcements{draining: map[string]bool{}},
	}
	h.service.Deadline = testTimeout
	h.service.Targets = targets
	h.service.Routes = []config.Route{
		{Method: "POST", PathPrefix: "/quotes", Idempotency: config.Idempotent},
		{Method: "POST", PathPrefix: "/fast", Deadline: 50 * time.Millisecond},
	}
	h.fleet.Services[h.service.Name] = h.service
	h.table.Update(h.fleet)
	h.pools.Update(h.fleet)
	h.relay = NewServer(h, h.table, h.pools, h, h.announced, append([]Option{WithRecorder(h.events)}, opts...)...)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	h.address = l.Addr().String()
	served := make(chan error, 1)
	go func() { served <- h.relay.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		assert.Check(t, h.relay.Shutdown(ctx))
		assert.Check(t, <-served)
		h.pools.Close()
	})
	return h
}

// inOrder makes the dispatcher try the targets in the order of the service.
func (h *harness) inOrder() {
	service := *h.service
	service.Policy = config.PolicyRoundRobin
	h.service = &service
	h.fleet.Services[service.Name] = h.service
	h.table.Update(h.fleet)
}

// newTarget runs a target with the handler.
func newTarget(t testing.TB, name string, handler fasthttp.RequestHandler) config.Target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &fasthttp.Server{
		Handler: handler, MaxRequestBodySize: 64 << 20, NoDefaultServerHeader: true, NoDefaultContentType: true,
		CloseOnShutdown: true, DisablePreParseMultipartForm: true, IdleTimeout: time.Minute,
	}
	served := make(chan struct{})
	go func() { _ = server.Serve(l); close(served) }()
	t.Cleanup(func() { _ = server.Shutdown(); <-served })
	return targetAt(name, l)
}

// newRawTarget runs the script on each connection to a target.
func newRawTarget(t testing.TB, name string, script func(c net.Conn)) config.Target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var running sync.WaitGroup
	running.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			running.Go(func() {
				defer func() { _ = c.Close() }()
				script(c)
			})
		}
	})
	t.Cleanup(func() { _ = l.Close(); running.Wait() })
	return targetAt(name, l)
}

// newDeadTarget returns a target that refuses connections.
func newDeadTarget(t testing.TB, name string) config.Target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target := targetAt(name, l)
	assert.NilError(t, l.Close())
	return target
}

func targetAt(name string, l net.Listener) config.Target {
	return config.Target{
		Name: name, Address: netip.MustParseAddrPort(l.Addr().String()), Slots: 4, MaxConnections: 200,
	}
}

// echo answers with the request's body.
func echo(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.SetBytesV(header.RequestID, ctx.Request.Header.Peek(header.RequestID))
	ctx.SetBody(ctx.PostBody())
}

// answer is what a caller got.
type answer struct {
	status  int
	body    string
	outcome string
	reason  string
	headers map[string]string
}

// caller is one connection to the relay.
type caller struct {
	t      testing.TB
	conn   net.Conn
	reader *bufio.Reader
}

func (h *harness) connect(t testing.TB) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", h.address)
	assert.NilError(t, err)
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	c := &caller{t: t, conn: conn, reader: bufio.NewReader(conn)}
	t.Cleanup(func() { _ = conn.Close() })
	return c
}

func (c *caller) send(raw string) {
	c.t.Helper()
	_, err := c.conn.Write([]byte(raw))
	assert.NilError(c.t, err)
}

func (c *caller) receive(head bool) (answer, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.SkipBody = head
	if err := resp.Read(c.reader); err != nil {
		return answer{}, err
	}
	a := answer{
		status: resp.StatusCode(), body: string(resp.Body()), headers: map[string]string{},
		outcome: string(resp.Header.Peek(header.Outcome)), reason: string(resp.Header.Peek(header.Reason)),
	}
	for k, v := range resp.Header.All() {
		a.headers[string(k)] = string(v)
	}
	return a, nil
}

func (c *caller) mustReceive() answer {
	c.t.Helper()
	a, err := c.receive(false)
	assert.NilError(c.t, err)
	return a
}

// raw sends one request as it is and returns the answer.
func (h *harness) raw(t testing.TB, request string) answer {
	t.Helper()
	c := h.connect(t)
	c.send(request)
	return c.mustReceive()
}

// call sends one request with extra header lines.
func (h *harness) call(t testing.TB, method, path, body string, headers ...string) answer {
	t.Helper()
	return h.raw(t, message(method, path, body, headers...))
}

func message(method, path, body string, headers ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: spoolkeep\r\nContent-Length: %d\r\n", method, path, len(body))
	for _, line := range headers {
		b.WriteString(line + "\r\n")
	}
	return b.String() + "\r\n" + body
}

// waitFor waits until the condition holds.
func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	end := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(end) {
			t.Fatalf("did not happen: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}
