// Package membership tracks the instances of the system: which of them accept
// callers, and by how many of them the budgets are divided.
package membership

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// missedHeartbeats is the number of heartbeat intervals after the last packet
	// of an instance during which it counts as alive. After them it is considered
	// dead.
	missedHeartbeats = 2.6
	// registeredTTL is how long a registered instance that has not sent a packet
	// yet is presumed alive.
	registeredTTL = 3 * time.Second
	// listingTimeout limits the time after the start during which the read order is
	// unknown because the registered instances are not listed yet.
	listingTimeout = 1500 * time.Millisecond
	// removeAfter is the time since an instance was last seen after which it is
	// removed and no longer counts for the budgets.
	removeAfter = time.Minute
)

// member is what is known of another instance.
type member struct {
	instance   Instance
	lastPacket time.Time // zero if only its registration is known
	lastSeen   time.Time // last packet or, before the first one, call of AddRegistered
	// interval is the time until its next heartbeat, as it announced.
	interval time.Duration
}

// Directory holds the instances. It is safe for concurrent use.
type Directory struct {
	clock    func() time.Time
	onChange func()

	mu         sync.RWMutex
	self       Instance
	members    map[string]*member
	listingEnd time.Time // until then, some registered instances may be missing in members
}

// Option configures a Directory.
type Option func(*Directory)

// WithClock sets the function that returns the current time.
func WithClock(clock func() time.Time) Option { return func(d *Directory) { d.clock = clock } }

// WithOnChange sets a function that is called, without a lock held, after an
// instance was added, restarted or removed, changed its state or the services that it
// reaches, sent its first packet, or sent a packet while it was considered dead. No
// call is made when an instance becomes dead: whether it is alive is computed from the
// time of its last packet whenever the directory is queried.
func WithOnChange(fn func()) Option { return func(d *Directory) { d.onChange = fn } }

// NewDirectory returns a directory that contains only this instance.
func NewDirectory(self Instance, opts ...Option) *Directory {
	d := &Directory{self: self, clock: time.Now, onChange: func() {}, members: map[string]*member{}}
	for _, opt := range opts {
		opt(d)
	}
	d.listingEnd = d.clock().Add(listingTimeout)
	return d
}

// SetListed records that all registered instances were added.
func (d *Directory) SetListed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listingEnd = time.Time{}
}

// Self returns this instance.
func (d *Directory) Self() Instance {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.self
}

// SetState sets the state of this instance and calls the function set by
// WithOnChange.
func (d *Directory) SetState(state State) {
	d.mu.Lock()
	d.self.State = state
	d.mu.Unlock()
	d.onChange()
}

// SetReach sets the fields Isolated and Unreachable of this instance. It reports whether
// that has changed them; if so, it calls the function set by WithOnChange.
func (d *Directory) SetReach(isolated bool, unreachable []string) bool {
	d.mu.Lock()
	before := d.self
	d.self.Isolated, d.self.Unreachable = isolated, unreachable
	changed := before.differs(d.self)
	d.mu.Unlock()
	if changed {
		d.onChange()
	}
	return changed
}

// SetConfigVersion sets the version of the active configuration of this instance.
func (d *Directory) SetConfigVersion(version int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.self.ConfigVersion = version
}

// AddRegistered adds another instance that is registered in the store, unless this
// incarnation of it or a later one is in the directory already.
func (d *Directory) AddRegistered(in Instance) {
	d.mu.Lock()
	m := d.members[in.ID]
	changed := in.ID != d.self.ID && (m == nil || in.Incarnation > m.instance.Incarnation)
	if changed {
		in.State = Starting
		d.members[in.ID] = &member{instance: in, lastSeen: d.clock()}
	}
	d.mu.Unlock()
	if changed {
		d.onChange()
	}
}

// RecordPacket records a packet of another instance. interval is the announced
// time until its next heartbeat. A packet without addresses leaves the known
// addresses of its incarnation in place; the result is false if that incarnation
// is unknown.
func (d *Directory) RecordPacket(in Instance, interval time.Duration) (known bool) {
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
	// The system clock may have been set back between two starts, so a lower
	// incarnation is accepted unless the known one is alive.
	case m != nil && in.Incarnation < m.instance.Incarnation && d.alive(m):
		d.mu.Unlock()
		return true
	}
	sameIncarnation := m != nil && in.Incarnation == m.instance.Incarnation
	if !complete {
		heartbeat := in
		in = m.instance
		in.State, in.ConfigVersion = heartbeat.State, heartbeat.ConfigVersion
		in.Unreachable, in.Isolated = heartbeat.Unreachable, heartbeat.Isolated
	}
	if sameIncarnation && m.instance.State == Leaving {
		in.State = Leaving // a leaving instance never becomes ready again; the packet is an earlier one that arrived late
	}
	changed := !sameIncarnation || m.instance.differs(in) || !d.alive(m)
	now := d.clock()
	d.members[in.ID] = &member{instance: in, lastPacket: now, lastSeen: now, interval: interval}
	d.mu.Unlock()
	if changed {
		d.onChange()
	}
	return true
}

