package standin

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// The modes of a proxy.
const (
	// ProxyPass passes the bytes of all connections on, but those that went
	// silent before.
	ProxyPass = "pass"
	// ProxyRefuse refuses new connections and leaves open ones as they are.
	ProxyRefuse = "refuse"
	// ProxyReset resets the open connections and every new one.
	ProxyReset = "reset"
	// ProxyBlackholeOpen drops all bytes of the connections that are open now,
	// for good, while new connections work.
	ProxyBlackholeOpen = "silence_open"
	// ProxyBlackhole drops all bytes of all connections, new ones included.
	ProxyBlackhole = "silence"
)

// Proxy passes TCP connections on and fails in the ways of a network path.
type Proxy struct {
	listen, to string

	mu       sync.Mutex
	mode     string
	listener net.Listener // nil while connections are refused
	links    map[*link]struct{}
}

// link is a connection through the proxy.
type link struct {
	near, far net.Conn
	silent    atomic.Bool
}

// NewProxy returns a proxy that listens on one address and passes connections
// on to another one.
func NewProxy(listen, to string) *Proxy {
	return &Proxy{listen: listen, to: to, links: map[*link]struct{}{}}
}

// Serve answers control requests until the listener closes: PUT
// /standin/control?mode=.
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

// SetMode changes the way in which the proxy fails.
func (p *Proxy) SetMode(mode string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	for l := range p.links {
		switch mode {
		case ProxyReset:
			reset(l.near)
			reset(l.far)
		case ProxyBlackhole, ProxyBlackholeOpen:
			l.silent.Store(true)
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
	l, err := net.Listen("tcp", p.listen) //nolint:noctx // The listener lives as long as the mode.
	if err != nil {
		return err
	}
	p.listener = l
	go p.accept(l)
	return nil
}

func (p *Proxy) accept(l net.Listener) {
	for {
		near, err := l.Accept()
		if err != nil {
			return
		}
		go p.open(near)
	}
}

func (p *Proxy) open(near net.Conn) {
	far, err := net.Dial("tcp", p.to) //nolint:noctx // The dial to a loopback address ends at once.
	if err != nil {
		reset(near)
		return
	}
	l := &link{near: near, far: far}
	p.mu.Lock()
	p.links[l] = struct{}{}
	l.silent.Store(p.mode == ProxyBlackhole)
	if p.mode == ProxyReset {
		reset(near)
		reset(far)
	}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.pass(near, far) })
	both.Go(func() { l.pass(far, near) })
	both.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
	_ = near.Close()
	_ = far.Close()
}

// pass copies bytes until the source ends. A silent connection passes neither
// bytes nor its end on.
func (l *link) pass(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !l.silent.Load() && n > 0 {
			if _, failed := to.Write(buf[:n]); failed != nil {
				err = failed
			}
		}
		if err == nil {
			continue
		}
		if !l.silent.Load() {
			_ = to.Close()
			_ = from.Close()
		}
		return
	}
}

// reset closes a connection so that its other end sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
