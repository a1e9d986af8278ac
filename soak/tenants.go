package soak

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/config"
	"rhubarbrelay/standin"
)

const (
	// permanentTenants is the number of tenants whose keys are never revoked.
	permanentTenants = 2
	// rotatingTenant gets another key with each version.
	rotatingTenant = "rotating"
	// unknownKey is never published. Every unknownKeyInterval-th request of a caller has it.
	unknownKey         = "soak-key-of-no-tenant"
	unknownKeyInterval = 16
)

func tenantName(number int) string { return fmt.Sprintf("t-%d", number%permanentTenants) }

func keyOfTenant(number int) string { return "soak-key-of-tenant-" + tenantName(number) }

func keyOfVersion(version int64) string { return fmt.Sprintf("soak-key-of-version-%d", version) }

// addTenants adds the tenants of the document's version, and returns their keys. Routes
// that show the version are public.
func addTenants(d *config.Document) config.Keys {
	keys := config.Keys{}
	for i := range permanentTenants {
		d.Tenants = append(d.Tenants, &config.Tenant{Name: tenantName(i), Priority: i, Keys: []config.KeyDigest{keys.Add(keyOfTenant(i))}})
	}
	d.Tenants = append(d.Tenants, &config.Tenant{Name: rotatingTenant, Keys: []config.KeyDigest{keys.Add(keyOfVersion(d.Version))}})
	d.Routes[len(d.Routes)-1].Public = true
	return keys
}

// authorize returns the key of a caller's request and the tenant that its target must get,
// which is empty if the request must not run. Both are empty without tenants.
func (c *caller) authorize(n int) (key, tenant string) {
	switch {
	case !c.env.opts.Tenants:
		return "", ""
	case n%unknownKeyInterval == 0:
		return unknownKey, ""
	}
	return keyOfTenant(c.number), tenantName(c.number)
}

// checkTenants checks that keys admitted what they must and nothing else.
func (r *Result) checkTenants(env *environment, results []requestResult) {
	if !env.opts.Tenants {
		return
	}
	tenants := map[string]string{}
	for _, t := range env.allTargets() {
		for id, tenant := range t.Tenants() {
			tenants[id] = tenant
		}
		if n := t.Credentials(); n > 0 {
			r.addViolation("target %s received %d requests with an Authorization header", t.id, n)
		}
	}
	for _, res := range results {
		tenant, ran := tenants[res.id]
		switch {
		case res.tenant == "" && (ran || res.status == fasthttp.StatusOK):
			r.addViolation("request %s has a key that was never published and ran, status %d", res.id, res.status)
		case res.tenant != "" && ran && tenant != res.tenant:
			r.addViolation("request %s of tenant %q ran as one of %q", res.id, res.tenant, tenant)
		case res.tenant != "" && res.status == fasthttp.StatusUnauthorized:
			r.addViolation("request %s of tenant %q received status 401", res.id, res.tenant)
		}
	}
	r.checkRotation(env)
}

// checkRotation checks that every instance, which has the newest version by now, admits
// its key and no longer that of the version before.
func (r *Result) checkRotation(env *environment) {
	for _, in := range env.instances {
		if status := in.requestWithKey(keyOfVersion(env.version)); status == fasthttp.StatusUnauthorized {
			r.addViolation("instance %s refuses the key of configuration version %d", in.id, env.version)
		}
		if status := in.requestWithKey(keyOfVersion(env.version - 1)); status != fasthttp.StatusUnauthorized {
			r.addViolation("instance %s responds with status %d to the revoked key of configuration version %d", in.id, status, env.version-1)
		}
	}
}

// requestWithKey sends a request and returns the status, 0 without a response.
func (in *instance) requestWithKey(key string) int {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(fmt.Sprintf("http://%s/safe/", in.address(callerPort)))
	req.Header.SetHost(host)
	req.UseHostHeader = true
	req.Header.Set(standin.HeaderRequestID, fmt.Sprintf("key-%s-%s", in.id, key))
	req.Header.Set(fasthttp.HeaderAuthorization, "Token "+key)
	if fasthttp.DoTimeout(req, resp, 2*time.Second) != nil {
		return 0
	}
	return resp.StatusCode()
}
