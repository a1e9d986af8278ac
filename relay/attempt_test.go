package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/header"
	"rhubarbrelay/routing"
	"rhubarbrelay/timeline"
)

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// scripted answers each request with the raw bytes and counts the requests. It
// closes the connection after an answer that is cut in its body or ended by the
// close; after a whole one the connection stays open, since a close could cross
// the next request.
func scripted(raw string, count *atomic.Int64) func(net.Conn) {
	return func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			req := fasthttp.AcquireRequest()
			err := req.Read(r)
			fasthttp.ReleaseRequest(req)
			if err != nil {
				return
			}
			count.Add(1)
			if raw == "" {
				_ = c.(*net.TCPConn).SetLinger(0)
				return
			}
			_, _ = io.WriteString(c, raw)
			if !strings.HasSuffix(raw, "ok") && !strings.HasSuffix(raw, "\r\n\r\n") {
				return
			}
		}
	}
}

// Guards against an outcome that claims more than is known, and against a
// failure without a reason.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		answer  string // of the target; empty resets the connection
		status  int
		outcome string
		reason  string
	}{
		{"success", okAnswer, 200, "run", ""},
		{"server error", "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nok", 500, "run", ""},
		{"unavailable without a claim", "HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nok", 503, "run", ""},
		{"shed", "HTTP/1.1 503 No\r\nRhubarbrelay-Outcome: not_run\r\nContent-Length: 2\r\n\r\nok", 503, "not_run", "target did not run the request"},
		{"shed with a success status", "HTTP/1.1 200 OK\r\nRhubarbrelay-Outcome: not_run\r\nContent-Length: 2\r\n\r\nok", 503, "not_run", "target did not run the request"},
		{"claim of unknown", "HTTP/1.1 200 OK\r\nRhubarbrelay-Outcome: unknown\r\nContent-Length: 2\r\n\r\nok", 200, "run", ""},
		{"reset after send", "", 502, "unknown", "exchange with the target broke"},
		{"cut answer", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\no", 502, "unknown", "exchange with the target broke"},
		{"close-delimited answer", "HTTP/1.1 200 OK\r\n\r\nbody", 502, "unknown", "exchange with the target broke"},
		{"foreign answer", "HTTP/1.1 200 OK\r\nRhubarbrelay-Request-Id: other\r\nContent-Length: 2\r\n\r\nok", 502, "unknown", "exchange with the target broke"},
		{"oversized answer", "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", 502, "unknown", "exchange with the target broke"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var count atomic.Int64
			h := newHarness(t, []config.Target{newRawTarget(t, "sk-01", scripted(c.answer, &count))})
			a := h.call(t, "POST", "/orders", "body", "Rhubarbrelay-Request-Id: id-1")
			assert.Equal(t, a.status, c.status)
			assert.Equal(t, a.outcome, c.outcome)
			assert.Equal(t, a.reason, c.reason)
			assert.Equal(t, a.headers[header.RequestID], "id-1")
			assert.Equal(t, count.Load(), int64(1))
			if c.outcome == "not_run" {
				assert.Equal(t, a.headers["Retry-After"], "1")
			}
		})
	}
	h := newHarness(t, []config.Target{newDeadTarget(t, "sk-01")})
	a := h.call(t, "POST", "/orders", "body")
	assert.Equal(t, a.status, 502)
	assert.Equal(t, a.outcome, "not_run")
	assert.Equal(t, a.reason, "target cannot be reached")
	a = newHarness(t, nil).call(t, "POST", "/orders", "body")
	assert.Equal(t, a.status, 503)
	assert.Equal(t, a.outcome, "not_run")
	assert.Equal(t, a.headers["Retry-After"], "1")
}

