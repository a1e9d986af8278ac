package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"rhubarbrelay/header"
)

const (
	// headerBuffer bounds the header of an answer, in bytes.
	headerBuffer = 8 << 10
	writeBuffer  = 4 << 10
	// maxInterim bounds the 1xx answers that precede an answer.
	maxInterim = 8
	// cancelInterval is the time between two questions to a Canceler.
	cancelInterval = 20 * time.Millisecond
)

// conn is one connection with its buffers. It belongs to one exchange at a time.
type conn struct {
	net.Conn
	reader   *bufio.Reader
	writer   *bufio.Writer
	raw      syscall.RawConn // nil if the connection is not a socket
	lastUsed time.Time
	reused   bool
	// sent is the number of bytes of the current request that the kernel took.
	sent int

	cancellation cancellation

	quiet bool
	peek  [1]byte
	probe func(fd uintptr) bool
}

func newConn(c net.Conn) *conn {
	n := &conn{Conn: c, reader: bufio.NewReaderSize(c, headerBuffer)}
	n.writer = bufio.NewWriterSize(countingWriter{n}, writeBuffer)
	if socket, ok := c.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			n.raw = raw
		}
	}
	n.probe = n.probeSocket
	return n
}

// countingWriter counts the bytes handed to the kernel: a request of which
// none was handed over cannot have run.
type countingWriter struct{ conn *conn }

func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.conn.Write(b)
	w.conn.sent += n
	return n, err
}

// isQuiet returns whether an idle connection is open and has nothing to read.
// Bytes that arrive between two exchanges belong to no request.
func (c *conn) isQuiet() bool {
	if c.reader.Buffered() > 0 || c.raw == nil {
		return false
	}
	c.quiet = false
	if err := c.raw.Read(c.probe); err != nil {
		return false
	}
	return c.quiet
}

func (c *conn) probeSocket(fd uintptr) bool {
	_, _, err := syscall.Recvfrom(int(fd), c.peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.quiet = errors.Is(err, syscall.EAGAIN)
	return true
}

// cancellation closes the connection of an exchange that is cancelled. Its timer
// is armed at most once per interval, not per exchange, since arming and
// stopping it would slow down short exchanges.
type cancellation struct {
	mu       sync.Mutex
	canceler Canceler // nil between exchanges
	canceled bool
	armed    bool
	timer    *time.Timer
}

// watch asks the canceler at intervals until unwatch.
func (c *conn) watch(canceler Canceler) {
	if canceler == nil {
		return
	}
	w := &c.cancellation
	w.mu.Lock()
	defer w.mu.Unlock()
	w.canceler = canceler
	switch {
	case w.armed:
	case w.timer == nil:
		w.timer = time.AfterFunc(cancelInterval, c.askCanceler)
	default:
		w.timer.Reset(cancelInterval)
	}
	w.armed = true
}

// unwatch returns whether the connection was closed.
func (c *conn) unwatch() bool {
	w := &c.cancellation
	w.mu.Lock()
	defer w.mu.Unlock()
	w.canceler = nil
	return w.canceled
}

func (c *conn) askCanceler() {
	w := &c.cancellation
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
	if w.canceler == nil {
		return
	}
	if w.canceler.Canceled() {
		w.canceled = true
		_ = c.Close()
		return
	}
	w.armed = true
	w.timer.Reset(cancelInterval)
}

// setUserTimeout bounds the time that sent bytes may stay unacknowledged, so
// that a connection whose path lost its state fails.
func setUserTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		return errors.Join(err, failed)
	}
}

// exchange sends the request and reads the whole answer.
func (c *conn) exchange(req *fasthttp.Request, resp *fasthttp.Response, maxAnswer int) error {
	c.sent = 0
	if err := c.send(req); err != nil {
		if c.sent == 0 {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if err := c.receive(req, resp, maxAnswer); err != nil {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return nil
}

// send writes the request. It bypasses Request.Write where the request names
// its host and path already, since that method rewrites the path and refuses a
// GET with a body.
func (c *conn) send(req *fasthttp.Request) error {
	uri := req.Header.RequestURI()
	if len(req.Header.Host()) == 0 || len(uri) == 0 || uri[0] != '/' && uri[0] != '*' {
		if err := req.Write(c.writer); err != nil {
			return err
		}
		return c.writer.Flush()
	}
	body := req.Body()
	if len(body) > 0 || !req.Header.IsGet() && !req.Header.IsHead() {
		req.Header.SetContentLength(len(body))
	}
	if err := req.Header.Write(c.writer); err != nil {
		return err
	}
	if _, err := c.writer.Write(body); err != nil {
		return err
	}
	return c.writer.Flush()
}

// receive reads one whole answer whose end is proven.
func (c *conn) receive(req *fasthttp.Request, resp *fasthttp.Response, maxAnswer int) error {
	resp.Reset()
	resp.SkipBody = req.Header.IsHead()
	if err := c.receiveHeader(resp); err != nil {
		return err
	}
	if hasBody(resp) {
		if err := c.receiveBody(resp, maxAnswer); err != nil {
			return err
		}
	}
	echo := resp.Header.Peek(header.RequestID)
	if len(echo) > 0 && !bytes.Equal(echo, req.Header.Peek(header.RequestID)) {
		return errForeignAnswer
	}
	return nil
}

func (c *conn) receiveHeader(resp *fasthttp.Response) error {
	for range maxInterim {
		if err := resp.Header.Read(c.reader); err != nil {
			return err
		}
		status := resp.StatusCode()
		if status == fasthttp.StatusSwitchingProtocols {
			return errSwitchedProtocol
		}
		if status >= fasthttp.StatusOK {
			return nil
		}
	}
	return errManyInterim
}

func (c *conn) receiveBody(resp *fasthttp.Response, maxAnswer int) error {
	length := resp.Header.ContentLength()
	if length < 0 && !isChunked(resp) {
		return errNoProvenEnd
	}
	err := resp.ReadBody(c.reader, maxAnswer)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return errAnswerTooLarge
	}
	if err != nil {
		return err
	}
	if isChunked(resp) {
		return resp.Header.ReadTrailer(c.reader)
	}
	return nil
}

func hasBody(resp *fasthttp.Response) bool {
	status := resp.StatusCode()
	return !resp.SkipBody && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// isChunked returns whether the answer is in chunks; fasthttp gives it the
// content length -1, and -2 when only the close of the connection ends it.
func isChunked(resp *fasthttp.Response) bool { return resp.Header.ContentLength() == -1 }
