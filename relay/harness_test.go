package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/limits"
	"rhubarbrelay/routing"
	"rhubarbrelay/targets"
)

// The two ignored goroutines belong to fasthttp's server: the clock of the Date
// header runs until the process exits, and the cleaner of the worker pool ends up
// to 10 s after its server.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// testTimeout ends a test that hangs. Passing tests are far below it.
const testTimeout = 20 * time.Second

// harnessActivatedAt is when the configuration of the harness was activated.
var harnessActivatedAt = time.Now()

// host is the Host header line that matches the routes of the harness.
const host = "Host: spoolkeep.example\r\n"

// harness is a relay server and its targets on the loopback interface.
type harness struct {
	relay    *Server
	address  string
	document atomic.Pointer[config.Document]
	table    *routing.Table
	targets  []*targets.Target
}

// Current implements ConfigSource.
func (h *harness) Current() *config.Document { return h.document.Load() }

// ActivatedAt implements ConfigSource.
func (h *harness) ActivatedAt() time.Time { return harnessActivatedAt }

// ByService implements routing.TargetSource.
func (h *harness) ByService(string) []*targets.Target { return h.targets }

// harnessDocument returns the configuration of the harness. Requests below /safe/
// are idempotent, those below /once/ are not.
func harnessDocument() *config.Document {
	route := func(prefix string, idempotent bool, timeout time.Duration, maxTries int) *config.Route {
		return &config.Route{
			Name: prefix, Host: "spoolkeep.example", PathPrefix: prefix, Idempotent: idempotent,
			Objective: timeout / 4, Timeout: timeout, MaxTries: maxTries, Split: []config.WeightedService{{Service: "spoolkeep", Weight: 1}},
		}
	}
	d := &config.Document{
		Version: 1, Services: map[string]*config.Service{"spoolkeep": {Name: "spoolkeep", HealthPath: "/healthz"}},
		Limits: config.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20},
		Routes: []*config.Route{
			route("/safe/", true, 10*time.Second, 2), route("/once/", false, 10*time.Second, 2),
			route("/brief/", true, 200*time.Millisecond, 2), route("/single/", true, 10*time.Second, 1),
		},
	}
	d.Index()
	return d
}

// newHarness starts a relay whose service spoolkeep has the targets.
func newHarness(t testing.TB, all []*targets.Target, opts ...Option) *harness {
	t.Helper()
	h := &harness{targets: all}
	h.document.Store(harnessDocument())
	h.table = routing.NewTable(routing.Settings{
		Zone: "a", Retries: limits.RetryLimits{Ratio: 1, Slack: 100, Window: time.Second}, ProbesPerSecond: 10_000,
	}, h)
	h.table.Update(h.Current().Services)
	quiet := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	h.relay = NewServer(h, h.table, append([]Option{WithLogger(quiet)}, opts...)...)
	t.Cleanup(func() { h.table.Dispatcher("spoolkeep").Close() })
	h.address = h.start(t, h.relay.Serve)
	return h
}

// start serves connections on a new address until the test ends, and returns the address.
func (h *harness) start(t testing.TB, serve func(net.Listener) error) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		assert.Check(t, h.relay.Shutdown(ctx))
		assert.Check(t, <-served)
	})
	return l.Addr().String()
}

// targetScript defines how a target handles a request: the bytes that it sends and
// whether it closes the connection afterwards.
type targetScript func(request *fasthttp.Request) (response string, closes bool)

// scriptedTarget is a target that handles requests by a script. It responds to
// probes without it.
type scriptedTarget struct {
	info *targets.Target

	mu       sync.Mutex
	requests []string // IDs in the order of arrival
	// closed receives a value when the relay closes a connection.
	closed chan struct{}
}

// newScriptedTarget starts a target. Targets in zone a, which is the zone of the
// relay, are preferred to those in zone b.
func newScriptedTarget(t testing.TB, id, zone string, script targetScript) *scriptedTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &scriptedTarget{closed: make(chan struct{}, 100), info: &targets.Target{
		ID: id, Service: "spoolkeep", Zone: zone, Slots: 8, Address: netip.MustParseAddrPort(l.Addr().String()),
	}}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			running.Go(func() { s.serve(t, c, script) })
		}
	})
	t.Cleanup(func() { _ = l.Close(); running.Wait() })
	return s
}