// Guards against a silent target that holds a caller beyond its deadline.
func TestSilentTarget(t *testing.T) {
	var received atomic.Int64
	h := newHarness(t, []config.Target{newRawTarget(t, "sk-01", func(c net.Conn) {
		n, _ := io.Copy(io.Discard, c)
		received.Add(n)
	})})
	a := h.call(t, "POST", "/orders", "body", "Rhubarbrelay-Deadline: 40ms")
	assert.Equal(t, a.status, 504)
	assert.Equal(t, a.outcome, "unknown")
	a = h.call(t, "POST", "/fast", "body")
	assert.Equal(t, a.status, 504)
	assert.Equal(t, h.events.count(timeline.RequestUnknown), 2)
}

// Guards against a retry that may run a request twice, one beyond the limit or
// the budget, and one that returns to a target already tried.
func TestRetries(t *testing.T) {
	const (
		dead  = "dead"
		reset = ""
		shed  = "HTTP/1.1 503 No\r\nRhubarbrelay-Outcome: not_run\r\nContent-Length: 2\r\n\r\nok"
		fails = "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nok"
	)
	cases := []struct {
		name    string
		path    string // /quotes is idempotent
		targets []string
		denied  bool
		reached []int64
		status  int
		outcome string
	}{
		{"unreachable, then served", "/orders", []string{dead, okAnswer}, false, []int64{0, 1}, 200, "run"},
		{"shed, then served", "/orders", []string{shed, okAnswer}, false, []int64{1, 1}, 200, "run"},
		{"shed everywhere", "/orders", []string{shed, shed}, false, []int64{1, 1}, 503, "not_run"},
		{"three attempts at most", "/orders", []string{shed, shed, shed, okAnswer}, false, []int64{1, 1, 1, 0}, 503, "not_run"},
		{"budget is spent", "/orders", []string{shed, okAnswer}, true, []int64{1, 0}, 503, "not_run"},
		{"broken, not idempotent", "/orders", []string{reset, okAnswer}, false, []int64{1, 0}, 502, "unknown"},
		{"broken, idempotent", "/quotes", []string{reset, okAnswer}, false, []int64{1, 1}, 200, "run"},
		{"broken, then shed", "/quotes", []string{reset, shed}, false, []int64{1, 1}, 503, "unknown"},
		{"broken, then unreachable", "/quotes", []string{reset, dead}, false, []int64{1, 0}, 502, "unknown"},
		{"broken, no other target", "/quotes", []string{reset}, false, []int64{1}, 502, "unknown"},
		{"error answer is an answer", "/quotes", []string{fails, okAnswer}, false, []int64{1, 0}, 500, "run"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			counts := make([]atomic.Int64, len(c.targets))
			var targets []config.Target
			for i, answer := range c.targets {
				name := fmt.Sprintf("sk-%d", i)
				if answer == dead {
					targets = append(targets, newDeadTarget(t, name))
					continue
				}
				targets = append(targets, newRawTarget(t, name, scripted(answer, &counts[i])))
			}
			h := newHarness(t, targets)
			h.inOrder()
			if c.denied {
				h.relay.allowRetry = func(*routing.Dispatcher) bool { return false }
			}
			a := h.call(t, "POST", c.path, "body")
			assert.Equal(t, a.status, c.status)
			assert.Equal(t, a.outcome, c.outcome)
			for i := range counts {
				assert.Equal(t, counts[i].Load(), c.reached[i], "target %d", i)
			}
		})
	}
}

