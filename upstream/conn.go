package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/bodies"
	"rhubarbrelay/platform"
	"rhubarbrelay/responses"
)

const (
	// maxResponseHeader limits the size of a response header in bytes.
	maxResponseHeader = 8 << 10
	// maxProbeBody limits the body of a response to a probe in bytes. The body is not
	// used.
	maxProbeBody    = 4 << 10
	writeBufferSize = 4 << 10
	// maxResponseReads limits the responses that readResponse reads for one request,
	// including the responses to other requests that it skips.
	maxResponseReads = 8
	// idleTimeoutMargin is subtracted from the target's keep-alive timeout so
	// that the pool does not use a connection that the target is about to close.
	idleTimeoutMargin = 1500 * time.Millisecond
)

// Conn is a connection to a target. It carries one request at a time.
type Conn struct {
	netConn     net.Conn
	rawConn     syscall.RawConn // nil if the connection is not a socket
	reader      *bufio.Reader
	writer      *bufio.Writer
	pool        *Pool
	lastUsed    time.Time
	idleTimeout time.Duration
	// bytesSent is the number of bytes of the current request that the kernel
	// has accepted.
	bytesSent int
	// endsWithConn is set if the body of the current response ends with the connection.
	endsWithConn bool
	// noReuse is set when the connection must not carry another request.
	noReuse bool
	// used is set once the connection has carried a request or a probe, whose response a
	// faulty target may write once more. refusedIDs are those of refused requests.
	used       bool
	refusedIDs []string
}

// maxRefusedIDs limits the refusals on a connection, after which it is closed.
const maxRefusedIDs = 8

func newConn(netConn net.Conn, pool *Pool) *Conn {
	c := &Conn{
		netConn: netConn, pool: pool, reader: bufio.NewReaderSize(netConn, maxResponseHeader),
		idleTimeout: pool.idleTimeout, lastUsed: time.Now(),
	}
	c.writer = bufio.NewWriterSize(countingWriter{c}, writeBufferSize)
	if sc, ok := netConn.(syscall.Conn); ok {
		if rc, err := sc.SyscallConn(); err == nil {
			c.rawConn = rc
		}
	}
	return c
}

// countingWriter counts the bytes that the kernel has accepted. If it has
// accepted none, the request cannot have run.
type countingWriter struct{ conn *Conn }

func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.conn.netConn.Write(b)
	w.conn.bytesSent += n
	return n, err
}

// Cancel aborts the request in progress by closing the connection. It may be
// called at any time and from any goroutine.
func (c *Conn) Cancel() { _ = c.netConn.Close() }

// Release returns the connection to its pool, or closes it if it cannot be
// reused.
func (c *Conn) Release() { c.pool.release(c) }

// isReusable reports whether an idle connection is open and has no unread
// bytes. Bytes that arrive between two requests belong to neither.
func (c *Conn) isReusable() bool {
	if c.reader.Buffered() > 0 || c.rawConn == nil {
		return false
	}
	reusable := false
	err := c.rawConn.Read(func(fd uintptr) bool {
		var peek [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && reusable
}

// Probe requests the target's health and load. The target is healthy if it
// responds with status 200. The error wraps ErrNotSent or ErrOutcomeUnknown;
// after an error the connection cannot be reused.
func (c *Conn) Probe(deadline time.Time) (info platform.ResponseInfo, healthy bool, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	platform.InitProbeRequest(req, c.pool.host, c.pool.destination.HealthPath)
	if err := c.roundTrip(req, resp, deadline, responses.Limit{Size: maxProbeBody}); err != nil {
		return platform.ResponseInfo{}, false, err
	}
	info = platform.ReadResponseInfo(&resp.Header)
	if _, hasID := platform.MatchRequestID(&resp.Header, nil); hasID || info.Sealed {
		c.noReuse = true
		return platform.ResponseInfo{}, false, fmt.Errorf("%w: %w", ErrOutcomeUnknown, errOtherRequest)
	}
	c.updateReuse(resp)
	return info, resp.StatusCode() == fasthttp.StatusOK, nil
}

// RoundTrip sends the request once and reads the complete response before the
// deadline. The memory of a large body is added to the reservation, which the caller
// releases. The error wraps ErrNotSent or ErrOutcomeUnknown.
func (c *Conn) RoundTrip(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time, reservation *bodies.Reservation) error {
	id := platform.RequestID(&req.Header)
	if slices.Contains(c.refusedIDs, string(id)) {
		c.noReuse = true
		return fmt.Errorf("%w: %w", ErrNotSent, errRefusedBefore)
	}
	if err := c.roundTrip(req, resp, deadline, responses.Limit{Size: c.pool.maxResponseBody, Reservation: reservation}); err != nil {
		return err
	}
	c.updateReuse(resp)
	if platform.StatesNotRun(&resp.Header) {
		c.addRefusal(string(id))
	}
	return nil
}

// addRefusal records that the target has refused a request. If the connection carried
// another one with its ID, the refusal, written once more, would count for that.
func (c *Conn) addRefusal(id string) {
	c.refusedIDs = append(c.refusedIDs, id)
	if len(c.refusedIDs) >= maxRefusedIDs {
		c.noReuse = true
	}
}

// updateReuse records whether, and for how long, the connection may be reused
// after a response.
func (c *Conn) updateReuse(resp *fasthttp.Response) {
	c.lastUsed = time.Now()
	if resp.ConnectionClose() || c.reader.Buffered() > 0 {
		c.noReuse = true
	}
	_, text, ok := bytes.Cut(resp.Header.Peek(fasthttp.HeaderKeepAlive), []byte("timeout="))
	if !ok {
		return
	}
	text, _, _ = bytes.Cut(text, []byte(","))
	if seconds, err := strconv.Atoi(string(bytes.TrimSpace(text))); err == nil {
		c.idleTimeout = time.Duration(seconds)*time.Second - idleTimeoutMargin
	}
}

// roundTrip implements RoundTrip and Probe, which call updateReuse once they have
// accepted the response.
func (c *Conn) roundTrip(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time, limit responses.Limit) error {
	c.bytesSent = 0
	if err := c.netConn.SetDeadline(deadline); err != nil {
		c.noReuse = true
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if len(req.Body()) >= concurrentBodySize {
		return c.roundTripConcurrently(req, resp, limit)
	}
	if err := c.writeRequest(req); err != nil {
		c.noReuse = true
		if c.bytesSent == 0 {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return c.readResponse(req, resp, limit)
}

// writeRequest writes the request. It does not use Request.Write, which
// normalizes the path and rejects a GET request with a body.
func (c *Conn) writeRequest(req *fasthttp.Request) error {
	if err := req.Header.Write(c.writer); err != nil {
		return err
	}
	if _, err := c.writer.Write(req.Body()); err != nil {
		return err
	}
	return c.writer.Flush()
}