// Knows reports whether the incarnation of another instance is in the directory.
func (d *Directory) Knows(id string, incarnation int64) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	m := d.members[id]
	return m != nil && m.instance.Incarnation == incarnation
}

// alive reports whether less than missedHeartbeats announced intervals have passed
// since the last packet of the instance.
func (d *Directory) alive(m *member) bool {
	return !m.lastPacket.IsZero() && d.clock().Sub(m.lastPacket) < time.Duration(missedHeartbeats*float64(m.interval))
}

// Silence returns the time since the last packet of another instance that is known, 0 for
// this one.
func (d *Directory) Silence(id string) time.Duration {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if m := d.members[id]; m != nil {
		return d.clock().Sub(m.lastPacket)
	}
	return 0
}

// Ready returns the instances that accept callers, this one included, by ID.
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
	slices.SortFunc(ready, compareID)
	return ready
}

// Peers returns the other instances, by ID. Those considered dead are included
// until they are removed.
func (d *Directory) Peers() []Instance {
	d.mu.RLock()
	defer d.mu.RUnlock()
	peers := make([]Instance, 0, len(d.members))
	for _, m := range d.members {
		peers = append(peers, m.instance)
	}
	slices.SortFunc(peers, compareID)
	return peers
}

// ZonePeers returns the addresses at which the known instances of the local zone, this
// one included, receive packets.
func (d *Directory) ZonePeers() []netip.AddrPort {
	d.mu.RLock()
	defer d.mu.RUnlock()
	addresses := []netip.AddrPort{d.self.PeerAddress}
	for _, m := range d.members {
		if m.instance.Zone == d.self.Zone {
			addresses = append(addresses, m.instance.PeerAddress)
		}
	}
	addresses = slices.DeleteFunc(addresses, func(address netip.AddrPort) bool { return !address.IsValid() })
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return slices.Compact(addresses)
}

// Count returns the number of instances that may hold a share of a budget: this
// one and all others that were not removed yet.
func (d *Directory) Count() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return 1 + len(d.members)
}

// presumedAlive reports whether an instance counts in the ranks, in the read order
// and as a forwarder: it is alive and not leaving, or its registration was added
// less than registeredTTL ago and it has not sent a packet yet.
func (d *Directory) presumedAlive(m *member) bool {
	if m.lastPacket.IsZero() {
		return d.clock().Sub(m.lastSeen) < registeredTTL
	}
	return m.instance.State != Leaving && d.alive(m)
}

// Forwarders returns the first n instances presumed alive of each remote zone, by
// ID. They forward updates to the other instances of their zone.
func (d *Directory) Forwarders(n int) []Instance {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var forwarders []Instance
	for _, m := range d.members {
		if m.instance.Zone != d.self.Zone && d.presumedAlive(m) {
			forwarders = append(forwarders, m.instance)
		}
	}
	slices.SortFunc(forwarders, compareID)
	counts := map[string]int{}
	return slices.DeleteFunc(forwarders, func(in Instance) bool {
		counts[in.Zone]++
		return counts[in.Zone] > n
	})
}

// ZoneCapacity returns the processor capacity, in thousandths of a core, of all known
// instances of a zone except for those that leave. Those considered dead are included until
// they are removed.
func (d *Directory) ZoneCapacity(zone string) int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	total := 0
	if d.self.Zone == zone && d.self.State != Leaving {
		total += d.self.Capacity()
	}
	for _, m := range d.members {
		if m.instance.Zone == zone && m.instance.State != Leaving {
			total += m.instance.Capacity()
		}
	}
	return total
}

// PeerWithNewerConfig returns another instance that is alive and whose
// configuration is newer than the version, preferably one of the local zone.
func (d *Directory) PeerWithNewerConfig(version int64) (Instance, bool) {
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

// RemoveDead removes the instances that were last seen more than removeAfter ago.
func (d *Directory) RemoveDead() {
	d.mu.Lock()
	removed := false
	for id, m := range d.members {
		if d.clock().Sub(m.lastSeen) > removeAfter {
			delete(d.members, id)
			removed = true
		}
	}
	d.mu.Unlock()
	if removed {
		d.onChange()
	}
}