// Guards against hop-by-hop and internal headers that pass the relay in either
// direction, forged internal headers, and changes to anything else.
func TestHeadersTowardsTarget(t *testing.T) {
	var got string
	h := newHarness(t, []config.Target{newTarget(t, "sk-01", func(ctx *fasthttp.RequestCtx) {
		got = ctx.Request.Header.String() + string(ctx.Request.Body())
	})})
	h.raw(t, "POST /a//b/../c%2Fd?x=1&&y HTTP/1.0\r\nHost: spoolkeep\r\nConnection: close, X-Hop, Host, Content-Length\r\n"+
		"X-Hop: 1\r\nKeep-Alive: 1\r\nProxy-Connection: 1\r\nProxy-Authorization: 1\r\nTE: trailers\r\nUpgrade: x\r\n"+
		"Rhubarbrelay-Outcome: run\r\nrhubarbrelay-state: draining\r\nRhubarbrelay-In-Flight: 9\r\nRhubarbrelay-Attempt: 9\r\n"+
		"Rhubarbrelay-Request-Id: id-1\r\nRhubarbrelay-Deadline: 15s\r\nCookie: a=b;c=d\r\nX-Keep: Value\r\n"+
		"Content-Type: multipart/form-data; boundary=x\r\nContent-Length: 9\r\n\r\nany bytes")
	lines := strings.Split(got, "\r\n")
	assert.Equal(t, lines[0], "POST /a//b/../c%2Fd?x=1&&y HTTP/1.1")
	var deadline string
	for _, line := range lines {
		if after, ok := strings.CutPrefix(line, "Rhubarbrelay-Deadline: "); ok {
			deadline = after
		}
	}
	remaining, err := time.ParseDuration(deadline)
	assert.NilError(t, err)
	assert.Assert(t, remaining > 0 && remaining <= 15*time.Second)
	slices.Sort(lines[1:])
	want := []string{
		"Host: spoolkeep", "Content-Type: multipart/form-data; boundary=x", "Content-Length: 9",
		"Rhubarbrelay-Request-Id: id-1", "Rhubarbrelay-Deadline: " + deadline, "Cookie: a=b;c=d", "X-Keep: Value",
		"Rhubarbrelay-Attempt: 1", "", "any bytes",
	}
	slices.Sort(want)
	assert.DeepEqual(t, lines[1:], want)
	h.raw(t, "POST / HTTP/1.1\r\nHost: spoolkeep\r\nTransfer-Encoding: chunked\r\nTrailer: Rhubarbrelay-Outcome, X-Sum\r\n\r\n"+
		"5\r\nthree\r\n0\r\nRhubarbrelay-Outcome: run\r\nX-Sum: 1\r\n\r\n")
	for _, name := range []string{"Transfer-Encoding", "Trailer", "Outcome", "X-Sum"} {
		assert.Assert(t, !strings.Contains(got, name), "%s in %q", name, got)
	}
	assert.Assert(t, strings.HasSuffix(got, "\r\n\r\nthree"))
	h.raw(t, "GET http://spoolkeep/absolute?x=1 HTTP/1.1\r\nHost: other\r\n\r\n")
	assert.Assert(t, strings.HasPrefix(got, "GET /absolute?x=1 HTTP/1.1\r\nHost: spoolkeep\r\n"), got)
	h.raw(t, "GET http://spoolkeep?x=1 HTTP/1.1\r\nHost: other\r\n\r\n")
	assert.Assert(t, strings.HasPrefix(got, "GET /?x=1 HTTP/1.1\r\n"), got)
	h.raw(t, "GET http://spoolkeep HTTP/1.1\r\nHost: other\r\n\r\n")
	assert.Assert(t, strings.HasPrefix(got, "GET / HTTP/1.1\r\n"), got)
	h.raw(t, "OPTIONS * HTTP/1.1\r\nHost: spoolkeep\r\n\r\n")
	assert.Assert(t, strings.HasPrefix(got, "OPTIONS * HTTP/1.1\r\n"), got)
}

