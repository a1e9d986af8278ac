package upstream

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// benchmarkResponse is a usual response of a target.
const benchmarkResponse = "HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 01:26:37 GMT\r\nContent-Type: application/json\r\n" +
	"Rhubarbrelay-Attempt-Id: 9c41d07be2a35f68\r\nRhubarbrelay-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
	"Rhubarbrelay-Instance-Id: i-7f3a91c2\r\nRhubarbrelay-Server-Load: 3,0,8,100\r\nContent-Length: 2\r\n\r\nok"

// repeatingConn is a connection to a target that has sent the same response often enough.
type repeatingConn struct {
	net.Conn
	response string
}

func (c repeatingConn) Read(p []byte) (int, error) { return copy(p, c.response), nil }

func (repeatingConn) Write(p []byte) (int, error) { return len(p), nil }

func (repeatingConn) SetDeadline(time.Time) error { return nil }

// BenchmarkRoundTrip measures an exchange with a target without the work of the kernel.
func BenchmarkRoundTrip(b *testing.B) {
	p := NewPool(Destination{}, 1, WithDial(func(context.Context, string, string) (net.Conn, error) {
		return repeatingConn{response: benchmarkResponse}, nil
	}))
	c, err := p.Acquire(time.Now().Add(testTimeout))
	assert.NilError(b, err)
	req, resp := newRequest("9c41d07be2a35f68"), fasthttp.AcquireResponse()
	b.ReportAllocs()
	for b.Loop() {
		if err := c.RoundTrip(req, resp, time.Time{}, nil); err != nil {
			b.Fatal(err)
		}
	}
}
