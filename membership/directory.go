// Package membership knows which instances of the system and which targets are
// live or leaving. It merges the platform's list, which lags, with what the
// instances and targets say themselves.
package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"

	"rhubarbrelay/platform"
)

// State is the state of an instance.
type State int

// The states of an instance, in the order in which they replace each other
// within one incarnation.
const (
	Starting State = iota
	Live
	Leaving
	Suspect
	Dead
)

// Instance describes one instance of the system.
type Instance struct {
	ID   string
	Zone string
	// Incarnation is the Unix time in milliseconds at which the process
	// started, 0 when only the platform's list knows the instance.
	Incarnation   int64
	CallerAddress netip.AddrPort
	PeerAddress   netip.AddrPort
	AdminAddress  netip.AddrPort
	State         State
	// Sequence orders the reports about one incarnation.
	Sequence uint64
}

// Directory holds the instances and the leaving targets that this instance
// knows. It is safe for concurrent use.
type Directory struct {
	mu        sync.RWMutex
	self      Instance
	instances map[string]Instance
	// listedLeaving and announcedLeaving hold the targets that the list and
	// the targets themselves report as leaving.
	listedLeaving    map[netip.AddrPort]bool
	announcedLeaving map[netip.AddrPort]bool
	subscribers      []func()
}

// NewDirectory returns a directory that knows only the instance itself.
func NewDirectory(self Instance) *Directory {
	return &Directory{
		self:             self,
		instances:        map[string]Instance{},
		listedLeaving:    map[netip.AddrPort]bool{},
		announcedLeaving: map[netip.AddrPort]bool{},
	}
}

// ApplyList replaces what the platform's list says.
func (d *Directory) ApplyList(list []platform.Instance) {
	d.mu.Lock()
	d.listedLeaving = map[netip.AddrPort]bool{}
	d.instances = map[string]Instance{}
	for _, in := range list {
		switch {
		case in.Role == platform.RoleTarget && in.State == platform.StateLeaving:
			d.listedLeaving[in.CallerAddress] = true
		case in.Role == platform.RoleEntry && in.ID != d.self.ID:
			d.instances[in.ID] = instanceFromList(in)
		}
	}
	d.mu.Unlock()
	d.notify()
}

func instanceFromList(in platform.Instance) Instance {
	state := Live
	if in.State == platform.StateLeaving {
		state = Leaving
	}
	return Instance{
		ID: in.ID, Zone: in.Zone, State: state,
		CallerAddress: in.CallerAddress, PeerAddress: in.PeerAddress, AdminAddress: in.AdminAddress,
	}
}

// SetSelf changes the state of this instance.
func (d *Directory) SetSelf(state State) {
	d.mu.Lock()
	d.self.State = state
	d.self.Sequence++
	d.mu.Unlock()
	d.notify()
}

// Self returns this instance.
func (d *Directory) Self() Instance {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.self
}

// Instances returns every known instance that is not dead, this one included,
// by id.
func (d *Directory) Instances() []Instance {
	d.mu.RLock()
	defer d.mu.RUnlock()
	all := []Instance{d.self}
	for _, in := range d.instances {
		if in.State != Dead {
			all = append(all, in)
		}
	}
	slices.SortFunc(all, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// AnnounceTarget notes what a target said of itself. It returns whether this
// is news.
func (d *Directory) AnnounceTarget(address netip.AddrPort, draining bool) bool {
	d.mu.Lock()
	changed := d.announcedLeaving[address] != draining
	if draining {
		d.announcedLeaving[address] = true
	} else {
		delete(d.announcedLeaving, address)
	}
	d.mu.Unlock()
	if changed {
		d.notify()
	}
	return changed
}

// TargetLeaving returns whether any source says that the target leaves.
func (d *Directory) TargetLeaving(address netip.AddrPort) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.listedLeaving[address] || d.announcedLeaving[address]
}

// Subscribe calls the function after every change.
func (d *Directory) Subscribe(fn func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers = append(d.subscribers, fn)
}

func (d *Directory) notify() {
	d.mu.RLock()
	subscribers := d.subscribers
	d.mu.RUnlock()
	for _, fn := range subscribers {
		fn()
	}
}