// Guards against the target's internal and hop-by-hop headers in an answer, and
// against a changed answer.
func TestHeadersTowardsCaller(t *testing.T) {
	var count atomic.Int64
	h := newHarness(t, []config.Target{newRawTarget(t, "sk-01", scripted("HTTP/1.1 201 Made\r\nConnection: keep-alive, X-Hop\r\n"+
		"X-Hop: 1\r\nKeep-Alive: timeout=5\r\nProxy-Authenticate: x\r\nUpgrade: x\r\nRhubarbrelay-In-Flight: 3\r\n"+
		"Rhubarbrelay-State: draining\r\nRhubarbrelay-Reason: x\r\nX-Keep: Value\r\nServer: t\r\nSet-Cookie: a=b; Path=/\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\nok", &count))})
	a := h.call(t, "POST", "/orders", "", "Rhubarbrelay-Request-Id: id-1")
	assert.Equal(t, a.status, 201)
	assert.Equal(t, a.body, "ok")
	delete(a.headers, "Date")
	delete(a.headers, "Content-Type") // fasthttp's reader makes it up; the raw check is below
	assert.DeepEqual(t, a.headers, map[string]string{
		"Content-Length": "2", "X-Keep": "Value", "Server": "t", "Set-Cookie": "a=b; Path=/",
		header.Outcome: "run", header.RequestID: "id-1",
	})
	assert.Assert(t, h.announced.draining["sk-01"])
	c := h.connect(t)
	c.send(message("POST", "/orders", "", "Connection: close"))
	raw, err := io.ReadAll(c.conn)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(raw), "Content-Type"), string(raw))
}

// Guards against values of one header that change their order, in a request and
// in an answer of which other headers are removed.
func TestRepeatedHeadersKeepOrder(t *testing.T) {
	var got []string
	var chunked bool
	h := newHarness(t, []config.Target{newTarget(t, "sk-01", func(ctx *fasthttp.RequestCtx) {
		got = listOf(ctx.Request.Header.PeekAll("X-List"))
		if chunked {
			ctx.SetBodyStream(strings.NewReader("stream"), -1)
		}
		ctx.Response.Header.Set(header.InFlight, "1")
		for _, value := range got {
			ctx.Response.Header.Add("X-List", value)
		}
		ctx.Response.Header.Set(header.State, header.StateReady)
	})})
	want := []string{"1", "2", "3", "4", "5"}
	lines := []string{"Keep-Alive: 1", "X-List: 1", "X-Hop: 1", "X-List: 2", "TE: x", "x-list: 3", "Connection: X-Hop", "X-List: 4", "X-List: 5"}
	c := h.connect(t)
	for _, chunked = range []bool{false, true} {
		c.send(message("POST", "/", "body", lines...))
		resp := &fasthttp.Response{}
		assert.NilError(t, resp.Read(c.reader))
		assert.DeepEqual(t, got, want)
		assert.DeepEqual(t, listOf(resp.Header.PeekAll("X-List")), want)
	}
	c.send("POST / HTTP/1.1\r\nHost: spoolkeep\r\nTransfer-Encoding: chunked\r\n" +
		strings.Join(lines[:4], "\r\n") + "\r\nX-List: 3\r\n\r\n0\r\n\r\n")
	assert.Equal(t, c.mustReceive().outcome, "run")
	assert.DeepEqual(t, got, want[:3])
}

func listOf(values [][]byte) []string {
	list := make([]string, len(values))
	for i, value := range values {
		list[i] = string(value)
	}
	return list
}

