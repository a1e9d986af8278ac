package main

import (
	"net"
	"syscall"
	"time"
)

// link is a network path of limited bandwidth from clients to an address: a proxy that
// passes bytes towards the client at no more than the given rate, with small windows.
type link struct {
	listener  net.Listener
	to        string
	perSecond int // bytes
}

const (
	linkWindow  = 64 << 10
	segmentSize = 1448
)

func newLink(to string, perSecond int) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, to: to, perSecond: perSecond}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go k.forward(conn)
		}
	}()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) close() { _ = k.listener.Close() }

func (k *link) forward(client net.Conn) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, linkWindow)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentSize)
		})
	}}
	machine, err := dialer.Dial("tcp", k.to)
	if err != nil {
		abort(client)
		return
	}
	go func() {
		buf := make([]byte, 32<<10)
		for {
			n, err := client.Read(buf)
			if n > 0 {
				if _, werr := machine.Write(buf[:n]); werr != nil {
					return
				}
			}
			if err != nil {
				_ = machine.(*net.TCPConn).CloseWrite()
				return
			}
		}
	}()
	buf := make([]byte, 8<<10)
	next := time.Now()
	for {
		n, err := machine.Read(buf)
		if n > 0 {
			if now := time.Now(); next.Before(now) {
				next = now
			}
			next = next.Add(time.Duration(float64(n) / float64(k.perSecond) * float64(time.Second)))
			time.Sleep(time.Until(next))
			if _, werr := client.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = client.Close()
	_ = machine.Close()
}

// abort resets a connection.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
