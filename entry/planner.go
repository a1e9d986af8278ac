// Package entry decides which instances a caller of a service should connect
// to.
package entry

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"rhubarbrelay/config"
	"rhubarbrelay/membership"

	"github.com/cespare/xxhash/v2"
)

// DefaultTTL is how long a caller may keep an entry answer.
const DefaultTTL = 5 * time.Second

// Address is one instance that a caller may connect to.
type Address struct {
	Address  netip.AddrPort
	Instance string
	Zone     string
	// KeyPrefix begins the idempotency keys of requests that are first sent
	// to this instance.
	KeyPrefix string
}

// Answer lists the instances for a service, those of the caller's zone first.
type Answer struct {
	Addresses []Address
	TTL       time.Duration
}

// Directory lists the instances of the system.
type Directory interface {
	Instances() []membership.Instance
}

// Fleet gives the configuration in force.
type Fleet interface {
	Fleet() *config.Fleet
}

// Planner makes entry answers.
type Planner struct {
	directory Directory
	fleet     Fleet
	ttl       time.Duration
}

// Option changes a Planner under construction.
type Option func(*Planner)

// WithTTL sets how long callers may keep an answer.
func WithTTL(ttl time.Duration) Option {
	return func(p *Planner) { p.ttl = ttl }
}

// NewPlanner returns a planner over the directory and the configuration.
func NewPlanner(directory Directory, fleet Fleet, opts ...Option) *Planner {
	p := &Planner{directory: directory, fleet: fleet, ttl: DefaultTTL}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Plan returns the instances that a caller in the zone should use for the
// service. Instances of one zone are ranked by rendezvous hash, so that all
// instances give nearly the same answer without agreeing on it first.
func (p *Planner) Plan(service *config.Service, zone string) Answer {
	drained := p.fleet.Fleet().DrainedInstances
	byZone := map[string][]membership.Instance{}
	for _, in := range p.directory.Instances() {
		if in.State == membership.Live && !drained[in.ID] && in.CallerAddress.IsValid() {
			byZone[in.Zone] = append(byZone[in.Zone], in)
		}
	}
	answer := Answer{TTL: p.ttl}
	for _, z := range zonesFrom(byZone, service.Name, zone) {
		chosen := rank(byZone[z], service.Name)
		chosen = chosen[:min(len(chosen), service.EntryPerZone)]
		for _, in := range chosen {
			answer.Addresses = append(answer.Addresses, addressOf(in))
		}
	}
	return answer
}

// zonesFrom returns the zones in the order in which a caller should use them.
func zonesFrom(byZone map[string][]membership.Instance, service, own string) []string {
	zones := make([]string, 0, len(byZone))
	for z := range byZone {
		zones = append(zones, z)
	}
	slices.SortFunc(zones, func(a, b string) int {
		if (a == own) != (b == own) {
			if a == own {
				return -1
			}
			return 1
		}
		return cmp.Compare(score(service, a), score(service, b))
	})
	return zones
}

func rank(instances []membership.Instance, service string) []membership.Instance {
	slices.SortFunc(instances, func(a, b membership.Instance) int {
		return cmp.Or(cmp.Compare(score(service, a.ID), score(service, b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return instances
}

func score(service, id string) uint64 {
	return xxhash.Sum64String(service + "\x00" + id)
}

func addressOf(in membership.Instance) Address {
	return Address{
		Address:   in.CallerAddress,
		Instance:  in.ID,
		Zone:      in.Zone,
		KeyPrefix: in.ID + "~" + strconv.FormatInt(in.Incarnation, 10),
	}
}
