package peer

import (
	"net/netip"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrelay/membership"
)

// Guards against registrations that lack the addresses of a zone, which starting instances
// are notified at, or that exceed the size of a record, and against one that is not
// rejected although it is truncated.
func TestRegistrationCodec(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	self := membership.Instance{ID: "a-1", Zone: "a", PeerAddress: address, CallerAddress: address, AdminAddress: address, Millicores: 250}
	peers := []netip.AddrPort{self.PeerAddress, netip.MustParseAddrPort("[fd00::1]:81")}
	data, err := EncodeRegistration(self, 2, peers...)
	assert.NilError(t, err)
	got, err := DecodeRegistration(data)
	assert.NilError(t, err)
	assert.Assert(t, slices.Equal(got.ZonePeers, peers), "%v", got.ZonePeers)
	assert.Equal(t, got.ZoneInstances, 2)
	assert.Equal(t, got.Instance.ID, self.ID)
	assert.Equal(t, got.Instance.Millicores, self.Millicores)

	many := make([]netip.AddrPort, 2*maxRegisteredPeers)
	for i := range many {
		many[i] = netip.AddrPortFrom(netip.AddrFrom16([16]byte{0xfd, 14: byte(i >> 8), 15: byte(i)}), 80)
	}
	data, err = EncodeRegistration(self, len(many), many...)
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 262_144, "%d bytes", len(data))

	for _, data := range [][]byte{{0}, {6, 1, 2}, {2, 1, 2}, {200}, {0, 0}} {
		_, err := addressesFromWire(data)
		assert.ErrorIs(t, err, ErrMalformed, "%v", data)
	}
}

// Guards against an instance that does not learn through a notice of its sender, of others
// that are ready, and of the time that it must wait.
func TestStartNotice(t *testing.T) {
	sender, receiver := startInstance(t, "a-1"), startInstance(t, "a-2")
	address := netip.MustParseAddrPort("127.0.0.9:9")
	ready := membership.Instance{ID: "a-3", Zone: "a", Incarnation: 1, State: membership.Ready, PeerAddress: address, CallerAddress: address, AdminAddress: address}
	sender.mesh.Notify(StartNotice{Loading: true, Instances: 7, Ready: []membership.Sighting{{Instance: ready}}},
		[]netip.AddrPort{receiver.address}, func(size int) bool { return size < 1400 })
	waitFor(t, "the notice arrives", func() bool { return len(receiver.receivedNotices()) == 1 })
	notice := receiver.receivedNotices()[0]
	assert.Assert(t, notice.Loading)
	assert.Equal(t, notice.Instances, 7)
	assert.Assert(t, receiver.directory.Knows("a-1", sender.directory.Self().Incarnation))
	assert.Equal(t, len(receiver.directory.Ready()), 3)
}
