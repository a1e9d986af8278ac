package relay

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"rhubarbrelay/callers"
)

// errCallerClosed is the cancellation cause when the caller closes its
// connection.
var errCallerClosed = errors.New("caller closed its connection")

// callerWatch is a context that is canceled when the caller closes its
// connection, which fasthttp does not detect while a request is in progress. It
// does not poll: a goroutine waits for events of the socket.
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

// watchCaller starts to watch the connection. If the caller has closed it already, the
// watch is canceled when watchCaller returns. The watch must be stopped before the
// connection is read again. ahead and receive may be nil, see callerWatch.
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
	if err := conn.SetReadDeadline(time.Time{}); err != nil || hasClosed(raw) {
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

// watch returns when the connection is closed or stop is called.
func (w *callerWatch) watch(raw syscall.RawConn) {
	closed := false
	// Read calls the function again after each event of the socket, also after a close
	// behind unread bytes.
	err := raw.Read(func(fd uintptr) bool {
		state := inspectSocket(int(fd))
		for !state.closed && state.readable && w.receive != nil && w.receive(int(fd)) {
			state = inspectSocket(int(fd))
		}
		closed = state.closed
		return closed
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

// hasClosed reports whether the caller has closed the connection.
func hasClosed(raw syscall.RawConn) bool {
	closed := false
	err := raw.Control(func(fd uintptr) { closed = inspectSocket(int(fd)).closed })
	return closed || err != nil
}

// socketState is the state of the receiving side of a socket.
type socketState struct {
	readable bool
	closed   bool // also if bytes that arrived before the close are unread
}

// inspectSocket returns the state of a socket without reading from it.
func inspectSocket(fd int) socketState {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}} //nolint:gosec // File descriptors are small.
	if n, err := unix.Poll(fds, 0); err != nil || n == 0 {
		return socketState{}
	}
	events := fds[0].Revents
	return socketState{readable: events&unix.POLLIN != 0, closed: events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0}
}
