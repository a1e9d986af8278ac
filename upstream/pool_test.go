package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 10 * time.Second

// serve answers each connection by the script until the test ends.
func serve(t *testing.T, script func(c net.Conn, r *bufio.Reader)) Destination {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var running sync.WaitGroup
	running.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			running.Go(func() {
				defer func() { _ = c.Close() }()
				script(c, bufio.NewReader(c))
			})
		}
	})
	t.Cleanup(func() { _ = l.Close(); running.Wait() })
	return Destination{Address: netip.MustParseAddrPort(l.Addr().String()), HealthPath: "/healthz"}
}

// answers returns a script that answers every request with the header lines.
func answers(lines string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		for {
			var req fasthttp.Request
			if req.Read(r) != nil {
				return
			}
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n%s\r\n", lines); err != nil {
				return
			}
		}
	}
}

func take(t *testing.T, p *Pool) *Conn {
	t.Helper()
	c, err := p.Acquire(time.Now().Add(testTimeout))
	assert.NilError(t, err)
	return c
}

func probe(t *testing.T, c *Conn) {
	t.Helper()
	_, healthy, err := c.Probe(time.Now().Add(testTimeout))
	assert.NilError(t, err)
	assert.Assert(t, healthy)
}

// Guards against connections that are not used again, or used again although
// their target closes them.
func TestReuse(t *testing.T) {
	tests := []struct {
		name  string
		lines string
		opts  []Option
		dials uint64
	}{
		{name: "kept", dials: 1},
		{name: "closed by the target", lines: "Connection: close\r\n", dials: 2},
		{name: "timeout that is about to end", lines: "Keep-Alive: timeout=1\r\n", dials: 2},
		{name: "long timeout", lines: "Keep-Alive: timeout=60, max=9\r\n", opts: []Option{WithIdleTimeout(time.Nanosecond)}, dials: 1},
		{name: "idle for too long", opts: []Option{WithIdleTimeout(time.Nanosecond)}, dials: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPool(serve(t, answers(tt.lines)), 4, tt.opts...)
			defer p.Close()
			for range 2 {
				c := take(t, p)
				probe(t, c)
				c.Release()
			}
			assert.Equal(t, p.Dials(), tt.dials)
		})
	}
}

// Guards against an idle connection on which something arrived: the bytes would
// be taken for the answer to the next request.
func TestUnaskedBytes(t *testing.T) {
	sent := make(chan struct{})
	p := NewPool(serve(t, func(c net.Conn, r *bufio.Reader) {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return
		}
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		<-sent
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		sent <- struct{}{}
		_, _ = r.ReadByte()
	}), 4)
	defer p.Close()
	c := take(t, p)
	probe(t, c)
	c.Release()
	sent <- struct{}{}
	<-sent
	for deadline := time.Now().Add(testTimeout); c.isQuiet(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline))
	}
	other := take(t, p)
	assert.Assert(t, other != c)
	other.spoilt = true
	other.Release()
}

// Guards against more connections to a target than its share allows, and
// against shares that are lost with the connections.
func TestLimit(t *testing.T) {
	p := NewPool(serve(t, answers("")), 2)
	defer p.Close()
	a, b := take(t, p), take(t, p)
	_, err := p.Acquire(time.Now().Add(testTimeout))
	assert.ErrorIs(t, err, ErrPoolExhausted)
	assert.ErrorIs(t, err, ErrNotSent)
	a.spoilt = true
	a.Release()
	b.Release()
	c, d := take(t, p), take(t, p)
	p.SetLimit(1)
	c.Release()
	d.Release()
	assert.Equal(t, p.open, 1)
}

// Guards against a request that is sent to a target which is no longer in use.
func TestClosedPool(t *testing.T) {
	p := NewPool(serve(t, answers("")), 2)
	c := take(t, p)
	p.Close()
	c.Release()
	_, err := p.Acquire(time.Now().Add(testTimeout))
	assert.ErrorIs(t, err, ErrPoolClosed)
	assert.Equal(t, p.open, 0)
}

// Guards against a large request that waits for a target which has answered
// already, and against the use of its connection, on which the rest of the body
// is still due.
func TestEarlyAnswer(t *testing.T) {
	p := NewPool(serve(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = r.ReadByte()
		_, _ = fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nRhubarbrelay-Attempt-Id: 1\r\nRhubarbrelay-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(testTimeout / 20)
	}), 2)
	defer p.Close()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("/x")
	req.Header.SetHost("h")
	req.Header.Set("Rhubarbrelay-Attempt-Id", "1")
	req.SetBodyString(strings.Repeat("x", 32<<20))
	req.Header.SetContentLength(32 << 20)
	c := take(t, p)
	assert.NilError(t, c.RoundTrip(req, resp, time.Now().Add(testTimeout)))
	assert.Equal(t, resp.StatusCode(), 503)
	c.Release()
	assert.Equal(t, p.open, 0)
}

// Guards against an exchange that goes on after it was canceled.
func TestCancel(t *testing.T) {
	arrived := make(chan struct{})
	p := NewPool(serve(t, func(_ net.Conn, r *bufio.Reader) {
		var req fasthttp.Request
		if req.Read(r) == nil {
			close(arrived)
			_, _ = r.ReadByte()
		}
	}), 2)
	defer p.Close()
	c := take(t, p)
	go func() {
		<-arrived
		c.Cancel()
	}()
	began := time.Now()
	_, _, err := c.Probe(began.Add(testTimeout))
	assert.ErrorIs(t, err, ErrOutcomeUnknown)
	assert.Assert(t, time.Since(began) < testTimeout)
	c.Release()
	assert.Equal(t, p.open, 0)
}
