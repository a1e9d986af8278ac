package limits

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against retries above the share of first attempts and the burst.
func TestRetriesFollowFirstAttempts(t *testing.T) {
	tests := []struct {
		percent int
		most    int
	}{
		{percent: 0, most: 0},
		{percent: 10, most: 100 + retryBurst},
		{percent: 100, most: 1000 + retryBurst},
	}
	for _, tt := range tests {
		b := NewRetryBudget(tt.percent)
		retries := 0
		for range 1000 {
			b.Deposit()
			for b.Allow() {
				retries++
			}
		}
		assert.Assert(t, retries <= tt.most && retries >= tt.most*9/10, "%d %%: %d retries", tt.percent, retries)
	}
}

// Guards against a quiet period that saves up a storm of retries.
func TestRetryBurstIsBounded(t *testing.T) {
	b := NewRetryBudget(100)
	for range 10000 {
		b.Deposit()
	}
	retries := 0
	for b.Allow() {
		retries++
	}
	assert.Equal(t, retries, retryBurst)
}
