// Package entry selects the instances that a caller should connect to.
package entry

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"rhubarbrelay/membership"
)

const (
	// DefaultTTL is how long a caller may cache an entry response.
	DefaultTTL = 2 * time.Second
	// MaxAddresses is the maximum number of addresses in an entry response.
	MaxAddresses = 64
	// minLocalAddresses is the number of instances in the caller's zone below
	// which the response includes instances of other zones.
	minLocalAddresses = 2
)

// eligible returns the ready instances that callers may be sent to: those that have not
// lost their links to all targets or, if all have, every ready instance.
func eligible(directory Directory) []membership.Instance {
	ready := slices.Clone(directory.Ready())
	if !slices.ContainsFunc(ready, func(in membership.Instance) bool { return !in.Isolated }) {
		return ready
	}
	return slices.DeleteFunc(ready, func(in membership.Instance) bool { return in.Isolated })
}

// Directory provides this instance and the instances that accept callers. Ready
// returns them by ID.
type Directory interface {
	Ready() []membership.Instance
	Self() membership.Instance
}

// SelectorDirectory is the Directory that Selector uses. ZoneCapacity returns the processor
// capacity, in thousandths of a core, of all known instances of a zone, whether ready or not.
type SelectorDirectory interface {
	Directory
	ZoneCapacity(zone string) int
}

// Selector selects the addresses in entry responses. It is safe for concurrent
// use.
type Selector struct {
	directory SelectorDirectory
	silence   func(id string) time.Duration
}

// SelectorOption configures a Selector.
type SelectorOption func(*Selector)

// WithSilence sets the function that returns the time since the last packet of an
// instance. Those that are silent for maxNamedSilence are not named.
func WithSilence(silence func(id string) time.Duration) SelectorOption {
	return func(s *Selector) { s.silence = silence }
}

// maxNamedSilence is the time since the last packet of an instance up to which callers are
// sent to it. An instance that is not active is considered dead only 7.8 s after its last
// packet; callers must not be sent to one that was killed more than 6 s before.
const maxNamedSilence = 5 * time.Second

// NewSelector returns a selector of the directory's instances.
func NewSelector(directory SelectorDirectory, opts ...SelectorOption) *Selector {
	s := &Selector{directory: directory, silence: func(string) time.Duration { return 0 }}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Select returns the addresses for a caller in the zone: those of the active
// instances of its zone, and those of all eligible instances of other zones when
// there are too few. If the directory has no ready instance, the result is the
// address of this instance. While this instance is starting, the result is then
// empty, and the caller queries another instance.
func (s *Selector) Select(zone string) []netip.AddrPort {
	var local, remote []membership.Instance
	for _, in := range eligible(s.directory) {
		switch {
		case s.silence(in.ID) > maxNamedSilence:
		case in.Zone == zone:
			local = append(local, in)
		default:
			remote = append(remote, in)
		}
	}
	selected := addressesOf(activeOf(local, s.directory.ZoneCapacity(zone)))
	if len(selected) < minLocalAddresses {
		selected = append(selected, addressesOf(remote)...)
	}
	if self := s.directory.Self(); len(selected) == 0 && self.State != membership.Starting {
		selected = append(selected, self.CallerAddress)
	}
	rand.Shuffle(len(selected), func(i, j int) { selected[i], selected[j] = selected[j], selected[i] })
	return selected[:min(len(selected), MaxAddresses)]
}

// addressesOf returns the addresses to which callers of the instances connect.
func addressesOf(instances []membership.Instance) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(instances))
	for _, in := range instances {
		addresses = append(addresses, in.CallerAddress)
	}
	return addresses
}

// SelectPeer returns the address at which another instance takes over requests for the
// service, as this one cannot reach its targets: a random active instance that has not lost
// its own links, of the local zone if there is one. ok is false if there is none but the
// excluded ones.
func (s *Selector) SelectPeer(service string, exclude []netip.AddrPort) (address netip.AddrPort, ok bool) {
	self := s.directory.Self()
	candidates := slices.DeleteFunc(eligible(s.directory), func(in membership.Instance) bool {
		return in.ID == self.ID || !in.PeerAddress.IsValid() || !in.Reaches(service)
	})
	var local, remote []netip.AddrPort
	for zone, instances := range activeByZone(candidates, s.directory.ZoneCapacity) {
		for _, in := range instances {
			switch {
			case slices.Contains(exclude, in.PeerAddress):
			case zone == self.Zone:
				local = append(local, in.PeerAddress)
			default:
				remote = append(remote, in.PeerAddress)
			}
		}
	}
	if len(local) == 0 {
		local = remote
	}
	if len(local) == 0 {
		return netip.AddrPort{}, false
	}
	return local[rand.IntN(len(local))], true
}

// Active returns the active instances of all zones.
func (s *Selector) Active() []membership.Instance {
	var active []membership.Instance
	for _, instances := range activeByZone(eligible(s.directory), s.directory.ZoneCapacity) {
		active = append(active, instances...)
	}
	return active
}

// ActiveCount returns the number of active instances in all zones, at least 1.
func (s *Selector) ActiveCount() int {
	active := 0
	for _, instances := range activeByZone(eligible(s.directory), s.directory.ZoneCapacity) {
		active += len(instances)
	}
	return max(1, active)
}

// IsActive reports whether entry responses include this instance for the
// callers of its zone.
func (s *Selector) IsActive() bool {
	self := s.directory.Self()
	local := slices.DeleteFunc(eligible(s.directory), func(in membership.Instance) bool { return in.Zone != self.Zone })
	return slices.ContainsFunc(activeOf(local, s.directory.ZoneCapacity(self.Zone)), func(in membership.Instance) bool { return in.ID == self.ID })
}