func (s *scriptedTarget) serve(t testing.TB, c net.Conn, script targetScript) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReaderSize(c, 64<<10)
	for {
		var req fasthttp.Request
		if err := req.Read(reader); err != nil {
			checkClosed(t, err)
			s.closed <- struct{}{}
			return
		}
		response, closes := "HTTP/1.1 200 OK\r\nRhubarbrelay-Instance-Id: "+s.info.ID+
			"\r\nRhubarbrelay-Server-Load: 0,0,8,100\r\nContent-Length: 0\r\n\r\n", false
		if string(req.URI().Path()) != "/healthz" {
			s.mu.Lock()
			s.requests = append(s.requests, string(req.Header.Peek("Rhubarbrelay-Attempt-Id")))
			s.mu.Unlock()
			response, closes = script(&req)
		}
		if _, err := c.Write([]byte(response)); err != nil || closes {
			return
		}
	}
}

// checkClosed fails the test if a target cannot read a request for another reason than
// that the relay has closed the connection: a test that expects a failure would pass
// although the script has not run.
func checkClosed(t testing.TB, err error) {
	t.Helper()
	var nothingRead fasthttp.ErrNothingRead
	closed := errors.As(err, &nothingRead) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
	assert.Check(t, closed, "the target cannot read the request: %v", err)
}

// receivedIDs returns the IDs of the requests that the target received.
func (s *scriptedTarget) receivedIDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

// sealed returns a target's response to the request, with a seal.
func sealed(req *fasthttp.Request, status int, body string, lines ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nRhubarbrelay-Attempt-Id: %s\r\nRhubarbrelay-Response-Seal: seal-%s\r\nContent-Length: %d\r\n%s\r\n%s",
		status, req.Header.Peek("Rhubarbrelay-Attempt-Id"), url.QueryEscape(body), len(body), strings.Join(append(lines, ""), "\r\n"), body)
}

// notRunResponse returns a target's response that states that the request has
// not run.
func notRunResponse(req *fasthttp.Request, status int) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nRhubarbrelay-Attempt-Id: %s\r\nRhubarbrelay-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		status, req.Header.Peek("Rhubarbrelay-Attempt-Id"))
}

// echo responds with the body of the request.
func echo(req *fasthttp.Request) (string, bool) { return sealed(req, 200, string(req.Body())), false }

func targetInfos(all ...*scriptedTarget) []*targets.Target {
	list := make([]*targets.Target, 0, len(all))
	for _, s := range all {
		list = append(list, s.info)
	}
	return list
}

// response is a response as a caller receives it.
type response struct {
	status  int
	body    string
	headers map[string]string
}

// seal returns the seal of the response, empty if it has none.
func (r response) seal() string { return r.headers["Rhubarbrelay-Response-Seal"] }

// caller is a connection to the relay.
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

// closeWrite closes the sending side of the connection.
func (c *caller) closeWrite() {
	c.t.Helper()
	assert.NilError(c.t, c.conn.(interface{ CloseWrite() error }).CloseWrite())
}

func (c *caller) receive() (response, error) { return c.receiveResponse(false) }

// receiveResponse receives the response to a request, which has no body if the request
// is a HEAD request.
func (c *caller) receiveResponse(head bool) (response, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.SkipBody = head
	if err := resp.Read(c.reader); err != nil {
		return response{}, err
	}
	got := response{status: resp.StatusCode(), body: string(resp.Body()), headers: map[string]string{}}
	for k, v := range resp.Header.All() {
		got.headers[string(k)] = string(v)
	}
	return got, nil
}

func (c *caller) mustReceive() response {
	c.t.Helper()
	got, err := c.receive()
	assert.NilError(c.t, err)
	return got
}

// raw sends the bytes of a request and returns the response.
func (h *harness) raw(t testing.TB, request string) response {
	t.Helper()
	c := h.connect(t)
	c.send(request)
	return c.mustReceive()
}

// call sends a request with additional header lines and returns the response.
func (h *harness) call(t testing.TB, method, path, body string, headers ...string) response {
	t.Helper()
	return h.raw(t, rawRequest(method, path, body, headers...))
}

func rawRequest(method, path, body string, headers ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\n%sContent-Length: %d\r\n", method, path, host, len(body))
	if !strings.Contains(strings.Join(headers, " "), "Rhubarbrelay-Attempt-Id") {
		b.WriteString("Rhubarbrelay-Attempt-Id: id-1\r\n")
	}
	for _, line := range headers {
		b.WriteString(line + "\r\n")
	}
	return b.String() + "\r\n" + body
}

// waitFor waits until the condition is true.
func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	end := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}
