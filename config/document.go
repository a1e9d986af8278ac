// Package config holds the configuration of the load balancer: services, the
// routes that lead to them, and the limits for callers.
package config

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Document is one version of the configuration. It is immutable once built.
type Document struct {
	// Version increases with every change, not necessarily by one.
	Version  int64
	Limits   Limits
	Routes   []*Route
	Services map[string]*Service
	// Tenants are the groups of callers.
	Tenants []*Tenant
	// KeysRequired is set if requests need an API key although there may be no tenant: the
	// last one was removed. With tenants, they need one in any case.
	KeysRequired bool

	tenants map[KeyDigest]*Tenant
	routes  map[routeKey]*Route
	hosts   map[string]bool
}

// routeKey identifies a route by its host and path prefix.
type routeKey struct{ host, prefix string }

// Limits holds the limits for callers' requests. Instances enforce MaxBodyBytes
// exactly, MaxHeaderBytes only beyond what their own buffer holds, and no timeouts.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout is the maximum time to receive a request header.
	HeaderTimeout time.Duration
	// IdleTimeout is the maximum time that a connection stays open between
	// requests.
	IdleTimeout time.Duration
}

// Service is a named set of targets. Its targets register themselves.
type Service struct {
	Name string
	// HealthPath is the path of health probes: GET requests to which targets respond
	// with their state and load. If it is empty, the targets are not probed.
	HealthPath string
	// MaxConnections is the maximum number of connections that all instances
	// together open to one target; 0 selects the default. An instance whose share
	// is very small may still open a few.
	MaxConnections int
	// ColdDuration is how long a target stays cold after its start. While it is cold, it
	// tolerates ColdPerSecond requests per second from all instances together; 0 means that
	// there is no limit.
	ColdDuration  time.Duration
	ColdPerSecond float64
}

// Route forwards the requests for a host whose path begins with a prefix to
// one or more services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	// Idempotent is set if a request may be run more than once.
	Idempotent bool
	// Public is set if a request needs no API key.
	Public bool
	// Objective is the latency objective of the route: the time within which its
	// callers should get a response.
	Objective time.Duration
	// Timeout is the maximum time that a caller waits for a response.
	Timeout time.Duration
	// MaxTries is the maximum number of times that a request of the route is sent
	// to targets, retries and hedges included (attempts in the configuration file).
	// A try in which nothing was sent does not count.
	MaxTries int
	// Priority ranks the route; 0 is the highest priority.
	Priority int
	Split    []WeightedService
}

// WeightedService is a service with its weight in the traffic split of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Key identifies the route across versions of the configuration.
func (r *Route) Key() string { return r.Host + r.PathPrefix }

// Index builds the lookup tables for Match and TenantOf. It must be called once, before the
// document is shared between goroutines.
func (d *Document) Index() {
	d.routes = make(map[routeKey]*Route, len(d.Routes))
	d.hosts = map[string]bool{}
	for _, r := range d.Routes {
		host := normalizeHost(r.Host)
		d.routes[routeKey{host, r.PathPrefix}] = r
		d.hosts[host] = true
	}
	d.tenants = map[KeyDigest]*Tenant{}
	for _, t := range d.Tenants {
		for _, key := range t.Keys {
			d.tenants[key] = t
		}
	}
}

// Match returns the route of the host with the longest matching path prefix, or
// nil if there is none.
func (d *Document) Match(host, path string) *Route {
	host = normalizeHost(host)
	if !d.hosts[host] {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := d.routes[routeKey{host, path[:end+1]}]; r != nil {
			return r
		}
	}
	return nil
}

// normalizeHost removes the port and a trailing dot from a host and converts it to
// lower case: all spellings name the same host.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// ServiceNames returns the sorted names of the services.
func (d *Document) ServiceNames() []string { return slices.Sorted(maps.Keys(d.Services)) }
