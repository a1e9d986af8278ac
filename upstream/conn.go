package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/platform"
)

const (
	// headerBuffer bounds the header of an answer, in bytes.
	headerBuffer = 8 << 10
	writeBuffer  = 4 << 10
	// maxInterim bounds the 1xx answers and the answers to other requests that
	// precede an answer.
	maxInterim = 8
	// concurrentBody is the size of a body, in bytes, from which the answer is
	// read while the request is written: a target may answer before it has
	// read the whole body.
	concurrentBody = 8 << 10
	// idleMargin keeps the pool from using a connection that the target is
	// about to close.
	idleMargin = 1500 * time.Millisecond
)

// Conn is one connection to a target. It belongs to one exchange at a time.
type Conn struct {
	raw      net.Conn
	socket   syscall.RawConn // nil if the connection is not a socket
	reader   *bufio.Reader
	writer   *bufio.Writer
	pool     *Pool
	lastUsed time.Time
	maxIdle  time.Duration
	// sent is the number of bytes of the current request that the kernel took.
	sent int
	// spoilt means that the connection must not be used again.
	spoilt bool
}

func newConn(raw net.Conn, pool *Pool) *Conn {
	c := &Conn{
		raw: raw, pool: pool, reader: bufio.NewReaderSize(raw, headerBuffer),
		maxIdle: pool.maxIdle, lastUsed: time.Now(),
	}
	c.writer = bufio.NewWriterSize(countingWriter{c}, writeBuffer)
	if socket, ok := raw.(syscall.Conn); ok {
		if rc, err := socket.SyscallConn(); err == nil {
			c.socket = rc
		}
	}
	return c
}

// countingWriter counts the bytes handed to the kernel: a request of which none
// was handed over cannot have run.
type countingWriter struct{ conn *Conn }

func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.conn.raw.Write(b)
	w.conn.sent += n
	return n, err
}

// Cancel ends the exchange in progress by closing the connection. It may be
// called at any time.
func (c *Conn) Cancel() { _ = c.raw.Close() }

// Release gives the connection back to its pool, or closes it when it cannot be
// used again.
func (c *Conn) Release() { c.pool.release(c) }

