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

// startTarget starts a target that runs the script for each connection until
// the test ends.
func startTarget(t *testing.T, script func(c net.Conn, r *bufio.Reader)) Destination {
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

// respondWith returns a script that responds to every request with 200 and the
// header lines.
func respondWith(lines string) func(net.Conn, *bufio.Reader) {
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

func acquire(t *testing.T, p *Pool) *Conn {
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

// Guards against connections that are not reused, and against reuse of
// connections that the target closes.
func TestReuse(t *testing.T) {
	tests := []struct {
		name  string
		lines string
		opts  []Option
		dials uint64
	}{
		{name: "keep-alive by default", dials: 1},
		{name: "closed by the target", lines: "Connection: close\r\n", dials: 2},
		{name: "keep-alive timeout shorter than the margin", lines: "Keep-Alive: timeout=1\r\n", dials: 2},
		{name: "long keep-alive timeout", lines: "Keep-Alive: timeout=60, max=9\r\n", opts: []Option{WithIdleTimeout(time.Nanosecond)}, dials: 1},
		{name: "idle timeout of the pool has passed", opts: []Option{WithIdleTimeout(time.Nanosecond)}, dials: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPool(startTarget(t, respondWith(tt.lines)), 4, tt.opts...)
			defer p.Close()
			for range 2 {
				c := acquire(t, p)
				probe(t, c)
				c.Release()
			}
			assert.Equal(t, p.Dials(), tt.dials)
		})
	}
}

// Guards against reuse of an idle connection on which bytes have arrived: they
// would be read as the response to the next request.
func TestUnsolicitedBytes(t *testing.T) {
	sent := make(chan struct{})
	p := NewPool(startTarget(t, func(c net.Conn, r *bufio.Reader) {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return // the second connection carries no request
		}
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		<-sent
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		sent <- struct{}{}
		_, _ = r.ReadByte()
	}), 4)
	defer p.Close()
	c := acquire(t, p)
	probe(t, c)
	c.Release()
	sent <- struct{}{}
	<-sent
	// After the idle timeout and the deadline of the probe no connection is reusable.
	for deadline := time.Now().Add(DefaultIdleTimeout / 2); c.isReusable(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline))
	}
	other := acquire(t, p)
	assert.Assert(t, other != c)
	other.noReuse = true
	other.Release()
}

// Guards against more connections to a target than the limit allows, against
// closed connections that still count towards the limit, and against connections
// that stay open after the limit was lowered.
func TestLimit(t *testing.T) {
	p := NewPool(startTarget(t, respondWith("")), 2)
	defer p.Close()
	a, b := acquire(t, p), acquire(t, p)
	_, err := p.Acquire(time.Now().Add(testTimeout))
	assert.ErrorIs(t, err, ErrPoolExhausted)
	assert.ErrorIs(t, err, ErrNotSent)
	a.noReuse = true
	a.Release()
	b.Release()
	c, d := acquire(t, p), acquire(t, p)
	p.SetLimit(1)
	c.Release()
	d.Release()
	assert.Equal(t, p.openConns, 1)
}

// Guards against requests that are sent to a target after its pool was closed,
// and against connections that were in use at that time and are never closed.
func TestClosedPool(t *testing.T) {
	p := NewPool(startTarget(t, respondWith("")), 2)
	c := acquire(t, p)
	p.Close()
	c.Release()
	_, err := p.Acquire(time.Now().Add(testTimeout))
	assert.ErrorIs(t, err, ErrPoolClosed)
	assert.Equal(t, p.openConns, 0)
}

// Guards against a large request that keeps being written after the target has
// responded, and against reuse of its connection, on which the target still
// expects the rest of the body.
func TestEarlyResponse(t *testing.T) {
	p := NewPool(startTarget(t, func(c net.Conn, r *bufio.Reader) {
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
	c := acquire(t, p)
	assert.NilError(t, c.RoundTrip(req, resp, time.Now().Add(testTimeout), nil))
	assert.Equal(t, resp.StatusCode(), 503)
	c.Release()
	assert.Equal(t, p.openConns, 0)
}

// Guards against a request that waits for its response until the deadline although
// another goroutine has canceled it, and against a canceled connection that still
// counts towards the limit.
func TestCancel(t *testing.T) {
	arrived := make(chan struct{})
	p := NewPool(startTarget(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(t, r)
		close(arrived)
		_, _ = r.ReadByte()
	}), 2)
	defer p.Close()
	c := acquire(t, p)
	go func() {
		<-arrived
		c.Cancel()
	}()
	start := time.Now()
	_, _, err := c.Probe(start.Add(testTimeout))
	assert.ErrorIs(t, err, ErrOutcomeUnknown)
	assert.Assert(t, time.Since(start) < testTimeout)
	c.Release()
	assert.Equal(t, p.openConns, 0)
}

// Guards against a target that counts as running because it accepts a connection while
// its process ends, and against one that counts as ended although it only resets
// connections.
func TestEnded(t *testing.T) {
	tests := []struct {
		name    string
		serves  bool // whether it responds to probes
		accepts int  // connections until the target refuses them, 0 for no limit
		want    bool
	}{
		{"runs", true, 0, false},
		{"resets connections", false, 0, false},
		{"accepts one more connection", false, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			var running sync.WaitGroup
			running.Go(func() {
				for n := 1; ; n++ {
					c, err := l.Accept()
					if err != nil {
						return
					}
					if n == tt.accepts {
						_ = l.Close()
					}
					if tt.serves {
						running.Go(func() {
							respondWith("")(c, bufio.NewReader(c))
							_ = c.Close()
						})
						continue
					}
					_ = c.Close()
				}
			})
			p := NewPool(Destination{Address: netip.MustParseAddrPort(l.Addr().String()), HealthPath: "/healthz"}, 1)
			assert.Equal(t, p.Ended(time.Now().Add(testTimeout)), tt.want)
			p.Close()
			_ = l.Close()
			running.Wait()
			assert.Assert(t, p.Ended(time.Now().Add(testTimeout)), "the listener is closed")
		})
	}
}
