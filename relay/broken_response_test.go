package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rhubarbrelay/targets"
)

// brokenResponses are responses that a faulty target makes from its own one. None of them
// may reach a caller.
var brokenResponses = []struct {
	name  string
	spoil func(response string) string
}{
	{"status 000", withStatusLine("HTTP/1.1 000 X")},
	{"status 000 without a reason", withStatusLine("HTTP/1.1 000")},
	{"status 099", withStatusLine("HTTP/1.1 099 X")},
	{"status 600", withStatusLine("HTTP/1.1 600 X")},
	{"status 999", withStatusLine("HTTP/1.1 999 X")},
	{"blank in a name", withLine("X Y: b\r\n")},
	{"blank before the colon", withLine("X : b\r\n")},
	{"blank in front of a name", withLine(" X: b\r\n")},
	{"tab in front of a name", withLine("\tX: b\r\n")},
	{"tab in a name", withLine("X\tY: b\r\n")},
	{"line feed in front of a name", withLine("\nX: b\r\n")},
	{"line feed behind a line", withLine("X: b\n")},
	{"carriage return in a name", withLine("X\rY: b\r\n")},
	{"NUL in a name", withLine("X\x00Y: b\r\n")},
	{"DEL in a name", withLine("X\x7fY: b\r\n")},
	{"no name", withLine(": b\r\n")},
	{"no colon", withLine("X\r\n")},
	{"control byte in a value", withLine("X: b\x01\r\n")},
	{"blank before the colon of the length", func(response string) string {
		return strings.Replace(response, "Content-Length:", "Content-Length :", 1)
	}},
	{"two lengths", withLine("Content-Length: 7\r\n")},
	{"length of a list", func(response string) string {
		return strings.Replace(response, "Content-Length: 7", "Content-Length: 7, 7", 1)
	}},
	{"signed length", func(response string) string {
		return strings.Replace(response, "Content-Length: 7", "Content-Length: +7", 1)
	}},
	{"length beside chunks", func(response string) string {
		return strings.Replace(withChunks("7\r\nspoiled\r\n0\r\n\r\n")(response), "Transfer-Encoding", "Content-Length: 5\r\nTransfer-Encoding", 1)
	}},
	{"chunks with HTTP/1.0", func(response string) string {
		return strings.Replace(withChunks("7\r\nspoiled\r\n0\r\n\r\n")(response), "HTTP/1.1", "HTTP/1.0", 1)
	}},
	{"chunks with HTTP/1.2", func(response string) string {
		return strings.Replace(withChunks("7\r\nspoiled\r\n0\r\n\r\n")(response), "HTTP/1.1", "HTTP/1.2", 1)
	}},
	{"two transfer codings", func(response string) string {
		return strings.Replace(withChunks("7\r\nspoiled\r\n0\r\n\r\n")(response), "chunked", "gzip, chunked", 1)
	}},
	{"content encoding and an empty one", withLine("Content-Encoding: gzip\r\nContent-Encoding:\r\n")},
	{"two IDs", withLine("Rhubarbrelay-Attempt-Id: other\r\n")},
	{"two seals", withLine("Rhubarbrelay-Response-Seal: other\r\n")},
	{"blank behind a chunk size", withChunks("7 \r\nspoiled\r\n0\r\n\r\n")},
	{"control byte in a chunk extension", withChunks("7;a\x01=b\r\nspoiled\r\n0\r\n\r\n")},
	{"line feed behind a chunk size", withChunks("7\nspoiled\r\n0\r\n\r\n")},
	{"no line end behind a chunk", withChunks("7\r\nspoiled0\r\n\r\n")},
	{"signed chunk size", withChunks("+7\r\nspoiled\r\n0\r\n\r\n")},
	{"no last chunk", withChunks("7\r\nspoiled\r\n")},
	{"no end of the trailer", withChunks("7\r\nspoiled\r\n0\r\n")},
	{"blank in the name of a trailer", withChunks("7\r\nspoiled\r\n0\r\nX Y: b\r\n\r\n")},
	{"blank before the colon of a trailer", withChunks("7\r\nspoiled\r\n0\r\nX : b\r\n\r\n")},
	{"trailer that continues a line", withChunks("7\r\nspoiled\r\n0\r\nX: b\r\n c\r\n\r\n")},
	{"line feed behind a trailer", withChunks("7\r\nspoiled\r\n0\r\nX: b\n\r\n")},
}

