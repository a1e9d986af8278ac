package membership

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an instance that goes on counting as one that reaches the targets, or as
// one that does not, because a heartbeat or a sighting that states otherwise is ignored.
func TestReachOfOtherInstances(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	complete := Instance{ID: "b", Incarnation: 1, State: Ready, PeerAddress: address}
	lost := func(in Instance, isolated bool, services ...string) Instance {
		in.Isolated, in.Unreachable = isolated, services
		return in
	}
	heartbeat := Instance{ID: "b", Incarnation: 1, State: Ready}
	tests := []struct {
		name    string
		record  func(*Directory)
		changes int
		reaches bool // the service s
	}{
		{"same state", func(d *Directory) { d.RecordPacket(heartbeat, time.Minute) }, 0, true},
		{"the service is lost", func(d *Directory) { d.RecordPacket(lost(heartbeat, false, "s"), time.Minute) }, 1, false},
		{"another service is lost", func(d *Directory) { d.RecordPacket(lost(heartbeat, false, "other"), time.Minute) }, 1, true},
		{"all are lost", func(d *Directory) { d.RecordPacket(lost(heartbeat, true), time.Minute) }, 1, false},
		{"all are lost in a complete packet", func(d *Directory) { d.RecordPacket(lost(complete, true), time.Minute) }, 1, false},
		{"all are lost by a later sighting", func(d *Directory) {
			d.AddSightings([]Sighting{{Instance: lost(complete, true), Silence: -time.Second}})
		}, 1, false},
		{"all were lost and work again", func(d *Directory) {
			d.RecordPacket(lost(heartbeat, true), time.Minute)
			d.RecordPacket(heartbeat, time.Minute)
		}, 2, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			changes := 0
			d := NewDirectory(Instance{ID: "a"}, WithOnChange(func() { changes++ }))
			d.RecordPacket(complete, time.Minute)
			changes = 0
			tt.record(d)
			assert.Equal(t, changes, tt.changes)
			assert.Equal(t, d.Ready()[0].Reaches("s"), tt.reaches)
			assert.Equal(t, d.Ready()[0].PeerAddress, address)
		})
	}
}

// Guards against an instance that does not tell the others of a change, or of none.
func TestSetReach(t *testing.T) {
	changes := 0
	d := NewDirectory(Instance{ID: "a"}, WithOnChange(func() { changes++ }))
	assert.Assert(t, !d.SetReach(false, nil))
	assert.Assert(t, d.SetReach(false, []string{"s"}))
	assert.Assert(t, !d.SetReach(false, []string{"s"}))
	assert.Assert(t, d.SetReach(true, nil))
	assert.Assert(t, d.Self().Isolated)
	assert.Equal(t, changes, 2)
}
