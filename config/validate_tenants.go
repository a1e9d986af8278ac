package config

import (
	"math"
	"strings"
)

// maxTenantName limits the length in bytes of a tenant's name, which each request to a
// target carries.
const maxTenantName = 256

// validateTenants checks the tenants. The problems state the position of a key in its
// list, and never the key or its digest.
func (d *Document) validateTenants(addProblem func(string, ...any)) {
	names := map[string]bool{}
	owners := map[KeyDigest]string{}
	for _, t := range d.Tenants {
		if !isHeaderValue(t.Name) || len(t.Name) > maxTenantName {
			addProblem("tenant %q: name is empty, longer than %d bytes, or not valid in a header", t.Name, maxTenantName)
		}
		if names[t.Name] {
			addProblem("tenant %q: another tenant has the same name", t.Name)
		}
		names[t.Name] = true
		for i, key := range t.Keys {
			if owner, ok := owners[key]; ok && owner != t.Name {
				addProblem("tenant %q: API key %d is also one of tenant %q", t.Name, i+1, owner)
			}
			owners[key] = t.Name
		}
		if t.Priority < 0 {
			addProblem("tenant %q: priority %d is negative", t.Name, t.Priority)
		}
		if !isFigure(t.RatePerSecond) || !isFigure(t.Burst) {
			addProblem("tenant %q: rate %g or burst %g is negative or not a finite number", t.Name, t.RatePerSecond, t.Burst)
		}
	}
}

// isHeaderValue reports whether the text can be the value of a header (RFC 9110, section
// 5.5) and arrives unchanged: spaces at its ends would be lost.
func isHeaderValue(text string) bool {
	isControl := func(r rune) bool { return r < ' ' || r == 0x7f }
	return text != "" && strings.Trim(text, " ") == text && !strings.ContainsFunc(text, isControl)
}

func isFigure(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }
