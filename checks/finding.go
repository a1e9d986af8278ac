// Package checks examines a valid configuration for mistakes that do not make it invalid,
// and describes how it differs from another one.
package checks

import (
	"cmp"
	"fmt"
	"slices"

	"rhubarbrelay/config"
)

// Kind is the kind of a finding.
type Kind string

// The kinds of findings.
const (
	// Unused means that an entry never takes effect.
	Unused Kind = "unused"
	// Contradiction means that two settings cannot both take effect.
	Contradiction Kind = "contradiction"
)

// Finding is a likely mistake in a configuration. It never contains an API key.
type Finding struct {
	Kind Kind
	// Section is the section of the configuration file, such as "route a.example /x/".
	Section string
	Text    string
}

// Check returns the findings of a valid document, sorted by section.
func Check(d *config.Document) []Finding {
	findings := slices.Concat(checkRoutes(d), checkServices(d), checkTenants(d), checkLimits(d.Limits))
	slices.SortStableFunc(findings, func(a, b Finding) int { return cmp.Compare(a.Section, b.Section) })
	return findings
}

func routeSection(r *config.Route) string     { return "route " + r.Host + " " + r.PathPrefix }
func serviceSection(s *config.Service) string { return "service " + s.Name }
func tenantSection(t *config.Tenant) string   { return "tenant " + t.Name }

const (
	limitsSection  = "limits"
	tenantsSection = "tenants"
)

func checkRoutes(d *config.Document) []Finding {
	var findings []Finding
	for _, r := range d.Routes {
		add := func(kind Kind, format string, args ...any) {
			findings = append(findings, Finding{kind, routeSection(r), fmt.Sprintf(format, args...)})
		}
		if d.Match(r.Host, r.PathPrefix) != r {
			add(Unused, "another spelling of the host has a route with the same prefix, which gets all requests")
		}
		for _, ws := range r.Split {
			if ws.Weight == 0 {
				add(Unused, "service %q has weight 0 and gets no requests", ws.Service)
			}
		}
		if r.Objective > r.Timeout {
			add(Contradiction, "objective %s is longer than timeout %s", r.Objective, r.Timeout)
		}
		if r.Public && !d.RequiresKeys() {
			add(Unused, "the route is public, but without tenants no route needs an API key")
		}
	}
	return findings
}

func checkServices(d *config.Document) []Finding {
	used := map[string]bool{}
	for _, r := range d.Routes {
		for _, ws := range r.Split {
			used[ws.Service] = used[ws.Service] || ws.Weight > 0
		}
	}
	var findings []Finding
	for _, name := range d.ServiceNames() {
		s := d.Services[name]
		add := func(kind Kind, format string, args ...any) {
			findings = append(findings, Finding{kind, serviceSection(s), fmt.Sprintf(format, args...)})
		}
		if !used[name] {
			add(Unused, "no route leads to the service")
		}
		if s.ColdPerSecond > 0 && s.ColdDuration <= 0 {
			add(Contradiction, "cold targets are limited to %g requests per second, but no target is cold after its start", s.ColdPerSecond)
		}
		if s.ColdPerSecond > 0 && s.HealthPath == "" {
			add(Contradiction, "cold targets are limited, but without a health path they cannot tell that they are cold")
		}
	}
	return findings
}

func checkTenants(d *config.Document) []Finding {
	var findings []Finding
	if d.RequiresKeys() && len(d.Tenants) == 0 {
		findings = append(findings, Finding{Contradiction, tenantsSection, "requests need an API key, but there is no tenant: all of them are refused, but for those of public routes"})
	}
	keyNeeded := slices.ContainsFunc(d.Routes, func(r *config.Route) bool { return !r.Public })
	for _, t := range d.Tenants {
		add := func(kind Kind, format string, args ...any) {
			findings = append(findings, Finding{kind, tenantSection(t), fmt.Sprintf(format, args...)})
		}
		if !keyNeeded {
			add(Unused, "all routes are public")
		}
		if len(t.Keys) == 0 {
			add(Unused, "the tenant has no API key, so that no request belongs to it")
		}
		if t.IsLimited() && t.Burst > 0 && t.Burst < 1 {
			add(Contradiction, "burst %g is less than one request", t.Burst)
		}
		if !t.IsLimited() && t.Burst > 0 {
			add(Unused, "burst %g has no effect without a rate", t.Burst)
		}
	}
	return findings
}

func checkLimits(l config.Limits) []Finding {
	if l.HeaderTimeout > 0 && l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		return []Finding{{Contradiction, limitsSection, fmt.Sprintf("header timeout %s is longer than idle timeout %s", l.HeaderTimeout, l.IdleTimeout)}}
	}
	return nil
}
