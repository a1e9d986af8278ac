package limits

import "sync"

// retryBurst bounds the retries that a quiet period can save up.
const retryBurst = 10

// RetryBudget allows retries in proportion to first attempts. It is safe for
// concurrent use.
type RetryBudget struct {
	mu      sync.Mutex
	percent int
	tokens  float64
}

// NewRetryBudget returns a budget of the given number of retries per hundred
// first attempts, with a full burst.
func NewRetryBudget(percent int) *RetryBudget {
	return &RetryBudget{percent: percent, tokens: retryBurst}
}

// SetPercent changes the number of retries per hundred first attempts.
func (b *RetryBudget) SetPercent(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.percent = percent
}

// Deposit counts a first attempt.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(retryBurst, b.tokens+float64(b.percent)/100)
}

// Allow returns whether a retry is within the budget, and spends it if so. A
// budget of zero percent allows none.
func (b *RetryBudget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.percent <= 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
