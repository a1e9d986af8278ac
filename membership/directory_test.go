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

const beat = 500 * time.Millisecond

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

// Guards against instances that get callers although they are dead, leaving or
// not yet ready, and against living ones that get none.
func TestReady(t *testing.T) {
	tests := []struct {
		name string
		do   func(d *Directory)
		want string
	}{
		{"heard", func(d *Directory) { d.Hear(instance("x", 1, Ready), beat) }, "sx"},
		{"only listed", func(d *Directory) { d.List(instance("x", 1, Ready)) }, "s"},
		{"listed, then heard", func(d *Directory) {
			d.List(instance("x", 1, Ready))
			d.Hear(heartbeat(1), beat)
		}, "sx"},
		{"starting", func(d *Directory) { d.Hear(instance("x", 1, Starting), beat) }, "s"},
		{"leaving, then an older heartbeat", func(d *Directory) {
			d.Hear(instance("x", 1, Leaving), beat)
			d.Hear(heartbeat(1), beat)
		}, "s"},
		{"restarted after leaving", func(d *Directory) {
			d.Hear(instance("x", 1, Leaving), beat)
			d.Hear(instance("x", 2, Ready), beat)
		}, "sx"},
		{"silent", func(d *Directory) {
			d.Hear(instance("x", 1, Ready), beat)
			time.Sleep(3 * beat)
		}, "s"},
		{"silent and back", func(d *Directory) {
			d.Hear(instance("x", 1, Ready), beat)
			time.Sleep(3 * beat)
			d.Hear(heartbeat(1), beat)
		}, "sx"},
		{"late packet of the former incarnation", func(d *Directory) {
			d.Hear(instance("x", 2, Ready), beat)
			d.Hear(instance("x", 1, Leaving), beat)
		}, "sx"},
		{"restarted with the clock set back", func(d *Directory) {
			d.Hear(instance("x", 5, Ready), beat)
			time.Sleep(3 * beat)
			d.Hear(instance("x", 4, Ready), beat)
		}, "sx"},
		{"own packet", func(d *Directory) { d.Hear(instance("s", 9, Leaving), beat) }, "s"},
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

// Guards against an instance whose addresses stay unknown because nobody asks.
func TestHeartbeatOfUnknownInstance(t *testing.T) {
	d := NewDirectory(instance("s", 1, Ready))
	assert.Assert(t, !d.Hear(heartbeat(1), beat))
	assert.Assert(t, d.Hear(instance("x", 1, Ready), beat))
	assert.Assert(t, !d.Hear(heartbeat(2), beat), "another incarnation may have other addresses")
	assert.Equal(t, d.Peers()[0].CallerAddress, instance("x", 1, Ready).CallerAddress)
}

// Guards against budgets that are divided by instances that are long gone, and
// against a rank that counts dead ones.
func TestCountAndRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDirectory(instance("m", 1, Ready))
		d.Hear(instance("a", 1, Ready), beat)
		d.Hear(instance("z", 1, Ready), beat)
		assert.Equal(t, d.Count(), 3)
		assert.Equal(t, d.Rank(), 1)
		time.Sleep(3 * beat)
		assert.Equal(t, d.Rank(), 0)
		assert.Equal(t, d.Count(), 3)
		time.Sleep(forgetAfter)
		d.Forget()
		assert.Equal(t, d.Count(), 1)
	})
}

// Guards against instances that all start at once and each take themselves for
// the first one, and against dead ones that the others wait for.
func TestListedInstancesCountForTheOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDirectory(Instance{ID: "b", Zone: "a"})
		assert.Equal(t, d.ReadOrder(), unknownOrder)
		d.List(instance("a", 1, Ready))
		d.EndListing()
		far := instance("c", 1, Ready)
		far.Zone = "z"
		d.List(far)
		assert.Equal(t, d.Rank(), 1)
		assert.Equal(t, ids(d.Leads(1)), "c")
		time.Sleep(listedMemory)
		assert.Equal(t, d.Rank(), 0)
		assert.Equal(t, ids(d.Leads(1)), "")
		d.Hear(instance("a", 1, Starting), beat)
		assert.Equal(t, d.Rank(), 1)
		d.Hear(instance("a", 1, Leaving), beat)
		assert.Equal(t, d.Rank(), 0)
	})
}

// Guards against instances of a large system that all read the store at once
// when the first ones are gone.
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
			d.EndListing()
			for _, id := range []string{"a-1", "a-2", "a-3", "b-1", "b-2", "b-3"} {
				in := instance(id, 1, Ready)
				in.Zone = id[:1]
				d.Hear(in, beat)
			}
			assert.Equal(t, d.ReadOrder(), tt.want)
		})
	}
}
