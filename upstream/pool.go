// Package upstream keeps the connections to targets and runs one exchange at a
// time on each of them.
package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"rhubarbrelay/config"

	"github.com/valyala/fasthttp"
)

// The errors of an exchange. They say what is known of the request.
var (
	// ErrNotSent means that no byte of the request left for the target.
	ErrNotSent = errors.New("request was not sent")
	// ErrUnknown means that the request may have run.
	ErrUnknown = errors.New("request may have run")
	// ErrNoConnection means that the limit of connections is reached. Nothing
	// was sent.
	ErrNoConnection = fmt.Errorf("%w: connection limit reached", ErrNotSent)
)

// provenAge is the longest idle time after which a connection still counts as
// working for a request that must not run twice.
const provenAge = time.Second

// Terms are the conditions of one exchange.
type Terms struct {
	Deadline time.Time
	// Proven asks for a connection that is new or was used a moment ago,
	// because a connection that idled longer may be silently dead.
	Proven bool
}

// Pool holds the connections of this instance to one target. It is safe for
// concurrent use.
type Pool struct {
	target config.Target
	limit  int

	mu   sync.Mutex
	idle []*conn
	open int
}

// conn is one connection with its buffers. It belongs to one exchange at a time.
type conn struct {
	net.Conn
	reader   *bufio.Reader
	writer   *bufio.Writer
	lastUsed time.Time
}

// NewPool returns a pool that opens at most limit connections to the target.
func NewPool(target config.Target, limit int) *Pool {
	return &Pool{target: target, limit: limit}
}

// Exchange sends the request and reads the whole answer. The error wraps
// ErrNotSent or ErrUnknown.
func (p *Pool) Exchange(req *fasthttp.Request, resp *fasthttp.Response, terms Terms) error {
	c, err := p.take(terms)
	if err != nil {
		return err
	}
	if err := c.SetDeadline(terms.Deadline); err != nil {
		p.discard(c)
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err := c.exchange(req, resp); err != nil {
		p.discard(c)
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if resp.ConnectionClose() {
		p.discard(c)
		return nil
	}
	p.put(c)
	return nil
}

func (c *conn) exchange(req *fasthttp.Request, resp *fasthttp.Response) error {
	if err := req.Write(c.writer); err != nil {
		return err
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	return resp.Read(c.reader)
}

func (p *Pool) take(terms Terms) (*conn, error) {
	p.mu.Lock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if !terms.Proven || time.Since(c.lastUsed) < provenAge {
			p.mu.Unlock()
			return c, nil
		}
		p.open--
		_ = c.Close()
	}
	if p.open >= p.limit {
		p.mu.Unlock()
		return nil, ErrNoConnection
	}
	p.open++
	p.mu.Unlock()
	return p.dial(terms.Deadline)
}

func (p *Pool) dial(deadline time.Time) (*conn, error) {
	dialer := net.Dialer{Deadline: deadline}
	raw, err := dialer.Dial("tcp", p.target.Address.String()) //nolint:noctx // The deadline bounds the dial.
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return &conn{Conn: raw, reader: bufio.NewReader(raw), writer: bufio.NewWriter(raw)}, nil
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.lastUsed = time.Now()
	p.idle = append(p.idle, c)
}

func (p *Pool) discard(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// Close closes the idle connections. Connections in use close when their
// exchange ends.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Close()
		p.open--
	}
	p.idle = nil
	p.limit = 0
}
