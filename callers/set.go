package callers

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// refusalTime is the least time that a shutdown leaves, after it has interrupted the
// requests that were received in part, to refuse them. It matters only if the process was
// paused until after the end of the shutdown.
const refusalTime = 50 * time.Millisecond

// Set holds the open connections of a server, from all its listeners.
type Set struct {
	mu        sync.Mutex
	conns     map[*Conn]struct{}
	listeners map[*Listener]struct{} // that accept connections
	interrupt interruption
	draining  bool
	// empty is closed and replaced when the last connection or listener is gone.
	empty chan struct{}
}

// NewSet returns a set without connections.
func NewSet() *Set {
	return &Set{conns: map[*Conn]struct{}{}, listeners: map[*Listener]struct{}{}, empty: make(chan struct{})}
}

// Counts returns the number of connections in each state.
func (s *Set) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	var counts Counts
	for c := range s.conns {
		counts[c.State()]++
	}
	return counts
}

// Counts are the numbers of connections by state.
type Counts [states]int

// String returns the states that any connection has, with their numbers.
func (c Counts) String() string {
	var parts []string
	for state, n := range c {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", State(state), n))
		}
	}
	return strings.Join(parts, " ")
}

// StartDraining makes connections that are closed from now on wait, for a limited time,
// until their callers have the response.
func (s *Set) StartDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

func (s *Set) drains() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining || s.interrupt != interruptNone
}

// ShutsDown reports whether Shutdown was called.
func (s *Set) ShutsDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.interrupt != interruptNone
}

// Shutdown stops accepting connections, closes those without a request and waits until
// the others have ended, each after the response to its request, at most until the context
// is done. At refuseAt it interrupts the requests that were received in part only, so that
// the server can refuse them. It returns the error of the context if connections are left.
func (s *Set) Shutdown(ctx context.Context, refuseAt time.Time) error {
	s.endReads(interruptIdle)
	refusals := time.NewTimer(time.Until(refuseAt))
	defer refusals.Stop()
	select {
	case <-s.whenEmpty():
		return nil
	case <-refusals.C:
	case <-ctx.Done():
	}
	s.endReads(interruptUnread)
	least, cancel := context.WithTimeout(context.Background(), refusalTime)
	defer cancel()
	empty := s.whenEmpty()
	for _, end := range []context.Context{ctx, least} {
		select {
		case <-empty:
			return nil
		case <-end.Done():
		}
	}
	return ctx.Err() //nolint:wrapcheck // The caller tests for the error of its context.
}

// endReads ends the reads that the interruption covers, of present and later connections,
// and makes the listeners stop.
func (s *Set) endReads(i interruption) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interrupt = max(s.interrupt, i)
	for l := range s.listeners {
		l.stop()
	}
	for c := range s.conns {
		c.endReads(i)
	}
}

// whenEmpty returns a channel that is closed when there are no connections and none are
// accepted.
func (s *Set) whenEmpty() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	empty := s.empty
	s.checkEmpty()
	return empty
}

func (s *Set) checkEmpty() {
	if len(s.conns) == 0 && len(s.listeners) == 0 {
		close(s.empty)
		s.empty = make(chan struct{})
	}
}

func (s *Set) add(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	c.endReads(s.interrupt)
}

func (s *Set) remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.checkEmpty()
}

// addListener returns false if the set shuts down.
func (s *Set) addListener(l *Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.interrupt != interruptNone {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Set) removeListener(l *Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, l)
	s.checkEmpty()
}
