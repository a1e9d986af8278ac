package limits

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against instances that callers were sent to for a moment, and that have no demand
// any more, being counted as silent ones: most of those that take part would be missing,
// and the others would use a part of their shares for as long as they are reserved.
func TestFormerlyActiveInstancesAreNotSilent(t *testing.T) {
	now := time.Unix(1000, 0)
	q := NewQuotas(QuotaLimits{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, func() time.Time { return now })
	tenant := TenantQuota{Name: "t", PerSecond: 100, Burst: 100}
	q.SetTenants([]TenantQuota{tenant})
	demand := []TenantDemand{{Tenant: tenantID("t"), PerSecond: 10}}
	active := []QuotaMember{{ID: "a", Incarnation: 1, Active: true}}
	q.SetMembers(active)
	const former = 6
	for i := range former {
		q.Record(DemandReport{Instance: fmt.Sprintf("x-%d", i), Incarnation: 1, Demands: demand})
	}
	for i := range former {
		q.Record(DemandReport{Instance: fmt.Sprintf("x-%d", i), Incarnation: 1, Idle: true})
	}
	for range int(4 * silenceLimit / QuotaTick) {
		now = now.Add(QuotaTick)
		q.Record(DemandReport{Instance: "a", Incarnation: 1, Demands: demand})
		q.SetMembers(active)
		q.Tick()
	}
	assert.Equal(t, q.view.silent, 0)
	assert.Equal(t, q.view.heard, 2)
	assert.Assert(t, q.view.hearsMost())
}
