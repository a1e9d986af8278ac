package relay

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"rhubarbrelay/callers"
)

// errCallerClosed is the cancellation cause when the caller closes its
// connection.
var errCallerClosed = errors.New("caller closed its connection")

// callerWatch is a context that is canceled when the caller closes its
// connection, which fasthttp does not detect while a request is in progress. It
// does not poll: a goroutine waits for the socket to become readable.
type callerWatch struct {
	context.Context

	conn net.Conn
	// ahead holds the requests behind the watched one that run already, nil for none. They
	// are canceled when the caller closes its connection.
	ahead   *callers.Ahead
	cancel  context.CancelCauseFunc
	watcher sync.WaitGroup
	// receive takes what the caller sends meanwhile. It returns false if it takes no more
	// bytes; nil means that it never takes any.
	receive func(fd int) bool
}

// watchCaller starts to watch the connection. The watch must be stopped before
// the connection is read again. ahead and receive may be nil, see callerWatch.
func watchCaller(conn net.Conn, ahead *callers.Ahead, receive func(fd int) bool) *callerWatch {
	w := unwatchedCaller(ahead)
	w.conn, w.receive = conn, receive
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return w
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return w // not a socket, cannot be watched
	}
	// The read deadline of the request would end the watch.
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		w.recordClose()
		return w
	}
	w.watcher.Go(func() { w.watch(raw) })
	return w
}

// unwatchedCaller returns a watch without a connection, which only cancel ends.
func unwatchedCaller(ahead *callers.Ahead) *callerWatch {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &callerWatch{Context: ctx, cancel: cancel, ahead: ahead}
}

func (w *callerWatch) recordClose() {
	w.cancel(errCallerClosed)
	if w.ahead != nil {
		w.ahead.Cancel()
	}
}

// delaysOthers reports whether the connection has requests behind the watched one that run
// already. Their responses have to wait for its own.
func (w *callerWatch) delaysOthers() bool { return w.ahead != nil && w.ahead.Len() > 0 }

// watch returns when the connection is closed or stop is called. It also returns
// when bytes of a further request arrive that receive does not take, because a close
// cannot be detected while they are unread.
func (w *callerWatch) watch(raw syscall.RawConn) {
	closed := false
	err := raw.Read(func(fd uintptr) bool {
		var peek [1]byte
		n, _, err := syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
			return false
		}
		closed = err != nil || n == 0
		return closed || w.receive == nil || !w.receive(int(fd))
	})
	if closed || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		w.recordClose()
	}
}

// stop ends the watch and clears the read deadline.
func (w *callerWatch) stop() {
	if w.conn == nil {
		w.cancel(nil)
		return
	}
	_ = w.conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
	w.watcher.Wait()
	_ = w.conn.SetReadDeadline(time.Time{})
	w.cancel(nil)
}

// closed reports whether the caller has closed its connection.
func (w *callerWatch) closed() bool { return errors.Is(context.Cause(w), errCallerClosed) }
