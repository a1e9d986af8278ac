package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/header"
)

const requestLength = 120 // bytes, at least the length of the test request

// Guards against a hidden retry: whenever the target closes or resets the
// connection, one exchange puts at most one request on the wire, and only an
// exchange of which the target received nothing is reported as not sent.
func TestExchangeSendsAtMostOnce(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	end := []struct {
		name string
		end  func(net.Conn)
	}{{"close", func(c net.Conn) { _ = c.Close() }}, {"reset", reset}}
	for _, e := range end {
		for read := 0; read <= requestLength; read += 7 {
			t.Run(fmt.Sprintf("%s after %d request bytes", e.name, read), func(t *testing.T) {
				f := newFakeTarget(t, func(c net.Conn) {
					_, _ = io.ReadFull(c, make([]byte, read))
					e.end(c)
				})
				p := f.start(t, 4)
				_, err := post(p, repeat("x", requestLength))
				assert.Assert(t, errors.Is(err, ErrUnknown) || errors.Is(err, ErrNotSent), "%v", err)
				if errors.Is(err, ErrNotSent) {
					assert.Equal(t, f.received.Load(), int64(0))
				}
				assert.Equal(t, f.accepted.Load(), int64(1))
			})
		}
		for written := range len(answer) {
			t.Run(fmt.Sprintf("%s after %d answer bytes", e.name, written), func(t *testing.T) {
				f := newFakeTarget(t, func(c net.Conn) {
					var req [1]byte
					_, _ = c.Read(req[:])
					_, _ = io.WriteString(c, answer[:written])
					e.end(c)
				})
				_, err := post(f.start(t, 4), "")
				assert.ErrorIs(t, err, ErrUnknown)
				assert.Equal(t, f.accepted.Load(), int64(1))
			})
		}
	}
}

// Guards against an answer that is cut at any byte and passed on as whole.
func TestExchangeRefusesCutAnswers(t *testing.T) {
	answers := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nthree spool",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nthree\r\n6\r\n spool\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n5\r\nthree\r\n0\r\nSum: 1\r\n\r\n",
	}
	for _, answer := range answers {
		for cut := range len(answer) {
			f := newFakeTarget(t, func(c net.Conn) {
				buf := make([]byte, 4096)
				_, _ = c.Read(buf)
				_, _ = io.WriteString(c, answer[:cut])
				_ = c.(*countedConn).Conn.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, c)
			})
			p := f.start(t, 1)
			_, err := post(p, "")
			assert.ErrorIs(t, err, ErrUnknown, "cut at %d: %q", cut, answer[:cut])
			assert.Equal(t, p.Stats().Open, 0)
		}
		resp, err := post(newFakeTarget(t, answerWith(answer)).start(t, 1), "")
		assert.NilError(t, err)
		assert.Assert(t, len(resp.Body()) > 0)
	}
}

