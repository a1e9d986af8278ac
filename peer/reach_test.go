package peer

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer/peerpb"
)

// Guards against instances that do not learn, by a complete packet or by a heartbeat, that
// another one has lost its links to targets.
func TestReachIsAnnounced(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	in := membership.Instance{
		ID: "a", Zone: "z", Incarnation: 1, State: membership.Ready, CallerAddress: address, PeerAddress: address, AdminAddress: address,
	}
	for _, isolated := range []bool{false, true} {
		in.Isolated, in.Unreachable = isolated, []string{"s", "t"}
		complete, err := instanceFromWire(instanceToWire(in))
		assert.NilError(t, err)
		assert.DeepEqual(t, complete.Unreachable, in.Unreachable)
		assert.Equal(t, complete.Isolated, isolated)
		heartbeat, err := instanceFromWire(heartbeatToWire(in))
		assert.NilError(t, err)
		assert.DeepEqual(t, heartbeat.Unreachable, in.Unreachable)
		assert.Equal(t, heartbeat.Isolated, isolated)
	}
}

// Guards against instances that do not learn the capacity of others, or forget it.
func TestCapacityIsAnnounced(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	in := membership.Instance{
		ID: "a", Zone: "z", Incarnation: 1, State: membership.Ready, CallerAddress: address, PeerAddress: address, AdminAddress: address, Millicores: 250,
	}
	directory := membership.NewDirectory(membership.Instance{ID: "b", Zone: "z"})
	for _, m := range []*peerpb.Instance{instanceToWire(in), heartbeatToWire(in)} {
		received, err := instanceFromWire(m)
		assert.NilError(t, err)
		assert.Assert(t, directory.RecordPacket(received, time.Second))
		assert.Equal(t, directory.Ready()[0].Millicores, 250)
	}
}

// Guards against a change of reach that only the local zone, or only remote zones, learn of.
func TestReachIsAnnouncedToAllZones(t *testing.T) {
	first := startInstanceInZone(t, "a", "a-1")
	all := []*testInstance{first, startInstanceInZone(t, "a", "a-2"), startInstanceInZone(t, "b", "b-1"), startInstanceInZone(t, "b", "b-2"), startInstanceInZone(t, "b", "b-3")}
	addToDirectories(all...)
	first.inactive.Store(true) // it sends no heartbeats to remote zones
	first.directory.SetReach(true, nil)
	first.mesh.AnnounceReach(true)
	for _, other := range all[1:] {
		waitFor(t, "the others know that the instance is isolated", func() bool {
			for _, in := range other.directory.Ready() {
				if in.ID == "a-1" {
					return in.Isolated
				}
			}
			return false
		})
	}
}
