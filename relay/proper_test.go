package relay

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
)

// fragmentingListener accepts connections whose reads end at chosen positions.
type fragmentingListener struct {
	*net.TCPListener
	cuts      atomic.Pointer[[]int] // of the connections that are accepted next
	closeOnce sync.Once
}

// Accept implements net.Listener.
func (l *fragmentingListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &fragmentingConn{TCPConn: conn, cuts: *l.cuts.Load()}, nil
}

// Close implements net.Listener.
func (l *fragmentingListener) Close() (err error) {
	l.closeOnce.Do(func() { err = l.TCPListener.Close() })
	return err
}

// fragmentingConn is a connection of which a read never crosses a cut.
type fragmentingConn struct {
	*net.TCPConn
	cuts []int // ascending offsets
	read int
}

// Read implements net.Conn.
func (c *fragmentingConn) Read(p []byte) (int, error) {
	for len(c.cuts) > 0 && c.cuts[0] <= c.read {
		c.cuts = c.cuts[1:]
	}
	if len(c.cuts) > 0 {
		p = p[:min(len(p), c.cuts[0]-c.read)]
	}
	n, err := c.TCPConn.Read(p)
	c.read += n
	return n, err
}

// serveFragmented makes the relay accept connections on a further address, whose reads
// end at the cuts.
func (h *harness) serveFragmented(t testing.TB) (connect func(t testing.TB, cuts []int) *caller) {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &fragmentingListener{TCPListener: tcp.(*net.TCPListener)} //nolint:errcheck,forcetypeassert // It is one.
	served := make(chan error, 1)
	go func() { served <- h.relay.Serve(l) }()
	t.Cleanup(func() {
		assert.Check(t, l.Close())
		assert.Check(t, <-served)
	})
	further := &harness{address: tcp.Addr().String()}
	return func(t testing.TB, cuts []int) *caller {
		t.Helper()
		l.cuts.Store(&cuts)
		return further.connect(t)
	}
}

// properRequest is a request that a correct caller may send.
type properRequest struct {
	name string
	raw  string
	// want is the method, the path with the query, and the body that the target
	// receives.
	want string
	// closes is set if the request ends its connection.
	closes bool
}

