package relay

import (
	"context"
	"net/netip"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// unusedAddress returns an address that nothing listens on until the test ends. The socket
// that holds the port does not listen: an address that is merely free may be that of the
// next listener.
func unusedAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, syscall.Close(fd)) })
	assert.NilError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	name, err := syscall.Getsockname(fd)
	assert.NilError(t, err)
	bound := name.(*syscall.SockaddrInet4) //nolint:errcheck,forcetypeassert // The socket is one of IPv4.
	return netip.AddrPortFrom(netip.AddrFrom4(bound.Addr), uint16(bound.Port))
}

// Guards against refused connections without a response, and against closed
// connections that still count towards the limit.
func TestConnectionLimit(t *testing.T) {
	h := newHarness(t, targetInfos(newScriptedTarget(t, "t-1", "a", echo)), WithMaxConnections(1))
	first := h.connect(t)
	first.send(rawRequest("POST", "/once/", "body"))
	assert.Equal(t, first.mustReceive().status, 200)
	refused := h.call(t, "POST", "/once/", "body", "Rhubarbrelay-Attempt-Id: id-2")
	assert.Equal(t, refused.status, 503)
	assert.Equal(t, refused.body, "instance has too many connections of callers\n")
	assert.Assert(t, refused.headers["Retry-After"] != "")
	assert.Equal(t, refused.headers["Connection"], "close")
	assert.Equal(t, refused.headers["Rhubarbrelay-Attempt-Id"], "id-2")
	assert.NilError(t, first.conn.Close())
	waitFor(t, "the closed connection no longer counts", func() bool { return h.call(t, "GET", "/safe/", "").status == 200 })
}

// Guards against a shutdown that waits, until the process is killed, for a
// connection on which nothing was sent, and against one that aborts a request in
// progress.
func TestShutdown(t *testing.T) {
	release := make(chan struct{})
	target := newScriptedTarget(t, "t-1", "a", func(r *fasthttp.Request) (string, bool) {
		<-release
		return sealed(r, 200, "late"), false
	})
	h := newHarness(t, targetInfos(target))
	h.connect(t) // sends nothing
	c := h.connect(t)
	c.send(rawRequest("POST", "/once/", ""))
	waitFor(t, "the target has the request", func() bool { return len(target.receivedIDs()) == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- h.relay.Shutdown(ctx) }()
	select {
	case err := <-ended:
		t.Fatalf("shutdown returned with a request in progress: %v", err)
	case <-time.After(300 * time.Millisecond):
	}
	close(release)
	assert.Equal(t, c.mustReceive().body, "late")
	start := time.Now()
	assert.NilError(t, <-ended)
	assert.Assert(t, time.Since(start) < testTimeout/2)
}

// Guards against a request that an instance takes while it shuts down and that is still
// in progress at the end, and against refusing those that will have ended.
func TestRequestsWhileDraining(t *testing.T) {
	tests := []struct {
		name, path, deadlineMS string
		end                    time.Duration // from the request
		status                 int
	}{
		{"ends in time", "/once/x", "500", time.Minute, 200},
		{"must not run twice", "/once/x", "9000", 5 * time.Second, 503},
		{"idempotent", "/safe/x", "9000", 5 * time.Second, 200},
		{"idempotent, too late", "/safe/x", "9000", time.Second, 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var deadline string
			target := newScriptedTarget(t, "t-1", "a", func(req *fasthttp.Request) (string, bool) {
				deadline = string(req.Header.Peek("Rhubarbrelay-Deadline-Ms"))
				return echo(req)
			})
			h := newHarness(t, targetInfos(target))
			h.relay.StartDraining(time.Now().Add(tt.end))
			got := h.call(t, "POST", tt.path, "body", "Rhubarbrelay-Deadline-Ms: "+tt.deadlineMS)
			assert.Equal(t, got.status, tt.status, got.body)
			assert.Equal(t, got.headers["Connection"], "close")
			if tt.status != 200 {
				assert.Equal(t, len(target.receivedIDs()), 0)
				assert.Assert(t, got.headers["Retry-After"] != "")
				return
			}
			ms, err := strconv.Atoi(deadline)
			assert.NilError(t, err)
			assert.Assert(t, time.Duration(ms)*time.Millisecond <= tt.end, "%s", deadline)
		})
	}
}
