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
				resp, err := exchange(t, sendPart(t, tt.response[:length], tt.reset))
				assert.ErrorIs(t, err, ErrOutcomeUnknown, fmt.Sprintf("cut after %d bytes: status %d, body %q", length, resp.StatusCode(), resp.Body()))
			}
			if tt.reset {
				return // a reset may overtake the end of the response
			}
			resp, err := exchange(t, sendPart(t, tt.response, false))
			assert.NilError(t, err, "control: the whole response")
			assert.Assert(t, len(resp.Body()) > 0)
		})
	}
}

// Guards against a response that is cut off in its header, by a close of the connection,
// and counts as one with an empty or short body. The body without a length has no end
// but the close, so that every part of it counts as the whole body.
func TestTruncatedHeader(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nRhubarbrelay-Attempt-Id: own\r\nRhubarbrelay-Response-Seal: seal\r\nConnection: close\r\n\r\n"
	for length := range len(header) {
		for _, reset := range []bool{false, true} {
			_, err := exchange(t, sendPart(t, header[:length], reset))
			assert.ErrorIs(t, err, ErrOutcomeUnknown, "cut after %d bytes", length)
		}
	}
	resp, err := exchange(t, sendPart(t, header+"hello", false))
	assert.NilError(t, err, "control: the whole response")
	assert.Equal(t, string(resp.Body()), "hello")
}

// exchange sends a request to a target with the script.
func exchange(t *testing.T, script func(net.Conn, *bufio.Reader)) (*fasthttp.Response, error) {
	t.Helper()
	p := NewPool(startTarget(t, script), 1)
	defer p.Close()
	c := acquire(t, p)
	defer c.Release()
	resp := fasthttp.AcquireResponse()
	return resp, c.RoundTrip(newRequest("own"), resp, time.Now().Add(testTimeout), nil)
}

// sendPart returns a script that responds with the first part of a response and closes
// or resets the connection.
func sendPart(t *testing.T, part string, reset bool) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		readRequest(t, r)
		_, _ = c.Write([]byte(part))
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
	}
}
