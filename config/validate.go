package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// ErrInvalid means that a configuration must not become active. The text of an
// error that wraps it states the problems that were found. There may be more, as
// a document that cannot be read completely is not validated.
var ErrInvalid = errors.New("invalid configuration")

// maxTimeout is the longest timeout or objective that may be published; a longer one is
// most likely given in the wrong unit.
const maxTimeout = time.Hour

// Validate checks a document that is to be published. The error wraps ErrInvalid and
// lists every problem.
func (d *Document) Validate() error {
	return invalid(slices.Concat(d.problems(), d.likelyMistakes()))
}

// ValidateStored checks a document that the store has accepted. It accepts unusual values
// that Validate does not: if instances rejected the document, an older one would stay in
// force for all its routes. The error is that of Validate.
func (d *Document) ValidateStored() error { return invalid(d.problems()) }

func invalid(problems []error) error {
	if len(problems) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrInvalid, errors.Join(problems...))
}

// likelyMistakes returns what could take effect, but hardly as it is meant.
func (d *Document) likelyMistakes() []error {
	var mistakes []error
	if len(d.Routes) == 0 {
		mistakes = append(mistakes, errors.New("no routes"))
	}
	for _, r := range d.Routes {
		if r.Timeout > maxTimeout {
			mistakes = append(mistakes, fmt.Errorf("route %q: timeout %s is longer than %s", r.Name, r.Timeout, maxTimeout))
		}
		if r.Objective > maxTimeout {
			mistakes = append(mistakes, fmt.Errorf("route %q: objective %s is longer than %s", r.Name, r.Objective, maxTimeout))
		}
	}
	return mistakes
}

// problems returns what keeps the document from taking effect.
func (d *Document) problems() []error {
	var problems []error
	addProblem := func(format string, args ...any) {
		problems = append(problems, fmt.Errorf(format, args...))
	}
	if d.Version <= 0 {
		addProblem("version %d is not positive", d.Version)
	}
	for name, s := range d.Services {
		if name == "" || s.Name != name {
			addProblem("service %q: name %q is empty or differs from the key of the service", name, s.Name)
		}
		if s.HealthPath != "" && !strings.HasPrefix(s.HealthPath, "/") {
			addProblem("service %q: health path %q does not begin with a slash", name, s.HealthPath)
		}
		if s.MaxConnections < 0 {
			addProblem("service %q: max connections %d is negative", name, s.MaxConnections)
		}
	}
	seen := map[routeKey]bool{}
	for _, r := range d.Routes {
		key := routeKey{r.Host, r.PathPrefix}
		if seen[key] {
			addProblem("route %q: another route has the same host %q and prefix %q", r.Name, r.Host, r.PathPrefix)
		}
		seen[key] = true
		d.validateRoute(r, addProblem)
	}
	d.validateTenants(addProblem)
	return problems
}

func (d *Document) validateRoute(r *Route, addProblem func(string, ...any)) {
	if r.Host == "" || strings.ContainsAny(r.Host, "/: ") {
		addProblem("route %q: host %q is empty or contains a slash, a colon or a space", r.Name, r.Host)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		addProblem("route %q: prefix %q does not begin and end with a slash", r.Name, r.PathPrefix)
	}
	if r.Timeout <= 0 {
		addProblem("route %q: timeout %s must be greater than 0", r.Name, r.Timeout)
	}
	if r.Objective < 0 {
		addProblem("route %q: objective %s is negative", r.Name, r.Objective)
	}
	if r.MaxTries < 1 {
		addProblem("route %q: attempts %d is below 1", r.Name, r.MaxTries)
	}
	if r.Priority < 0 {
		addProblem("route %q: priority %d is negative", r.Name, r.Priority)
	}
	d.validateSplit(r, addProblem)
}

func (d *Document) validateSplit(r *Route, addProblem func(string, ...any)) {
	hasWeight := false
	for _, ws := range r.Split {
		if d.Services[ws.Service] == nil {
			addProblem("route %q: service %q is not defined", r.Name, ws.Service)
		}
		if ws.Weight < 0 {
			addProblem("route %q: weight %d of service %q is negative", r.Name, ws.Weight, ws.Service)
		}
		hasWeight = hasWeight || ws.Weight > 0
	}
	if !hasWeight {
		addProblem("route %q: no service has a positive weight", r.Name)
	}
}
