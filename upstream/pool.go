package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rhubarbrelay/sockets"
)

const (
	// userTimeout limits how long sent data may remain unacknowledged
	// (TCP_USER_TIMEOUT).
	userTimeout       = 3 * time.Second
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Pool is the connection pool for one target. It is safe for concurrent use.
type Pool struct {
	destination     Destination
	host            string
	dial            DialFunc
	maxResponseBody int
	idleTimeout     time.Duration
	dialTimeout     time.Duration
	dials           atomic.Uint64

	mu          sync.Mutex
	maxConns    int
	idle        []*Conn // most recently used last
	openConns   int
	closed      bool
	noReuse     bool // see SetReuse
	expiryTimer *time.Timer
}

// Option configures a Pool.
type Option func(*Pool)

// WithDial replaces the TCP dialer.
func WithDial(dial DialFunc) Option { return func(p *Pool) { p.dial = dial } }

// WithMaxResponseBody limits the size of a response body in bytes.
func WithMaxResponseBody(size int) Option { return func(p *Pool) { p.maxResponseBody = size } }

// WithIdleTimeout limits the idle time of a connection whose target sends no
// keep-alive timeout.
func WithIdleTimeout(timeout time.Duration) Option { return func(p *Pool) { p.idleTimeout = timeout } }

// NewPool returns a pool of at most maxConns connections to the target.
func NewPool(destination Destination, maxConns int, opts ...Option) *Pool {
	dialer := sockets.NewDialer(sockets.Options{
		UserTimeout: userTimeout, KeepAliveIdle: keepAliveIdle, KeepAliveInterval: keepAliveInterval, KeepAliveCount: keepAliveCount,
	})
	p := &Pool{
		destination: destination, host: destination.Address.String(), maxConns: maxConns, dial: dialer.DialContext,
		maxResponseBody: DefaultMaxResponseBody, idleTimeout: DefaultIdleTimeout, dialTimeout: DefaultDialTimeout,
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// SetLimit changes the maximum number of connections. Connections in excess of
// it are closed when they are released.
func (p *Pool) SetLimit(maxConns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = maxConns
}

// Exhausted reports whether all connections that the limit allows are in use.
func (p *Pool) Exhausted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && len(p.idle) == 0 && p.openConns >= p.maxConns
}

// SetReuse sets whether connections are kept for further requests. Without reuse, idle
// connections are closed now, and those in use when they are released.
func (p *Pool) SetReuse(reuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noReuse = !reuse
	if p.noReuse {
		p.closeIdle()
	}
}

// Dials returns the number of attempts to open a connection.
func (p *Pool) Dials() uint64 { return p.dials.Load() }

// Acquire returns an idle connection, or opens one before the deadline. The
// error wraps ErrNotSent and, if the target could not be reached, ErrUnreachable.
func (p *Pool) Acquire(deadline time.Time) (*Conn, error) {
	for {
		c, err := p.reserve()
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		if c == nil {
			return p.connect(deadline)
		}
		// The deadline of the previous request may have passed, which would make
		// the check of the socket fail.
		if c.netConn.SetDeadline(deadline) == nil && c.isReusable() {
			return c, nil
		}
		c.noReuse = true
		p.release(c)
	}
}

// reserve returns an idle connection. If there is none, it counts a new connection
// towards the limit and returns nil; connect must then open that connection.
func (p *Pool) reserve() (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrPoolClosed
	}
	p.closeExpired(time.Now())
	if last := len(p.idle) - 1; last >= 0 {
		c := p.idle[last]
		p.idle = p.idle[:last]
		return c, nil
	}
	if p.openConns >= p.maxConns {
		return nil, ErrPoolExhausted
	}
	p.openConns++
	return nil, nil
}

// connect opens the connection that reserve has counted.
func (p *Pool) connect(deadline time.Time) (*Conn, error) {
	p.dials.Add(1)
	if dialDeadline := time.Now().Add(p.dialTimeout); dialDeadline.Before(deadline) {
		deadline = dialDeadline
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	netConn, err := p.dial(ctx, "tcp", p.host)
	if err != nil {
		p.mu.Lock()
		p.openConns--
		p.mu.Unlock()
		return nil, fmt.Errorf("%w: %w: %w", ErrNotSent, ErrUnreachable, err)
	}
	return newConn(netConn, p), nil
}

// TestPath opens a connection and closes it. The error wraps ErrUnreachable.
func (p *Pool) TestPath(deadline time.Time) error {
	netConn, err := p.dialOnce(deadline)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return netConn.Close()
}

// Ended reports whether the process of the target has ended: it refuses a new
// connection. Open connections do not tell, as the end of each may arrive at another
// time. A process that is ending may accept a connection and reset it, and refuses only
// the next one.
func (p *Pool) Ended(deadline time.Time) bool {
	netConn, err := p.dialOnce(deadline)
	if err == nil && p.destination.HealthPath != "" {
		if _, _, probeErr := newConn(netConn, p).Probe(deadline); probeErr != nil && time.Now().Before(deadline) {
			_ = netConn.Close()
			netConn, err = p.dialOnce(deadline)
		}
	}
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = netConn.Close()
	return false
}

// dialOnce opens a connection outside the pool.
func (p *Pool) dialOnce(deadline time.Time) (net.Conn, error) {
	p.dials.Add(1)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return p.dial(ctx, "tcp", p.host)
}

func (p *Pool) release(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.noReuse || p.noReuse || p.closed || p.openConns > p.maxConns || c.idleTimeout <= 0 {
		p.discard(c)
		return
	}
	p.idle = append(p.idle, c)
	if p.expiryTimer == nil {
		p.expiryTimer = time.AfterFunc(p.idleTimeout, p.expire)
	}
}

// discard closes a connection, which then no longer counts towards the limit. The
// caller must hold p.mu.
func (p *Pool) discard(c *Conn) {
	p.openConns--
	_ = c.netConn.Close()
}

// expire runs closeExpired periodically while there are idle connections.
func (p *Pool) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expiryTimer = nil
	p.closeExpired(time.Now())
	if len(p.idle) > 0 {
		p.expiryTimer = time.AfterFunc(p.idleTimeout, p.expire)
	}
}

// closeExpired closes the idle connections whose idle timeout has passed. The
// caller must hold p.mu.
func (p *Pool) closeExpired(now time.Time) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.lastUsed) < c.idleTimeout {
			kept = append(kept, c)
		} else {
			p.discard(c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// Close closes the idle connections. Connections in use are closed when they
// are released.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle()
}

// closeIdle closes the idle connections. The caller must hold p.mu.
func (p *Pool) closeIdle() {
	for _, c := range p.idle {
		p.discard(c)
	}
	p.idle = nil
	if p.expiryTimer != nil {
		p.expiryTimer.Stop()
		p.expiryTimer = nil
	}
}