// properRequests returns requests within the limits of the harness, in all forms that
// HTTP/1.1 allows.
func properRequests() []properRequest {
	const id = "Rhubarbrelay-Attempt-Id: id-1\r\n"
	const chunked = host + id + "Transfer-Encoding: chunked\r\n"
	var cases []properRequest
	add := func(name, raw, want string) { cases = append(cases, properRequest{name: name, raw: raw, want: want}) }
	addClosing := func(name, raw, want string) {
		cases = append(cases, properRequest{name: name, raw: raw, want: want, closes: true})
	}
	for _, method := range []string{"GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "HEAD", "PROPFIND", "M-SEARCH", "x"} {
		add(method+" without body", method+" /once/a HTTP/1.1\r\n"+host+id+"\r\n", method+" /once/a ")
		add(method+" with empty body", method+" /once/a HTTP/1.1\r\n"+host+id+"Content-Length: 0\r\n\r\n", method+" /once/a ")
		add(method+" with body", method+" /once/a HTTP/1.1\r\n"+host+id+"Content-Length: 4\r\n\r\nbody", method+" /once/a body")
		add(method+" with chunked body", method+" /once/a HTTP/1.1\r\n"+chunked+"\r\n4\r\nbody\r\n0\r\n\r\n", method+" /once/a body")
	}
	for _, body := range []struct{ name, fields, raw, body string }{
		{"chunked, empty", "", "0\r\n\r\n", ""},
		{"chunked, several", "", "1\r\na\r\n10\r\n0123456789abcdef\r\n2\r\n\r\n\r\n0\r\n\r\n", "a0123456789abcdef\r\n"},
		{"chunked, single bytes", "", strings.Repeat("1\r\nx\r\n", 100) + "0\r\n\r\n", strings.Repeat("x", 100)},
		{"chunked, upper case and leading zeros", "", "000A\r\n0123456789\r\n000\r\n\r\n", "0123456789"},
		{"chunked, extensions", "", "4;a=b;c=\"d\";e\r\nbody\r\n0;f\r\n\r\n", "body"},
		{"chunked, announced trailer", "Trailer: X-Sum\r\n", "4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n", "body"},
		{"chunked, trailers", "", "4\r\nbody\r\n0\r\nX-Sum: 1\r\nX-Other: 2\r\n\r\n", "body"},
		{"chunked, body like a request", "", "1c\r\nGET /other/ HTTP/1.1\r\nA: b\r\n\r\n0\r\n\r\n", "GET /other/ HTTP/1.1\r\nA: b\r\n"},
	} {
		add(body.name, "POST /once/ HTTP/1.1\r\n"+chunked+body.fields+"\r\n"+body.raw, "POST /once/ "+body.body)
	}
	for _, line := range []struct{ name, line string }{
		{"host in upper case", "HOST: SPOOLKEEP.Example"},
		{"host with port", "Host: spoolkeep.example:8144"},
		{"host with empty port", "Host: spoolkeep.example:"},
		{"host without space", "Host:spoolkeep.example"},
		{"host with spaces", "host: \t spoolkeep.example \t"},
		{"host with trailing dot", "Host: spoolkeep.example."},
		{"host with trailing dot and port", "Host: spoolkeep.example.:8144"},
	} {
		add(line.name, "GET /once/ HTTP/1.1\r\n"+line.line+"\r\n"+id+"\r\n", "GET /once/ ")
	}
	for _, target := range []string{"http://spoolkeep.example", "HTTP://SPOOLKEEP.EXAMPLE:80", "https://spoolkeep.example."} {
		add("absolute form "+target, "GET "+target+"/once/a?b HTTP/1.1\r\n"+host+id+"\r\n", "GET /once/a?b ")
		add("absolute form with another host, "+target, "GET "+target+"/once/a?b HTTP/1.1\r\nHost: other\r\n"+id+"\r\n", "GET /once/a?b ")
	}
	for _, path := range []string{
		"?", "??", "?a=b?c=d", "?x=http://other/y", "http://other/y", "//", "//a//b/", "%2f", "%2F..%2f", "..%2f..", "../once/", "./", ".", "..",
		";a=b;c", "a;b/c", "%23", "%3f", "%00", "%C3%A9", "%25", "~!$&'()*+,;=:@-._", "?~!$&'()*+,;=:@-._/?%20", "a/b/c/d/e/f/g/", "*", "@", ":80/",
		strings.Repeat("long/", 180), "?" + strings.Repeat("q", 900),
	} {
		add("path "+path[:min(len(path), 40)], "GET /once/"+path+" HTTP/1.1\r\n"+host+id+"\r\n", "GET /once/"+path+" ")
	}
	for _, lines := range []string{
		"A:", "A: ", "A: \t", "A:b", "A: b:c", "A: b\tc  d", "A: \"q\\\"\"", "A: \x80\xff\xc3\xa9", "A: " + strings.Repeat("v", 4000),
		"!#$%&'*+-.^_`|~09azAZ: x", strings.Repeat("N", 200) + ": x", "A: 1\r\na: 2\r\nA: 1", "Cookie: a=b\r\nCookie: c=d; e", "Cookie: ",
		"Content-Type: a/b\r\nContent-Type: a/b", "Content-Type:", "User-Agent:", "Connection: keep-alive", "Connection: Keep-Alive, X-Hop\r\nX-Hop: 1",
		"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__", "TE: trailers", "Keep-Alive: timeout=5",
		"Accept-Encoding: gzip, br;q=0", "Range: bytes=0-1", "If-None-Match: \"x\", W/\"y\"", "Authorization: Basic eDp5", "Proxy-Authorization: x",
		"Proxy-Connection: keep-alive", "Max-Forwards: 3", "Via: 1.1 a, 1.0 b", "Rhubarbrelay-Deadline-Ms: 9000", "Rhubarbrelay-Deadline-Ms: 0009000",
		"rhubarbrelay-deadline-ms:9000", "Rhubarbrelay-Deadline-Ms: soon", "Rhubarbrelay-Deadline-Ms:",
		"Expect: 100-continue", "expect:100-Continue", strings.TrimSuffix(strings.Repeat("X-Field: value\r\n", 300), "\r\n"),
	} {
		add("fields "+lines[:min(len(lines), 40)], "POST /once/ HTTP/1.1\r\n"+host+lines+"\r\n"+id+"Content-Length: 4\r\n\r\nbody", "POST /once/ body")
	}
	add("content length with leading zeros", "POST /once/ HTTP/1.1\r\n"+host+id+"content-length:0004 \r\n\r\nbody", "POST /once/ body")
	add("encoding in upper case", "POST /once/ HTTP/1.1\r\n"+host+id+"TRANSFER-ENCODING:\tCHUNKED \r\n\r\n4\r\nbody\r\n0\r\n\r\n", "POST /once/ body")
	add("chunked after expectation", "POST /once/ HTTP/1.1\r\n"+chunked+"Expect: 100-continue\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "POST /once/ body")
	add("expectation without body", "GET /once/ HTTP/1.1\r\n"+host+id+"Expect: 100-continue\r\n\r\n", "GET /once/ ")
	add("empty line before the request", "\r\nGET /once/ HTTP/1.1\r\n"+host+id+"\r\n", "GET /once/ ")
	add("longest ID", "GET /once/ HTTP/1.1\r\n"+host+"Rhubarbrelay-Attempt-Id: "+strings.Repeat("i", maxRequestID)+"\r\n\r\n", "GET /once/ ")
	addClosing("connection close", "GET /once/ HTTP/1.1\r\n"+host+id+"Connection: close\r\n\r\n", "GET /once/ ")
	addClosing("HTTP/1.0", "GET /once/ HTTP/1.0\r\n"+host+id+"\r\n", "GET /once/ ")
	addClosing("HTTP/1.0 with body and expectation", "POST /once/ HTTP/1.0\r\n"+host+id+"Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbody", "POST /once/ body")
	add("HTTP/1.0 keep-alive", "GET /once/ HTTP/1.0\r\n"+host+id+"Connection: keep-alive\r\n\r\n", "GET /once/ ")
	return cases
}

// describe responds with the method, the path with the query and the body of the
// request.
func describe(req *fasthttp.Request) (string, bool) {
	if req.Header.IsHead() {
		return sealedHead(req), false
	}
	return sealedLarge(req, fmt.Sprintf("%s %s %s", req.Header.Method(), req.Header.RequestURI(), req.Body())), false
}

// sealedHead is the response to a HEAD request.
func sealedHead(req *fasthttp.Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRhubarbrelay-Attempt-Id: %s\r\nRhubarbrelay-Response-Seal: seal\r\nContent-Length: 9\r\n\r\n",
		req.Header.Peek("Rhubarbrelay-Attempt-Id"))
}

