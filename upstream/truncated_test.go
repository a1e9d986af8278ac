package upstream

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// Guards against a response that is cut off at some byte, by a close or a reset of the
// connection, and counts as complete. A body without a length ends with the close of
// the connection, so that only a reset shows that it is not complete.
func TestTruncatedResponse(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nRhubarbrelay-Attempt-Id: own\r\nRhubarbrelay-Response-Seal: seal\r\n"
	tests := []struct {
		name, response string
		reset          bool
	}{
		{"length, closed", start + "Content-Length: 12\r\n\r\nhello, world", false},
		{"length, reset", start + "Content-Length: 12\r\n\r\nhello, world", true},
		{"chunks, closed", start + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n", false},
		{"chunks, reset", start + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n", true},
		{"chunks and trailer, closed", start + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n", false},
		{"no length, reset", start + "Connection: close\r\n\r\nhello, world", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for length := range len(tt.response) {
				p := NewPool(startTarget(t, sendPart(tt.response[:length], tt.reset)), 1)
				c := acquire(t, p)
				req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
				req.SetRequestURI("http://target/")
				req.Header.Set("Rhubarbrelay-Attempt-Id", "own")
				err := c.RoundTrip(req, resp, time.Now().Add(testTimeout), nil)
				assert.ErrorIs(t, err, ErrOutcomeUnknown, fmt.Sprintf("cut after %d bytes: status %d, body %q", length, resp.StatusCode(), resp.Body()))
				c.Release()
				p.Close()
			}
		})
	}
}

// sendPart returns a script that responds with the first part of a response and closes
// or resets the connection.
func sendPart(part string, reset bool) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return
		}
		_, _ = c.Write([]byte(part))
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
	}
}
