package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against first attempts that are taken for later ones, and against
// callers that come back and are taken for new ones, also where many come back
// and where some callers are less patient than others.
func TestSpent(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	tests := []struct {
		name      string
		patience  []time.Duration // drawn evenly for each caller
		returning float64         // share of the requests that came back
	}{
		{"none comes back", []time.Duration{3 * time.Second}, 0},
		{"a third comes back", []time.Duration{3 * time.Second}, 0.33},
		{"patient and impatient callers", []time.Duration{3 * time.Second, time.Second}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var w waits
			for i := range 3000 {
				patience := tt.patience[random.IntN(len(tt.patience))]
				wait := between(patience*85/100, patience)
				gone := time.Duration(0)
				if random.Float64() < tt.returning {
					gone = between(700*time.Millisecond, 2*time.Second)
				}
				spent := w.spent("r", wait-gone)
				if i < 2*waitMemory {
					continue
				}
				// First attempts differ by 15 %, and a class is 10 % wide.
				vague := patience / 4
				assert.Assert(t, spent <= gone+vague && spent >= gone-vague, "%s after %s", spent, gone)
			}
		})
	}
}

// Guards against memory that grows with the number of routes ever seen.
func TestWaitsAreBounded(t *testing.T) {
	var w waits
	for i := range 2 * maxWaitRoutes {
		w.spent(time.Duration(i).String(), time.Second)
	}
	assert.Assert(t, len(w.shares) <= maxWaitRoutes)
}
