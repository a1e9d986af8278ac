package sockets

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a reset connection that passes for one that its peer has closed in order.
func TestState(t *testing.T) {
	tests := []struct {
		name string
		end  func(*net.TCPConn) error
		want TCPState
	}{
		{"closed", (*net.TCPConn).Close, StateCloseWait},
		{"sending side closed", (*net.TCPConn).CloseWrite, StateCloseWait},
		{"reset", func(c *net.TCPConn) error {
			_ = c.SetLinger(0)
			return c.Close()
		}, StateClose},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = l.Close() }()
			c, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			peer, err := l.Accept()
			assert.NilError(t, err)
			defer func() { _ = peer.Close() }()
			assert.NilError(t, tt.end(peer.(*net.TCPConn)))
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
			_, _ = io.Copy(io.Discard, c) // until the end has arrived
			raw, err := c.(syscall.Conn).SyscallConn()
			assert.NilError(t, err)
			assert.Equal(t, State(raw), tt.want)
		})
	}
	assert.Equal(t, State(nil), StateUnknown)
}
