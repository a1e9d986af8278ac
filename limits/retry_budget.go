package limits

import (
	"sync"
	"time"
)

const (
	// budgetBuckets divides the span that a RetryBudget counts: the window and
	// one bucket more, since the newest one has only begun.
	budgetBuckets = 51
	// budgetUse is the part of the allowance that an instance uses: callers
	// that leave before they are counted must not lead over it.
	budgetUse = 0.85
)

// RetryLimits bounds the tries of a service beyond the first of each request.
type RetryLimits struct {
	// Ratio is the number of further tries per request.
	Ratio float64
	// Slack is the number of further tries that all instances together may
	// make in a window without any request.
	Slack float64
	// Window is the span over which tries are counted.
	Window time.Duration
}

// RetryBudget is one instance's part of the retry allowance of a service. Its
// part grows with the requests that it takes itself and has a static part of
// the slack, so that instances that do not hear each other cannot overspend it
// together. It is safe for concurrent use.
type RetryBudget struct {
	clock func() time.Time

	mu        sync.Mutex
	terms     RetryLimits
	instances int
	buckets   [budgetBuckets]struct{ requests, tries int }
	current   int64 // index of the newest bucket, by time
	requests  int
	tries     int
}

// NewRetryBudget returns a budget of one of the given number of instances.
func NewRetryBudget(terms RetryLimits, instances int, clock func() time.Time) *RetryBudget {
	return &RetryBudget{terms: terms, clock: clock, instances: max(1, instances)}
}

// SetInstances changes the number of instances that share the slack.
func (b *RetryBudget) SetInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(1, n)
}

// SetLimits changes the bounds. The counts start anew when the window changes.
func (b *RetryBudget) SetLimits(terms RetryLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if terms.Window != b.terms.Window {
		clear(b.buckets[:])
		b.requests, b.tries, b.current = 0, 0, 0
	}
	b.terms = terms
}

// Deposit counts a request.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.requests++
	b.buckets[b.current%budgetBuckets].requests++
}

// Allow returns whether one more try is within the budget, and spends it if so.
func (b *RetryBudget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	allowance := b.terms.Ratio*float64(b.requests) + b.terms.Slack/float64(b.instances)
	if float64(b.tries+1) > budgetUse*allowance {
		return false
	}
	b.tries++
	b.buckets[b.current%budgetBuckets].tries++
	return true
}

// advance drops the buckets that have left the window.
func (b *RetryBudget) advance() {
	width := max(1, b.terms.Window/(budgetBuckets-1))
	now := b.clock().UnixNano() / int64(width)
	if now <= b.current {
		return
	}
	for i := max(b.current+1, now-budgetBuckets+1); i <= now; i++ {
		old := &b.buckets[i%budgetBuckets]
		b.requests -= old.requests
		b.tries -= old.tries
		old.requests, old.tries = 0, 0
	}
	b.current = now
}
