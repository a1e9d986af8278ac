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
	// Version grows with every change, in steps of any size.
	Version  int64
	Limits   Limits
	Routes   []*Route
	Services map[string]*Service

	prefixes map[routeKey]*Route
	hosts    map[string]bool
}

// routeKey addresses a route: a host and a path prefix.
type routeKey struct{ host, prefix string }

// Limits bounds what callers may send and how long they may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout bounds the time to send a request.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time that a connection stays open between requests.
	IdleTimeout time.Duration
}

// Service is a named set of targets. Its targets register themselves.
type Service struct {
	Name string
	// HealthPath answers GET requests with the state and the load of a target.
	HealthPath string
	// MaxConnections bounds the connections of all callers to one target.
	MaxConnections int
}

// Route leads the requests of a host whose path begins with a prefix to one
// service or to several.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Objective is the time in which an answer is useful to its caller.
	Objective time.Duration
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Attempts bounds the targets to which one request may be sent.
	Attempts int
	// Priority ranks the route, 0 first.
	Priority int
	Split    []WeightedService
}

// WeightedService is a service's share of the requests of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Key names the route across versions of the configuration.
func (r *Route) Key() string { return r.Host + r.PathPrefix }

// Index prepares the document for Match. It must run once, before the document
// is shared.
func (d *Document) Index() {
	d.prefixes = make(map[routeKey]*Route, len(d.Routes))
	d.hosts = map[string]bool{}
	for _, r := range d.Routes {
		d.prefixes[routeKey{r.Host, r.PathPrefix}] = r
		d.hosts[r.Host] = true
	}
}

// Match returns the route of the host with the longest prefix of the path, nil
// when there is none.
func (d *Document) Match(host, path string) *Route {
	host = normalHost(host)
	if !d.hosts[host] {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := d.prefixes[routeKey{host, path[:end+1]}]; r != nil {
			return r
		}
	}
	return nil
}

// normalHost drops the port and the case of a host.
func normalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// ServiceNames returns the names of the services in order.
func (d *Document) ServiceNames() []string { return slices.Sorted(maps.Keys(d.Services)) }
