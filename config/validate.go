package config

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// ErrInvalid reports a document that must not come into force. The wrapped text
// names every problem.
var ErrInvalid = errors.New("invalid configuration")

// maxTimeout bounds the timeouts of routes; a longer one is a mistake of units.
const maxTimeout = time.Hour

// Validate checks the document. The error wraps ErrInvalid.
func (d *Document) Validate() error {
	var problems []error
	report := func(format string, args ...any) {
		problems = append(problems, fmt.Errorf(format, args...))
	}
	if d.Version <= 0 {
		report("version %d is not positive", d.Version)
	}
	if len(d.Routes) == 0 {
		report("no routes")
	}
	for name, s := range d.Services {
		if name == "" || s.Name != name {
			report("service %q has the name %q", name, s.Name)
		}
		if s.HealthPath != "" && !strings.HasPrefix(s.HealthPath, "/") {
			report("service %q: health path %q does not begin with a slash", name, s.HealthPath)
		}
		if s.MaxConnections < 0 {
			report("service %q: max connections %d is negative", name, s.MaxConnections)
		}
	}
	seen := map[routeKey]bool{}
	for _, r := range d.Routes {
		key := routeKey{r.Host, r.PathPrefix}
		if seen[key] {
			report("route %q: host %q and prefix %q are used twice", r.Name, r.Host, r.PathPrefix)
		}
		seen[key] = true
		d.validateRoute(r, report)
	}
	if len(problems) > 0 {
		return fmt.Errorf("%w: %w", ErrInvalid, errors.Join(problems...))
	}
	return nil
}

func (d *Document) validateRoute(r *Route, report func(string, ...any)) {
	if r.Host == "" || strings.ContainsAny(r.Host, "/: ") {
		report("route %q: %q is not a host", r.Name, r.Host)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		report("route %q: prefix %q does not begin and end with a slash", r.Name, r.PathPrefix)
	}
	if r.Timeout <= 0 || r.Timeout > maxTimeout {
		report("route %q: timeout %s is outside of 0 to %s", r.Name, r.Timeout, maxTimeout)
	}
	if r.Objective < 0 || r.Objective > maxTimeout {
		report("route %q: objective %s is outside of 0 to %s", r.Name, r.Objective, maxTimeout)
	}
	if r.Attempts < 1 {
		report("route %q: attempts %d is below 1", r.Name, r.Attempts)
	}
	if r.Priority < 0 {
		report("route %q: priority %d is negative", r.Name, r.Priority)
	}
	total := 0
	for _, p := range r.Split {
		if d.Services[p.Service] == nil {
			report("route %q: service %q is not defined", r.Name, p.Service)
		}
		if p.Weight < 0 {
			report("route %q: weight %d of service %q is negative", r.Name, p.Weight, p.Service)
		}
		total += p.Weight
	}
	if total <= 0 {
		report("route %q: the weights add up to nothing", r.Name)
	}
}
