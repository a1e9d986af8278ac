// Package sockets opens TCP connections that detect a broken network path, on
// which packets are dropped and neither side receives a reset.
package sockets

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options configures how soon a broken network path is detected.
type Options struct {
	// Timeout limits the time to open a connection. If it is 0, only the context
	// limits it.
	Timeout time.Duration
	// UserTimeout is the maximum time that sent data may stay unacknowledged
	// (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
	// KeepAliveIdle is the time without traffic before the first of KeepAliveCount
	// keep-alive probes, which are KeepAliveInterval apart.
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
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.UserTimeout.Milliseconds()))
			})
			return errors.Join(err, optionErr)
		},
	}
}
