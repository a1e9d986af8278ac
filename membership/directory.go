// Package membership keeps track of the instances of the system: which of them
// are ready for callers, and how many share the budgets.
package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// State is the state that an instance reports of itself.
type State int

// The states of an instance.
const (
	Starting State = iota
	Ready
	Leaving
)

// Instance describes one instance.
type Instance struct {
	ID   string
	Zone string
	// Incarnation is the Unix time in milliseconds at which the process started.
	Incarnation   int64
	CallerAddress netip.AddrPort
	PeerAddress   netip.AddrPort
	AdminAddress  netip.AddrPort
	State         State
	ConfigVersion int64
}

const (
	// missedHeartbeats is the number of heartbeats without which an instance
	// counts as dead.
	missedHeartbeats = 2.6
	// listedMemory is the time for which an instance that registered itself but
	// was not heard yet counts as living for the order of the readers.
	listedMemory = 3 * time.Second
	// listingTime bounds the time after the start for which the other instances
	// may still be listed, so that the own place among them is not known.
	listingTime = 1500 * time.Millisecond
	// forgetAfter is the time after which a dead instance no longer counts for
	// the budgets.
	forgetAfter = time.Minute
)

// member is what is known of another instance.
type member struct {
	instance Instance
	heardAt  time.Time // zero when it was only listed
	listedAt time.Time
	// interval is the time between its heartbeats.
	interval time.Duration
}

// Directory holds the instances. It is safe for concurrent use.
type Directory struct {
	clock    func() time.Time
	onChange func()

	mu      sync.RWMutex
	self    Instance
	members map[string]*member
	listing time.Time // until then the other instances may still be listed
}

// Option changes a Directory under construction.
type Option func(*Directory)

// WithClock sets the source of the time.
func WithClock(clock func() time.Time) Option { return func(d *Directory) { d.clock = clock } }

// WithOnChange sets a function that is called after an instance appeared,
// changed its state or was forgotten, without a lock held.
func WithOnChange(fn func()) Option { return func(d *Directory) { d.onChange = fn } }

// NewDirectory returns a directory that knows only this instance.
func NewDirectory(self Instance, opts ...Option) *Directory {
	d := &Directory{self: self, clock: time.Now, onChange: func() {}, members: map[string]*member{}}
	for _, opt := range opts {
		opt(d)
	}
	d.listing = d.clock().Add(listingTime)
	return d
}

// EndListing notes that all registered instances were listed.
func (d *Directory) EndListing() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listing = time.Time{}
}

// Self returns this instance.
func (d *Directory) Self() Instance {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.self
}

// SetState changes the state of this instance.
func (d *Directory) SetState(state State) {
	d.mu.Lock()
	d.self.State = state
	d.mu.Unlock()
	d.onChange()
}

// SetConfigVersion changes the configuration version of this instance.
func (d *Directory) SetConfigVersion(version int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.self.ConfigVersion = version
}

// List adds an instance that registered itself but was not heard yet.
func (d *Directory) List(in Instance) {
	d.mu.Lock()
	m := d.members[in.ID]
	changed := in.ID != d.self.ID && (m == nil || in.Incarnation > m.instance.Incarnation)
	if changed {
		in.State = Starting
		d.members[in.ID] = &member{instance: in, listedAt: d.clock()}
	}
	d.mu.Unlock()
	if changed {
		d.onChange()
	}
}

// Hear notes a packet of another instance, which announces the next one after
// the interval. A packet without addresses continues what is known of its
// incarnation. The result is false when nothing is known of that.
func (d *Directory) Hear(in Instance, interval time.Duration) (known bool) {
	d.mu.Lock()
	m := d.members[in.ID]
	complete := in.PeerAddress.IsValid()
	switch {
	case in.ID == d.self.ID:
		d.mu.Unlock()
		return true
	case !complete && (m == nil || in.Incarnation != m.instance.Incarnation):
		d.mu.Unlock()
		return false
	// The time of day may have been set back between two starts, so that a lower
	// incarnation counts once the known one is silent.
	case m != nil && in.Incarnation < m.instance.Incarnation && d.alive(m):
		d.mu.Unlock()
		return true
	}
	same := m != nil && in.Incarnation == m.instance.Incarnation
	if !complete {
		state, version := in.State, in.ConfigVersion
		in = m.instance
		in.State, in.ConfigVersion = state, version
	}
	if same && m.instance.State == Leaving {
		in.State = Leaving // an earlier packet that arrived late
	}
	changed := !same || m.instance.State != in.State || !d.alive(m)
	now := d.clock()
	d.members[in.ID] = &member{instance: in, heardAt: now, listedAt: now, interval: interval}
	d.mu.Unlock()
	if changed {
		d.onChange()
	}
	return true
}

