package limits

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// ProbeBudget spends this instance's static share of the probes of each
// target: one probe per interval over all instances, so one per interval times
// the number of instances here. No probe is saved up. It is safe for
// concurrent use.
type ProbeBudget struct {
	maxInstances int

	mu      sync.Mutex
	random  *rand.Rand
	targets map[netip.AddrPort]*probeShare
}

// probeShare is the share of one target.
type probeShare struct {
	period time.Duration
	next   time.Time
}

// NewProbeBudget returns the budget of one of at most maxInstances instances.
func NewProbeBudget(maxInstances int, random *rand.Rand) *ProbeBudget {
	return &ProbeBudget{
		maxInstances: max(1, maxInstances),
		random:       random,
		targets:      map[netip.AddrPort]*probeShare{},
	}
}

// Allow returns whether the target may be probed now, and spends the probe if
// so.
//
// A target seen for the first time waits a whole period and a random phase, so
// that an instance that restarts often never exceeds its share. A probe that
// is overdue by a period is not made up at once, since after a pause all
// targets would be overdue together; it gets a new random phase.
func (b *ProbeBudget) Allow(target netip.AddrPort, interval time.Duration, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	period := interval * time.Duration(b.maxInstances)
	s, ok := b.targets[target]
	if !ok {
		b.targets[target] = &probeShare{period: period, next: now.Add(period + b.phase(period))}
		return false
	}
	if period != s.period {
		s.next = later(s.next, now.Add(period+b.phase(period)))
		s.period = period
	}
	overdue := now.Sub(s.next)
	switch {
	case overdue < 0:
		return false
	case overdue >= period:
		s.next = now.Add(b.phase(period))
		return false
	}
	s.next = now.Add(period)
	return true
}

// Retain forgets every target without an interval.
func (b *ProbeBudget) Retain(intervals map[netip.AddrPort]time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for address := range b.targets {
		if _, ok := intervals[address]; !ok {
			delete(b.targets, address)
		}
	}
}

func (b *ProbeBudget) phase(period time.Duration) time.Duration {
	return time.Duration(b.random.Float64() * float64(period))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
