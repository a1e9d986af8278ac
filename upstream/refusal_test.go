package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rhubarbrelay/platform"
)

// newRequest returns a request that a target can read, with the ID.
func newRequest(id string) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("/x")
	req.Header.SetHost("target")
	req.Header.Set("Rhubarbrelay-Attempt-Id", id)
	return req
}

// readRequest reads the request that a test sends to a scripted target, and fails the
// test if it cannot: the script would not run.
func readRequest(t *testing.T, r *bufio.Reader) {
	var req fasthttp.Request
	assert.Check(t, req.Read(r), "the target cannot read the request")
}

// respondInOrder returns a script that responds to the requests of each connection with
// the texts, in their order.
func respondInOrder(t *testing.T, responses ...string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		for i, response := range responses {
			if i == 0 {
				readRequest(t, r)
			} else if new(fasthttp.Request).Read(r) != nil {
				return // the connection carries no further request
			}
			if _, err := c.Write([]byte(response)); err != nil {
				return
			}
		}
		_, _ = r.ReadByte()
	}
}

func refusal(id string) string {
	line := ""
	if id != "" {
		line = "Rhubarbrelay-Attempt-Id: " + id + "\r\n"
	}
	return "HTTP/1.1 503 Busy\r\n" + line + "Rhubarbrelay-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
}

func success(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRhubarbrelay-Attempt-Id: %s\r\nRhubarbrelay-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok", id)
}

// Guards against a refusal of an earlier request, or of a probe, that a target writes
// once more on a kept connection and that counts as the refusal of the next request,
// which the target runs. The right response follows it.
func TestRepeatedRefusal(t *testing.T) {
	const healthy = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	tests := []struct {
		name          string
		first, second string // IDs of the requests, empty for a probe
		responses     []string
		want          string // what is known of the second request
	}{
		{"control: first on its connection", "", "b", []string{refusal("b")}, "refused"},
		{"control: own refusal", "a", "b", []string{success("a"), refusal("b")}, "refused"},
		{"control: own response after a refusal", "a", "b", []string{refusal("a"), success("b")}, "ran"},
		{"with the ID of the earlier request", "a", "b", []string{refusal("a"), refusal("a") + success("b")}, "ran"},
		{"without ID", "a", "b", []string{refusal(""), refusal("") + success("b")}, "unknown"},
		{"without ID after a success", "a", "b", []string{success("a"), refusal("") + success("b")}, "unknown"},
		{"of a probe", "", "b", []string{refusal(""), refusal("") + success("b")}, "unknown"},
		{"without ID after a healthy probe", "", "b", []string{healthy, refusal("") + success("b")}, "unknown"},
		{"next request has the same ID", "a", "a", []string{refusal("a"), refusal("a") + success("a")}, "not sent"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPool(startTarget(t, respondInOrder(t, tt.responses...)), 1)
			defer p.Close()
			c := acquire(t, p)
			defer func() { c.Release() }()
			resp := fasthttp.AcquireResponse()
			deadline := time.Now().Add(testTimeout)
			switch {
			case len(tt.responses) == 1: // the connection is new
			case tt.first == "":
				_, _, err := c.Probe(deadline)
				assert.NilError(t, err)
			default:
				assert.NilError(t, c.RoundTrip(newRequest(tt.first), resp, deadline, nil))
			}
			err := c.RoundTrip(newRequest(tt.second), resp, deadline, nil)
			assert.Equal(t, knowledge(resp, err), tt.want, "%v", err)
		})
	}
}

// knowledge returns what is known of a request after its exchange.
func knowledge(resp *fasthttp.Response, err error) string {
	switch {
	case errors.Is(err, ErrNotSent):
		return "not sent"
	case err != nil:
		return "unknown"
	case platform.ReadResponseInfo(&resp.Header).NotRun:
		return "refused"
	}
	return "ran"
}

// Guards against a response that is accepted although a caller could not read it, and
// against a connection that carries on after it.
func TestRejectedResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRhubarbrelay-Attempt-Id: own\r\nRhubarbrelay-Response-Seal: s\r\n"
	tests := []struct {
		name, response string
		accepted       bool
	}{
		{"control", head + "Content-Length: 1\r\n\r\nb", true},
		{"sealed success without ID", "HTTP/1.1 200 OK\r\nRhubarbrelay-Response-Seal: s\r\nContent-Length: 1\r\n\r\nb", false},
		{"two IDs", head + "Rhubarbrelay-Attempt-Id: other\r\nContent-Length: 1\r\n\r\nb", false},
		{"two IDs, that of another request first", strings.Replace(head, "own", "other\r\nrhubarbrelay-attempt-id: own", 1) + "Content-Length: 1\r\n\r\nb", false},
		{"two seals", head + "Rhubarbrelay-Response-Seal: t\r\nContent-Length: 1\r\n\r\nb", false},
		{"content encoding", head + "Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nb", false},
		{"other protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + head + "Content-Length: 1\r\n\r\nb", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := exchange(t, sendPart(t, tt.response, false))
			if tt.accepted {
				assert.NilError(t, err)
				return
			}
			assert.ErrorIs(t, err, ErrOutcomeUnknown)
		})
	}
}

// failingConn accepts some bytes of what is written, then fails.
type failingConn struct {
	net.Conn
	accepts int
}

func (c *failingConn) Write(b []byte) (int, error) {
	n := min(c.accepts, len(b))
	c.accepts -= n
	if n < len(b) {
		return n, net.ErrClosed
	}
	return n, nil
}

// Guards against a request that counts as not sent although its target has got a part of
// it, and against one that counts as sent although it has got nothing.
func TestFailedWrite(t *testing.T) {
	for _, tt := range []struct {
		accepts int
		want    error
	}{{0, ErrNotSent}, {1, ErrOutcomeUnknown}} {
		own, other := net.Pipe()
		p := NewPool(Destination{}, 1, WithDial(func(context.Context, string, string) (net.Conn, error) {
			return &failingConn{own, tt.accepts}, nil
		}))
		c := acquire(t, p)
		err := c.RoundTrip(newRequest("own"), fasthttp.AcquireResponse(), time.Now().Add(testTimeout), nil)
		assert.ErrorIs(t, err, tt.want)
		c.Release()
		p.Close()
		assert.NilError(t, other.Close())
	}
}