// alive returns whether the instance was heard recently.
func (d *Directory) alive(m *member) bool {
	return !m.heardAt.IsZero() && d.clock().Sub(m.heardAt) < time.Duration(missedHeartbeats*float64(m.interval))
}

// Ready returns the instances that take callers, this one included, by ID.
func (d *Directory) Ready() []Instance {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var ready []Instance
	if d.self.State == Ready {
		ready = append(ready, d.self)
	}
	for _, m := range d.members {
		if m.instance.State == Ready && d.alive(m) {
			ready = append(ready, m.instance)
		}
	}
	slices.SortFunc(ready, byID)
	return ready
}

// Peers returns the other instances to send packets to, dead ones included.
func (d *Directory) Peers() []Instance {
	d.mu.RLock()
	defer d.mu.RUnlock()
	peers := make([]Instance, 0, len(d.members))
	for _, m := range d.members {
		peers = append(peers, m.instance)
	}
	slices.SortFunc(peers, byID)
	return peers
}

// Count returns the number of instances that may hold a part of a budget.
func (d *Directory) Count() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return 1 + len(d.members)
}

// Rank returns the number of living instances before this one, by ID.
func (d *Directory) Rank() int {
	rank, _ := d.ranks()
	return rank
}

// firstReaders is the number of instances that read the store before those that
// read it for their zone.
const firstReaders = 2

// unknownOrder is the place of an instance that has not listed the others yet.
const unknownOrder = 100

// ReadOrder returns the place of this instance in the order in which they read
// the store when they hear nothing: the first ones of all, then those of each
// zone one after the other.
func (d *Directory) ReadOrder() int {
	rank, inZone := d.ranks()
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.clock().Before(d.listing) {
		return unknownOrder
	}
	return min(rank, firstReaders+inZone)
}

// ranks returns the number of living instances before this one, by ID, of all
// zones and of the own one.
func (d *Directory) ranks() (rank, inZone int) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for id, m := range d.members {
		if id < d.self.ID && d.presumed(m) {
			rank++
			if m.instance.Zone == d.self.Zone {
				inZone++
			}
		}
	}
	return rank, inZone
}

// presumed returns whether an instance takes part in reading the store, as far
// as is known.
func (d *Directory) presumed(m *member) bool {
	if m.heardAt.IsZero() {
		return d.clock().Sub(m.listedAt) < listedMemory
	}
	return m.instance.State != Leaving && d.alive(m)
}

// Leads returns the first n living instances of each other zone, by ID.
func (d *Directory) Leads(n int) []Instance {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var leads []Instance
	for _, m := range d.members {
		if m.instance.Zone != d.self.Zone && d.presumed(m) {
			leads = append(leads, m.instance)
		}
	}
	slices.SortFunc(leads, byID)
	counts := map[string]int{}
	return slices.DeleteFunc(leads, func(in Instance) bool {
		counts[in.Zone]++
		return counts[in.Zone] > n
	})
}

// Newer returns a living instance with a configuration above the version, one of
// the own zone if there is any.
func (d *Directory) Newer(version int64) (Instance, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var found Instance
	ok := false
	for _, m := range d.members {
		if m.instance.ConfigVersion > version && d.alive(m) && (!ok || m.instance.Zone == d.self.Zone) {
			found, ok = m.instance, true
		}
	}
	return found, ok
}

// Forget drops the instances that have been silent for long.
func (d *Directory) Forget() {
	d.mu.Lock()
	dropped := false
	for id, m := range d.members {
		if d.clock().Sub(m.listedAt) > forgetAfter {
			delete(d.members, id)
			dropped = true
		}
	}
	d.mu.Unlock()
	if dropped {
		d.onChange()
	}
}

func byID(a, b Instance) int { return cmp.Compare(a.ID, b.ID) }
