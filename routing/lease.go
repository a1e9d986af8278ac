package routing

import (
	"time"

	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
	"rhubarbrelay/upstream"
)

// Lease is the right to send one request to a target.
type Lease struct {
	dispatcher *Dispatcher
	target     *target
	route      string
	start      time.Time
	// expected is the duration on a target at its usual speed, slowdown the
	// factor that was known when the lease was given.
	expected time.Duration
	slowdown float64
	conn     *upstream.Conn
	// Decision says what decided, for the log.
	Decision Decision
	released bool
}

// Decision is what was known when a target was chosen.
type Decision struct {
	// ReportAge is the age of the target's load report.
	ReportAge time.Duration
	Running   int
	Waiting   int
	Slots     int
	Slowdown  float64
	// Probes is the number of targets that were asked.
	Probes int
	// Waited is the time in the queue.
	Waited time.Duration
}

// Target returns the target to send to.
func (l *Lease) Target() *targets.Target { return l.target.info }

// Expected returns how long the request is expected to take.
func (l *Lease) Expected() time.Duration {
	return time.Duration(float64(l.expected) * l.slowdown)
}

// Conn returns the connection to send on. It was proven by a probe, or is
// opened until the deadline. The error wraps upstream.ErrNotSent. The caller
// releases the connection.
func (l *Lease) Conn(deadline time.Time) (*upstream.Conn, error) {
	if c := l.conn; c != nil {
		l.conn = nil
		return c, nil
	}
	return l.target.pool.Acquire(deadline)
}

// Release ends the try. The reply is what the answer said, if any came.
func (l *Lease) Release(outcome Outcome, reply platform.ResponseInfo) {
	if l.conn != nil {
		l.conn.Release()
		l.conn = nil
	}
	l.dispatcher.release(l, outcome, reply)
}
