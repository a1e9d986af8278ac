package callers

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
)

const (
	// backlogTime limits the time for which a listener that stops accepts the connections
	// that wait in its backlog. Closing it would reset them.
	backlogTime = 100 * time.Millisecond
	// acceptTime is how long it waits for each of them.
	acceptTime = 2 * time.Millisecond
	// maxPendingRefusals limits the number of refused connections that are kept
	// open to read their requests, refusalFraction their number as a fraction of the limit
	// of connections.
	maxPendingRefusals = 256
	refusalFraction    = 8
	// minAcceptDelay and maxAcceptDelay are the times between attempts to accept a connection
	// while the process has no resources for one.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// Refuse responds to the first request of a connection in excess of the limit. The
// connection is closed afterwards. Without readRequest it must not wait for the request.
type Refuse func(conn *Conn, readRequest bool)

// Listener accepts connections for a set, up to a limit, and refuses those above it.
type Listener struct {
	net.Listener
	set      *Set
	limit    int64
	refuse   Refuse // nil to close the connections in excess of the limit
	fromPeer bool
	// writeTimeout is that of the connections.
	writeTimeout time.Duration

	open            atomic.Int64
	logger          log.Interface // nil for none
	acceptFailures  int           // since the last accepted connection
	pendingRefusals atomic.Int64
	refusals        sync.WaitGroup
	stoppedAt       atomic.Pointer[time.Time] // when stop was called
	stops           chan struct{}             // closed by stop
}

// ListenerOption configures a Listener.
type ListenerOption func(*Listener)

// WithRefuse sets what responds to connections in excess of the limit.
func WithRefuse(refuse Refuse) ListenerOption { return func(l *Listener) { l.refuse = refuse } }

// WithLogger logs connections that cannot be accepted.
func WithLogger(logger log.Interface) ListenerOption {
	return func(l *Listener) { l.logger = logger }
}

// FromPeers states that other instances connect, not callers.
func FromPeers() ListenerOption { return func(l *Listener) { l.fromPeer = true } }

// WithWriteTimeout ends responses of which no byte can be written for the timeout, and those
// that take longer than the timeout or, if that is later, until the deadline that
// Conn.SetSendDeadline states.
func WithWriteTimeout(timeout time.Duration) ListenerOption {
	return func(l *Listener) { l.writeTimeout = timeout }
}

// NewListener returns a listener that accepts up to limit connections at a time. Accept must
// be called until it returns an error, which is io.EOF after a shutdown of the set.
func NewListener(set *Set, inner net.Listener, limit int, opts ...ListenerOption) *Listener {
	l := &Listener{Listener: inner, set: set, limit: int64(limit), stops: make(chan struct{})}
	for _, opt := range opts {
		opt(l)
	}
	if !set.addListener(l) {
		l.stop()
	}
	return l
}

// WaitForRefusals waits until no connection is being refused.
func (l *Listener) WaitForRefusals() { l.refusals.Wait() }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.acceptNext()
		if err != nil {
			l.set.removeListener(l)
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return l.newConn(conn, func() { l.open.Add(-1) }), nil
		}
		l.open.Add(-1)
		l.refuseExcess(l.newConn(conn, func() {}))
	}
}

func (l *Listener) newConn(conn net.Conn, onClose func()) *Conn {
	c := &Conn{Conn: conn, set: l.set, fromPeer: l.fromPeer, accepted: time.Now(), onClose: onClose, writeTimeout: l.writeTimeout}
	l.set.add(c)
	return c
}

// acceptNext returns the next connection. Once the listener stops, it returns those in the
// backlog, closes the listener and returns io.EOF.
func (l *Listener) acceptNext() (net.Conn, error) {
	for {
		stops, conn := l.acceptBacklog()
		if conn != nil {
			return conn, nil
		}
		if stops {
			_ = l.Close() // nothing is accepted any more, whatever the error
			return nil, io.EOF
		}
		conn, err := l.Listener.Accept()
		switch {
		case err == nil:
			l.acceptFailures = 0
			return conn, nil
		case l.stoppedAt.Load() != nil:
		case lacksResources(err):
			l.waitForResources(err)
		default:
			return nil, err //nolint:wrapcheck // The error must stay that of the listener.
		}
	}
}

// lacksResources reports whether accepting a connection may succeed later. A server that
// ended for such an error would cut off all other callers.
func lacksResources(err error) bool {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// waitForResources waits before the next attempt to accept a connection, longer each time.
func (l *Listener) waitForResources(err error) {
	delay := min(minAcceptDelay<<min(l.acceptFailures, 16), maxAcceptDelay)
	l.acceptFailures++
	if l.logger != nil {
		l.logger.WithError(err).WithField("listener", l.Addr().String()).WithField("open", l.open.Load()).WithField("retry", delay.String()).
			Error("connection cannot be accepted")
	}
	select {
	case <-time.After(delay):
	case <-l.stops:
	}
}

// acceptBacklog returns whether the listener stops and, if so, a connection of its backlog,
// nil if there is none.
func (l *Listener) acceptBacklog() (stops bool, conn net.Conn) {
	stoppedAt := l.stoppedAt.Load()
	if stoppedAt == nil {
		return false, nil
	}
	inner, ok := l.Listener.(deadlineListener)
	if now := time.Now(); !ok || now.Sub(*stoppedAt) > backlogTime || inner.SetDeadline(now.Add(acceptTime)) != nil {
		return true, nil
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		return true, nil
	}
	return true, conn
}

// deadlineListener is a listener whose Accept can be ended.
type deadlineListener interface{ SetDeadline(t time.Time) error }

// stop makes Accept return the connections in the backlog and then io.EOF.
func (l *Listener) stop() {
	now := time.Now()
	if !l.stoppedAt.CompareAndSwap(nil, &now) {
		return
	}
	close(l.stops)
	if inner, ok := l.Listener.(deadlineListener); ok && inner.SetDeadline(expired) == nil {
		return
	}
	_ = l.Close() // ends Accept
}

// refuseExcess refuses a connection, normally in the background so that the
// listener keeps accepting others. Above maxPendingRefusals it responds
// synchronously without reading the request; the write does not block on a new
// connection.
func (l *Listener) refuseExcess(conn *Conn) {
	if l.refuse == nil {
		_ = conn.Close() // the caller sees the error of its own end
		return
	}
	if l.pendingRefusals.Add(1) > min(maxPendingRefusals, max(1, l.limit/refusalFraction)) {
		l.pendingRefusals.Add(-1)
		l.refuse(conn, false)
		return
	}
	l.refusals.Go(func() {
		defer l.pendingRefusals.Add(-1)
		l.refuse(conn, true)
	})
}
