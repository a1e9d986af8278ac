package peer

import (
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrelay/membership"
)

// Guards against instances that do not learn of one that joined through another
// instance, in its zone or a remote one, and against a datagram for each of them when
// many join at the same time.
func TestIntroductions(t *testing.T) {
	first := startInstance(t, "a-1")
	const remoteInstances = 4
	instances := make([]*testInstance, 0, 2+remoteInstances)
	instances = append(instances, first, startInstance(t, "a-2", first.address))
	for i := range remoteInstances {
		instances = append(instances, startInstanceInZone(t, "b", fmt.Sprintf("b-%d", i), first.address))
	}
	addToDirectories(instances...)
	before := first.mesh.Stats().PacketsOut
	const joining = 10 * maxIntroduced
	for i := range joining {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 9, byte(i)}), 9)
		first.mesh.Introduce(membership.Instance{ID: fmt.Sprintf("c-%d", i), Zone: "c", Incarnation: 1, PeerAddress: address, CallerAddress: address, AdminAddress: address})
	}
	for i, in := range instances[1:] {
		waitFor(t, fmt.Sprintf("instance %d knows all that have joined", i+1), func() bool { return in.directory.Count() == len(instances)+joining })
	}
	sent := first.mesh.Stats().PacketsOut - before
	const datagrams = joining / maxIntroduced
	// One receiver in the local zone, the forwarders of the remote one, and some
	// heartbeats meanwhile.
	assert.Assert(t, sent <= datagrams*(1+forwardersPerZone)+20, "%d packets", sent)
}
