package relay

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
)

// Guards against invalid requests that reach a target, crash the relay, or get a
// response without the reason. The table in docs/callers.md lists the same
// cases.
func TestBadInput(t *testing.T) {
	cases := []struct {
		name   string
		raw    string
		status int
		reason string
		// closed is set if the relay closes the connection after its response.
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
		{"obfuscated encoding", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400, "request is malformed", true},
		{"encoding with HTTP/1.0", "POST / HTTP/1.0\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, "request is malformed", true},
		{"bad chunk size", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400, "request is malformed", true},
		{"bad chunk end", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", 400, "request is malformed", true},
		{"oversized body", "POST / HTTP/1.1\r\n" + host + "Content-Length: 1001\r\n\r\n", 413, "request body is too large", true},
		{"oversized chunks", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + strings.Repeat("x", 1001) + "\r\n", 413, "request body is too large", true},
		{"oversized header", "GET / HTTP/1.1\r\n" + host + "A: " + strings.Repeat("a", maxRequestHeader) + "\r\n\r\n", 431, "request header is too large", true},
		{"unknown host", "GET /safe/ HTTP/1.1\r\nHost: nobody\r\nRhubarbrelay-Attempt-Id: 1\r\n\r\n", 404, "no route matches", false},
		{"unknown path", rawRequest("GET", "/other/", ""), 404, "no route matches", false},
		{"path prefix without its final slash", rawRequest("GET", "/safe", ""), 404, "no route matches", false},
		{"two IDs", "GET /safe/ HTTP/1.1\r\n" + host + "Rhubarbrelay-Attempt-Id: a\r\nrhubarbrelay-attempt-id: b\r\n\r\n", 400, "control header occurs more than once", true},
		{"two deadlines", "GET /safe/ HTTP/1.1\r\n" + host + "Rhubarbrelay-Deadline-Ms: 1\r\nRhubarbrelay-Deadline-Ms: 2\r\n\r\n", 400, "control header occurs more than once", true},
		{"no ID", "GET /safe/ HTTP/1.1\r\n" + host + "\r\n", 400, "request has no ID", false},
		{"long ID", rawRequest("GET", "/safe/", "", "Rhubarbrelay-Attempt-Id: "+strings.Repeat("i", maxRequestID+1)), 400, "request ID is too long", false},
		{"passed deadline", rawRequest("GET", "/safe/", "", "Rhubarbrelay-Deadline-Ms: 0"), 503, "deadline has passed", false},
		{"unknown expectation", rawRequest("POST", "/", "", "Expect: miracles"), 417, "expectation is not 100-continue", false},
		{"method CONNECT", "CONNECT spoolkeep:80 HTTP/1.1\r\n" + host + "Rhubarbrelay-Attempt-Id: 1\r\n\r\n", 405, "method CONNECT is not relayed", false},
		{"administration path", rawRequest("GET", "/status", ""), 404, "no route matches", false},
		{"health path of targets", rawRequest("GET", "/healthz", ""), 404, "no route matches", false},
		{"dot segments into a prefix", rawRequest("GET", "/other/../safe/", ""), 404, "no route matches", false},
	}
	target := newScriptedTarget(t, "t-1", "a", echo)
	h := newHarness(t, targetInfos(target), WithMaxRequestBody(1000))
	h.document.Store(documentWithLimits(config.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1000}))
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before := len(target.receivedIDs())
			conn := h.connect(t)
			conn.send(c.raw)
			got := conn.mustReceive()
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, got.body, c.reason+"\n")
			assert.Equal(t, got.seal(), "")
			assert.Equal(t, len(target.receivedIDs()), before)
			if c.closed {
				_, err := conn.receive()
				assert.Assert(t, err != nil, "connection was not closed")
				return
			}
			conn.send(rawRequest("GET", "/safe/", "still served"))
			assert.Equal(t, conn.mustReceive().body, "still served")
		})
	}
}

// Guards against callers that hold a connection and its memory by sending the
// header or the body slowly.
func TestSlowSender(t *testing.T) {
	h := newHarness(t, nil, WithReadTimeout(50*time.Millisecond))
	for _, raw := range []string{
		"GET / HT",
		"POST / HTTP/1.1\r\n" + host + "Content-Length: 9\r\n\r\n",
		"POST / HTTP/1.1\r\n" + host + "Content-Length: 9\r\n\r\nslow",
		"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n9\r\nslow",
	} {
		c := h.connect(t)
		c.send(raw)
		got := c.mustReceive()
		assert.Equal(t, got.status, 408)
		assert.Equal(t, got.body, "request did not arrive in time\n")
	}
}

