package limits

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a tenant with a huge rate or burst that is refused everything, as sums
// with it are no numbers, and against the callers of one with a tiny rate that are told to
// come back at once or after centuries.
func TestExtremeQuotas(t *testing.T) {
	const requests = 1000
	tests := []struct {
		name             string
		perSecond, burst float64
		least, most      int // admitted of requests within a second
		shortest         time.Duration
	}{
		{"huge rate", 1e15, 0, 999, 1000, 0},
		{"largest rate", math.MaxFloat64, 0, 999, 1000, 0},
		{"huge burst", 10, 1e15, 999, 1000, 0},
		{"largest burst", 10, math.MaxFloat64, 999, 1000, 0},
		{"largest rate and burst", math.MaxFloat64, math.MaxFloat64, 999, 1000, 0},
		{"tiny rate", 1e-9, 0, 0, 30, 30 * time.Minute},
		{"tiniest rate", math.SmallestNonzeroFloat64, 0, 0, 30, 30 * time.Minute},
		{"tiniest rate, largest burst", math.SmallestNonzeroFloat64, math.MaxFloat64, 999, 1000, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			q := NewQuotas(QuotaLimits{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, func() time.Time { return now })
			q.SetTenants([]TenantQuota{{"t", tt.perSecond, tt.burst}})
			q.SetMembers([]QuotaMember{{ID: "other", Active: true}})
			admitted := 0
			for range requests {
				now = now.Add(time.Second / requests)
				retryAfter, ok := q.Take("t")
				if ok {
					admitted++
					continue
				}
				assert.Assert(t, retryAfter >= tt.shortest && retryAfter <= maxQuotaWait+minQuotaRetryAfter, "%s", retryAfter)
			}
			assert.Assert(t, admitted >= tt.least && admitted <= tt.most, "%d of %d requests admitted", admitted, requests)
		})
	}
}
