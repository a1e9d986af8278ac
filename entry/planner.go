// Package entry decides which instances a caller of a service should connect
// to.
package entry

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbrelay/config"
	"rhubarbrelay/membership"
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
// Callers of Plan share its addresses and must not change them.
type Answer struct {
	Addresses []Address
	TTL       time.Duration
}

// Directory lists the instances of the system.
type Directory interface {
	Instances() []membership.Instance
}

// Revisioned is a Directory whose revision grows with every change. Answers
// over any other Directory are not cached.
type Revisioned interface {
	Revision() uint64
}

// Fleet gives the configuration in force.
type Fleet interface {
	Fleet() *config.Fleet
}

// Planner makes entry answers. It is safe for concurrent use.
type Planner struct {
	directory Directory
	fleet     Fleet
	ttl       time.Duration

	mu   sync.RWMutex
	view *view
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
	v := p.currentView()
	if !slices.Contains(v.zones, zone) {
		// Callers choose the zone freely, so unknown ones share one answer.
		zone = ""
	}
	key := planKey{service, zone}
	v.mu.RLock()
	answer, ok := v.answers[key]
	v.mu.RUnlock()
	if ok {
		return answer
	}
	answer = Answer{Addresses: p.plan(v, service, zone), TTL: p.ttl}
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.answers) < maxAnswers {
		v.answers[key] = answer
	}
	return answer
}

// currentView returns the view of the present revision and configuration.
func (p *Planner) currentView() *view {
	fleet := p.fleet.Fleet()
	revisioned, ok := p.directory.(Revisioned)
	if !ok {
		return newView(0, fleet, p.directory.Instances())
	}
	// The revision is read before the instances, so that a change in between
	// leads to a view that is replaced at the next call.
	revision := revisioned.Revision()
	p.mu.RLock()
	v := p.view
	p.mu.RUnlock()
	if v != nil && v.revision == revision && v.fleet == fleet {
		return v
	}
	v = newView(revision, fleet, p.directory.Instances())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view = v
	return v
}

// plan ranks the instances of the view for the service.
func (p *Planner) plan(v *view, service *config.Service, own string) []Address {
	zones := v.zonesFrom(service.Name, own)
	var chosen []membership.Instance
	for i, zone := range zones {
		count := max(1, service.EntryPerZone)
		if i == 0 && own == "" && len(v.zones) > 1 {
			// The first zone stands in for the caller's, which has none.
			count *= 2
		}
		ranked := rank(v.byZone[zone], service.Name)
		chosen = append(chosen, ranked[:min(len(ranked), count)]...)
	}
	if service.SinglePrimary {
		chosen = withPrimary(chosen, v.usable, service.Name)
	}
	addresses := make([]Address, 0, len(chosen))
	for _, in := range chosen {
		addresses = append(addresses, addressOf(in))
	}
	return addresses
}

// withPrimary puts the instance that ranks first over all zones in front. With
// an entry per zone, a service is served by as many instances as there are
// zones, each of which learns of the others' load from the targets' reports
// only. One primary sees all of it.
func withPrimary(chosen, usable []membership.Instance, service string) []membership.Instance {
	if len(usable) == 0 {
		return chosen
	}
	primary := rank(usable, service)[0]
	rest := slices.DeleteFunc(chosen, func(in membership.Instance) bool { return in.ID == primary.ID })
	return append([]membership.Instance{primary}, rest...)
}

func rank(instances []membership.Instance, service string) []membership.Instance {
	return slices.SortedFunc(slices.Values(instances), func(a, b membership.Instance) int {
		return cmp.Or(cmp.Compare(score(service, a.ID), score(service, b.ID)), cmp.Compare(a.ID, b.ID))
	})
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
