package relay

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/header"
)

const host = "Host: spoolkeep\r\n"

// Guards against bad input that reaches a target, crashes the relay, or gets an
// answer without a reason and the outcome not_run. The table in docs/callers.md
// lists the same cases.
func TestBadInput(t *testing.T) {
	cases := []struct {
		name   string
		raw    string
		status int
		reason string
		// closed says that the relay closes the connection after its answer.
		closed bool
	}{
		{"not HTTP", "SSH-2.0-client\r\n\r\n", 400, "request is malformed", true},
		{"no version", "GET /\r\n" + host + "\r\n", 400, "request is malformed", true},
		{"bad method", "G(T / HTTP/1.1\r\n" + host + "\r\n", 400, "request is malformed", true},
		{"control byte in a value", "GET / HTTP/1.1\r\n" + host + "A: b\x00c\r\n\r\n", 400, "request is malformed", true},
		{"space before colon", "POST / HTTP/1.1\r\n" + host + "Content-Length : 4\r\n\r\nbody", 400, "request is malformed", true},
		{"space in name", "POST / HTTP/1.1\r\n" + host + "Content Length: 4\r\n\r\n", 400, "header name is malformed", true},
		{"folded header", "GET / HTTP/1.1\r\n" + host + "A: b\r\n c\r\n\r\n", 400, "header line is folded or does not end with CR LF", true},
		{"bare line feed", "GET / HTTP/1.1\r\n" + host + "A: b\nC: d\r\n\r\n", 400, "header line is folded or does not end with CR LF", true},
		{"two hosts", "GET / HTTP/1.1\r\n" + host + host + "\r\n", 400, "request is malformed", true},
		{"duplicate content length", "POST / HTTP/1.1\r\n" + host + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody", 400, "request is malformed", true},
		{"conflicting content length", "POST / HTTP/1.1\r\n" + host + "Content-Length: 4\r\nContent-Length: 9\r\n\r\nbody", 400, "request is malformed", true},
		{"content length list", "POST / HTTP/1.1\r\n" + host + "Content-Length: 4, 4\r\n\r\nbody", 400, "request is malformed", true},
		{"negative content length", "POST / HTTP/1.1\r\n" + host + "Content-Length: -4\r\n\r\nbody", 400, "request is malformed", true},
		{"signed content length", "POST / HTTP/1.1\r\n" + host + "Content-Length: +4\r\n\r\nbody", 400, "request is malformed", true},
		{"length then encoding", "POST / HTTP/1.1\r\n" + host + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, "content length together with a transfer encoding", true},
		{"encoding then length", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n", 400, "content length together with a transfer encoding", true},
		{"two encodings", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, "request is malformed", true},
		{"identity encoding", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: identity\r\n\r\n", 400, "transfer encoding is not chunked", true},
		{"unknown encoding", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400, "request is malformed", true},
		{"hidden encoding", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400, "request is malformed", true},
		{"encoding with HTTP/1.0", "POST / HTTP/1.0\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, "request is malformed", true},
		{"bad chunk size", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400, "request is malformed", true},
		{"bad chunk end", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", 400, "request is malformed", true},
		{"oversized body", "POST / HTTP/1.1\r\n" + host + "Content-Length: 1001\r\n\r\n", 413, "request body is too large", true},
		{"oversized chunks", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + strings.Repeat("x", 1001) + "\r\n", 413, "request body is too large", true},
		{"oversized header", "GET / HTTP/1.1\r\n" + host + "A: " + strings.Repeat("a", maxRequestHeader) + "\r\n\r\n", 431, "request header is too large", true},
		{"unknown host", "GET / HTTP/1.1\r\nHost: nobody\r\n\r\n", 404, "unknown service", false},
		{"unknown service", "GET / HTTP/1.1\r\n" + host + "Rhubarbrelay-Service: nobody\r\n\r\n", 404, "unknown service", false},
		{"two services", "GET / HTTP/1.1\r\n" + host + "Rhubarbrelay-Service: spoolkeep\r\nrhubarbrelay-service: nobody\r\n\r\n", 400, "control header occurs more than once", true},
		{"two keys", "POST / HTTP/1.1\r\n" + host + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n", 400, "control header occurs more than once", true},
		{"bad key", message("POST", "/", "", "Idempotency-Key: a"), 400, "idempotency key is not <prefix>~<issue time in Unix ms>~<random>", false},
		{"bad deadline", message("GET", "/", "", "Rhubarbrelay-Deadline: soon"), 400, "deadline is not a duration such as 250ms", false},
		{"passed deadline", message("GET", "/", "", "Rhubarbrelay-Deadline: 0ms"), 504, "deadline has passed", false},
		{"negative deadline", message("GET", "/", "", "Rhubarbrelay-Deadline: -5ms"), 504, "deadline has passed", false},
		{"long request id", message("GET", "/", "", "Rhubarbrelay-Request-Id: "+strings.Repeat("i", maxRequestID+1)), 400, "request id is longer than 128 bytes", false},
		{"unknown expectation", message("POST", "/", "", "Expect: miracles"), 417, "expectation is not 100-continue", false},
		{"connect", "CONNECT spoolkeep:80 HTTP/1.1\r\n" + host + "\r\n", 405, "method CONNECT is not relayed", false},
		{"administration path", "GET /v1/status HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", 404, "unknown service", false},
		{"variables path", "GET /debug/vars HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", 404, "unknown service", false},
		{"health path of targets", message("GET", header.HealthPath, ""), 404, "no such path", false},
		{"hidden health path", message("GET", "/x/..//.well-known/%72hubarbrelay/health", ""), 404, "no such path", false},
		{"entry of unknown service", message("GET", header.EntryPath+"?service=nobody", ""), 404, "unknown service", false},
		{"entry by another method", message("POST", header.EntryPath+"?service=spoolkeep", ""), 404, "no such path", false},
	}
	var reached atomic.Int64
	h := newHarness(t, []config.Target{newTarget(t, "sk-01", func(ctx *fasthttp.RequestCtx) {
		reached.Add(1)
		echo(ctx)
	})}, WithMaxRequestBody(1000))
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn := h.connect(t)
			conn.send(c.raw)
			a := conn.mustReceive()
			assert.Equal(t, a.status, c.status)
			assert.Equal(t, a.reason, c.reason)
			assert.Equal(t, a.outcome, header.OutcomeNotRun)
			assert.Equal(t, reached.Load(), int64(0))
			if c.closed {
				_, err := conn.receive(false)
				assert.Assert(t, err != nil, "the connection stays open")
				return
			}
			conn.send(message("GET", "/", "still served"))
			assert.Equal(t, conn.mustReceive().body, "still served")
			reached.Store(0)
		})
	}
}

// Guards against a sender that holds a connection and its memory by sending
// slowly, in the header or in the body, and against a claim of not run while
// the rest may carry the key of a request that ran.
func TestSlowSender(t *testing.T) {
	cases := []struct{ raw, outcome string }{
		{"GET / HT", "unknown"},
		{"POST / HTTP/1.1\r\n" + host + "Content-Length: 9\r\n\r\n", "unknown"},
		{"POST / HTTP/1.1\r\n" + host + "Content-Length: 9\r\n\r\nslow", "not_run"},
		{"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n9\r\nslow", "not_run"},
		{"POST / HTTP/1.1\r\n" + host + "Idempotency-Key: a~1~1~a\r\nContent-Length: 9\r\n\r\nslow", "unknown"},
	}
	h := newHarness(t, nil, WithReadTimeout(50*time.Millisecond))
	for _, tc := range cases {
		c := h.connect(t)
		c.send(tc.raw)
		a := c.mustReceive()
		assert.Equal(t, a.status, 408)
		assert.Equal(t, a.reason, "request did not arrive in time")
		assert.Equal(t, a.outcome, tc.outcome, tc.raw)
	}
}

// Guards against pipelined requests whose answers are lost, mixed up or out of
// order, and against a body that is taken for the next request.
func TestPipelinedRequests(t *testing.T) {
	h := newHarness(t, []config.Target{newTarget(t, "sk-01", echo)})
	c := h.connect(t)
	var all strings.Builder
	for i := range 20 {
		method := []string{"POST", "GET"}[i%2]
		all.WriteString(message(method, "/", fmt.Sprintf("GET /%d HTTP/1.1\r\n\r\n", i), fmt.Sprintf("%s: id-%d", header.RequestID, i)))
	}
	c.send(all.String())
	for i := range 20 {
		a := c.mustReceive()
		assert.Equal(t, a.body, fmt.Sprintf("GET /%d HTTP/1.1\r\n\r\n", i))
		assert.Equal(t, a.headers[header.RequestID], fmt.Sprintf("id-%d", i))
	}
}

// Guards against a caller that waits for ever for 100 Continue, or that sends a
// body which is refused anyway.
func TestExpectContinue(t *testing.T) {
	h := newHarness(t, []config.Target{newTarget(t, "sk-01", func(ctx *fasthttp.RequestCtx) {
		assert.Check(t, len(ctx.Request.Header.Peek("Expect")) == 0)
		echo(ctx)
	})}, WithMaxRequestBody(1000))
	c := h.connect(t)
	c.send("POST / HTTP/1.1\r\n" + host + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	line, err := c.reader.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "HTTP/1.1 100 Continue\r\n")
	_, err = c.reader.ReadString('\n')
	assert.NilError(t, err)
	c.send("body")
	assert.Equal(t, c.mustReceive().body, "body")

	refused := []struct {
		lines  string
		status int
	}{
		{host + "Content-Length: 1001\r\n", 413},
		{"Host: nobody\r\nContent-Length: 4\r\n", 404},
		{host + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", 400},
	}
	for _, r := range refused {
		a := h.raw(t, "POST / HTTP/1.1\r\nExpect: 100-continue\r\n"+r.lines+"\r\n")
		assert.Equal(t, a.status, r.status)
		assert.Equal(t, a.outcome, header.OutcomeNotRun)
	}
}

// heapInUse returns the size of the live objects. The second collection empties
// the pools of buffers.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against memory taken by callers that announce large bodies and send
// none, while they are connected and after they left.
func TestAnnouncedBodiesTakeNoMemory(t *testing.T) {
	const callers = 200
	const allowed = 16 << 20 // bytes; the callers announce 800 MB
	h := newHarness(t, nil)
	before := heapInUse()
	for range 2 {
		connected := make([]*caller, callers)
		for i := range connected {
			connected[i] = h.connect(t)
			connected[i].send("POST / HTTP/1.1\r\n" + host + "Content-Length: 4194304\r\n\r\n" + strings.Repeat("x", 9000))
		}
		waitFor(t, "connections open", func() bool { return h.relay.http.GetCurrentConcurrency() == callers })
		assert.Assert(t, heapInUse()-before < allowed)
		for _, c := range connected {
			assert.NilError(t, c.conn.Close())
		}
		waitFor(t, "connections close", func() bool { return h.relay.http.GetOpenConnectionsCount() == 0 })
	}
	assert.Assert(t, heapInUse()-before < allowed)
}

// Guards against idle callers that hold the memory of their largest bodies.
func TestLargeBodiesAreReleased(t *testing.T) {
	const size, callers = 2 << 20, 16
	h := newHarness(t, []config.Target{newTarget(t, "sk-01", func(*fasthttp.RequestCtx) {})})
	raw := message("POST", "/", strings.Repeat("x", size))
	before := heapInUse()
	for range callers {
		c := h.connect(t)
		c.send(raw)
		assert.Equal(t, c.mustReceive().outcome, "run")
	}
	// The target's server keeps one buffer per connection, of which there are few.
	assert.Assert(t, heapInUse()-before < size*callers/2)
}

// Guards against a cut request that reaches a target.
func TestCutRequest(t *testing.T) {
	var reached atomic.Int64
	h := newHarness(t, []config.Target{newTarget(t, "sk-01", func(*fasthttp.RequestCtx) { reached.Add(1) })})
	whole := message("POST", "/", "body", "A: b")
	for cut := range len(whole) {
		c := h.connect(t)
		c.send(whole[:cut])
		assert.NilError(t, c.conn.(interface{ CloseWrite() error }).CloseWrite())
		for {
			_, err := c.receive(false)
			if err == nil {
				continue
			}
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "cut at %d", cut)
			break
		}
		_, _ = io.Copy(io.Discard, c.conn)
	}
	assert.Equal(t, reached.Load(), int64(0))
}
