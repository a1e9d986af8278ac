package upstream

import (
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rhubarbrelay/bodies"
)

// Guards against errors that quote a malformed response in full: the log lines about them
// take memory until they are written.
func TestErrorsOfMalformedResponsesAreShort(t *testing.T) {
	const maxError = 512
	garbage := strings.Repeat("\x01", 7000)
	const ok = "HTTP/1.1 200 OK\r\n"
	tests := []struct{ name, response string }{
		{"status line", garbage + "\r\n\r\n"},
		{"status line without a space", strings.Repeat("x", 7000) + "\r\n\r\n"},
		{"status", "HTTP/1.1 " + garbage + "\r\n\r\n"},
		{"header name", ok + garbage + ": x\r\n\r\n"},
		{"header line", ok + garbage + "\r\n\r\n"},
		{"length", ok + "Content-Length: " + garbage + "\r\n\r\n"},
		{"transfer encoding", ok + "Transfer-Encoding: " + garbage + "\r\n\r\n"},
		{"chunk", ok + "Transfer-Encoding: chunked\r\n\r\n" + garbage + "\r\n"},
		{"trailer", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + garbage + "\r\n\r\n"},
		{"long header", ok + "A: " + strings.Repeat(garbage, 2)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPool(startTarget(t, sendPart(t, tt.response, false)), 1)
			defer p.Close()
			c := acquire(t, p)
			defer c.Release()
			resp := fasthttp.AcquireResponse()
			defer fasthttp.ReleaseResponse(resp)
			err := c.RoundTrip(newRequest("own"), resp, time.Now().Add(testTimeout), bodies.NewReservation(bodies.NewMemory(1<<20), 1))
			assert.ErrorIs(t, err, ErrOutcomeUnknown)
			assert.Assert(t, len(err.Error()) <= maxError, "the text has %d bytes", len(err.Error()))
		})
	}
}

// Guards against a target that counts as healthy because of a broken response to a probe.
func TestBrokenResponseToProbe(t *testing.T) {
	tests := []struct {
		name, response string
		accepted       bool
	}{
		{"control", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true},
		{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", false},
		{"status 099", "HTTP/1.1 099 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPool(startTarget(t, sendPart(t, tt.response, false)), 1)
			defer p.Close()
			c := acquire(t, p)
			_, healthy, err := c.Probe(time.Now().Add(testTimeout))
			c.Release()
			assert.Equal(t, healthy, tt.accepted)
			if !tt.accepted {
				assert.ErrorIs(t, err, ErrOutcomeUnknown)
				assert.Equal(t, p.openConns, 0, "the connection is used again")
			}
		})
	}
}