// isQuiet returns whether an idle connection is open and has nothing to read.
// Bytes that arrive between two exchanges belong to no request.
func (c *Conn) isQuiet() bool {
	if c.reader.Buffered() > 0 || c.socket == nil {
		return false
	}
	quiet := false
	err := c.socket.Read(func(fd uintptr) bool {
		var peek [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Probe asks the target for its health and load. The answer says whether the
// target is healthy. The error wraps ErrUnknown; the connection is then spoilt.
func (c *Conn) Probe(deadline time.Time) (reply platform.ResponseInfo, healthy bool, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	platform.InitProbeRequest(req, c.pool.host, c.pool.destination.HealthPath)
	if err := c.exchange(req, resp, deadline); err != nil {
		return platform.ResponseInfo{}, false, err
	}
	reply = platform.ReadResponseInfo(&resp.Header)
	if _, named := platform.MatchRequestID(&resp.Header, nil); named || reply.Sealed {
		c.spoilt = true
		return platform.ResponseInfo{}, false, fmt.Errorf("%w: %w", ErrOutcomeUnknown, errForeignAnswer)
	}
	c.noteUse(resp)
	return reply, resp.StatusCode() == fasthttp.StatusOK, nil
}

// RoundTrip sends the request once and reads the whole answer until the
// deadline. The error wraps ErrNotSent or ErrUnknown.
func (c *Conn) RoundTrip(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	if err := c.exchange(req, resp, deadline); err != nil {
		return err
	}
	c.noteUse(resp)
	return nil
}

// noteUse keeps what an answer says about the connection.
func (c *Conn) noteUse(resp *fasthttp.Response) {
	c.lastUsed = time.Now()
	if resp.ConnectionClose() || c.reader.Buffered() > 0 {
		c.spoilt = true
	}
	_, text, ok := bytes.Cut(resp.Header.Peek(fasthttp.HeaderKeepAlive), []byte("timeout="))
	if !ok {
		return
	}
	text, _, _ = bytes.Cut(text, []byte(","))
	if seconds, err := strconv.Atoi(string(bytes.TrimSpace(text))); err == nil {
		c.maxIdle = time.Duration(seconds)*time.Second - idleMargin
	}
}

func (c *Conn) exchange(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	c.sent = 0
	if err := c.raw.SetDeadline(deadline); err != nil {
		c.spoilt = true
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if len(req.Body()) >= concurrentBody {
		return c.exchangeConcurrently(req, resp)
	}
	if err := c.send(req); err != nil {
		c.spoilt = true
		if c.sent == 0 {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return c.receive(req, resp)
}

// exchangeConcurrently reads the answer while the request is written. After an
// answer that came before the end of the request the connection is closed: the
// target would take what follows for the rest of the body.
func (c *Conn) exchangeConcurrently(req *fasthttp.Request, resp *fasthttp.Response) error {
	written := make(chan bool, 1)
	go func() { written <- c.send(req) == nil }()
	err := c.receive(req, resp)
	select {
	case complete := <-written:
		if !complete {
			c.spoilt = true
		}
		return err
	default:
		c.spoilt = true
		c.Cancel()
		<-written
		return err
	}
}

// send writes the request. It bypasses Request.Write, which rewrites the path
// and refuses a GET with a body.
func (c *Conn) send(req *fasthttp.Request) error {
	if err := req.Header.Write(c.writer); err != nil {
		return err
	}
	if _, err := c.writer.Write(req.Body()); err != nil {
		return err
	}
	return c.writer.Flush()
}

// receive reads one whole answer to the request.
func (c *Conn) receive(req *fasthttp.Request, resp *fasthttp.Response) error {
	id := platform.RequestID(&req.Header)
	for range maxInterim {
		if err := c.receiveOne(req, resp); err != nil {
			c.spoilt = true
			return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
		same, named := platform.MatchRequestID(&resp.Header, id)
		if same || !named {
			return c.check(resp, same)
		}
		if len(id) == 0 { // a probe; its caller refuses the answer
			return nil
		}
		// A second answer to an earlier request; the own one may follow.
		c.spoilt = true
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, errForeignAnswer)
}

// check refuses an answer that is not certainly the target's to this request.
// Only failures may come without the ID of the request.
func (c *Conn) check(resp *fasthttp.Response, same bool) error {
	success := resp.StatusCode() < fasthttp.StatusMultipleChoices
	switch {
	case len(resp.Header.Peek(fasthttp.HeaderContentEncoding)) > 0:
		c.spoilt = true
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, errEncoded)
	case success && !same && platform.ReadResponseInfo(&resp.Header).Sealed:
		c.spoilt = true
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, errForeignAnswer)
	}
	return nil
}

func (c *Conn) receiveOne(req *fasthttp.Request, resp *fasthttp.Response) error {
	resp.Reset()
	resp.SkipBody = req.Header.IsHead()
	if err := c.receiveHeader(resp); err != nil {
		return err
	}
	if !hasBody(resp) {
		return nil
	}
	err := resp.ReadBody(c.reader, c.pool.maxAnswer)
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return errAnswerTooLarge
	case err != nil:
		return err
	}
	switch resp.Header.ContentLength() {
	case lengthChunked:
		return resp.Header.ReadTrailer(c.reader)
	case lengthUntilClose:
		c.spoilt = true
	}
	return nil
}

// The content lengths by which fasthttp marks bodies without a stated length.
const (
	lengthChunked    = -1
	lengthUntilClose = -2
)

func (c *Conn) receiveHeader(resp *fasthttp.Response) error {
	for range maxInterim {
		if err := resp.Header.Read(c.reader); err != nil {
			return err
		}
		status := resp.StatusCode()
		if status == fasthttp.StatusSwitchingProtocols {
			return errSwitched
		}
		if status >= fasthttp.StatusOK {
			return nil
		}
	}
	return errManyInterim
}

func hasBody(resp *fasthttp.Response) bool {
	status := resp.StatusCode()
	return !resp.SkipBody && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}
