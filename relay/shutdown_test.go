package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// ports are the ports at which a server takes requests.
func ports() []string { return []string{"callers", "peers"} }

// listenOn returns a harness whose address is that of the port.
func listenOn(t *testing.T, port string, targets ...*scriptedTarget) *harness {
	t.Helper()
	h := newHarness(t, targetInfos(targets...))
	if port == "peers" {
		h.address = h.start(t, h.relay.ServePeers)
	}
	return h
}

// beginShutdown starts the shutdown and waits until it has closed an idle connection. Its
// result follows.
func (h *harness) beginShutdown(t *testing.T) <-chan error {
	t.Helper()
	idle := h.connect(t)
	idle.send(rawRequest("GET", "/other/", ""))
	assert.Equal(t, idle.mustReceive().status, 404)
	ended := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	go func() { ended <- h.relay.Shutdown(ctx) }()
	_, err := idle.reader.ReadByte()
	assert.Equal(t, err, io.EOF)
	return ended
}

// assertRuns fails the test if the shutdown ends although a request or a response is on
// its way. The time is three times that after which it ended without regard to them.
func assertRuns(t *testing.T, ended <-chan error) {
	t.Helper()
	select {
	case err := <-ended:
		t.Fatalf("shutdown returned with a connection in use: %v", err)
	case <-time.After(300 * time.Millisecond):
	}
}

// connectSlowly opens a connection with a small receive window.
func (h *harness) connectSlowly(t *testing.T) *caller {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		return errors.Join(raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10) }), err)
	}}
	conn, err := dialer.Dial("tcp", h.address)
	assert.NilError(t, err)
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	t.Cleanup(func() { _ = conn.Close() })
	return &caller{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// Guards against a shutdown that ends while a response is being written: the process exits,
// and a caller on a slow link gets a part of the response.
func TestShutdownWithSlowReader(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 8<<20/16)
	for _, port := range ports() {
		t.Run(port, func(t *testing.T) {
			target := newScriptedTarget(t, "t-1", "a", func(r *fasthttp.Request) (string, bool) { return sealedLarge(r, body), false })
			h := listenOn(t, port, target)
			c := h.connectSlowly(t)
			c.send(rawRequest("POST", "/once/", ""))
			_, err := c.reader.Peek(1)
			assert.NilError(t, err)
			waitFor(t, "the handler has ended", func() bool { return h.relay.InProgress() == 0 })
			ended := h.beginShutdown(t)
			assertRuns(t, ended)
			assert.Assert(t, c.mustReceive().body == body)
			assert.NilError(t, <-ended)
		})
	}
}

// Guards against a shutdown that ends while a request is arriving: it would be sent to a
// target, and the process exits before the response.
func TestShutdownWithSlowSender(t *testing.T) {
	requests := []string{
		rawRequest("POST", "/once/", "body"),
		strings.Replace(chunkedRequest("body", 1), "POST", "PUT", 1),
	}
	for _, port := range ports() {
		for _, raw := range requests {
			t.Run(port+" "+raw[:4], func(t *testing.T) {
				target := newScriptedTarget(t, "t-1", "a", echo)
				h := listenOn(t, port, target)
				c := h.connect(t)
				half := len(raw) / 2
				c.send(raw[:half])
				ended := h.beginShutdown(t)
				assertRuns(t, ended)
				for i := half; i < len(raw); i++ {
					c.send(raw[i : i+1])
				}
				got := c.mustReceive()
				assert.Equal(t, got.status, 200)
				assert.Equal(t, got.body, "body")
				assert.Equal(t, got.headers["Connection"], "close")
				assert.NilError(t, <-ended)
			})
		}
	}
}

// Guards against pipelined requests that are received and not answered because the first
// response closes the connection, and against a response that is lost with them: the caller
// must be able to conclude that the others have not run.
func TestShutdownWithPipelinedRequests(t *testing.T) {
	body := strings.Repeat("x", 1<<20)
	target := newScriptedTarget(t, "t-1", "a", func(r *fasthttp.Request) (string, bool) { return sealedLarge(r, body), false })
	h := newHarness(t, targetInfos(target))
	h.relay.StartDraining(time.Now().Add(testTimeout))
	c := h.connect(t)
	c.send(strings.Repeat(rawRequest("POST", "/once/", strings.Repeat("y", 1<<10)), 100))
	got := c.mustReceive()
	assert.Assert(t, got.body == body)
	assert.Equal(t, got.headers["Connection"], "close")
	_, err := c.receive()
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, len(target.receivedIDs()), 1)
}

// Guards against a request that has arrived only in part when the server must have drained,
// and that is sent to a target or closed without a response.
func TestShutdownRefusesIncompleteRequests(t *testing.T) {
	raw := rawRequest("POST", "/once/", "body")
	for _, cut := range []int{1, 20, len(raw) - 1} {
		target := newScriptedTarget(t, "t-1", "a", echo)
		h := newHarness(t, targetInfos(target))
		c := h.connect(t)
		c.send(raw[:cut])
		h.relay.StartDraining(time.Now().Add(200 * time.Millisecond))
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		assert.NilError(t, h.relay.Shutdown(ctx))
		got := c.mustReceive()
		assert.Equal(t, got.status, 503, "after %q", raw[:cut])
		assert.Equal(t, got.headers["Connection"], "close")
		assert.Assert(t, got.headers["Retry-After"] != "")
		assert.Equal(t, h.relay.Stats().Refused["draining"], uint64(1))
		assert.Equal(t, len(target.receivedIDs()), 0)
	}
}

// Guards against a request that waits for a target and is sent to it when the server must
// have drained, and against one at a target that is aborted then.
func TestShutdownRefusesWaitingRequests(t *testing.T) {
	release := make(chan struct{})
	target := newScriptedTarget(t, "t-1", "a", func(r *fasthttp.Request) (string, bool) {
		<-release
		return sealed(r, 200, "late"), false
	})
	h := newHarness(t, targetInfos(target))
	first := h.connect(t)
	first.send(rawRequest("POST", "/once/", ""))
	waitFor(t, "the target has the request", func() bool { return len(target.receivedIDs()) == 1 })
	h.targets = nil
	h.table.RefreshTargets("spoolkeep")
	waiting := h.connect(t)
	waiting.send(rawRequest("POST", "/once/", "", "Rhubarbrelay-Attempt-Id: id-2"))
	waitFor(t, "the other request waits", func() bool { return h.relay.InProgress() == 2 })
	h.relay.StartDraining(time.Now())
	ended := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	go func() { ended <- h.relay.Shutdown(ctx) }()
	got := waiting.mustReceive()
	assert.Equal(t, got.status, 503)
	assert.Equal(t, got.body, "instance shuts down\n")
	assert.Assert(t, got.headers["Retry-After"] != "")
	close(release)
	assert.Equal(t, first.mustReceive().body, "late")
	assert.NilError(t, <-ended)
	assert.DeepEqual(t, target.receivedIDs(), []string{"id-1"})
}
