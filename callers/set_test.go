package callers

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// pipeListener accepts the server's side of pipes.
type pipeListener struct {
	net.Listener
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

const (
	workTime = 200 * time.Millisecond
	sendTime = 300 * time.Millisecond // for the rest of a request
	byteTime = 30 * time.Millisecond  // in which a caller reads a byte of a response
	response = "0123456789\n"
	refusal  = "refused..!\n"
	readTime = time.Duration(len(response)) * byteTime
)

// lineServer answers each line with response after workTime, and a line that is
// interrupted with refusal.
type lineServer struct {
	t        *testing.T
	set      *Set
	listener *pipeListener
	running  sync.WaitGroup
	accepted chan *Conn
	runs     int
}

func newLineServer(t *testing.T) *lineServer {
	s := &lineServer{t: t, set: NewSet(), listener: newPipeListener(), accepted: make(chan *Conn, 100)}
	l := NewListener(s.set, s.listener, 10)
	s.running.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				assert.Check(t, errors.Is(err, io.EOF))
				return
			}
			accepted := conn.(*Conn)
			s.accepted <- accepted
			s.running.Go(func() { s.serve(accepted) })
		}
	})
	return s
}

func (s *lineServer) serve(c *Conn) {
	defer func() { _ = c.Close() }()
	for reader := bufio.NewReader(c); ; {
		_, err := reader.ReadString('\n')
		switch {
		case errors.Is(err, ErrInterrupted):
			_, _ = c.Write([]byte(refusal))
			return
		case err != nil:
			return
		}
		c.Received()
		s.runs++
		time.Sleep(workTime)
		if _, err := c.Write([]byte(response)); err != nil {
			return
		}
	}
}

// connect returns the caller's and the server's side of a new connection.
func (s *lineServer) connect() (caller net.Conn, accepted *Conn) {
	caller, inner := net.Pipe()
	s.listener.conns <- inner
	return caller, <-s.accepted
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := conn.Write([]byte(text))
	assert.NilError(t, err)
	synctest.Wait()
}

// receiveSlowly reads all that the server sends, a byte each byteTime.
func receiveSlowly(conn net.Conn) string {
	var all strings.Builder
	var one [1]byte
	for {
		n, err := conn.Read(one[:])
		all.Write(one[:n])
		if err != nil {
			return all.String()
		}
		time.Sleep(byteTime)
	}
}

// Guards against a shutdown that ends while a request is arriving, runs or is answered, and
// against one that waits for anything else.
func TestShutdownWaitsForRequests(t *testing.T) {
	const grace, refuseAfter = 5 * time.Second, 4 * time.Second
	tests := []struct {
		name    string
		prepare func(t *testing.T, caller net.Conn) // before the shutdown
		during  func(t *testing.T, caller net.Conn) // during it
		state   State                               // at its beginning
		want    string
		took    time.Duration // at most
	}{
		{"new", nil, nil, New, "", firstByteTime + pollTime},
		{"new, sends at once", nil, func(t *testing.T, c net.Conn) { send(t, c, "a\n") }, New, response, workTime + readTime},
		{"receiving", func(t *testing.T, c net.Conn) { send(t, c, "a") }, func(t *testing.T, c net.Conn) {
			time.Sleep(sendTime)
			send(t, c, "b\n")
		}, Receiving, response, sendTime + workTime + readTime},
		{"received in part", func(t *testing.T, c net.Conn) { send(t, c, "a") }, nil, Receiving, refusal, refuseAfter + pollTime + readTime},
		{"in progress", func(t *testing.T, c net.Conn) { send(t, c, "a\n") }, nil, InProgress, response, workTime + readTime},
		{"writing", func(t *testing.T, c net.Conn) {
			send(t, c, "a\n")
			time.Sleep(workTime)
			synctest.Wait()
		}, nil, Writing, response, readTime},
		{"idle", func(t *testing.T, c net.Conn) {
			send(t, c, "a\n")
			_, err := io.ReadFull(c, make([]byte, len(response)))
			assert.NilError(t, err)
			synctest.Wait()
		}, nil, Idle, "", 2 * pollTime},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLineServer(t)
				caller, accepted := s.connect()
				if tt.prepare != nil {
					tt.prepare(t, caller)
				}
				assert.Equal(t, accepted.State(), tt.state)
				ctx, cancel := context.WithTimeout(t.Context(), grace)
				defer cancel()
				start := time.Now()
				ended := make(chan error, 1)
				go func() { ended <- s.set.Shutdown(ctx, start.Add(refuseAfter)) }()
				synctest.Wait()
				if tt.during != nil {
					tt.during(t, caller)
				}
				assert.Equal(t, receiveSlowly(caller), tt.want)
				assert.NilError(t, <-ended)
				assert.Assert(t, time.Since(start) <= tt.took, "took %s", time.Since(start))
				assert.Equal(t, s.set.Counts().String(), "")
				s.running.Wait()
			})
		})
	}
}

// Guards against a shutdown that does not end while a request is in progress, and against
// one that ends earlier.
func TestShutdownEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLineServer(t)
		caller, _ := s.connect()
		send(t, caller, "a\n")
		ctx, cancel := context.WithTimeout(t.Context(), workTime/2)
		defer cancel()
		start := time.Now()
		assert.ErrorIs(t, s.set.Shutdown(ctx, start), context.DeadlineExceeded)
		assert.Equal(t, time.Since(start), workTime/2)
		assert.Equal(t, s.set.Counts().String(), "in_progress=1")
		assert.NilError(t, caller.Close())
		s.running.Wait()
	})
}

// Guards against a process that was paused until its shutdown was to end and that closes a
// connection without refusing the request on it.
func TestShutdownAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLineServer(t)
		caller, _ := s.connect()
		send(t, caller, "a")
		ctx, cancel := context.WithDeadline(t.Context(), time.Now())
		defer cancel()
		ended := make(chan error, 1)
		go func() { ended <- s.set.Shutdown(ctx, time.Now().Add(-time.Second)) }()
		got, err := io.ReadAll(caller)
		assert.NilError(t, err)
		assert.Equal(t, string(got), refusal)
		assert.NilError(t, <-ended)
		assert.Equal(t, s.runs, 0)
		s.running.Wait()
	})
}

// Guards against a further request that a caller has sent before it learns of the shutdown,
// and whose connection is closed as idle.
func TestShutdownAnswersSentRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLineServer(t)
		caller, _ := s.connect()
		send(t, caller, "a\n")
		ended := make(chan error, 1)
		start := time.Now()
		go func() { ended <- s.set.Shutdown(t.Context(), start.Add(time.Hour)) }()
		synctest.Wait()
		go func() { _, _ = caller.Write([]byte("b\n")) }() // blocks until it is read
		got, err := io.ReadAll(caller)
		assert.NilError(t, err)
		assert.Equal(t, string(got), response+response)
		assert.NilError(t, <-ended)
		s.running.Wait()
	})
}

// Guards against connections that are accepted after the shutdown has begun.
func TestShutdownStopsAccepting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLineServer(t)
		assert.NilError(t, s.set.Shutdown(t.Context(), time.Now()))
		s.running.Wait()
		_, err := NewListener(s.set, newPipeListener(), 1).Accept()
		assert.Equal(t, err, io.EOF)
	})
}
