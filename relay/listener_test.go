package relay

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// unusedAddress returns an address at which nothing listens.
func unusedAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

// Guards against a refused connection without an answer, and against a limit
// that leaks.
func TestConnectionLimit(t *testing.T) {
	h := newHarness(t, infos(newScripted(t, "t-1", "a", echo)), WithMaxConnections(1))
	first := h.connect(t)
	first.send(message("POST", "/once/", "body"))
	assert.Equal(t, first.mustReceive().status, 200)
	refused := h.call(t, "POST", "/once/", "body", "Rhubarbrelay-Attempt-Id: id-2")
	assert.Equal(t, refused.status, 503)
	assert.Equal(t, refused.body, "instance has too many connections of callers\n")
	assert.Assert(t, refused.headers["Retry-After"] != "")
	assert.Equal(t, refused.headers["Connection"], "close")
	assert.Equal(t, refused.headers["Rhubarbrelay-Attempt-Id"], "id-2")
	assert.NilError(t, first.conn.Close())
	waitFor(t, "the place is free", func() bool { return h.call(t, "GET", "/safe/", "").status == 200 })
}

// Guards against a stop that waits for connections on which nothing was sent,
// until the process is killed, and against one that cuts off a request.
func TestShutdown(t *testing.T) {
	release := make(chan struct{})
	target := newScripted(t, "t-1", "a", func(r *fasthttp.Request) (string, bool) {
		<-release
		return sealed(r, 200, "late"), false
	})
	h := newHarness(t, infos(target))
	h.connect(t) // sends nothing
	c := h.connect(t)
	c.send(message("POST", "/once/", ""))
	waitFor(t, "the request runs", func() bool { return len(target.arrived()) == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- h.relay.Shutdown(ctx) }()
	select {
	case err := <-ended:
		t.Fatalf("ended with a request in progress: %v", err)
	case <-time.After(3 * flushTime):
	}
	close(release)
	assert.Equal(t, c.mustReceive().body, "late")
	began := time.Now()
	assert.NilError(t, <-ended)
	assert.Assert(t, time.Since(began) < testTimeout/2)
}
