package sockets

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// Guards against an option that does not reach the socket, for example because
// net.KeepAliveConfig is not enabled, or that is set in the wrong unit. A broken
// network path would then be detected later than configured.
func TestDialerOptions(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	c, err := NewDialer(Options{
		UserTimeout: 1500 * time.Millisecond, KeepAliveIdle: 2 * time.Second, KeepAliveInterval: time.Second, KeepAliveCount: 3,
	}).Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	raw, err := c.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	for option, want := range map[int]int{
		unix.TCP_USER_TIMEOUT: 1500, unix.TCP_KEEPIDLE: 2, unix.TCP_KEEPINTVL: 1, unix.TCP_KEEPCNT: 3,
	} {
		got := 0
		assert.NilError(t, raw.Control(func(fd uintptr) { got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option) }))
		assert.NilError(t, err)
		assert.Equal(t, got, want, "option %d", option)
	}
}
