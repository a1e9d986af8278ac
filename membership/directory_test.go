package membership

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const heartbeatInterval = 500 * time.Millisecond

func instance(id string, incarnation int64, state State) Instance {
	return Instance{
		ID: id, Zone: "a", Incarnation: incarnation, State: state, PeerAddress: netip.MustParseAddrPort("10.0.0.1:1"),
		CallerAddress: netip.MustParseAddrPort("10.0.0.1:2"),
	}
}

func heartbeat(incarnation int64) Instance {
	return Instance{ID: "x", Incarnation: incarnation, State: Ready}
}

func ids(all []Instance) string {
	text := ""
	for _, in := range all {
		text += in.ID
	}
	return text
}

// Guards against a capacity of a zone that falls while its instances are down.
func TestZoneCapacity(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	d := NewDirectory(Instance{ID: "s", Zone: "a", Millicores: 800}, WithClock(func() time.Time { return now }))
	small, other, unknown, leaving := instance("x", 1, Ready), instance("y", 1, Ready), instance("z", 1, Ready), instance("l", 1, Leaving)
	small.Millicores, other.Millicores, leaving.Millicores = 100, 100, 100
	other.Zone = "b"
	for _, in := range []Instance{small, other, unknown, leaving} {
		d.RecordPacket(in, heartbeatInterval)
	}
	assert.Equal(t, d.ZoneCapacity("a"), 800+100+1)
	assert.Equal(t, d.ZoneCapacity("b"), 100)
	now = now.Add(removeAfter / 2)
	assert.Equal(t, len(d.Ready()), 0)
	assert.Equal(t, d.ZoneCapacity("a"), 800+100+1)
	now = now.Add(removeAfter)
	d.RemoveDead()
	assert.Equal(t, d.ZoneCapacity("a"), 800)
}

// Guards against sending callers to instances that are considered dead, leaving or
// not yet ready, and against leaving out ready ones, also after a late packet, a
// restart or a system clock that was set back.
func TestReady(t *testing.T) {
	tests := []struct {
		name string
		do   func(d *Directory)
		want string
	}{
		{"packet received", func(d *Directory) { d.RecordPacket(instance("x", 1, Ready), heartbeatInterval) }, "sx"},
		{"only registered", func(d *Directory) { d.AddRegistered(instance("x", 1, Ready)) }, "s"},
		{"registered, then packet received", func(d *Directory) {
			d.AddRegistered(instance("x", 1, Ready))
			d.RecordPacket(heartbeat(1), heartbeatInterval)
		}, "sx"},
		{"starting", func(d *Directory) { d.RecordPacket(instance("x", 1, Starting), heartbeatInterval) }, "s"},
		{"leaving, then an older heartbeat", func(d *Directory) {
			d.RecordPacket(instance("x", 1, Leaving), heartbeatInterval)
			d.RecordPacket(heartbeat(1), heartbeatInterval)
		}, "s"},
		{"restarted after leaving", func(d *Directory) {
			d.RecordPacket(instance("x", 1, Leaving), heartbeatInterval)
			d.RecordPacket(instance("x", 2, Ready), heartbeatInterval)
		}, "sx"},
		{"heartbeats missing", func(d *Directory) {
			d.RecordPacket(instance("x", 1, Ready), heartbeatInterval)
			time.Sleep(3 * heartbeatInterval)
		}, "s"},
		{"heartbeats missing, then received again", func(d *Directory) {
			d.RecordPacket(instance("x", 1, Ready), heartbeatInterval)
			time.Sleep(3 * heartbeatInterval)
			d.RecordPacket(heartbeat(1), heartbeatInterval)
		}, "sx"},
		{"late packet of the previous incarnation", func(d *Directory) {
			d.RecordPacket(instance("x", 2, Ready), heartbeatInterval)
			d.RecordPacket(instance("x", 1, Leaving), heartbeatInterval)
		}, "sx"},
		{"restarted after the system clock was set back", func(d *Directory) {
			d.RecordPacket(instance("x", 5, Ready), heartbeatInterval)
			time.Sleep(3 * heartbeatInterval)
			d.RecordPacket(instance("x", 4, Ready), heartbeatInterval)
		}, "sx"},
		{"own packet", func(d *Directory) { d.RecordPacket(instance("s", 9, Leaving), heartbeatInterval) }, "s"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := NewDirectory(instance("s", 1, Ready))
				tt.do(d)
				assert.Equal(t, ids(d.Ready()), tt.want)
			})
		})
	}
}

