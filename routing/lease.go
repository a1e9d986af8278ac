package routing

import (
	"errors"
	"time"

	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
	"rhubarbrelay/upstream"
)

// Lease is the permission to send one request to a target.
type Lease struct {
	dispatcher *Dispatcher
	target     *target
	info       *targets.Target // the registration when the lease was granted
	route      string
	start      time.Time
	// estimate is the estimated duration of the request, see durationEstimator.
	// slowdown is the slowdown of the target when the lease was granted.
	estimate time.Duration
	slowdown float64
	conn     *upstream.Conn
	// Decision is what the choice of the target was based on, for the log.
	Decision Decision
	suspect  bool // see Request.Suspect
	cold     bool // whether the request counts for the limit of a cold target
	released bool
}

// Decision is what was known when the target was chosen.
type Decision struct {
	// ReportAge is the age of the target's load report, or -1 without a report.
	ReportAge time.Duration
	// Running, Waiting and Slowdown are those of the report. Slots is that of
	// the registration.
	Running  int
	Waiting  int
	Slots    int
	Slowdown float64
	// Limit is the number of requests per second that the target takes from all
	// instances, as far as this instance has heard; it is valid only if Limited is set.
	Limit   float64
	Limited bool
	// Probes is the number of probes sent for the decision.
	Probes int
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
}

// Target returns the target of the lease, as it was registered when the lease was granted.
func (l *Lease) Target() *targets.Target { return l.info }

// Expected returns the expected duration of the request on its target: the
// estimated duration multiplied by the slowdown of the target.
func (l *Lease) Expected() time.Duration {
	return time.Duration(float64(l.estimate) * l.slowdown)
}

// Conn returns the connection to send on: the one that was probed, or another
// one acquired from the pool before the deadline. The error wraps
// upstream.ErrNotSent. The returned connection must be released.
func (l *Lease) Conn(deadline time.Time) (*upstream.Conn, error) {
	if c := l.conn; c != nil {
		l.conn = nil
		return c, nil
	}
	c, err := l.target.pool.Acquire(deadline)
	if errors.Is(err, upstream.ErrUnreachable) {
		l.dispatcher.recordUnreached(l.target, err)
	}
	return c, err
}

// Admitted reports whether, since the target was chosen, it has not stated that it wants
// no requests or become cold, and its zone was not evacuated.
func (l *Lease) Admitted() bool {
	d := l.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	if l.target.statements.silent(now) || !l.cold && d.isCold(l.target, now) {
		return false
	}
	return !d.evacuated[l.target.info.Zone]
}

// TargetEnded reports whether the process of the target has ended, as far as that shows
// before the deadline.
func (l *Lease) TargetEnded(deadline time.Time) bool { return l.target.pool.Ended(deadline) }

// Release ends the lease and records the outcome of the try. info is what the
// headers of the response state, zero without a response.
func (l *Lease) Release(outcome Outcome, info platform.ResponseInfo) {
	if l.conn != nil {
		l.conn.Release()
		l.conn = nil
	}
	l.dispatcher.release(l, outcome, info)
}