// Guards against answers that are taken for whole without a proven end, that
// carry a body where none is allowed, or that exceed their bounds.
func TestExchangeAnswers(t *testing.T) {
	cases := []struct {
		name   string
		method string
		answer string
		status int
		body   string
		err    error
		open   int // connections kept
	}{
		{"content length", "POST", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, "ok", nil, 1},
		{"empty", "POST", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200, "", nil, 1},
		{"chunked", "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200, "ok", nil, 1},
		{"connection close", "POST", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 200, "ok", nil, 0},
		{"http/1.0", "POST", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, "ok", nil, 0},
		{"http/1.0 chunked", "POST", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 0, "", errNoProvenEnd, 0},
		{"204", "POST", "HTTP/1.1 204 No Content\r\n\r\n", 204, "", nil, 1},
		{"204 with body", "POST", "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok", 204, "", nil, 0},
		{"304", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", 304, "", nil, 1},
		{"head", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", 200, "", nil, 1},
		{"head chunked", "HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 200, "", nil, 1},
		{"interim", "POST", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, "ok", nil, 1},
		{"too many interim", "POST", repeat("HTTP/1.1 102 Processing\r\n\r\n", 9), 0, "", errManyInterim, 0},
		{"switching protocols", "POST", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", 0, "", errSwitchedProtocol, 0},
		{"close-delimited", "POST", "HTTP/1.1 200 OK\r\n\r\nok", 0, "", errNoProvenEnd, 0},
		{"duplicate length", "POST", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", 0, "", fasthttp.ErrDuplicateContentLength, 0},
		{"unread bytes", "POST", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", 200, "ok", nil, 0},
		{"too large", "POST", "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n", 0, "", errAnswerTooLarge, 0},
		{"too large chunks", "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n", 0, "", errAnswerTooLarge, 0},
		{"too large header", "POST", "HTTP/1.1 200 OK\r\nA: " + repeat("a", headerBuffer) + "\r\n\r\n", 0, "", ErrUnknown, 0},
		{"not http", "POST", "SSH-2.0-x\r\n\r\n", 0, "", ErrUnknown, 0},
		{"foreign id", "POST", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nRhubarbrelay-Request-Id: id-2\r\n\r\nok", 0, "", errForeignAnswer, 0},
		{"own id", "POST", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nRhubarbrelay-Request-Id: id-1\r\n\r\nok", 200, "ok", nil, 1},
		{"not run", "POST", "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\nRhubarbrelay-Outcome: not_run\r\n\r\nok", 503, "ok", ErrNotRun, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newFakeTarget(t, answerWith(c.answer)).start(t, 2, WithMaxAnswer(1000))
			resp := &fasthttp.Response{}
			err := p.Exchange(newRequest(c.method, ""), resp, Terms{Deadline: time.Now().Add(testDeadline)})
			assert.Equal(t, p.Stats().Open, c.open)
			if c.err != nil {
				assert.ErrorIs(t, err, c.err)
			} else {
				assert.NilError(t, err)
			}
			if c.status == 0 {
				assert.ErrorIs(t, err, ErrUnknown)
				return
			}
			assert.Equal(t, resp.StatusCode(), c.status)
			assert.Equal(t, string(resp.Body()), c.body)
		})
	}
}

// Guards against a late answer that reaches the next request: a connection
// whose exchange timed out is never used again.
func TestExchangeClosesAfterTimeout(t *testing.T) {
	release := make(chan struct{})
	var first atomic.Bool
	f := newFakeTarget(t, func(c net.Conn) {
		if first.CompareAndSwap(false, true) {
			buf := make([]byte, 4096)
			_, _ = c.Read(buf)
			<-release
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
			return
		}
		echo(c)
	})
	p := f.start(t, 1)
	resp := &fasthttp.Response{}
	err := p.Exchange(newRequest("POST", "one"), resp, Terms{Deadline: time.Now().Add(30 * time.Millisecond)})
	assert.ErrorIs(t, err, ErrUnknown)
	close(release)
	resp, err = post(p, "two")
	assert.NilError(t, err)
	assert.Equal(t, string(resp.Body()), "two")
	assert.Equal(t, f.accepted.Load(), int64(2))
}

// Guards against the reuse of an idle connection that the target closed, reset
// or wrote to, which would lose the next request or mix up its answer.
func TestExchangeReplacesStaleConnections(t *testing.T) {
	cases := []struct {
		name  string
		after func(c net.Conn)
	}{
		{"closed", func(c net.Conn) { _ = c.Close() }},
		{"reset", reset},
		{"unasked answer", func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
			_, _ = io.Copy(io.Discard, c)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			proceed, done := make(chan struct{}), make(chan struct{})
			var first atomic.Bool
			f := newFakeTarget(t, func(c net.Conn) {
				if !first.CompareAndSwap(false, true) {
					echo(c)
					return
				}
				buf := make([]byte, 4096)
				_, _ = c.Read(buf)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				<-proceed
				close(done)
				tc.after(c)
			})
			p := f.start(t, 1)
			_, err := post(p, "one")
			assert.NilError(t, err)
			close(proceed)
			<-done
			idle := p.idle[0]
			waitFor(t, "the idle connection is seen to be stale", func() bool { return !idle.isQuiet() })
			resp, err := post(p, "two")
			assert.NilError(t, err)
			assert.Equal(t, string(resp.Body()), "two")
			assert.Equal(t, p.Stats().Stale, uint64(1))
		})
	}
}

// Guards against non-idempotent work on a connection that idled long enough to
// be silently dead, and against connections that idle without bound.
func TestExchangeAgesConnections(t *testing.T) {
	f := newFakeTarget(t, echo)
	p := f.start(t, 1)
	proven := Terms{Deadline: time.Now().Add(testDeadline), Proven: true}
	resp := &fasthttp.Response{}
	for range 2 {
		assert.NilError(t, p.Exchange(newRequest("POST", ""), resp, proven))
	}
	assert.Equal(t, f.accepted.Load(), int64(1))
	p.idle[0].lastUsed = time.Now().Add(-provenAge)
	_, err := post(p, "")
	assert.NilError(t, err)
	assert.Equal(t, f.accepted.Load(), int64(1), "idempotent work may use the connection")
	p.idle[0].lastUsed = time.Now().Add(-provenAge)
	assert.NilError(t, p.Exchange(newRequest("POST", ""), resp, proven))
	assert.Equal(t, f.accepted.Load(), int64(2))
	p.idle[0].lastUsed = time.Now().Add(-DefaultMaxIdle)
	_, err = post(p, "")
	assert.NilError(t, err)
	assert.Equal(t, f.accepted.Load(), int64(3))
	assert.Equal(t, p.Stats().Open, 1)
}

// Guards against connections kept open for ever by a pool without requests.
func TestPoolExpiresIdleConnections(t *testing.T) {
	p := newFakeTarget(t, echo).start(t, 2, WithMaxIdle(20*time.Millisecond))
	_, err := post(p, "")
	assert.NilError(t, err)
	waitFor(t, "idle connection closes", func() bool { return p.Stats().Open == 0 })
}

// Guards against more connections than the limit, and against a wait for one
// without bound.
func TestPoolLimitsConnections(t *testing.T) {
	release := make(chan struct{})
	f := newFakeTarget(t, func(c net.Conn) {
		buf := make([]byte, 4096)
		_, _ = c.Read(buf)
		<-release
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		echo(c)
	})
	p := f.start(t, 1, WithMaxWait(time.Millisecond))
	var group sync.WaitGroup
	group.Go(func() {
		_, err := post(p, "first")
		assert.Check(t, err)
	})
	waitFor(t, "the request arrives", func() bool { return f.received.Load() > 0 })
	_, err := post(p, "second")
	assert.ErrorIs(t, err, ErrNoConnection)
	assert.ErrorIs(t, err, ErrNotSent)
	p.maxWait = testDeadline
	group.Go(func() {
		resp, err := post(p, "third")
		assert.Check(t, err)
		assert.Check(t, string(resp.Body()) == "third")
	})
	waitFor(t, "the third request waits", func() bool { return p.Stats().Waiting == 1 })
	close(release)
	group.Wait()
	assert.Equal(t, f.accepted.Load(), int64(1))
	stats := p.Stats()
	assert.Equal(t, stats.Refused, uint64(1))
	assert.Equal(t, stats.NotSent, uint64(1))
}

// Guards against a closed pool that leaves requests waiting or sends them.
func TestPoolCloseRefusesWaiting(t *testing.T) {
	release := make(chan struct{})
	f := newFakeTarget(t, func(c net.Conn) {
		buf := make([]byte, 4096)
		_, _ = c.Read(buf)
		<-release
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	p := f.start(t, 1, WithMaxWait(testDeadline))
	var group sync.WaitGroup
	group.Go(func() {
		_, err := post(p, "first")
		assert.Check(t, err)
	})
	waitFor(t, "the request arrives", func() bool { return f.received.Load() > 0 })
	group.Go(func() {
		_, err := post(p, "second")
		assert.Check(t, errors.Is(err, ErrClosed))
	})
	waitFor(t, "the second request waits", func() bool { return p.Stats().Waiting == 1 })
	p.Close()
	close(release)
	group.Wait()
	_, err := post(p, "third")
	assert.ErrorIs(t, err, ErrClosed)
	assert.Equal(t, p.Stats().Open, 0)
}

// Guards against answers that reach another caller's request.
func TestExchangeMatchesConcurrentAnswers(t *testing.T) {
	p := newFakeTarget(t, echo).start(t, 4, WithMaxWait(testDeadline))
	var group sync.WaitGroup
	for caller := range 16 {
		group.Go(func() {
			for i := range 50 {
				body := repeat(fmt.Sprintf("%d/%d;", caller, i), 1+i*20)
				resp, err := post(p, body)
				if !assert.Check(t, err) || !assert.Check(t, string(resp.Body()) == body) {
					return
				}
			}
		})
	}
	group.Wait()
	assert.Assert(t, p.Stats().Open <= 4)
}

// Guards against a wrong claim on failures before and while sending.
func TestExchangeClassifiesSendFailures(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := netip.MustParseAddrPort(closed.Addr().String())
	assert.NilError(t, closed.Close())
	_, err = post(NewPool(config.Target{Address: address}, 1), "")
	assert.ErrorIs(t, err, ErrNotSent)

	for _, taken := range []int{0, 1, 100} {
		client, server := net.Pipe()
		dial := func(context.Context, string, string) (net.Conn, error) {
			return &failingConn{Conn: client, takes: taken}, nil
		}
		_, err := post(NewPool(config.Target{Address: address}, 1, WithDial(dial)), repeat("x", 5000))
		want := ErrUnknown
		if taken == 0 {
			want = ErrNotSent
		}
		assert.ErrorIs(t, err, want, "%d bytes taken", taken)
		_ = server.Close()
	}

	p := NewPool(config.Target{Address: address}, 1)
	err = p.Exchange(newRequest("POST", ""), &fasthttp.Response{}, Terms{Deadline: time.Now()})
	assert.ErrorIs(t, err, ErrNotSent)
}

// failingConn takes some bytes of a write and fails.
type failingConn struct {
	net.Conn
	takes int
}

func (c *failingConn) Write([]byte) (int, error) { return c.takes, errors.New("connection broke") }

// Guards against a target that stops reading: the request is partly sent and
// must be reported as unknown at the deadline.
func TestExchangeStuckWriteIsUnknown(t *testing.T) {
	release := make(chan struct{})
	f := newFakeTarget(t, func(net.Conn) { <-release })
	p := f.start(t, 1)
	err := p.Exchange(newRequest("POST", repeat("x", 32<<20)), &fasthttp.Response{},
		Terms{Deadline: time.Now().Add(100 * time.Millisecond)})
	assert.ErrorIs(t, err, ErrUnknown)
	close(release)
}

// Guards against a connection that a panic takes from its pool.
func TestExchangePanicClosesConnection(t *testing.T) {
	p := NewPool(config.Target{}, 1, WithDial(func(context.Context, string, string) (net.Conn, error) {
		return panickingConn{&net.TCPConn{}}, nil
	}))
	func() {
		defer func() { assert.Assert(t, recover() != nil) }()
		_, _ = post(p, "")
	}()
	assert.Equal(t, p.Stats().Open, 0)
}

// panickingConn panics when a request is written.
type panickingConn struct{ net.Conn }

func (panickingConn) SetDeadline(time.Time) error { return nil }

func (panickingConn) Write([]byte) (int, error) { panic("test of the pool") }

// Guards against a cancelled exchange that holds its connection or returns it.
func TestExchangeCancel(t *testing.T) {
	f := newFakeTarget(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	p := f.start(t, 1)
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		waitFor(t, "the request arrives", func() bool { return f.received.Load() > 0 })
		close(done)
	})
	err := p.Exchange(newRequest("POST", ""), &fasthttp.Response{}, Terms{Deadline: time.Now().Add(testDeadline), Done: done})
	group.Wait()
	assert.ErrorIs(t, err, ErrUnknown)
	assert.Equal(t, p.Stats().Open, 0)
}

// Guards against a changed path or a lost body on the way to the target.
func TestExchangeKeepsRequest(t *testing.T) {
	received := make(chan string, 1)
	f := newFakeTarget(t, func(c net.Conn) {
		buf := make([]byte, 4096)
		n, _ := c.Read(buf)
		received <- string(buf[:n])
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	p := f.start(t, 1)
	req := newRequest("GET", "body of a get")
	req.Header.SetRequestURI("/a//b/../c%2Fd?x=1&&y")
	_ = req.URI()
	assert.NilError(t, p.Exchange(req, &fasthttp.Response{}, Terms{Deadline: time.Now().Add(testDeadline)}))
	assert.Equal(t, <-received, "GET /a//b/../c%2Fd?x=1&&y HTTP/1.1\r\nHost: spoolkeep\r\n"+
		"Content-Type: application/octet-stream\r\nContent-Length: 13\r\n"+header.RequestID+": id-1\r\n\r\nbody of a get")
}

// Guards against a connection whose path lost its state and that the kernel
// never reports as broken.
func TestPoolSetsSocketOptions(t *testing.T) {
	p := newFakeTarget(t, echo).start(t, 1)
	_, err := post(p, "")
	assert.NilError(t, err)
	options := []struct{ level, option, want int }{
		{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds())},
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(keepAliveIdle.Seconds())},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(keepAliveInterval.Seconds())},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveCount},
	}
	for _, o := range options {
		var got int
		var failed error
		assert.NilError(t, p.idle[0].raw.Control(func(fd uintptr) {
			got, failed = unix.GetsockoptInt(int(fd), o.level, o.option)
		}))
		assert.NilError(t, failed)
		assert.Equal(t, got, o.want, "option %d", o.option)
	}
}

// Guards against a change of the connection limit that forgets open
// connections, and against a departed target that keeps a pool.
func TestPoolsUpdate(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:9")
	fleet := func(limit int) *config.Fleet {
		f := config.NewFleet()
		s := config.NewService("spoolkeep")
		s.Targets = []config.Target{{Address: address, MaxConnections: limit}}
		f.Services[s.Name] = s
		return f
	}
	pools := NewPools(10)
	pools.Update(fleet(200))
	first := pools.Pool(address)
	assert.Equal(t, first.limit, 20)
	pools.Update(fleet(5))
	assert.Assert(t, pools.Pool(address) == first)
	assert.Equal(t, first.limit, 1)
	pools.Update(config.NewFleet())
	assert.Assert(t, pools.Pool(address) == nil)
	_, err := post(first, "")
	assert.ErrorIs(t, err, ErrClosed)
}

// BenchmarkExchange measures one exchange with a body of 1 KB on loopback.
func BenchmarkExchange(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBody(ctx.PostBody()) }}
	go func() { _ = server.Serve(l) }()
	p := NewPool(config.Target{Address: netip.MustParseAddrPort(l.Addr().String())}, 100)
	defer func() { p.Close(); _ = server.Shutdown() }()
	req, resp := newRequest("POST", repeat("x", 1024)), &fasthttp.Response{}
	b.ReportAllocs()
	for b.Loop() {
		if err := p.Exchange(req, resp, Terms{Deadline: time.Now().Add(testDeadline), Proven: true}); err != nil {
			b.Fatal(err)
		}
	}
}
