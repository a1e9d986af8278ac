package callers

import (
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lingerTime limits the time for which a closed connection waits for its caller, from
	// the close or from the last progress of the response. flushTime is the limit while the
	// server drains: a caller on a slow link that stops for seconds shall get the response.
	lingerTime = time.Second
	flushTime  = 10 * time.Second
	// lingerPollTime is the time between two checks of that progress.
	lingerPollTime = 20 * time.Millisecond
)

// linger closes the sending side and reads what the caller still sends. It ends when the
// caller closes the connection, after a time without progress and, unless the caller may still be
// sending a request, when the caller has acknowledged all of the response.
func (c *Conn) linger(sends bool) {
	closer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || closer.CloseWrite() != nil {
		return
	}
	limit := lingerTime
	if !sends {
		limit = flushTime
	}
	left, end := unsent(c.Conn), time.Now().Add(limit)
	for now := time.Now(); now.Before(end); now = time.Now() {
		if c.Conn.SetReadDeadline(now.Add(lingerPollTime)) != nil {
			return
		}
		if _, err := io.Copy(io.Discard, c.Conn); !isTimeout(err) {
			return
		}
		if n := unsent(c.Conn); n < left {
			left, end = n, time.Now().Add(limit)
		}
		if left == 0 && !sends {
			return
		}
	}
}

// holdsInput reports whether a read of the connection does not block. known is false if
// the connection is not a socket.
func holdsInput(conn net.Conn) (holds, known bool) {
	known = control(conn, func(fd int) {
		var peek [1]byte
		_, _, err := unix.Recvfrom(fd, peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		holds = err != unix.EAGAIN && err != unix.EINTR //nolint:errorlint // System calls return plain numbers.
	})
	return holds, known
}

// unsent returns the number of bytes that the caller has not acknowledged yet, 0 if the
// connection is not a socket.
func unsent(conn net.Conn) int {
	n := 0
	control(conn, func(fd int) {
		if queued, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			n = queued
		}
	})
	return n
}

// control calls f with the file descriptor of a socket. It returns false if the connection
// is not a socket, or is closed.
func control(conn net.Conn, f func(fd int)) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}
