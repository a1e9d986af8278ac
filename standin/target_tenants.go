package standin

import (
	"maps"

	"github.com/valyala/fasthttp"
)

// HeaderTenant names the tenant of a request to a target.
const HeaderTenant = "Rhubarbrelay-Tenant"

// recordTenant records what the header of a request that runs says about its tenant.
func (t *Target) recordTenant(id string, h *fasthttp.RequestHeader) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tenants[id] = string(h.Peek(HeaderTenant))
	if len(h.Peek(fasthttp.HeaderAuthorization)) > 0 {
		t.credentials++
	}
}

// Tenants returns the tenants of the requests that ran, by request ID. A request without a
// tenant has an empty one.
func (t *Target) Tenants() map[string]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.tenants)
}

// Credentials returns the number of requests that ran with an Authorization header, which
// only callers send.
func (t *Target) Credentials() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.credentials
}