// Guards against lost, swapped or reordered responses to pipelined requests, and
// against a body that is parsed as the next request.
func TestPipelinedRequests(t *testing.T) {
	h := newHarness(t, targetInfos(newScriptedTarget(t, "t-1", "a", echo)))
	c := h.connect(t)
	var all strings.Builder
	for i := range 20 {
		method := []string{"POST", "GET"}[i%2]
		all.WriteString(rawRequest(method, "/once/", fmt.Sprintf("GET /%d HTTP/1.1\r\n\r\n", i), fmt.Sprintf("Rhubarbrelay-Attempt-Id: id-%d", i)))
	}
	c.send(all.String())
	for i := range 20 {
		got := c.mustReceive()
		assert.Equal(t, got.body, fmt.Sprintf("GET /%d HTTP/1.1\r\n\r\n", i))
		assert.Equal(t, got.headers["Rhubarbrelay-Attempt-Id"], fmt.Sprintf("id-%d", i))
	}
}

// Guards against an accepted request that gets no 100 Continue, for which its
// caller waits before it sends the body, and against a rejected request that gets
// one.
func TestExpectContinue(t *testing.T) {
	h := newHarness(t, targetInfos(newScriptedTarget(t, "t-1", "a", func(r *fasthttp.Request) (string, bool) {
		assert.Check(t, len(r.Header.Peek("Expect")) == 0)
		return echo(r)
	})), WithMaxRequestBody(1000))
	h.document.Store(documentWithLimits(config.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1000}))
	const id = "Rhubarbrelay-Attempt-Id: 1\r\n"
	c := h.connect(t)
	c.send("POST /once/ HTTP/1.1\r\n" + host + id + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n")
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
		{host + id + "Content-Length: 1001\r\n", 413},
		{"Host: nobody\r\n" + id + "Content-Length: 4\r\n", 404},
		{host + id + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", 400},
	}
	for _, r := range refused {
		got := h.raw(t, "POST /once/ HTTP/1.1\r\nExpect: 100-continue\r\n"+r.lines+"\r\n")
		assert.Equal(t, got.status, r.status)
		assert.Equal(t, got.seal(), "")
	}
}

// heapInUse returns the size of the live heap. sync.Pool releases its objects only
// in the second garbage collection.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against memory held by callers that declare large bodies and do not send
// them, while they are connected and afterwards.
func TestDeclaredBodiesTakeNoMemory(t *testing.T) {
	const callers = 200
	const allowed = 16 << 20 // bytes; the callers declare 800 MB
	h := newHarness(t, nil)
	before := heapInUse()
	for range 2 {
		connected := make([]*caller, callers)
		for i := range connected {
			connected[i] = h.connect(t)
			connected[i].send("POST / HTTP/1.1\r\n" + host + "Content-Length: 4194304\r\n\r\n" + strings.Repeat("x", 9000))
		}
		waitFor(t, "all connections are open", func() bool { return h.relay.http.GetCurrentConcurrency() == callers })
		assert.Assert(t, heapInUse()-before < allowed)
		for _, c := range connected {
			assert.NilError(t, c.conn.Close())
		}
		waitFor(t, "all connections are closed", func() bool { return h.relay.http.GetOpenConnectionsCount() == 0 })
	}
	assert.Assert(t, heapInUse()-before < allowed)
}

// Guards against idle connections that hold the memory of their largest bodies.
func TestLargeBodiesAreReleased(t *testing.T) {
	const size, callers = 2 << 20, 16
	h := newHarness(t, targetInfos(newScriptedTarget(t, "t-1", "a", func(r *fasthttp.Request) (string, bool) { return sealed(r, 200, ""), false })))
	raw := rawRequest("POST", "/once/", strings.Repeat("x", size))
	before := heapInUse()
	for range callers {
		c := h.connect(t)
		c.send(raw)
		assert.Equal(t, c.mustReceive().status, 200)
	}
	// The target's server keeps one buffer per connection; it has few connections.
	assert.Assert(t, heapInUse()-before < size*callers/2)
}

// Guards against truncated requests that reach a target, or whose connection the
// relay does not close.
func TestTruncatedRequest(t *testing.T) {
	target := newScriptedTarget(t, "t-1", "a", echo)
	h := newHarness(t, targetInfos(target))
	request := rawRequest("POST", "/once/", "body", "A: b")
	for cut := range len(request) {
		c := h.connect(t)
		c.send(request[:cut])
		assert.NilError(t, c.conn.(interface{ CloseWrite() error }).CloseWrite())
		for {
			_, err := c.receive()
			if err == nil {
				continue
			}
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "connection was not closed after a request truncated to %d bytes", cut)
			break
		}
		_, _ = io.Copy(io.Discard, c.conn)
	}
	assert.Equal(t, len(target.receivedIDs()), 0)
}
