package relay

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"rhubarbrelay/upstream"
)

// callerInterval is the time between two looks at the connection of a caller
// whose request waits. It allows at most four looks within the default wait of
// 40 ms.
const callerInterval = 10 * time.Millisecond

// errCallerClosed means that the caller closed its connection while its request
// waited. Nothing was sent.
var errCallerClosed = errors.New("caller closed its connection")

// callerContext is the context of a request's wait for a target. It ends when
// the caller closes its connection, which fasthttp does not report. The
// connection is watched only after Done was called, so that requests that do
// not wait cost nothing. One goroutine uses it at a time, except for Canceled.
type callerContext struct {
	conn  net.Conn // nil for a forwarded request
	watch *callerWatch
}

var (
	_ context.Context   = (*callerContext)(nil)
	_ upstream.Canceler = (*callerContext)(nil)
)

// Deadline implements context.Context.
func (*callerContext) Deadline() (time.Time, bool) { return time.Time{}, false }

// Value implements context.Context.
func (*callerContext) Value(any) any { return nil }

// Done implements context.Context. It begins to watch the connection.
func (c *callerContext) Done() <-chan struct{} {
	if c.conn == nil {
		return nil
	}
	if c.watch == nil {
		c.watch = newCallerWatch(c.conn)
	}
	return c.watch.done
}

// Err implements context.Context.
func (c *callerContext) Err() error {
	if c.watch == nil {
		return nil
	}
	select {
	case <-c.watch.done:
		return errCallerClosed
	default:
		return nil
	}
}

// Canceled implements upstream.Canceler.
func (c *callerContext) Canceled() bool { return c.conn != nil && isClosed(c.conn) }

// endWait stops watching the connection. It returns errCallerClosed when the
// request waited and the caller is not there any more.
func (c *callerContext) endWait() error {
	if c.watch == nil {
		return nil
	}
	c.watch.stop()
	c.watch = nil
	if c.Canceled() {
		return errCallerClosed
	}
	return nil
}

// callerWatch closes done when the caller closes its connection.
type callerWatch struct {
	conn net.Conn
	done chan struct{}

	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
}

func newCallerWatch(conn net.Conn) *callerWatch {
	w := &callerWatch{conn: conn, done: make(chan struct{})}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(callerInterval, w.look)
	return w
}

func (w *callerWatch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if isClosed(w.conn) {
		w.stopped = true
		close(w.done)
		return
	}
	w.timer.Reset(callerInterval)
}

func (w *callerWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// isClosed returns whether the other side has closed the connection, without
// reading from it. Peeking at the data would not see a close that follows the
// bytes of a pipelined request. A connection that is closed for sending only
// looks the same and counts as closed.
func isClosed(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if errors.Is(err, errors.ErrUnsupported) {
		return false
	}
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0
	})
	return closed || err != nil
}
