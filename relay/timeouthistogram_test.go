package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against first attempts that are taken for retries and retries that are
// taken for first attempts, even if many callers retry or their timeouts
// differ.
func TestPriorElapsed(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	randomDuration := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	tests := []struct {
		name           string
		callerTimeouts []time.Duration // one is drawn uniformly for each request
		retryFraction  float64         // fraction of the requests that are retries
	}{
		{"no retries", []time.Duration{3 * time.Second}, 0},
		{"a third are retries", []time.Duration{3 * time.Second}, 0.33},
		{"two different timeouts", []time.Duration{3 * time.Second, time.Second}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var h timeoutHistograms
			for i := range 3000 {
				callerTimeout := tt.callerTimeouts[random.IntN(len(tt.callerTimeouts))]
				timeout := randomDuration(callerTimeout*85/100, callerTimeout)
				elapsed := time.Duration(0)
				if random.Float64() < tt.retryFraction {
					elapsed = randomDuration(700*time.Millisecond, 2*time.Second)
				}
				priorElapsed := h.recordTimeout("r", timeout-elapsed)
				if i < 2*decayRequests {
					continue
				}
				// First attempts differ by 15 %, and a bucket is 10 % wide.
				tolerance := callerTimeout / 4
				assert.Assert(t, priorElapsed <= elapsed+tolerance && priorElapsed >= elapsed-tolerance, "estimate %s, want about %s", priorElapsed, elapsed)
			}
		})
	}
}

// Guards against memory that grows with every route ever seen.
func TestHistogramCountIsBounded(t *testing.T) {
	var h timeoutHistograms
	for i := range 2 * maxTimeoutRoutes {
		h.recordTimeout(time.Duration(i).String(), time.Second)
	}
	assert.Assert(t, len(h.histograms) <= maxTimeoutRoutes)
}
