package checks

import (
	"fmt"
	"slices"
	"strings"

	"rhubarbrelay/config"
)

// Difference is one change from a configuration to another one, as an operator reads it.
// It never contains an API key.
type Difference struct {
	Section string
	Text    string
}

// Compare returns the changes from one document to another. from is nil if there is none.
func Compare(from, to *config.Document) []Difference {
	if from == nil {
		from = &config.Document{}
	}
	c := &comparison{}
	c.compareLimits(from.Limits, to.Limits)
	c.compareServices(from, to)
	c.compareRoutes(from, to)
	c.compareTenants(from, to)
	return c.differences
}

// comparison collects the differences.
type comparison struct{ differences []Difference }

func (c *comparison) add(section, format string, args ...any) {
	c.differences = append(c.differences, Difference{section, fmt.Sprintf(format, args...)})
}

// change adds a difference if a value has changed.
func (c *comparison) change(section, name string, from, to any) {
	if from != to {
		c.add(section, "%s changed from %v to %v", name, from, to)
	}
}

func (c *comparison) compareLimits(from, to config.Limits) {
	c.change(limitsSection, "maximum header bytes", from.MaxHeaderBytes, to.MaxHeaderBytes)
	c.change(limitsSection, "maximum body bytes", from.MaxBodyBytes, to.MaxBodyBytes)
	c.change(limitsSection, "header timeout", from.HeaderTimeout, to.HeaderTimeout)
	c.change(limitsSection, "idle timeout", from.IdleTimeout, to.IdleTimeout)
}

func (c *comparison) compareServices(from, to *config.Document) {
	for _, name := range from.ServiceNames() {
		if to.Services[name] == nil {
			c.add(serviceSection(from.Services[name]), "removed")
		}
	}
	for _, name := range to.ServiceNames() {
		after, before := to.Services[name], from.Services[name]
		section := serviceSection(after)
		if before == nil {
			c.add(section, "added")
			continue
		}
		c.change(section, "health path", before.HealthPath, after.HealthPath)
		c.change(section, "maximum connections", before.MaxConnections, after.MaxConnections)
		c.change(section, "cold duration", before.ColdDuration, after.ColdDuration)
		c.change(section, "requests per second of a cold target", before.ColdPerSecond, after.ColdPerSecond)
	}
}

func (c *comparison) compareRoutes(from, to *config.Document) {
	before, after := routesByKey(from), routesByKey(to)
	for _, r := range from.Routes {
		if after[r.Key()] == nil {
			c.add(routeSection(r), "removed")
		}
	}
	for _, r := range to.Routes {
		old, section := before[r.Key()], routeSection(r)
		if old == nil {
			c.add(section, "added")
			continue
		}
		c.change(section, "name", old.Name, r.Name)
		c.change(section, "idempotent", old.Idempotent, r.Idempotent)
		c.change(section, "public", old.Public, r.Public)
		c.change(section, "objective", old.Objective, r.Objective)
		c.change(section, "timeout", old.Timeout, r.Timeout)
		c.change(section, "attempts", old.MaxTries, r.MaxTries)
		c.change(section, "priority", old.Priority, r.Priority)
		c.change(section, "services", formatSplit(old.Split), formatSplit(r.Split))
	}
}

func routesByKey(d *config.Document) map[string]*config.Route {
	routes := make(map[string]*config.Route, len(d.Routes))
	for _, r := range d.Routes {
		routes[r.Key()] = r
	}
	return routes
}

func formatSplit(split []config.WeightedService) string {
	parts := make([]string, 0, len(split))
	for _, ws := range split {
		parts = append(parts, fmt.Sprintf("%s:%d", ws.Service, ws.Weight))
	}
	return strings.Join(parts, ", ")
}

func (c *comparison) compareTenants(from, to *config.Document) {
	if from.RequiresKeys() && !to.RequiresKeys() {
		c.add(tenantsSection, "requests need no API key any more")
	}
	before, after := tenantsByName(from), tenantsByName(to)
	for _, t := range from.Tenants {
		if after[t.Name] == nil {
			c.add(tenantSection(t), "removed, with its %d keys", len(t.Keys))
		}
	}
	for _, t := range to.Tenants {
		old, section := before[t.Name], tenantSection(t)
		if old == nil {
			c.add(section, "added, with %d keys", len(t.Keys))
			continue
		}
		if n := countMissing(t.Keys, old.Keys); n > 0 {
			c.add(section, "%d keys added", n)
		}
		if n := countMissing(old.Keys, t.Keys); n > 0 {
			c.add(section, "%d keys revoked", n)
		}
		c.change(section, "priority", old.Priority, t.Priority)
		c.change(section, "requests per second", old.RatePerSecond, t.RatePerSecond)
		c.change(section, "burst", old.Burst, t.Burst)
	}
}

func tenantsByName(d *config.Document) map[string]*config.Tenant {
	tenants := make(map[string]*config.Tenant, len(d.Tenants))
	for _, t := range d.Tenants {
		tenants[t.Name] = t
	}
	return tenants
}

// countMissing returns the number of keys that are not among the others.
func countMissing(keys, others []config.KeyDigest) int {
	missing := 0
	for _, key := range keys {
		if !slices.Contains(others, key) {
			missing++
		}
	}
	return missing
}
