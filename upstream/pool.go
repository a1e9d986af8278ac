package upstream

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbrelay/sockets"
)

const (
	// userTimeout bounds unacknowledged data.
	userTimeout       = 3 * time.Second
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// DialFunc opens a connection to the address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Pool holds the connections of this instance to one target. It is safe for
// concurrent use.
type Pool struct {
	destination Destination
	host        string
	dial        DialFunc
	maxAnswer   int
	maxIdle     time.Duration
	dialTimeout time.Duration
	dials       atomic.Uint64

	mu     sync.Mutex
	limit  int
	idle   []*Conn // the most recently used last
	open   int
	closed bool
	expiry *time.Timer
}

// Option changes a Pool under construction.
type Option func(*Pool)

// WithDial replaces the TCP dialer.
func WithDial(dial DialFunc) Option { return func(p *Pool) { p.dial = dial } }

// WithMaxResponseBody bounds the body of an answer, in bytes.
func WithMaxResponseBody(size int) Option { return func(p *Pool) { p.maxAnswer = size } }

// WithIdleTimeout bounds the idle time on a connection whose target states no
// timeout.
func WithIdleTimeout(age time.Duration) Option { return func(p *Pool) { p.maxIdle = age } }

// NewPool returns a pool that opens at most limit connections to the target.
func NewPool(destination Destination, limit int, opts ...Option) *Pool {
	dialer := sockets.NewDialer(sockets.Options{
		UserTimeout: userTimeout, KeepAliveIdle: keepAliveIdle, KeepAliveInterval: keepAliveInterval, KeepAliveCount: keepAliveCount,
	})
	p := &Pool{
		destination: destination, host: destination.Address.String(), limit: limit, dial: dialer.DialContext,
		maxAnswer: DefaultMaxResponseBody, maxIdle: DefaultIdleTimeout, dialTimeout: DefaultDialTimeout,
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// SetLimit changes the bound of the connections. Connections above it close
// after their exchange.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// Dials returns the number of connections opened so far.
func (p *Pool) Dials() uint64 { return p.dials.Load() }

// Acquire returns an idle connection or opens one until the deadline. The error
// wraps ErrNotSent.
func (p *Pool) Acquire(deadline time.Time) (*Conn, error) {
	for {
		c, err := p.reserve()
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		if c == nil {
			return p.connect(deadline)
		}
		// The deadline of the last exchange may have passed, with which the look
		// at the socket would fail.
		if c.raw.SetDeadline(deadline) == nil && c.isQuiet() {
			return c, nil
		}
		c.spoilt = true
		p.release(c)
	}
}

// reserve returns an idle connection, or nil with the right to open one.
func (p *Pool) reserve() (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrPoolClosed
	}
	p.dropOld(time.Now())
	if last := len(p.idle) - 1; last >= 0 {
		c := p.idle[last]
		p.idle = p.idle[:last]
		return c, nil
	}
	if p.open >= p.limit {
		return nil, ErrPoolExhausted
	}
	p.open++
	return nil, nil
}

func (p *Pool) connect(deadline time.Time) (*Conn, error) {
	p.dials.Add(1)
	if limit := time.Now().Add(p.dialTimeout); limit.Before(deadline) {
		deadline = limit
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	raw, err := p.dial(ctx, "tcp", p.host)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return newConn(raw, p), nil
}

func (p *Pool) release(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.spoilt || p.closed || p.open > p.limit || c.maxIdle <= 0 {
		p.discard(c)
		return
	}
	p.idle = append(p.idle, c)
	if p.expiry == nil {
		p.expiry = time.AfterFunc(p.maxIdle, p.expire)
	}
}

func (p *Pool) discard(c *Conn) {
	p.open--
	_ = c.raw.Close()
}

// expire closes the connections that have been idle for too long.
func (p *Pool) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expiry = nil
	p.dropOld(time.Now())
	if len(p.idle) > 0 {
		p.expiry = time.AfterFunc(p.maxIdle, p.expire)
	}
}

func (p *Pool) dropOld(now time.Time) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.lastUsed) < c.maxIdle {
			kept = append(kept, c)
		} else {
			p.discard(c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// Close closes the idle connections, and those in use after their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.discard(c)
	}
	p.idle = nil
	if p.expiry != nil {
		p.expiry.Stop()
		p.expiry = nil
	}
}
