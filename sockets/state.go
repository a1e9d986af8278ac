package sockets

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// TCPState is the state of a TCP connection, numbered as by the kernel (TCP_INFO).
type TCPState uint8

// States of a connection that the peer has closed or reset.
const (
	// StateUnknown means that the state cannot be read.
	StateUnknown TCPState = 0
	// StateClose is the state of a connection that was reset, or that both sides have closed.
	StateClose TCPState = 7
	// StateCloseWait is the state of a connection that only the peer has closed.
	StateCloseWait TCPState = 8
)

// State returns the state of a connection, StateUnknown if it is nil or not of TCP.
func State(conn syscall.RawConn) TCPState {
	if conn == nil {
		return StateUnknown
	}
	state := StateUnknown
	err := conn.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = TCPState(info.State)
		}
	})
	if err != nil {
		return StateUnknown
	}
	return state
}
