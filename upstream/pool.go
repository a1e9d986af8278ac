package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/config"
	"rhubarbrelay/header"
)

// Defaults of a pool.
const (
	// DefaultMaxAnswer bounds the body of an answer, in bytes.
	DefaultMaxAnswer = 16 << 20
	// DefaultMaxIdle is below the keep-alive time of usual servers, so that the
	// pool and not the target closes an unused connection.
	DefaultMaxIdle = 20 * time.Second
	// DefaultMaxWait bounds the wait for a connection. Together with the wait
	// for a slot it stays below the 50 ms within which a refusal is due.
	DefaultMaxWait = 5 * time.Millisecond
	// DefaultDialTimeout leaves time for another target within a usual
	// deadline; a connection normally opens in 1 ms.
	DefaultDialTimeout = 250 * time.Millisecond
)

const (
	// provenAge is the longest idle time after which a connection still counts
	// as working for a request that must not run twice.
	provenAge = time.Second
	// userTimeout bounds unacknowledged data; it is longer than usual deadlines,
	// which end an exchange earlier.
	userTimeout       = 10 * time.Second
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

// Dial opens a connection to the address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Pool holds the connections of this instance to one target. It is safe for
// concurrent use.
type Pool struct {
	target      config.Target
	address     string
	dial        Dial
	maxAnswer   int
	maxIdle     time.Duration
	maxWait     time.Duration
	dialTimeout time.Duration
	counters    counters

	mu      sync.Mutex
	limit   int
	idle    []*conn // the most recently used last
	open    int
	waiters []*waiter // the longest waiting first
	closed  bool
	expiry  *time.Timer // set while connections are idle
}

// counters are the monotonic counters of Stats.
type counters struct {
	exchanges, dials, dialFailures, reused, stale, unread atomic.Uint64
	refused, notSent, notRun, unknown, foreign, oversized atomic.Uint64
}

// waiter is a request that waits for a connection. It receives one grant.
type waiter struct{ granted chan grant }

// grant is a free connection, the right to open one when conn is nil, or an
// error.
type grant struct {
	conn *conn
	err  error
}

// Option changes a Pool under construction.
type Option func(*Pool)

// WithDial replaces the TCP dialer.
func WithDial(dial Dial) Option { return func(p *Pool) { p.dial = dial } }

// WithMaxAnswer bounds the body of an answer, in bytes.
func WithMaxAnswer(size int) Option { return func(p *Pool) { p.maxAnswer = size } }

// WithMaxIdle bounds the time that a connection may stay idle.
func WithMaxIdle(age time.Duration) Option { return func(p *Pool) { p.maxIdle = age } }

// WithMaxWait bounds the time that a request waits for a connection.
func WithMaxWait(wait time.Duration) Option { return func(p *Pool) { p.maxWait = wait } }

// WithDialTimeout bounds the time that opening a connection may take.
func WithDialTimeout(timeout time.Duration) Option {
	return func(p *Pool) { p.dialTimeout = timeout }
}

// NewPool returns a pool that opens at most limit connections to the target.
func NewPool(target config.Target, limit int, opts ...Option) *Pool {
	dialer := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout(userTimeout),
	}
	p := &Pool{
		target: target, address: target.Address.String(), limit: limit, dial: dialer.DialContext,
		maxAnswer: DefaultMaxAnswer, maxIdle: DefaultMaxIdle, maxWait: DefaultMaxWait,
		dialTimeout: DefaultDialTimeout,
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Exchange sends the request once and reads the whole answer. The error wraps
// ErrNotSent, ErrNotRun or ErrUnknown; with ErrNotRun the answer is valid.
func (p *Pool) Exchange(req *fasthttp.Request, resp *fasthttp.Response, terms Terms) error {
	p.counters.exchanges.Add(1)
	err := p.exchange(req, resp, terms)
	p.count(err)
	return err
}

func (p *Pool) exchange(req *fasthttp.Request, resp *fasthttp.Response, terms Terms) error {
	c, err := p.take(terms)
	if err != nil {
		return err
	}
	stop := watch(c, terms.Done)
	c.watch(terms.Canceler)
	returned := false
	defer func() {
		if !returned { // a panic
			_, _ = stop(), c.unwatch()
			p.discard(c)
		}
	}()
	err = c.exchange(req, resp, p.maxAnswer)
	returned = true
	canceled := c.unwatch()
	if stop() || canceled {
		p.discard(c)
		if errors.Is(err, ErrNotSent) {
			return fmt.Errorf("%w: %w", ErrNotSent, ErrCancelled)
		}
		return fmt.Errorf("%w: %w", ErrUnknown, ErrCancelled)
	}
	if err != nil {
		p.discard(c)
		return err
	}
	p.giveBack(c, resp.ConnectionClose())
	if string(resp.Header.Peek(header.Outcome)) == header.OutcomeNotRun {
		return fmt.Errorf("%w: status %d", ErrNotRun, resp.StatusCode())
	}
	return nil
}

// watch closes the connection when done ends. The returned function stops the
// watch and returns whether the connection was closed.
func watch(c *conn, done <-chan struct{}) func() bool {
	if done == nil {
		return func() bool { return false }
	}
	finished := make(chan struct{})
	closed := make(chan bool, 1)
	go func() {
		select {
		case <-done:
			_ = c.Close()
			closed <- true
		case <-finished:
			closed <- false
		}
	}()
	return func() bool {
		close(finished)
		return <-closed
	}
}

func (p *Pool) count(err error) {
	switch {
	case err == nil:
	case errors.Is(err, ErrNotSent):
		p.counters.notSent.Add(1)
	case errors.Is(err, ErrNotRun):
		p.counters.notRun.Add(1)
	default:
		p.counters.unknown.Add(1)
	}
	switch {
	case errors.Is(err, errForeignAnswer):
		p.counters.foreign.Add(1)
	case errors.Is(err, errAnswerTooLarge):
		p.counters.oversized.Add(1)
	}
}

// take returns a connection that is ready for one exchange until the deadline
// of the terms.
func (p *Pool) take(terms Terms) (*conn, error) {
	for {
		if !time.Now().Before(terms.Deadline) {
			return nil, fmt.Errorf("%w: deadline has passed", ErrNotSent)
		}
		c, err := p.reserve(terms)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.connect(terms)
		}
		// The deadline is set first: the probe of a connection whose last
		// deadline has passed would fail.
		if c.SetDeadline(terms.Deadline) == nil && c.isQuiet() {
			c.reused = true
			p.counters.reused.Add(1)
			return c, nil
		}
		p.counters.stale.Add(1)
		p.discard(c)
	}
}

// reserve returns an idle connection, or nil with the right to open one.
func (p *Pool) reserve(terms Terms) (*conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	p.dropOld()
	last := len(p.idle) - 1
	if last >= 0 && (!terms.Proven || time.Since(p.idle[last].lastUsed) < provenAge) {
		c := p.idle[last]
		p.idle = p.idle[:last]
		p.mu.Unlock()
		return c, nil
	}
	if p.open >= p.limit && last >= 0 {
		p.closeOldest()
	}
	if p.open < p.limit {
		p.open++
		p.mu.Unlock()
		return nil, nil
	}
	w := &waiter{granted: make(chan grant, 1)}
	p.waiters = append(p.waiters, w)
	p.mu.Unlock()
	return p.await(w, terms)
}

func (p *Pool) await(w *waiter, terms Terms) (*conn, error) {
	timer := time.NewTimer(min(p.maxWait, time.Until(terms.Deadline)))
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return g.conn, g.err
	case <-timer.C:
	case <-terms.Done:
	}
	p.mu.Lock()
	i := slices.Index(p.waiters, w)
	if i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	}
	p.mu.Unlock()
	if i < 0 {
		// The grant came together with the end of the wait.
		g := <-w.granted
		return g.conn, g.err
	}
	p.counters.refused.Add(1)
	return nil, ErrNoConnection
}

