package soak

import (
	"sync"
	"time"
)

// outages holds the periods in which no instance could read the store. It is safe
// for concurrent use.
type outages struct {
	mu      sync.Mutex
	periods []period
}

// period is a span of time. The end is zero while it lasts.
type period struct{ start, end time.Time }

// set records whether an outage is in progress at a time.
func (o *outages) set(inProgress bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	last := len(o.periods) - 1
	open := last >= 0 && o.periods[last].end.IsZero()
	switch {
	case inProgress && !open:
		o.periods = append(o.periods, period{start: now})
	case !inProgress && open:
		o.periods[last].end = now
	}
}

// between returns how much of the time between two times was an outage.
func (o *outages) between(from, to time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	var total time.Duration
	for _, p := range o.periods {
		start, end := p.start, p.end
		if start.Before(from) {
			start = from
		}
		if end.IsZero() || end.After(to) {
			end = to
		}
		total += max(0, end.Sub(start))
	}
	return total
}
