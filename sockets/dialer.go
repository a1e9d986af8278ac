// Package sockets opens TCP connections that notice a lost path: one that no
// longer carries packets and that neither side has reset.
package sockets

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options say how soon a lost path is noticed.
type Options struct {
	// Timeout bounds the opening of a connection; 0 leaves it to the context.
	Timeout time.Duration
	// UserTimeout bounds the time that sent bytes may stay unacknowledged.
	UserTimeout time.Duration
	// KeepAliveIdle is the time without traffic before the first of Probes keep-alive
	// probes, which are Interval apart.
	KeepAliveIdle     time.Duration
	KeepAliveInterval time.Duration
	KeepAliveCount    int
}

// NewDialer returns a dialer with the options.
func NewDialer(o Options) *net.Dialer {
	return &net.Dialer{
		Timeout:         o.Timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: o.KeepAliveIdle, Interval: o.KeepAliveInterval, Count: o.KeepAliveCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.UserTimeout.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
	}
}
