package limits

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against rates of cold targets for which no interval can be computed, or none that
// is the same on all processors.
func TestExtremeColdLimits(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	tests := []struct {
		perSecond, slack float64
		after            time.Duration // until the target takes a request
	}{
		{math.SmallestNonzeroFloat64, 0, time.Hour},
		{math.SmallestNonzeroFloat64, 8, time.Hour},
		{1e15, 8, time.Millisecond},
		{1e300, 8, time.Millisecond},
		{math.Inf(1), 8, time.Millisecond},
	}
	for _, tt := range tests {
		var limit ColdLimit
		limit.Take(now)
		limit.Update(tt.perSecond, tt.slack, ColdShare{Sharers: 1, Settled: true})
		at, ok := limit.OpensAt()
		assert.Assert(t, ok)
		assert.Equal(t, at.Sub(now), tt.after, "%g per second", tt.perSecond)
		assert.Assert(t, !math.IsInf(limit.Rate(), 0))
	}
}