func withStatusLine(line string) func(string) string {
	return func(response string) string { return strings.Replace(response, "HTTP/1.1 200 X", line, 1) }
}

// withLine inserts a line behind that of the seal.
func withLine(line string) func(string) string {
	return func(response string) string {
		return strings.Replace(response, "Content-Length:", line+"Content-Length:", 1)
	}
}

// withChunks replaces the length and the body by a chunked body as it is sent.
func withChunks(raw string) func(string) string {
	return func(response string) string {
		header, _, _ := strings.Cut(response, "Content-Length:")
		return header + "Transfer-Encoding: chunked\r\n\r\n" + raw
	}
}

// Guards against a response that is broken and reaches the caller as one of the target,
// and against a request that must not run twice and does after such a response. The
// target may have run the request.
func TestBrokenResponses(t *testing.T) {
	for _, tt := range brokenResponses {
		t.Run(tt.name, func(t *testing.T) {
			spoiled := func(req *fasthttp.Request) (string, bool) {
				response := sealed(req, fasthttp.StatusOK, "spoiled")
				broken := tt.spoil(response)
				assert.Check(t, broken != response)
				return broken, true
			}
			for _, request := range []struct {
				path, body string
				status     int
				second     int // requests that reach the second target
			}{
				{"/once/", "exchange with the target broke\n", fasthttp.StatusBadGateway, 0},
				{"/single/", "exchange with the target broke\n", fasthttp.StatusBadGateway, 0},
				{"/safe/", "body", fasthttp.StatusOK, 1},
			} {
				// The target of zone a is tried first.
				first, second := newScriptedTarget(t, "t-1", "a", spoiled), newScriptedTarget(t, "t-2", "b", echo)
				h := newHarness(t, targetInfos(first, second))
				got := h.call(t, "POST", request.path, "body")
				assert.Equal(t, got.status, request.status)
				assert.Equal(t, got.body, request.body)
				assert.Equal(t, got.seal() != "", request.status == fasthttp.StatusOK)
				assert.Equal(t, len(first.receivedIDs()), 1)
				assert.Equal(t, len(second.receivedIDs()), request.second)
			}
		})
	}
}

