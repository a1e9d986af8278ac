package membership

import (
	"slices"
	"time"
)

// sightingInterval is the heartbeat interval that is assumed of an instance of which
// only the sighting of another instance is known. It is the longest interval at which
// an instance that receives callers sends heartbeats to any zone.
const sightingInterval = 2 * time.Second

// Sighting is an instance as another one has seen it.
type Sighting struct {
	Instance Instance
	// Silence is the time since the last packet of the instance.
	Silence time.Duration
}

// Sightings returns this instance and the others that are alive and not leaving, by
// ID.
func (d *Directory) Sightings() []Sighting {
	d.mu.RLock()
	defer d.mu.RUnlock()
	now := d.clock()
	sightings := make([]Sighting, 0, 1+len(d.members))
	if d.self.State != Leaving {
		sightings = append(sightings, Sighting{Instance: d.self})
	}
	for _, m := range d.members {
		if m.instance.State != Leaving && d.alive(m) {
			sightings = append(sightings, Sighting{Instance: m.instance, Silence: now.Sub(m.lastPacket)})
		}
	}
	slices.SortFunc(sightings, func(a, b Sighting) int { return compareID(a.Instance, b.Instance) })
	return sightings
}

// AddSightings adds instances that another instance has seen. A sighting counts like
// a packet that arrived when the instance was last seen; what is known from a later
// packet or of a later incarnation remains.
func (d *Directory) AddSightings(sightings []Sighting) {
	d.mu.Lock()
	changed := false
	for _, s := range sightings {
		changed = d.addSighting(s) || changed
	}
	d.mu.Unlock()
	if changed {
		d.onChange()
	}
}

// addSighting adds a sighting and reports whether it changed what is known.
func (d *Directory) addSighting(s Sighting) bool {
	in, seen := s.Instance, d.clock().Add(-s.Silence)
	m := d.members[in.ID]
	switch {
	case in.ID == d.self.ID || !in.PeerAddress.IsValid():
		return false
	case m == nil || in.Incarnation > m.instance.Incarnation:
		d.members[in.ID] = &member{instance: in, lastPacket: seen, lastSeen: seen, interval: sightingInterval}
		return true
	case in.Incarnation < m.instance.Incarnation || !seen.After(m.lastPacket):
		return false
	}
	if m.instance.State == Leaving {
		in.State = Leaving
	}
	changed := m.instance.differs(in) || !d.alive(m)
	interval := m.interval
	if interval == 0 { // only its registration was known
		interval = sightingInterval
	}
	d.members[in.ID] = &member{instance: in, lastPacket: seen, lastSeen: seen, interval: interval}
	return changed
}