// mustReceiveProper receives the response to a proper request.
func (c *caller) mustReceiveProper(request properRequest) {
	c.t.Helper()
	head := strings.HasPrefix(request.raw, "HEAD ")
	got, err := c.receiveResponse(head)
	assert.NilError(c.t, err)
	assert.Equal(c.t, got.status, 200, got.body)
	if !head {
		assert.Equal(c.t, got.body, request.want)
	}
}

// maxCuts limits the positions at which a request is cut in which neither a length nor
// a chunk is what the test is about.
const maxCuts = 16

// Guards against a proper request that is refused because of its form or of the
// position at which it is fragmented, and against one that spoils the request after it.
func TestProperRequests(t *testing.T) {
	h := newHarness(t, targetInfos(newScriptedTarget(t, "t-1", "a", describe)))
	connect := h.serveFragmented(t)
	for _, request := range properRequests() {
		t.Run(request.name, func(t *testing.T) {
			step := 1
			if !strings.HasPrefix(request.name, "chunked") && !strings.HasPrefix(request.name, "POST") {
				step += len(request.raw) / maxCuts
			}
			var cuts []int
			for i := range len(request.raw)/step + 1 {
				cuts = append(cuts, i*len(request.raw)+i*step)
			}
			if request.closes {
				for i := range len(cuts) {
					c := connect(t, []int{i * step})
					c.send(request.raw)
					c.mustReceiveProper(request)
				}
				return
			}
			c := connect(t, cuts)
			for range cuts {
				c.send(request.raw)
				c.mustReceiveProper(request)
			}
		})
	}
}

// Guards against a proper request that is refused when it arrives byte by byte, or
// together with those before and after it.
func TestProperRequestsByteByByteAndPipelined(t *testing.T) {
	h := newHarness(t, targetInfos(newScriptedTarget(t, "t-1", "a", describe)))
	connect := h.serveFragmented(t)
	var requests []properRequest
	var all strings.Builder
	for _, request := range properRequests() {
		if !request.closes {
			requests = append(requests, request)
			all.WriteString(request.raw)
		}
	}
	every := make([]int, all.Len())
	for i := range every {
		every[i] = i
	}
	for _, cuts := range [][]int{every, nil} {
		c := connect(t, cuts)
		sent := make(chan error, 1)
		go func() { _, err := c.conn.Write([]byte(all.String())); sent <- err }()
		for _, request := range requests {
			c.mustReceiveProper(request)
		}
		assert.NilError(t, <-sent)
	}
}

