package limits

import "time"

const (
	// limitFraction is the fraction of a target's limit that is used. It leaves room for
	// up to twice as many instances as share the limit, while their views of each other
	// differ.
	limitFraction = 0.75
	// maxLimitInterval is the longest interval between two requests of an instance,
	// however low the limit is.
	maxLimitInterval = time.Hour
)

// TargetLimit is one instance's share of the requests per second that a target takes
// from all instances together. The instances that share the limit do not coordinate:
// each leaves an interval after each of its requests, and before the first one, so
// that an instance that takes over from another one does not add to its requests. It
// is not safe for concurrent use.
type TargetLimit struct {
	perSecond float64
	sharers   int
	since     time.Time // the last request, or the time from which this instance shares the limit
}

// Update sets the limit and the number of instances that share it; 0 means that this
// instance is not one of them.
func (l *TargetLimit) Update(perSecond float64, sharers int, now time.Time) {
	if l.sharers == 0 {
		l.since = now
	}
	l.perSecond, l.sharers = perSecond, sharers
}

// OpensAt returns the time from which the target takes the next request of this
// instance; ok is false if it takes none.
func (l *TargetLimit) OpensAt() (at time.Time, ok bool) {
	if l.sharers == 0 || l.perSecond <= 0 {
		return time.Time{}, false
	}
	seconds := float64(l.sharers) / (limitFraction * l.perSecond)
	if seconds >= maxLimitInterval.Seconds() {
		return l.since.Add(maxLimitInterval), true
	}
	return l.since.Add(time.Duration(seconds * float64(time.Second))), true
}

// Allows reports whether the target takes a request of this instance now.
func (l *TargetLimit) Allows(now time.Time) bool {
	at, ok := l.OpensAt()
	return ok && !now.Before(at)
}

// Take counts a request that is sent now.
func (l *TargetLimit) Take(now time.Time) { l.since = now }