func (p *Pool) connect(terms Terms) (*conn, error) {
	p.counters.dials.Add(1)
	ctx, cancel := context.WithDeadline(context.Background(), minTime(terms.Deadline, time.Now().Add(p.dialTimeout)))
	defer cancel()
	raw, err := p.dial(ctx, "tcp", p.address)
	if err != nil {
		p.counters.dialFailures.Add(1)
		p.release()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c := newConn(raw)
	if err := c.SetDeadline(terms.Deadline); err != nil {
		p.discard(c)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return c, nil
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// giveBack makes the connection available again unless it cannot be reused.
func (p *Pool) giveBack(c *conn, closing bool) {
	if c.reader.Buffered() > 0 {
		p.counters.unread.Add(1)
		closing = true
	}
	if closing {
		p.discard(c)
		return
	}
	c.lastUsed = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed || p.open > p.limit:
		p.open--
		_ = c.Close()
	case len(p.waiters) > 0:
		p.nextWaiter().granted <- grant{conn: c}
	default:
		p.idle = append(p.idle, c)
		p.armExpiry()
	}
}

func (p *Pool) discard(c *conn) {
	_ = c.Close()
	p.release()
}

// release gives up the right to one connection, to the first waiter if there
// is one.
func (p *Pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.grantFree()
}

func (p *Pool) grantFree() {
	for len(p.waiters) > 0 && p.open < p.limit && !p.closed {
		p.open++
		p.nextWaiter().granted <- grant{}
	}
}

func (p *Pool) nextWaiter() *waiter {
	w := p.waiters[0]
	p.waiters = slices.Delete(p.waiters, 0, 1)
	return w
}

func (p *Pool) dropOld() {
	for len(p.idle) > 0 && time.Since(p.idle[0].lastUsed) >= p.maxIdle {
		p.counters.stale.Add(1)
		p.closeOldest()
	}
}

func (p *Pool) closeOldest() {
	_ = p.idle[0].Close()
	p.idle = slices.Delete(p.idle, 0, 1)
	p.open--
}

func (p *Pool) armExpiry() {
	if p.expiry == nil {
		p.expiry = time.AfterFunc(p.maxIdle, p.expire)
	}
}

// expire closes the connections that idled for too long.
func (p *Pool) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expiry = nil
	p.dropOld()
	if len(p.idle) > 0 {
		p.expiry = time.AfterFunc(time.Until(p.idle[0].lastUsed.Add(p.maxIdle)), p.expire)
	}
}

// Resize changes the limit of connections. Connections in use above a lower
// limit close when their exchange ends.
func (p *Pool) Resize(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	for p.open > p.limit && len(p.idle) > 0 {
		p.closeOldest()
	}
	p.grantFree()
}

// Close closes the idle connections and refuses requests. Connections in use
// close when their exchange ends.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for len(p.idle) > 0 {
		p.closeOldest()
	}
	for len(p.waiters) > 0 {
		p.nextWaiter().granted <- grant{err: ErrClosed}
	}
	if p.expiry != nil {
		p.expiry.Stop()
		p.expiry = nil
	}
}

// Stats returns what the pool holds and did.
func (p *Pool) Stats() Stats {
	c := &p.counters
	s := Stats{
		Exchanges: c.exchanges.Load(), Dials: c.dials.Load(), DialFailures: c.dialFailures.Load(),
		Reused: c.reused.Load(), Stale: c.stale.Load(), Unread: c.unread.Load(), Refused: c.refused.Load(),
		NotSent: c.notSent.Load(), NotRun: c.notRun.Load(), Unknown: c.unknown.Load(),
		Foreign: c.foreign.Load(), Oversized: c.oversized.Load(),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s.Open, s.Idle, s.Waiting = p.open, len(p.idle), len(p.waiters)
	return s
}
