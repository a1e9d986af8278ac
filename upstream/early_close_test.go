package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// startUntilClose is the start of a response whose body ends with the connection.
const startUntilClose = "HTTP/1.1 200 OK\r\nRhubarbrelay-Attempt-Id: own\r\nRhubarbrelay-Response-Seal: seal\r\n\r\n"

// connEnd ends the connection of a target. answered is closed when the sender of the request
// has the response.
type connEnd func(c *net.TCPConn, answered <-chan struct{})

// sendLarge sends a request with a large body. Its target reads the header only, sends a part
// of a response, and ends the connection after a pause.
func sendLarge(t *testing.T, size int, part string, pause time.Duration, end connEnd) (*fasthttp.Response, error) {
	t.Helper()
	answered := make(chan struct{})
	defer close(answered)
	p := NewPool(startTarget(t, func(c net.Conn, r *bufio.Reader) {
		var h fasthttp.RequestHeader
		assert.Check(t, h.Read(r))
		_, err := io.WriteString(c, part)
		assert.Check(t, err)
		time.Sleep(pause)
		end(c.(*net.TCPConn), answered)
	}), 1)
	defer p.Close()
	c := acquire(t, p)
	defer c.Release()
	req, resp := newRequest("own"), fasthttp.AcquireResponse()
	req.Header.SetMethod(fasthttp.MethodPut)
	req.SetBodyRaw([]byte(strings.Repeat("x", size)))
	req.Header.SetContentLength(size)
	return resp, c.RoundTrip(req, resp, time.Now().Add(testTimeout), nil)
}

// reset resets the connection.
func reset(c *net.TCPConn, _ <-chan struct{}) { _ = c.SetLinger(0) }

// closeUnread closes the connection when bytes of the request have arrived that are unread, so
// that the kernel resets it. Without such bytes it would close it in order.
func closeUnread(c *net.TCPConn, _ <-chan struct{}) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool {
		var peek [1]byte
		n, _, _ := syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return n > 0
	})
}

// closeThenReset ends the response in order and resets the connection behind it.
func closeThenReset(c *net.TCPConn, _ <-chan struct{}) { _ = c.CloseWrite() }

// closeAndRead ends the response in order and reads the rest of the request.
func closeAndRead(c *net.TCPConn, _ <-chan struct{}) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// closeAndWait ends the response in order and reads nothing of the request any more.
func closeAndWait(c *net.TCPConn, answered <-chan struct{}) {
	_ = c.CloseWrite()
	<-answered
}

var (
	uploadSizes = []int{9 << 10, 400 << 10, 1 << 20, 2 << 20, 4 << 20, 8 << 20}
	endPauses   = []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond}
)

// Guards against a part of a response that counts as the whole one, since its connection
// was reset while the request was still being sent: the kernel reports the reset once, and
// if the write gets it, the read sees the end of the stream. A response without a length
// ends there.
func TestResetDuringUpload(t *testing.T) {
	for _, end := range []struct {
		name string
		end  connEnd
	}{{"reset", reset}, {"closed with unread bytes", closeUnread}} {
		for _, size := range uploadSizes {
			for _, pause := range endPauses {
				t.Run(fmt.Sprintf("%s, %d bytes, %s", end.name, size, pause), func(t *testing.T) {
					resp, err := sendLarge(t, size, startUntilClose+"a part", pause, end.end)
					assert.ErrorIs(t, err, ErrOutcomeUnknown, "status %d, body %q", resp.StatusCode(), resp.Body())
				})
			}
		}
	}
}

// Guards against a whole response that is rejected, or awaited until the deadline, because
// its target has closed the connection in order while the request was still being sent.
func TestCloseDuringUpload(t *testing.T) {
	const body = "the whole body"
	for _, end := range []struct {
		name string
		end  connEnd
	}{{"and read on", closeAndRead}, {"and read nothing", closeAndWait}, {"and reset behind it", closeThenReset}} {
		for _, size := range uploadSizes {
			for _, pause := range endPauses {
				t.Run(fmt.Sprintf("%s, %d bytes, %s", end.name, size, pause), func(t *testing.T) {
					start := time.Now()
					resp, err := sendLarge(t, size, startUntilClose+body, pause, end.end)
					assert.NilError(t, err)
					assert.Equal(t, string(resp.Body()), body)
					assert.Assert(t, time.Since(start) < testTimeout/2, "ended only after %s", time.Since(start))
				})
			}
		}
	}
}

// Guards against a response that counts as whole although nothing tells whether its
// connection was reset, and against one that is rejected although the whole request was
// sent, after which only the read can get the reset.
func TestCloseOfUnknownState(t *testing.T) {
	ended := make(chan struct{})
	close(ended)
	tests := []struct {
		name   string
		upload *upload
		want   bool
	}{
		{"unfinished", &upload{ended: make(chan struct{})}, false},
		{"failed", &upload{ended: ended, err: syscall.ECONNRESET}, false},
		{"complete", &upload{ended: ended}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, new(Conn).closedInOrder(tt.upload), tt.want)
		})
	}
}
