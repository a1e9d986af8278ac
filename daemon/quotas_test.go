package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
)

// Guards against quotas that a new version of the configuration does not change, and
// against a status without the tenants.
func TestQuotasOfConfiguration(t *testing.T) {
	d, _ := newTestDaemon(t, "a-1")
	assert.Assert(t, !d.quotas.Limited())
	assert.Equal(t, len(d.Status().Tenants), 0)
	d.setQuotas(&config.Document{Tenants: []*config.Tenant{{Name: "b", RatePerSecond: 5, Burst: 2}, {Name: "a"}}})
	assert.Assert(t, d.quotas.Limited())
	_, ok := d.quotas.Take("b")
	assert.Assert(t, ok)
	_, ok = d.quotas.Take("b")
	assert.Assert(t, !ok)
	tenants := d.Status().Tenants
	assert.Equal(t, len(tenants), 2)
	assert.Equal(t, tenants[1].Name, "b")
	assert.Equal(t, tenants[1].PerSecond, 5.0)
	assert.Equal(t, tenants[1].Admitted, uint64(1))
	assert.Equal(t, tenants[1].Refused, uint64(1))
	d.setQuotas(&config.Document{})
	assert.Assert(t, !d.quotas.Limited())
}
