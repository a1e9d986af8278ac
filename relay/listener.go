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

	"rhubarbrelay/platform"
)

const (
	// refusalTimeout bounds the time for reading the request on a refused
	// connection and sending the answer.
	refusalTimeout = time.Second
	// maxRefusing bounds the refused connections that are kept open to read
	// their requests.
	maxRefusing = 256
)

// limitedListener accepts a bounded number of connections at a time and hands
// those above it to refuse. fasthttp's own refusal carries no outcome.
type limitedListener struct {
	net.Listener
	limit    int64
	open     atomic.Int64
	refuse   func(conn net.Conn, read bool)
	refusing atomic.Int64
	pending  sync.WaitGroup
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &countedConn{Conn: conn, open: &l.open}, nil
		}
		l.open.Add(-1)
		l.turnAway(conn)
	}
}

// turnAway refuses the connection beside the accepting of others. Above the
// bound it answers at once, which does not block on a new connection.
func (l *limitedListener) turnAway(conn net.Conn) {
	if l.refusing.Add(1) > maxRefusing {
		l.refusing.Add(-1)
		l.refuse(conn, false)
		return
	}
	l.pending.Go(func() {
		defer l.refusing.Add(-1)
		l.refuse(conn, true)
	})
}

// countedConn is an accepted connection. It counts until it is closed.
type countedConn struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

// refuseConnection answers the first request of a connection above the limit
// and closes the connection.
func (s *Server) refuseConnection(conn net.Conn, read bool) {
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(refusalTimeout)); err != nil {
		return
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	var c call
	defer s.endPanic(resp, &c)
	if read && req.Header.Read(bufio.NewReaderSize(conn, maxRequestHeader)) == nil {
		resp.SkipBody = req.Header.IsHead()
		if id := platform.RequestID(&req.Header); len(id) <= maxRequestID {
			c.id = string(id)
		}
	}
	s.fail(resp, &c, overloaded(refusedConnections, "instance has too many connections of callers", startRetryAfter).hangingUp())
	if _, err := resp.WriteTo(conn); err != nil || !read {
		return
	}
	// Closing while bytes of the caller are unread would reset the connection,
	// and the caller could lose the answer.
	if half, ok := conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}
