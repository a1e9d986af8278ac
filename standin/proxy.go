package standin

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// The modes of a proxy.
const (
	// ProxyPass forwards all connections, except those that were blackholed
	// before.
	ProxyPass = "pass"
	// ProxyRefuse refuses new connections and keeps open ones as they are.
	ProxyRefuse = "refuse"
	// ProxyReset resets the open connections and every new one.
	ProxyReset = "reset"
	// ProxyBlackholeOpen permanently drops all bytes of the connections that are
	// open now. New connections work.
	ProxyBlackholeOpen = "silence_open"
	// ProxyBlackhole drops all bytes of all connections, including new ones.
	ProxyBlackhole = "silence"
)

// Proxy forwards TCP connections and simulates failures of a network path.
type Proxy struct {
	listen, forwardTo string

	mu       sync.Mutex
	mode     string
	listener net.Listener // nil while connections are refused
	links    map[*link]struct{}
}

// link is a connection through the proxy: the inbound connection of a client
// and the outbound one to the address that the proxy forwards to.
type link struct {
	inbound, outbound net.Conn
	blackholed        atomic.Bool
}

// NewProxy returns a proxy that forwards connections from one address to
// another.
func NewProxy(listen, forwardTo string) *Proxy {
	return &Proxy{listen: listen, forwardTo: forwardTo, links: map[*link]struct{}{}}
}

// Serve starts in mode ProxyPass and serves control requests, PUT
// /standin/control?mode=MODE, until the listener is closed.
func (p *Proxy) Serve(control net.Listener) error {
	if err := p.SetMode(ProxyPass); err != nil {
		return err
	}
	return fasthttp.Serve(control, func(ctx *fasthttp.RequestCtx) {
		if err := p.SetMode(string(ctx.QueryArgs().Peek("mode"))); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		}
	})
}

// SetMode sets the mode of the proxy.
func (p *Proxy) SetMode(mode string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	for l := range p.links {
		switch mode {
		case ProxyReset:
			reset(l.inbound)
			reset(l.outbound)
		case ProxyBlackhole, ProxyBlackholeOpen:
			l.blackholed.Store(true)
		}
	}
	if mode == ProxyRefuse && p.listener != nil {
		err := p.listener.Close()
		p.listener = nil
		return err
	}
	if mode == ProxyRefuse || p.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", p.listen) //nolint:noctx // SetMode closes the listener.
	if err != nil {
		return err
	}
	p.listener = l
	go p.accept(l)
	return nil
}

func (p *Proxy) accept(l net.Listener) {
	for {
		inbound, err := l.Accept()
		if err != nil {
			return
		}
		go p.forward(inbound)
	}
}

func (p *Proxy) forward(inbound net.Conn) {
	outbound, err := net.Dial("tcp", p.forwardTo) //nolint:noctx // Dialing a loopback address does not block.
	if err != nil {
		reset(inbound)
		return
	}
	l := &link{inbound: inbound, outbound: outbound}
	p.mu.Lock()
	p.links[l] = struct{}{}
	l.blackholed.Store(p.mode == ProxyBlackhole)
	if p.mode == ProxyReset {
		reset(inbound)
		reset(outbound)
	}
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { l.copyBytes(inbound, outbound) })
	directions.Go(func() { l.copyBytes(outbound, inbound) })
	directions.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
	_ = inbound.Close()
	_ = outbound.Close()
}

// copyBytes copies bytes until the source is closed. It forwards neither the
// bytes nor the close of a blackholed connection.
func (l *link) copyBytes(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !l.blackholed.Load() && n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		if !l.blackholed.Load() {
			_ = to.Close()
			_ = from.Close()
		}
		return
	}
}

// reset closes a connection so that its peer receives a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
