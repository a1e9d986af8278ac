package relay

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/callers"
	"rhubarbrelay/platform"
)

const (
	// refusalTimeout limits the time for reading the request on a refused
	// connection and sending the response, and that for reading the rest of a refused
	// request.
	refusalTimeout = time.Second
	// maxPendingRefusals limits the number of refused connections that are kept
	// open to read their requests.
	maxPendingRefusals = 256
)

// limitedListener limits the number of open connections and passes connections
// above the limit to refuse. The response with which fasthttp itself refuses
// connections does not state whether the request has run.
type limitedListener struct {
	net.Listener
	limit           int64
	fromPeers       bool // whether other instances connect, not callers
	open            atomic.Int64
	refuse          func(conn net.Conn, readRequest bool)
	pendingRefusals atomic.Int64
	refusals        sync.WaitGroup
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &countedConn{Conn: conn, open: &l.open, fromPeer: l.fromPeers}, nil
		}
		l.open.Add(-1)
		l.refuseExcess(conn)
	}
}

// refuseExcess refuses a connection, normally in the background so that the
// listener keeps accepting others. Above maxPendingRefusals it responds
// synchronously without reading the request; the write does not block on a new
// connection.
func (l *limitedListener) refuseExcess(conn net.Conn) {
	if l.pendingRefusals.Add(1) > maxPendingRefusals {
		l.pendingRefusals.Add(-1)
		l.refuse(conn, false)
		return
	}
	l.refusals.Go(func() {
		defer l.pendingRefusals.Add(-1)
		l.refuse(conn, true)
	})
}

// countedConn is an accepted connection that counts towards the limit until it
// is closed. It keeps the outcome of its reads, because fasthttp wraps some of their
// errors in a way that hides them. Only one goroutine may read.
type countedConn struct {
	net.Conn
	open     *atomic.Int64
	fromPeer bool
	closed   atomic.Bool
	received int64 // bytes
	readErr  error // the last error of Read
	pipeline callers.Pipeline
	ahead    aheadRequests
	// lingers is set if the caller may still be sending when the connection is closed.
	lingers atomic.Bool
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	if n := c.pipeline.Take(p); n > 0 {
		return n, nil
	}
	n, err := c.Conn.Read(p)
	c.received += int64(n)
	n = c.pipeline.Receive(p[:n])
	if err != nil {
		c.readErr = err
	}
	return n, err //nolint:wrapcheck // The error must stay that of the connection.
}

// readFailed reports whether reading the connection has ended with an error, such as
// the end of what the caller sends.
func (c *countedConn) readFailed() bool { return c != nil && c.readErr != nil }

// readTimedOut reports whether reading the connection has timed out.
func (c *countedConn) readTimedOut() bool {
	var netErr net.Error
	return c.readFailed() && errors.As(c.readErr, &netErr) && netErr.Timeout()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.ahead.cancel()
		defer c.open.Add(-1)
		if c.lingers.Load() && c.SetReadDeadline(time.Now().Add(refusalTimeout)) == nil {
			discardRest(c.Conn)
		}
	}
	return c.Conn.Close()
}

// discardRest reads what the caller still sends, until the read deadline. Closing a
// connection with unread bytes resets it, and the caller could lose the response.
func discardRest(conn net.Conn) {
	if closer, ok := conn.(interface{ CloseWrite() error }); ok && closer.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// SyscallConn implements syscall.Conn.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// refuseConnection responds to the first request on a connection in excess of
// the limit and closes the connection.
func (s *Server) refuseConnection(conn net.Conn, readRequest bool) {
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(refusalTimeout)); err != nil {
		return
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c := call{arrival: time.Now()}
	defer s.recoverPanic(resp, &c)
	if readRequest && req.Header.Read(bufio.NewReaderSize(conn, maxRequestHeader)) == nil {
		resp.SkipBody = req.Header.IsHead()
		if id := platform.RequestID(&req.Header); len(id) <= maxRequestID {
			c.id = string(id)
		}
	}
	s.fail(resp, &c, unavailableFailure(refusedConnections, "instance has too many connections of callers", notReadyRetryAfter).withConnectionClose())
	if _, err := resp.WriteTo(conn); err != nil || !readRequest {
		return
	}
	discardRest(conn)
}
