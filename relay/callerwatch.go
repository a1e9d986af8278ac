package relay

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// errCallerClosed means that the caller closed its connection.
var errCallerClosed = errors.New("caller closed its connection")

// callerWatch is a context that ends when the caller closes its connection,
// which fasthttp does not report while a request is in progress. It costs no
// timer: a goroutine waits for the socket to become readable.
type callerWatch struct {
	context.Context

	conn    net.Conn
	cancel  context.CancelCauseFunc
	waiting sync.WaitGroup
}

// watchCaller begins to watch the connection. The caller calls stop before the
// connection is read again.
func watchCaller(conn net.Conn) *callerWatch {
	ctx, cancel := context.WithCancelCause(context.Background())
	w := &callerWatch{Context: ctx, conn: conn, cancel: cancel}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return w
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return w // a connection that is no socket cannot be watched
	}
	// The deadline for reading the request would end the wait.
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		cancel(errCallerClosed)
		return w
	}
	w.waiting.Go(func() { w.wait(raw) })
	return w
}

// wait returns when the connection was closed, when bytes of a further request
// hide whether it was, or when stop was called.
func (w *callerWatch) wait(raw syscall.RawConn) {
	closed := false
	err := raw.Read(func(fd uintptr) bool {
		var peek [1]byte
		n, _, err := syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
			return false
		}
		closed = err != nil || n == 0
		return true
	})
	if closed || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		w.cancel(errCallerClosed)
	}
}

// stop ends the watch.
func (w *callerWatch) stop() {
	_ = w.conn.SetReadDeadline(time.Unix(1, 0)) // a failure means that the connection is closed
	w.waiting.Wait()
	_ = w.conn.SetReadDeadline(time.Time{})
	w.cancel(nil)
}

// closed returns whether the caller closed its connection.
func (w *callerWatch) closed() bool { return errors.Is(context.Cause(w), errCallerClosed) }
