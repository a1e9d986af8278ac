package standin

import (
	"net"
	"sync"
)

// listening closes the listener of a server that is closed before it has begun to serve:
// fasthttp's Shutdown does not know the listener then, and Serve would never return.
type listening struct {
	mu       sync.Mutex
	listener *closableListener
	closed   bool
}

// begin returns the listener to serve, which is closed if the server is.
func (g *listening) begin(l net.Listener) net.Listener {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listener = &closableListener{Listener: l}
	if g.closed {
		_ = g.listener.Close() // Serve returns with the error of the closed listener
	}
	return g.listener
}

func (g *listening) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.listener != nil {
		_ = g.listener.Close() // as in begin
	}
}

// closableListener may be closed several times.
type closableListener struct {
	net.Listener
	once sync.Once
	err  error
}

// Close implements net.Listener.
func (l *closableListener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}
