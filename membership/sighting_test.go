package membership

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a sighting by another instance that overrides what is known from a
// later packet, revives an instance that has left, or replaces a later incarnation,
// and against an instance that is alive long after it was last seen.
func TestAddSightings(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	instance := func(incarnation int64, state State) Instance {
		return Instance{ID: "b", Zone: "z", Incarnation: incarnation, State: state, PeerAddress: address}
	}
	const interval = 3 * time.Second
	tests := []struct {
		name     string
		known    []Instance // from packets that arrived now, in this order
		sighting Sighting
		ready    bool
		changed  bool
	}{
		{"unknown", nil, Sighting{instance(1, Ready), 0}, true, true},
		{"unknown, not ready", nil, Sighting{instance(1, Starting), 0}, false, true},
		{"unknown, silent for long", nil, Sighting{instance(1, Ready), 2 * time.Minute}, false, true},
		{"without an address", nil, Sighting{Instance{ID: "b", State: Ready}, 0}, false, false},
		{"itself", nil, Sighting{Instance{ID: "a", PeerAddress: address, State: Ready, Incarnation: 9}, 0}, false, false},
		{"older than the last packet", []Instance{instance(1, Starting)}, Sighting{instance(1, Ready), time.Second}, false, false},
		{"older incarnation", []Instance{instance(2, Starting)}, Sighting{instance(1, Ready), 0}, false, false},
		{"later incarnation", []Instance{instance(1, Leaving)}, Sighting{instance(2, Ready), 0}, true, true},
		{"left", []Instance{instance(1, Ready), instance(1, Leaving)}, Sighting{instance(1, Ready), 0}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			changes := 0
			d := NewDirectory(Instance{ID: "a", Zone: "z"}, WithClock(func() time.Time { return now }), WithOnChange(func() { changes++ }))
			for _, in := range tt.known {
				d.RecordPacket(in, interval)
			}
			now = now.Add(time.Millisecond)
			changes = 0
			d.AddSightings([]Sighting{tt.sighting})
			assert.Equal(t, len(d.Ready()) == 1, tt.ready)
			assert.Equal(t, changes > 0, tt.changed)
		})
	}
}

// Guards against instances that are dead or leaving being handed on to an instance
// that starts, and against a wrong age of those that are alive.
func TestSightings(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	now := time.Unix(1000, 0)
	d := NewDirectory(Instance{ID: "a", State: Ready}, WithClock(func() time.Time { return now }))
	d.RecordPacket(Instance{ID: "dead", PeerAddress: address, State: Ready}, time.Second)
	now = now.Add(time.Minute)
	d.RecordPacket(Instance{ID: "leaving", PeerAddress: address, State: Leaving}, time.Second)
	d.AddRegistered(Instance{ID: "registered", PeerAddress: address})
	d.RecordPacket(Instance{ID: "b", PeerAddress: address, State: Starting}, time.Second)
	now = now.Add(time.Second)
	sightings := d.Sightings()
	assert.Equal(t, len(sightings), 2)
	assert.Equal(t, sightings[0].Instance.ID, "a")
	assert.Equal(t, sightings[0].Silence, time.Duration(0))
	assert.Equal(t, sightings[1].Instance.ID, "b")
	assert.Equal(t, sightings[1].Silence, time.Second)
}