// Guards against an answer to HEAD, 204 or 304 that leaves the caller waiting
// for a body.
func TestAnswersWithoutBody(t *testing.T) {
	cases := []struct{ method, answer string }{
		{"HEAD", "HTTP/1.1 200 OK\r\nX: ok\r\nContent-Length: 9\r\n\r\n"},
		{"HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"GET", "HTTP/1.1 204 No Content\r\n\r\n"},
		{"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"},
	}
	for _, tc := range cases {
		var count atomic.Int64
		h := newHarness(t, []config.Target{newRawTarget(t, "sk-01", scripted(tc.answer, &count))})
		c := h.connect(t)
		for range 2 {
			c.send(message(tc.method, "/", ""))
			a, err := c.receive(tc.method == "HEAD")
			assert.NilError(t, err)
			assert.Equal(t, a.outcome, "run")
			assert.Equal(t, a.body, "")
		}
	}
	a, err := func() (answer, error) {
		c := newHarness(t, nil).connect(t)
		c.send(message("HEAD", "/", "") + message("HEAD", "/", ""))
		_, err := c.receive(true)
		assert.NilError(t, err)
		return c.receive(true)
	}()
	assert.NilError(t, err)
	assert.Equal(t, a.outcome, "not_run")
}

// Guards against answers that reach the wrong caller when targets answer late,
// break off and time out in between.
func TestConcurrentCallers(t *testing.T) {
	var n atomic.Int64
	handler := func(ctx *fasthttp.RequestCtx) {
		switch n.Add(1) % 10 {
		case 0:
			time.Sleep(30 * time.Millisecond) // beyond the deadline of /fast in half of the cases
		case 1:
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\ncut") })
			return
		}
		echo(ctx)
	}
	targets := make([]config.Target, 3)
	for i := range targets {
		targets[i] = newTarget(t, fmt.Sprintf("sk-%d", i), handler)
	}
	h := newHarness(t, targets)
	var group sync.WaitGroup
	var served atomic.Int64
	for caller := range 16 {
		c := h.connect(t)
		group.Go(func() {
			for i := range 60 {
				body := strings.Repeat(fmt.Sprintf("%d/%d;", caller, i), 1+i*10)
				id := fmt.Sprintf("%d-%d", caller, i)
				c.send(message("POST", "/orders", body, "Rhubarbrelay-Request-Id: "+id, "Rhubarbrelay-Deadline: 25ms"))
				a, err := c.receive(false)
				if !assert.Check(t, err) || !assert.Check(t, a.headers[header.RequestID] == id) {
					return
				}
				if a.status == 200 {
					served.Add(1)
					assert.Check(t, a.body == body)
				} else {
					assert.Check(t, a.outcome == "unknown" || a.outcome == "not_run")
				}
			}
		})
	}
	group.Wait()
	assert.Assert(t, served.Load() > 0)
}

type switchable struct{ fresh atomic.Bool }

// Fresh implements Freshness.
func (s *switchable) Fresh() bool { return s.fresh.Load() }

// Guards against a paused instance that sends to a target before it has
// revalidated its view.
func TestFreshness(t *testing.T) {
	var reached atomic.Int64
	freshness := &switchable{}
	h := newHarness(t, []config.Target{newTarget(t, "sk-01", func(ctx *fasthttp.RequestCtx) {
		reached.Add(1)
		echo(ctx)
	})}, WithFreshness(freshness))
	a := h.call(t, "POST", "/orders", "body")
	assert.Equal(t, a.status, 503)
	assert.Equal(t, a.outcome, "not_run")
	assert.Equal(t, reached.Load(), int64(0))
	h.service.MaxWait = testTimeout
	c := h.connect(t)
	c.send(message("POST", "/orders", "body"))
	waitFor(t, "the request arrives", func() bool { return h.relay.http.GetCurrentConcurrency() > 0 })
	freshness.fresh.Store(true)
	assert.Equal(t, c.mustReceive().body, "body")
}

// Guards against callers that stay connected to a leaving instance.
func TestSetClosing(t *testing.T) {
	h := newHarness(t, []config.Target{newTarget(t, "sk-01", echo)})
	c := h.connect(t)
	c.send(message("GET", "/", ""))
	assert.Equal(t, c.mustReceive().headers["Connection"], "")
	h.relay.SetClosing(true)
	c.send(message("GET", "/", ""))
	assert.Equal(t, c.mustReceive().headers["Connection"], "close")
	_, err := c.receive(false)
	assert.Assert(t, err != nil)
	assert.Equal(t, h.raw(t, message("GET", header.EntryPath+"?service=spoolkeep", "")).headers["Connection"], "close")
}

// Guards against an overload whose refusals push all other events out of the
// timeline.
func TestRefusalsAreSampled(t *testing.T) {
	h := newHarness(t, nil)
	c := h.connect(t)
	for range 200 {
		c.send(message("GET", "/", ""))
		assert.Equal(t, c.mustReceive().outcome, "not_run")
	}
	recorded := h.events.count(timeline.RequestRefused)
	assert.Assert(t, recorded >= refusalEvents && recorded < 200, "%d events", recorded)
}
