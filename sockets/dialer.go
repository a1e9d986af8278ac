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
	// Unacknowledged bounds the time that sent bytes may stay unacknowledged.
	Unacknowledged time.Duration
	// Idle is the time without traffic before the first of Probes keep-alive
	// probes, which are Interval apart.
	Idle     time.Duration
	Interval time.Duration
	Probes   int
}

// NewDialer returns a dialer with the options.
func NewDialer(o Options) *net.Dialer {
	return &net.Dialer{
		Timeout:         o.Timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: o.Idle, Interval: o.Interval, Count: o.Probes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.Unacknowledged.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
	}
}
