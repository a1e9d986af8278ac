package relay

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// incompleteRequests returns requests that the tests break off.
func incompleteRequests() []string {
	const id = "Rhubarbrelay-Attempt-Id: id-1\r\n"
	const chunked = "POST /once/ HTTP/1.1\r\n" + host + id + "Transfer-Encoding: chunked\r\n"
	return []string{
		rawRequest("GET", "/once/", ""),
		rawRequest("POST", "/once/", "body", "A: b"),
		rawRequest("POST", "/once/", "body", "Expect: 100-continue"),
		chunked + "\r\n4\r\nbody\r\n1;a=b\r\nx\r\n0\r\n\r\n",
		chunked + "Trailer: X-Sum\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n",
		chunked + "Expect: 100-continue\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	}
}

// Guards against a request whose caller stops sending that is answered as malformed:
// its caller would not retry.
func TestIncompleteRequest(t *testing.T) {
	target := newScriptedTarget(t, "t-1", "a", echo)
	h := newHarness(t, targetInfos(target))
	for _, raw := range incompleteRequests() {
		for cut := 1; cut < len(raw); cut++ {
			c := h.connect(t)
			c.send(raw[:cut])
			c.closeWrite()
			got, err := c.receive()
			if err != nil {
				assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "connection was not closed after %q", raw[:cut])
				continue
			}
			assert.Equal(t, got.status, 408, "after %q", raw[:cut])
			assert.Equal(t, got.body, "request did not arrive completely\n")
			assert.Equal(t, got.headers["Connection"], "close")
		}
	}
	assert.Equal(t, len(target.receivedIDs()), 0)
	assert.Equal(t, h.relay.Stats().Refused["malformed"], uint64(0))
}

// Guards against a request that is answered as malformed because its caller is slow,
// at any position of it.
func TestSlowRequestAtEachPosition(t *testing.T) {
	target := newScriptedTarget(t, "t-1", "a", echo)
	h := newHarness(t, targetInfos(target), WithReadTimeout(100*time.Millisecond))
	for _, raw := range incompleteRequests() {
		var connected []*caller
		for cut := 1; cut < len(raw); cut++ {
			c := h.connect(t)
			c.send(raw[:cut])
			connected = append(connected, c)
		}
		for i, c := range connected {
			got := c.mustReceive()
			assert.Equal(t, got.status, 408, "after %q", raw[:i+1])
			assert.Equal(t, got.body, "request did not arrive in time\n")
		}
	}
	assert.Equal(t, len(target.receivedIDs()), 0)
}

// Guards against a connection that is reset, before or during a request, and counts as
// malformed input.
func TestResetConnection(t *testing.T) {
	h := newHarness(t, nil)
	for _, raw := range append(incompleteRequests(), "") {
		before := h.relay.Stats().Refused["incomplete"]
		c := h.connect(t)
		c.send(raw[:len(raw)*9/10])
		waitFor(t, "the connection is open", func() bool { return h.relay.http.GetOpenConnectionsCount() > 0 })
		assert.NilError(t, c.conn.(*net.TCPConn).SetLinger(0))
		assert.NilError(t, c.conn.Close())
		waitFor(t, "the connection is closed", func() bool { return h.relay.http.GetOpenConnectionsCount() == 0 })
		assert.Assert(t, h.relay.Stats().Refused["incomplete"] <= before+1)
	}
	assert.Equal(t, h.relay.Stats().Refused["malformed"], uint64(0))
}

// Guards against a malformed request that counts as incomplete because its caller has
// closed its connection: the caller would send it again.
func TestMalformedRequestOfAClosedConnection(t *testing.T) {
	h := newHarness(t, nil)
	for _, raw := range []string{
		"SSH-2.0-client\r\n\r\n", "G(T / HTTP/1.1\r\n" + host + "\r\n", "GET / HTTP/1.1\r\n" + host + host + "\r\n",
		"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n" + strings.Repeat("x", 100),
	} {
		c := h.connect(t)
		c.send(raw)
		c.closeWrite()
		assert.Equal(t, c.mustReceive().status, 400, raw)
	}
}

// Guards against a target that is given more time than the caller has left, because the
// time for receiving the body does not count.
func TestDeadlineIncludesReceivingTheBody(t *testing.T) {
	handed := make(chan string, 1)
	h := newHarness(t, targetInfos(newScriptedTarget(t, "t-1", "a", func(r *fasthttp.Request) (string, bool) {
		handed <- string(r.Header.Peek("Rhubarbrelay-Deadline-Ms"))
		return sealed(r, 200, "ok"), false
	})))
	const timeout = 9000 // of the 10 s that the route allows, so that the request is run on a busy machine
	raw := rawRequest("POST", "/once/", "body", fmt.Sprintf("Rhubarbrelay-Deadline-Ms: %d", timeout))
	c := h.connect(t)
	c.send(raw[:len(raw)-1])
	waitFor(t, "the request has arrived in part", func() bool { return h.relay.InProgress() > 0 })
	started := time.Now()
	time.Sleep(50 * time.Millisecond)
	received := time.Since(started)
	c.send(raw[len(raw)-1:])
	assert.Equal(t, c.mustReceive().status, 200)
	left, err := strconv.Atoi(<-handed)
	assert.NilError(t, err)
	assert.Assert(t, left <= timeout-int(received.Milliseconds()), "%d ms after %s", left, received)
}