// Guards against an instance whose addresses stay unknown or outdated because its
// heartbeats, which have none, are accepted without requesting a complete packet.
func TestHeartbeatOfUnknownInstance(t *testing.T) {
	d := NewDirectory(instance("s", 1, Ready))
	assert.Assert(t, !d.RecordPacket(heartbeat(1), heartbeatInterval))
	assert.Assert(t, d.RecordPacket(instance("x", 1, Ready), heartbeatInterval))
	assert.Assert(t, !d.RecordPacket(heartbeat(2), heartbeatInterval), "another incarnation may have other addresses")
	assert.Equal(t, d.Peers()[0].CallerAddress, instance("x", 1, Ready).CallerAddress)
}

// Guards against dividing budgets by instances that stopped long ago, and
// against counting those considered dead in the rank.
func TestCountAndRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDirectory(instance("m", 1, Ready))
		d.RecordPacket(instance("a", 1, Ready), heartbeatInterval)
		d.RecordPacket(instance("z", 1, Ready), heartbeatInterval)
		assert.Equal(t, d.Count(), 3)
		assert.Equal(t, d.Rank(), 1)
		time.Sleep(3 * heartbeatInterval)
		assert.Equal(t, d.Rank(), 0)
		assert.Equal(t, d.Count(), 3)
		time.Sleep(removeAfter)
		d.RemoveDead()
		assert.Equal(t, d.Count(), 1)
	})
}

// Guards against instances that start at the same time and all consider
// themselves first in the read order, and against waiting for registered
// instances that never send a packet.
func TestRegisteredInstancesInRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDirectory(Instance{ID: "b", Zone: "a"})
		assert.Equal(t, d.ReadOrder(), unknownOrder)
		d.AddRegistered(instance("a", 1, Ready))
		d.SetListed()
		remote := instance("c", 1, Ready)
		remote.Zone = "z"
		d.AddRegistered(remote)
		assert.Equal(t, d.Rank(), 1)
		assert.Equal(t, ids(d.Forwarders(1)), "c")
		time.Sleep(registeredTTL)
		assert.Equal(t, d.Rank(), 0)
		assert.Equal(t, ids(d.Forwarders(1)), "")
		d.RecordPacket(instance("a", 1, Starting), heartbeatInterval)
		assert.Equal(t, d.Rank(), 1)
		d.RecordPacket(instance("a", 1, Leaving), heartbeatInterval)
		assert.Equal(t, d.Rank(), 0)
	})
}

// Guards against all instances of a large system reading the store at the same
// time once the first ones in the read order have failed.
func TestReadOrder(t *testing.T) {
	tests := []struct {
		name string
		self Instance
		want int
	}{
		{"first of all", Instance{ID: "a-1", Zone: "a"}, 0},
		{"second of all", Instance{ID: "a-2", Zone: "a"}, 1},
		{"third of its zone", Instance{ID: "a-3", Zone: "a"}, 2},
		{"first of another zone", Instance{ID: "b-1", Zone: "b"}, firstReaders},
		{"third of another zone", Instance{ID: "b-3", Zone: "b"}, firstReaders + 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := NewDirectory(tt.self)
			d.SetListed()
			for _, id := range []string{"a-1", "a-2", "a-3", "b-1", "b-2", "b-3"} {
				in := instance(id, 1, Ready)
				in.Zone = id[:1]
				d.RecordPacket(in, heartbeatInterval)
			}
			assert.Equal(t, d.ReadOrder(), tt.want)
		})
	}
}
