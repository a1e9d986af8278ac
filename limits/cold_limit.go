package limits

import (
	"math"
	"time"
)

// maxColdSenders is the number of instances up to which the requests of any second to a
// cold target stay within its limit: the sharers of both parts of a zone that was split.
const maxColdSenders = 4

// unsettledColdInterval is the shortest interval while the views of the instances may
// differ: each sends at most one request in any second, so that as many may send as the
// slack allows, eight by default.
const unsettledColdInterval = 1001 * time.Millisecond

// ColdShare is one instance's share of the limit of a cold target.
type ColdShare struct {
	// Sharers is the number of instances that share the limit, 0 if this is none of them.
	Sharers int
	// Since is when the view of this instance of the sharers has last changed. Settled is
	// set if the others have the same view by now.
	Since   time.Time
	Settled bool
}

// ColdLimit is one instance's share of the requests that a cold target tolerates from all
// instances together. Like TargetLimit, it needs no coordination: each of the instances
// that share the target leaves an interval after each of its requests and after it has
// begun to share, so that an instance that takes over from another one, or from its own
// predecessor, does not add to its requests. It is not safe for concurrent use.
type ColdLimit struct {
	interval time.Duration
	since    time.Time // the last request, or the time from which this instance shares the limit
	shares   bool
}

// Update sets the number of requests per second that the target tolerates, the number
// that it may get in addition within any second, and the share of this instance.
func (l *ColdLimit) Update(perSecond, slack float64, share ColdShare) {
	l.shares = share.Sharers > 0 && perSecond > 0
	if !l.shares {
		return
	}
	// In any second, an instance sends one request more than intervals fit into it.
	interval := float64(share.Sharers) / perSecond
	if inWindow := math.Floor((perSecond + slack) / maxColdSenders); inWindow > 0 {
		interval = max(interval, 1/inWindow+time.Millisecond.Seconds())
	}
	if !share.Settled {
		interval = max(interval, unsettledColdInterval.Seconds())
	}
	l.interval = time.Duration(min(interval, maxLimitInterval.Seconds()) * float64(time.Second))
	if share.Since.After(l.since) {
		l.since = share.Since
	}
}

// OpensAt returns the time from which the target takes the next request of this
// instance; ok is false if it takes none.
func (l *ColdLimit) OpensAt() (at time.Time, ok bool) { return l.since.Add(l.interval), l.shares }

// Allows reports whether the target takes a request of this instance now.
func (l *ColdLimit) Allows(now time.Time) bool {
	at, ok := l.OpensAt()
	return ok && !now.Before(at)
}

// Take counts a request that is sent now.
func (l *ColdLimit) Take(now time.Time) { l.since = now }

// Rate returns the requests per second that the target takes of this instance.
func (l *ColdLimit) Rate() float64 {
	if !l.shares {
		return 0
	}
	return 1 / l.interval.Seconds()
}
