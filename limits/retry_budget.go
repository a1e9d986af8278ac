package limits

import (
	"sync"
	"time"
)

const (
	// bucketCount is the number of buckets that a RetryBudget counts in: those
	// of the window and one more, since the newest bucket is not complete.
	bucketCount = 51
	// retryFraction is the fraction of the allowance that an instance uses. The
	// rest is a margin for callers that disconnect early: Deposit counts a
	// request before it waits for a target, even if its caller disconnects
	// before it is sent.
	retryFraction = 0.85
	// maxNoticeDelay is the time within which the other instances learn that one has
	// started.
	maxNoticeDelay = 2 * time.Second
)

// RetryLimits limits the retries of a service, including hedges.
type RetryLimits struct {
	// Ratio is the number of retries per request.
	Ratio float64
	// Slack is the number of retries that all instances together may make in
	// each window beyond those that Ratio allows.
	Slack float64
	// Window is the duration over which requests and retries are counted.
	Window time.Duration
	// Since is when this instance started. It gets its share of the slack only after a
	// Window and the time in which the others learn of it: its predecessor may have used
	// the share, or the others, who divided the slack without it.
	Since time.Time
}

// RetryBudget is one instance's share of the retry budget of a service. The
// share grows with the instance's own requests and includes a fixed part of the
// slack. Therefore instances that cannot reach each other do not exceed the
// budget together until they remove each other from the membership directory.
// From then on, each divides the slack by fewer instances. It is safe for
// concurrent use.
type RetryBudget struct {
	clock func() time.Time

	mu             sync.Mutex
	limits         RetryLimits
	knownInstances int
	buckets        [bucketCount]struct{ requests, retries int }
	current        int64 // number of the newest bucket, counted from the Unix epoch
	requests       int
	retries        int
}

// NewRetryBudget returns the budget of one instance. The slack is divided by
// the number of known instances.
func NewRetryBudget(limits RetryLimits, knownInstances int, clock func() time.Time) *RetryBudget {
	return &RetryBudget{limits: limits, clock: clock, knownInstances: max(1, knownInstances)}
}

// SetInstances changes the number of known instances, which share the slack.
func (b *RetryBudget) SetInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.knownInstances = max(1, n)
}

// SetLimits replaces the limits. A change of the window resets the counts.
func (b *RetryBudget) SetLimits(limits RetryLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if limits.Window != b.limits.Window {
		clear(b.buckets[:])
		b.requests, b.retries, b.current = 0, 0, 0
	}
	b.limits = limits
}

// Deposit counts a request, which adds to the budget.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.requests++
	b.buckets[b.current%bucketCount].requests++
}

// Allow reports whether the budget allows one more retry, and withdraws the
// retry if so.
func (b *RetryBudget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	allowance := b.limits.Ratio * float64(b.requests)
	if b.clock().Sub(b.limits.Since) > b.limits.Window+maxNoticeDelay {
		allowance += b.limits.Slack / float64(b.knownInstances)
	}
	if float64(b.retries+1) > retryFraction*allowance {
		return false
	}
	b.retries++
	b.buckets[b.current%bucketCount].retries++
	return true
}

// advance removes the buckets that are older than the window.
func (b *RetryBudget) advance() {
	width := max(1, b.limits.Window/(bucketCount-1))
	newest := b.clock().UnixNano() / int64(width)
	if newest <= b.current {
		return
	}
	for i := max(b.current+1, newest-bucketCount+1); i <= newest; i++ {
		old := &b.buckets[i%bucketCount]
		b.requests -= old.requests
		b.retries -= old.retries
		old.requests, old.retries = 0, 0
	}
	b.current = newest
}
