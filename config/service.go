// Package config defines the published configuration: services with their
// targets, routes and limits, and the text format in which operators publish
// them.
package config

import (
	"net/netip"
	"strings"
	"time"
)

// Policy names the way in which a service's requests are spread over targets.
type Policy string

// The policies that a service can select. Slots is the product's own policy;
// the others are baselines for comparison.
const (
	PolicySlots         Policy = "slots"
	PolicyRandom        Policy = "random"
	PolicyRoundRobin    Policy = "round_robin"
	PolicyLeastInFlight Policy = "least_in_flight"
	PolicyPowerOfTwo    Policy = "power_of_two"
)

// Defaults of a service. They apply to every key that a document leaves out.
const (
	DefaultDeadline       = time.Second
	DefaultMaxWait        = 40 * time.Millisecond // refusals must come within 50 ms
	DefaultMaxQueue       = 512
	DefaultEntryPerZone   = 1
	DefaultRetryPercent   = 10
	DefaultProbeInterval  = 5 * time.Second
	DefaultLongPercent    = 50
	DefaultEjectPercent   = 40
	DefaultSlots          = 4
	DefaultMaxConnections = 200
)

// Service is a named set of targets with the limits and deadlines that its
// callers expect. A Service is immutable once it is part of a Fleet.
type Service struct {
	Name   string
	Policy Policy
	// Deadline bounds a request that carries no deadline of its own and caps
	// the deadline of one that does.
	Deadline time.Duration
	// MaxWait bounds the time that a request waits for a slot before it is
	// refused as not run.
	MaxWait time.Duration
	// MaxQueue bounds the number of waiting requests on one instance.
	MaxQueue int
	// EntryPerZone is the number of instances in each zone that the entry
	// answer names for this service.
	EntryPerZone int
	// SinglePrimary puts one instance first for the callers of all zones. It
	// alone then sees the load on the service's targets, at the price of a hop
	// between zones for most callers.
	SinglePrimary bool
	// RetryPercent is the number of additional attempts allowed per hundred
	// requests.
	RetryPercent int
	// ProbeInterval is the shortest time between two probes of one target,
	// counted over all instances together.
	ProbeInterval time.Duration
	// LongPercent is the largest share of the service's slots that long
	// requests may hold.
	LongPercent int
	// EjectPercent is the largest share of targets that may be ejected at once.
	EjectPercent int
	Targets      []Target
	Routes       []Route
}

// Target is one back end of a service.
type Target struct {
	Name    string
	Address netip.AddrPort
	Zone    string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// MaxConnections bounds the connections to the target over all instances.
	MaxConnections int
	// Drained is set by an operator's drain record, never by a document.
	Drained bool
}

// Idempotency says whether a request may run more than once.
type Idempotency int

// The values of Idempotency. A route that leaves the key out is Unmarked: the
// request's own mark decides, then its method.
const (
	Unmarked Idempotency = iota
	Idempotent
	NonIdempotent
)

// Route sets the properties of the requests whose method and path match.
type Route struct {
	Method      string
	PathPrefix  string
	Idempotency Idempotency
	// Long marks requests that run many times longer than the service's others.
	Long bool
	// Deadline replaces the service's deadline when it is not zero.
	Deadline time.Duration
}

// NewService returns a service with every default set and no targets.
func NewService(name string) *Service {
	return &Service{
		Name:          name,
		Policy:        PolicySlots,
		Deadline:      DefaultDeadline,
		MaxWait:       DefaultMaxWait,
		MaxQueue:      DefaultMaxQueue,
		EntryPerZone:  DefaultEntryPerZone,
		RetryPercent:  DefaultRetryPercent,
		ProbeInterval: DefaultProbeInterval,
		LongPercent:   DefaultLongPercent,
		EjectPercent:  DefaultEjectPercent,
	}
}

// Match returns the route with the longest matching path prefix, or a route
// without any mark when none matches.
func (s *Service) Match(method, path string) Route {
	best := Route{Method: method}
	for _, r := range s.Routes {
		if r.Method == method && strings.HasPrefix(path, r.PathPrefix) && len(r.PathPrefix) > len(best.PathPrefix) {
			best = r
		}
	}
	return best
}