// Guards against a refused request of which the rest is taken for the next request of
// its connection, which would be refused as malformed.
func TestProperRequestAfterARefusedOne(t *testing.T) {
	target := newScriptedTarget(t, "t-1", "a", describe)
	h := newHarness(t, targetInfos(target))
	const id = "Rhubarbrelay-Attempt-Id: id-1\r\n"
	large := strings.Repeat("GET /once/ HTTP/1.1\r\n\r\n", 20_000)
	refused := []struct {
		name, raw string
		status    int
	}{
		{"no route", rawRequest("POST", "/other/", "body"), 404},
		{"no route, large body", rawRequest("POST", "/other/", large), 404},
		{"no route, chunked", "POST /other/ HTTP/1.1\r\n" + host + id + "Transfer-Encoding: chunked\r\n\r\n4;a\r\nbody\r\n0\r\nA: b\r\n\r\n", 404},
		{"no ID", "POST /once/ HTTP/1.1\r\n" + host + "Content-Length: 4\r\n\r\nbody", 400},
		{"long ID", rawRequest("POST", "/once/", "body", "Rhubarbrelay-Attempt-Id: "+strings.Repeat("i", maxRequestID+1)), 400},
		{"unknown expectation", rawRequest("POST", "/once/", large, "Expect: miracles"), 417},
		{"no route for HEAD", rawRequest("HEAD", "/other/", ""), 404},
	}
	next := properRequest{raw: rawRequest("POST", "/once/", "next"), want: "POST /once/ next"}
	for _, r := range refused {
		t.Run(r.name, func(t *testing.T) {
			c := h.connect(t)
			c.send(r.raw + next.raw)
			got, err := c.receiveResponse(strings.HasPrefix(r.raw, "HEAD "))
			assert.NilError(t, err)
			assert.Equal(t, got.status, r.status)
			c.mustReceiveProper(next)
		})
	}
}

// Guards against a proper request that is refused as the caller's error because it
// arrives while the instance stops.
func TestProperRequestsDuringShutdown(t *testing.T) {
	const callers = 40
	h := newHarness(t, targetInfos(newScriptedTarget(t, "t-1", "a", describe)))
	connect := h.serveFragmented(t)
	request := properRequest{raw: rawRequest("POST", "/once/", "body"), want: "POST /once/ body"}
	var running sync.WaitGroup
	for i := range callers {
		c := connect(t, []int{i * len(request.raw) / callers, len(request.raw)})
		running.Go(func() {
			for {
				if _, err := c.conn.Write([]byte(request.raw)); err != nil {
					return
				}
				got, err := c.receive()
				if err != nil {
					return
				}
				assert.Check(t, got.status == 200 || got.status == 503, "status %d: %s", got.status, got.body)
			}
		})
	}
	waitFor(t, "requests are served", func() bool { return h.relay.Stats().Forwarded > callers })
	h.relay.StartDraining(time.Now().Add(time.Minute))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.NilError(t, h.relay.Shutdown(ctx))
	running.Wait()
	assert.Equal(t, h.relay.Stats().Refused["malformed"]+h.relay.Stats().Refused["incomplete"], uint64(0))
}

// Guards against a request that runs on a route although the last one was removed, and
// against one that is refused after routes have come back.
func TestRemovalOfLastRoute(t *testing.T) {
	h := newHarness(t, targetInfos(newScriptedTarget(t, "t-1", "a", echo)))
	without := &config.Document{Version: 2, Services: map[string]*config.Service{}}
	without.Index()
	kept := h.connect(t)
	for range 2 {
		for _, step := range []struct {
			document *config.Document
			want     int
		}{{harnessDocument(), 200}, {without, 404}} {
			h.document.Store(step.document)
			kept.send(rawRequest("POST", "/once/", "body"))
			assert.Equal(t, kept.mustReceive().status, step.want)
			assert.Equal(t, h.call(t, "GET", "/safe/", "").status, step.want)
		}
	}
}
