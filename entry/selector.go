// Package entry decides which instances a caller should connect to.
package entry

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"rhubarbrelay/membership"
)

const (
	// DefaultTTL is how long a caller keeps an answer.
	DefaultTTL = 2 * time.Second
	// MaxAddresses bounds an answer.
	MaxAddresses = 64
	// minAddresses is the number of instances of the caller's zone below which
	// those of other zones are named as well.
	minAddresses = 2
	// minActive is the number of instances of a zone that take its callers, and
	// activeShare the number of instances for each further one: the fewer take
	// callers, the more each knows of the targets' load, but a zone's load grows
	// with its size.
	minActive   = 2
	activeShare = 16
)

// activeOf returns how many of a zone's instances take its callers.
func activeOf(instances int) int {
	return max(minActive, (instances+activeShare-1)/activeShare)
}

// Directory lists the instances that take callers.
type Directory interface {
	Ready() []membership.Instance
	Self() membership.Instance
}

// Selector makes entry answers. It is safe for concurrent use.
type Selector struct{ directory Directory }

// NewSelector returns a planner over the directory.
func NewSelector(directory Directory) *Selector { return &Selector{directory} }

// Select returns the addresses for a caller in the zone: those of its own zone,
// and those of others when there are too few. The answer is empty only while the
// instance starts and knows no other: the caller then asks elsewhere.
func (p *Selector) Select(zone string) []netip.AddrPort {
	var near, far []netip.AddrPort
	for _, in := range p.directory.Ready() {
		if in.Zone == zone {
			near = append(near, in.CallerAddress)
		} else {
			far = append(far, in.CallerAddress)
		}
	}
	near = near[:min(len(near), activeOf(len(near)))]
	chosen := near
	if len(near) < minAddresses {
		chosen = append(chosen, far...)
	}
	if self := p.directory.Self(); len(chosen) == 0 && self.State != membership.Starting {
		chosen = append(chosen, self.CallerAddress)
	}
	rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return chosen[:min(len(chosen), MaxAddresses)]
}

// ActiveCount returns the number of instances that take callers by the present
// answers.
func (p *Selector) ActiveCount() int {
	zones := map[string]int{}
	for _, in := range p.directory.Ready() {
		zones[in.Zone]++
	}
	active := 0
	for _, n := range zones {
		active += min(n, activeOf(n))
	}
	return max(1, active)
}

// IsActive returns whether the answers name this instance to the callers of its
// zone.
func (p *Selector) IsActive() bool {
	self := p.directory.Self()
	before, zone, ready := 0, 0, false
	for _, in := range p.directory.Ready() {
		if in.Zone != self.Zone {
			continue
		}
		zone++
		if in.ID == self.ID {
			ready = true
		} else if !ready {
			before++
		}
	}
	return ready && before < activeOf(zone)
}
