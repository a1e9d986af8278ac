package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/header"
)

// The two ignored goroutines belong to fasthttp's server: the clock of the Date
// header lives as long as the process, and the worker pool's cleaner ends up to
// 10 s after its server.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// testDeadline is long enough never to end an exchange that works.
const testDeadline = 20 * time.Second

// fakeTarget is a target that a test scripts connection by connection.
type fakeTarget struct {
	listener net.Listener
	accepted atomic.Int64
	received atomic.Int64 // bytes
	handlers sync.WaitGroup
}

// newFakeTarget runs the script on each accepted connection.
func newFakeTarget(t *testing.T, script func(c net.Conn)) *fakeTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fakeTarget{listener: l}
	f.handlers.Add(1)
	go func() {
		defer f.handlers.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f.accepted.Add(1)
			f.handlers.Go(func() {
				defer func() { _ = c.Close() }()
				script(&countedConn{Conn: c, received: &f.received})
			})
		}
	}()
	return f
}

// start returns a pool to the target; both end with the test.
func (f *fakeTarget) start(t *testing.T, limit int, opts ...Option) *Pool {
	t.Helper()
	address := netip.MustParseAddrPort(f.listener.Addr().String())
	p := NewPool(config.Target{Name: "t", Address: address}, limit, opts...)
	t.Cleanup(func() {
		p.Close()
		_ = f.listener.Close()
		f.handlers.Wait()
	})
	return p
}

type countedConn struct {
	net.Conn
	received *atomic.Int64
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

// reset closes the connection with a TCP reset.
func reset(c net.Conn) {
	if counted, ok := c.(*countedConn); ok {
		c = counted.Conn
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// answerWith answers each request with the raw bytes.
func answerWith(raw string) func(net.Conn) {
	return func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			req := fasthttp.AcquireRequest()
			err := req.Read(r)
			fasthttp.ReleaseRequest(req)
			if err != nil {
				return
			}
			if _, err := io.WriteString(c, raw); err != nil {
				return
			}
		}
	}
}

// echo answers each request with its body and request id.
func echo(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		req := fasthttp.AcquireRequest()
		if req.Read(r) != nil {
			fasthttp.ReleaseRequest(req)
			return
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %s\r\n\r\n%s",
			len(req.Body()), header.RequestID, req.Header.Peek(header.RequestID), req.Body())
		fasthttp.ReleaseRequest(req)
		if err != nil {
			return
		}
	}
}

func newRequest(method, body string) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.SetMethod(method)
	req.SetRequestURI("/orders")
	req.Header.SetHost("spoolkeep")
	req.Header.Set(header.RequestID, "id-1")
	req.SetBodyString(body)
	return req
}

func post(p *Pool, body string) (*fasthttp.Response, error) {
	resp := &fasthttp.Response{}
	err := p.Exchange(newRequest("POST", body), resp, Terms{Deadline: time.Now().Add(testDeadline)})
	return resp, err
}

// waitFor waits until the condition holds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	end := time.Now().Add(testDeadline)
	for !condition() {
		if time.Now().After(end) {
			t.Fatalf("did not happen: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func repeat(s string, n int) string { return strings.Repeat(s, n) }