// Guards against a response that is rejected although it is allowed, and against the tests
// above passing because all responses are.
func TestUnusualResponses(t *testing.T) {
	tests := []struct {
		name   string
		change func(response string) string
	}{
		{"control", withLine("")},
		{"empty reason", withStatusLine("HTTP/1.1 200 ")},
		{"no reason", withStatusLine("HTTP/1.1 200")},
		{"reason with bytes above 0x7f", withStatusLine("HTTP/1.1 200 \xc3\x9c")},
		{"HTTP/1.0", withStatusLine("HTTP/1.0 200 X")},
		{"interim response", func(response string) string { return "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + response }},
		{"field without a value", withLine("X:\r\n")},
		{"bytes above 0x7f in a value", withLine("X: \x80\xff\r\n")},
		{"all characters of a token in a name", withLine("!#$%&'*+-.^_`|~09az: b\r\n")},
		{"chunks", withChunks("3\r\nspo\r\n4\r\niled\r\n0\r\n\r\n")},
		{"chunk extensions", withChunks("7 ; a = \"b;\\\"c\" ;d\r\nspoiled\r\n0;e\r\n\r\n")},
		{"trailer", withChunks("7\r\nspoiled\r\n0\r\nX: b\r\n\r\n")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			target := newScriptedTarget(t, "t-1", "a", func(req *fasthttp.Request) (string, bool) {
				return tt.change(sealed(req, fasthttp.StatusOK, "spoiled")), true
			})
			got := newHarness(t, targetInfos(target)).call(t, "POST", "/once/", "body")
			assert.Equal(t, got.status, fasthttp.StatusOK)
			assert.Equal(t, got.body, "spoiled")
			assert.Equal(t, got.seal(), "seal-spoiled")
		})
	}
}

// Guards against a broken response of another instance, to which a request was passed on, that
// is handed on to the caller. The request may have run.
func TestBrokenResponsesOfOtherInstances(t *testing.T) {
	for _, tt := range brokenResponses {
		t.Run(tt.name, func(t *testing.T) {
			peer := newScriptedTarget(t, "peer", "a", func(req *fasthttp.Request) (string, bool) {
				return tt.spoil(sealed(req, fasthttp.StatusOK, "spoiled")), true
			})
			h := newCutHarness(t, &peerList{[]netip.AddrPort{peer.info.Address}})
			got := h.call(t, "POST", "/once/", "body")
			assert.Equal(t, got.status, fasthttp.StatusBadGateway)
			assert.Equal(t, got.body, "exchange with another instance broke\n")
			assert.Equal(t, got.seal(), "")
			assert.Equal(t, len(peer.receivedIDs()), 1)
		})
	}
}

// Guards against a broken response to a hedge that ends the request, although the first try
// is still in flight and gets the target's response.
func TestBrokenResponseToHedge(t *testing.T) {
	release := make(chan struct{})
	first := newScriptedTarget(t, "t-1", "a", func(req *fasthttp.Request) (string, bool) {
		<-release
		return sealed(req, fasthttp.StatusOK, "first"), false
	})
	second := newScriptedTarget(t, "t-2", "b", respondAlways(func(req *fasthttp.Request) string {
		return withStatusLine("HTTP/1.1 000 X")(sealed(req, fasthttp.StatusOK, "spoiled"))
	}, false))
	h := newHarness(t, targetInfos(first))
	c := h.connect(t)
	c.send(rawRequest("GET", "/safe/", ""))
	// The second target is added only when the first one has the request, so that their order
	// is certain.
	waitFor(t, "the first target has the request", func() bool { return len(first.receivedIDs()) == 1 })
	h.targets = targetInfos(first, second)
	h.table.RefreshTargets("spoolkeep")
	waitFor(t, "the connection of the hedge is closed", func() bool { return len(second.closed) > 0 })
	close(release)
	got := c.mustReceive()
	assert.Equal(t, got.status, fasthttp.StatusOK)
	assert.Equal(t, got.body, "first")
}

// newResettingTarget starts a target that responds to a request before it has read the body,
// without a length, and resets the connection after a part of its response.
func newResettingTarget(t *testing.T, pause time.Duration) *targets.Target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var running sync.WaitGroup
	serve := func(c *net.TCPConn) {
		defer func() { _ = c.Close() }()
		reader := bufio.NewReader(c)
		for {
			var h fasthttp.RequestHeader
			if h.Read(reader) != nil {
				return
			}
			if string(h.RequestURI()) != "/healthz" {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRhubarbrelay-Attempt-Id: %s\r\nRhubarbrelay-Response-Seal: s\r\n\r\na part", h.Peek("Rhubarbrelay-Attempt-Id"))
				time.Sleep(pause)
				_ = c.SetLinger(0)
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRhubarbrelay-Instance-Id: t-1\r\nRhubarbrelay-Server-Load: 0,0,8,100\r\nContent-Length: 0\r\n\r\n")
		}
	}
	running.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			running.Go(func() { serve(c.(*net.TCPConn)) })
		}
	})
	t.Cleanup(func() { _ = l.Close(); running.Wait() })
	return &targets.Target{ID: "t-1", Service: "spoolkeep", Zone: "a", Slots: 8, Address: netip.MustParseAddrPort(l.Addr().String())}
}

// Guards against a part of a response that reaches the caller as a whole one, since its
// connection was reset while the body of the request was still being sent.
func TestResetDuringUpload(t *testing.T) {
	request := strings.Repeat("x", 4<<20)
	whole := respondAlways(func(req *fasthttp.Request) string { return sealed(req, fasthttp.StatusOK, "whole") }, false)
	for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		for _, tt := range []struct {
			path, body string
			status     int
		}{
			{"/once/", "exchange with the target broke\n", fasthttp.StatusBadGateway},
			{"/safe/", "whole", fasthttp.StatusOK},
		} {
			t.Run(tt.path+pause.String(), func(t *testing.T) {
				second := newScriptedTarget(t, "t-2", "b", whole)
				h := newHarness(t, append(targetInfos(second), newResettingTarget(t, pause)))
				got := h.call(t, "PUT", tt.path, request)
				assert.Equal(t, got.status, tt.status)
				assert.Equal(t, got.body, tt.body)
				assert.Equal(t, got.seal() != "", tt.status == fasthttp.StatusOK)
			})
		}
	}
}
