package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// maxDuration keeps sums and multiples of durations far from overflow.
	maxDuration = 24 * time.Hour
	// maxCount bounds queues, slots and connections, which cost memory.
	maxCount = 1_000_000
	// maxEntryPerZone is far above the 15 instances that a fleet has today.
	maxEntryPerZone = 1000
	// maxNameLength keeps names usable in metrics and log lines.
	maxNameLength = 64
	// maxPathLength bounds the path prefix of a route in bytes.
	maxPathLength = 1024
)

// namePattern is the form of the names of services, targets and zones.
var namePattern = regexp.MustCompile(`^[a-z0-9._-]+$`)

// pathPattern is the form of a path prefix: visible ASCII characters without
// those that have a meaning in the text format.
var pathPattern = regexp.MustCompile("^/[!-~]*$")

// ValidName reports whether the text can name a service, a target or a zone.
func ValidName(name string) bool {
	return len(name) <= maxNameLength && namePattern.MatchString(name)
}

// policies returns the policies that a service can select.
func policies() []Policy {
	return []Policy{PolicySlots, PolicyRandom, PolicyRoundRobin, PolicyLeastInFlight, PolicyPowerOfTwo}
}

// methods returns the HTTP methods that a route can name. CONNECT and TRACE
// are absent: a load balancer must not pass them on.
func methods() []string {
	return []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
}

// Validate reports every problem of a service, whether it was parsed or built
// by a program. The error is an *InvalidError.
func Validate(s *Service) error {
	v := &validator{}
	v.service(s)
	return v.err()
}

// validator collects the problems of services.
type validator struct {
	problems []Problem
}

func (v *validator) err() error {
	if len(v.problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: v.problems}
}

func (v *validator) add(section, key, value, reason string) {
	v.problems = append(v.problems, Problem{Section: section, Key: key, Value: value, Reason: reason})
}

// missing reports an absent key unless the reader reported its malformed value.
func (v *validator) missing(section, key string) {
	reported := slices.ContainsFunc(v.problems, func(p Problem) bool { return p.Section == section && p.Key == key })
	if !reported {
		v.add(section, key, "", "missing")
	}
}

func (v *validator) service(s *Service) {
	section := serviceSection(s)
	if !ValidName(s.Name) {
		v.name(section, "service", s.Name)
	}
	if !slices.Contains(policies(), s.Policy) {
		v.add(section, keyPolicy, string(s.Policy), fmt.Sprintf("unknown policy, known are %v", policies()))
	}
	v.duration(section, keyDeadline, s.Deadline)
	v.duration(section, keyMaxWait, s.MaxWait)
	if s.MaxWait > 0 && s.Deadline > 0 && s.MaxWait >= s.Deadline {
		v.add(section, keyMaxWait, s.MaxWait.String(), fmt.Sprintf("must be shorter than the deadline %s", s.Deadline))
	}
	v.integer(section, keyMaxQueue, s.MaxQueue, 0, maxCount)
	v.integer(section, keyEntryPerZone, s.EntryPerZone, 1, maxEntryPerZone)
	v.integer(section, keyRetryPercent, s.RetryPercent, 0, 100)
	v.duration(section, keyProbeInterval, s.ProbeInterval)
	v.integer(section, keyLongPercent, s.LongPercent, 0, 100)
	v.integer(section, keyEjectPercent, s.EjectPercent, 0, 100)
	v.targets(s)
	v.routes(s)
}

func (v *validator) targets(s *Service) {
	names := map[string]bool{}
	addresses := map[netip.AddrPort]string{}
	for _, t := range s.Targets {
		section := targetSection(s, t)
		if !ValidName(t.Name) {
			v.name(section, "target", t.Name)
		}
		if names[t.Name] {
			v.add(section, "", "", "target defined twice")
		}
		names[t.Name] = true
		v.address(section, t, addresses)
		switch {
		case t.Zone == "":
			v.missing(section, keyZone)
		case !ValidName(t.Zone):
			v.add(section, keyZone, t.Zone, nameReason("zone"))
		}
		v.integer(section, keySlots, t.Slots, 1, maxCount)
		v.integer(section, keyMaxConnections, t.MaxConnections, 1, maxCount)
		if t.Slots > 0 && t.MaxConnections > 0 && t.MaxConnections < t.Slots {
			v.add(section, keyMaxConnections, strconv.Itoa(t.MaxConnections), fmt.Sprintf("must be at least the %d slots", t.Slots))
		}
	}
}

// address checks the address of a target. Two targets on one address would
// count the same slots twice.
func (v *validator) address(section string, t Target, used map[netip.AddrPort]string) {
	if !t.Address.IsValid() {
		v.missing(section, keyAddress)
		return
	}
	ip := t.Address.Addr()
	if ip.IsUnspecified() || ip.IsMulticast() || t.Address.Port() == 0 {
		v.add(section, keyAddress, t.Address.String(), "not the address of a host and port")
	}
	plain := netip.AddrPortFrom(ip.Unmap(), t.Address.Port())
	if other, ok := used[plain]; ok {
		v.add(section, keyAddress, t.Address.String(), fmt.Sprintf("already the address of target %s", other))
		return
	}
	used[plain] = t.Name
}

func (v *validator) routes(s *Service) {
	seen := map[string]bool{}
	for _, r := range s.Routes {
		section := routeSection(s, r)
		if !slices.Contains(methods(), r.Method) {
			v.add(section, "", "", fmt.Sprintf("unknown method %q, known are %v", r.Method, methods()))
		}
		if reason := pathReason(r.PathPrefix); reason != "" {
			v.add(section, "", "", reason)
		}
		if seen[section] {
			v.add(section, "", "", "route defined twice")
		}
		seen[section] = true
		if r.Deadline != 0 {
			v.duration(section, keyDeadline, r.Deadline)
		}
		if r.Idempotency < Unmarked || r.Idempotency > NonIdempotent {
			v.add(section, keyIdempotent, strconv.Itoa(int(r.Idempotency)), "not a known mark")
		}
	}
}

func (v *validator) name(section, thing, name string) {
	v.add(section, "", "", fmt.Sprintf("name %q: %s", name, nameReason(thing)))
}

func (v *validator) duration(section, key string, d time.Duration) {
	if d <= 0 {
		v.add(section, key, d.String(), "must be greater than 0")
	}
	if d > maxDuration {
		v.add(section, key, d.String(), fmt.Sprintf("must be at most %s", maxDuration))
	}
}

func (v *validator) integer(section, key string, value, lowest, highest int) {
	if value < lowest || value > highest {
		v.add(section, key, strconv.Itoa(value), fmt.Sprintf("must be from %d to %d", lowest, highest))
	}
}

func nameReason(thing string) string {
	return fmt.Sprintf("a %s name has 1 to %d characters of a-z, 0-9, dot, underscore and hyphen", thing, maxNameLength)
}

func pathReason(path string) string {
	switch {
	case !strings.HasPrefix(path, "/"):
		return fmt.Sprintf("path prefix %q must start with \"/\"", path)
	case len(path) > maxPathLength:
		return fmt.Sprintf("path prefix is longer than %d bytes", maxPathLength)
	case !pathPattern.MatchString(path) || strings.ContainsAny(path, "[]?#"):
		return fmt.Sprintf("path prefix %q has characters that no path contains", path)
	default:
		return ""
	}
}
