package callers

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// firstByteTime is the time after its acceptance for which a connection without a
	// request is not closed by a shutdown: the request of a caller that has just
	// connected is on its way.
	firstByteTime = 100 * time.Millisecond
	// pollTime limits the last read of a connection that is not a socket.
	pollTime = time.Millisecond
)

// interruption says which reads a shutdown ends.
type interruption int

const (
	interruptNone   interruption = iota
	interruptIdle                // those of connections without a request
	interruptUnread              // also those of requests that were received in part
)

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// ErrInterrupted ends the read of a request that the shutdown does not wait for.
var ErrInterrupted = errors.New("server shuts down")

// Conn is an accepted connection that knows its state. It derives the state from the calls
// of Read, Write and Close; only the end of a request is unknown to it, and the handler
// states it by calling Received.
//
// One goroutine may read and one may write. A handler that runs several requests of a
// connection at a time calls Received for each of them. The connection is in progress from
// then on until a response is written, also while further requests are read.
type Conn struct {
	net.Conn
	set      *Set
	fromPeer bool
	accepted time.Time
	onClose  func() // releases its place at the listener
	// writeTimeout limits the time in which no byte of a response can be written, 0 for
	// no limit.
	writeTimeout time.Duration
	pipeline     Pipeline
	ahead        Ahead

	// received and readErr are used by the reading goroutine.
	received int64 // bytes
	readErr  error // the last error of Read

	mu    sync.Mutex
	state State
	// complete is set while a request that was received completely has no response.
	complete     bool
	readDeadline time.Time
	// writeDeadline is the deadline of a write that the server has set, sendBy the time until
	// which the present response may be written as long as its caller reads.
	writeDeadline, sendBy time.Time
	interrupt             interruption
	interrupted           bool
	lingers               bool
}

// Received states that a request was received completely. It must be called before
// anything of the response is written.
func (c *Conn) Received() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != Closing {
		c.state, c.complete, c.sendBy = InProgress, true, time.Time{}
	}
}

// SetSendDeadline states until when the caller of the request waits. Its response may be
// written until then, or for the write timeout of the listener, if that is later. It must be
// called after Received.
func (c *Conn) SetSendDeadline(t time.Time) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendBy = t
}

// State returns the state of the connection.
func (c *Conn) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// Interrupted reports whether the shutdown has ended the read of a request.
func (c *Conn) Interrupted() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.interrupted
}

// FromPeer reports whether another instance has opened the connection.
func (c *Conn) FromPeer() bool { return c != nil && c.fromPeer }

// LingerOnClose makes Close read what the caller still sends. A close with unread bytes
// resets the connection, and the caller could lose the response.
func (c *Conn) LingerOnClose() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingers = true
}

// BytesReceived returns the number of bytes that were read. Only the goroutine that reads
// may call it.
func (c *Conn) BytesReceived() int64 { return c.received }

// ReadErr returns the error of the last read, such as the end of what the caller sends.
// Servers wrap some of these errors in a way that hides them. Only the goroutine that reads
// may call it.
func (c *Conn) ReadErr() error {
	if c == nil {
		return nil
	}
	return c.readErr
}

// ReadTimedOut reports whether the last read has timed out.
func (c *Conn) ReadTimedOut() bool { return isTimeout(c.ReadErr()) }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.beginRead()
	if n := c.pipeline.Take(p); n > 0 {
		c.endRead(n, nil)
		return n, nil
	}
	n, err := c.Conn.Read(p)
	if n == 0 && isTimeout(err) && c.interruptionDue() {
		n, err = c.readLast(p)
	}
	c.received += int64(n)
	n = c.pipeline.Receive(p[:n])
	c.endRead(n, err)
	return n, err //nolint:wrapcheck // The error must stay that of the connection.
}

// Pipeline returns the separation of the pipelined requests of the connection.
func (c *Conn) Pipeline() *Pipeline { return &c.pipeline }

// Ahead returns the requests of the connection that run before earlier ones are answered.
func (c *Conn) Ahead() *Ahead { return &c.ahead }

// Keep keeps bytes that were read from the socket while a request is handled, for the next
// reads.
func (c *Conn) Keep(received []byte) {
	c.received += int64(len(received))
	c.pipeline.Keep(received)
}

// beginRead updates the state: a read after a response awaits the next request, and a
// read after an interim response (100 Continue) awaits the rest of the request.
func (c *Conn) beginRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != Writing {
		return
	}
	c.state = Receiving
	if c.complete {
		c.state, c.complete = Idle, false
	}
	c.applyInterruption()
}

func (c *Conn) endRead(n int, err error) {
	if err != nil {
		c.readErr = err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && (c.state == New || c.state == Idle) {
		c.state = Receiving
		c.applyInterruption()
	}
}

// readLast reads what the connection holds already. Without any bytes it interrupts the
// connection: a request that has arrived must not be closed without a response.
func (c *Conn) readLast(p []byte) (int, error) {
	deadline := time.Now().Add(pollTime)
	if holds, known := holdsInput(c.Conn); known {
		deadline = expired
		if holds {
			deadline = time.Time{} // the read does not block
		}
	}
	if err := c.Conn.SetReadDeadline(deadline); err != nil {
		return 0, err //nolint:wrapcheck // The error must stay that of the connection.
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 || !isTimeout(err) {
		_ = c.Conn.SetReadDeadline(c.effectiveDeadline()) // fails only if the connection is closed
		return n, err
	}
	c.interrupted = true
	if c.state == Receiving {
		return 0, ErrInterrupted
	}
	return 0, io.EOF // as if the caller had closed the connection
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline implements net.Conn. A shutdown may end a read earlier.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.Conn.SetReadDeadline(c.effectiveDeadline())
}

// SetWriteDeadline implements net.Conn. The write timeout of the listener applies as well.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	if c.state == Closing {
		c.mu.Unlock()
		return net.ErrClosed
	}
	c.state = Closing
	lingers := c.lingers
	c.mu.Unlock()
	c.ahead.Cancel()
	defer c.set.remove(c)
	defer c.onClose()
	if lingers || c.set.drains() && unsent(c.Conn) > 0 {
		c.linger(lingers)
	}
	return c.Conn.Close()
}

// endReads ends the reads that the interruption covers, now and later.
func (c *Conn) endReads(i interruption) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupt = max(c.interrupt, i)
	c.applyInterruption()
}

// interruptionDue reports whether a read that has timed out was ended by the shutdown.
func (c *Conn) interruptionDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	end, ok := c.interruptionTime()
	return ok && !time.Now().Before(end)
}

// interruptionTime returns when the shutdown ends a read in the present state. ok is false
// if it does not.
func (c *Conn) interruptionTime() (end time.Time, ok bool) {
	switch c.state {
	case New:
		return c.accepted.Add(firstByteTime), c.interrupt >= interruptIdle
	case Idle, Closing:
		return expired, c.interrupt >= interruptIdle
	case Receiving:
		return expired, c.interrupt >= interruptUnread
	default:
	}
	return time.Time{}, false
}

// applyInterruption updates the read deadline after a change of the state or of the
// interruption.
func (c *Conn) applyInterruption() {
	if c.interrupt != interruptNone {
		_ = c.Conn.SetReadDeadline(c.effectiveDeadline()) // fails only if the connection is closed
	}
}

func (c *Conn) effectiveDeadline() time.Time {
	end, ok := c.interruptionTime()
	if !ok || !c.readDeadline.IsZero() && c.readDeadline.Before(end) {
		return c.readDeadline
	}
	return end
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
