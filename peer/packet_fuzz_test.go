package peer

import (
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"rhubarbrelay/crashes"
	"rhubarbrelay/evacuation"
	"rhubarbrelay/membership"
	"rhubarbrelay/peer/peerpb"
	"rhubarbrelay/targets"
	"rhubarbrelay/timeline"
)

// Guards against a malformed or truncated datagram that ends the process, or that
// adds an instance without the address that packets are sent to.
func FuzzHandlePacket(f *testing.F) {
	address := netip.MustParseAddrPort("127.0.0.1:9")
	in := membership.Instance{ID: "b", Zone: "z", Incarnation: 2, State: membership.Ready, CallerAddress: address, PeerAddress: address, AdminAddress: address}
	update := TargetUpdate{From: at(1), To: at(2), Changes: []targets.Change{{ID: "gone"}, {ID: "t", Target: &targets.Target{ID: "t", Address: address}}}}
	for _, packet := range []*peerpb.Packet{
		{Sender: instanceToWire(in), IntervalMs: 500, LocalIntervalMs: 500, Hello: true},
		{Sender: heartbeatToWire(in), IntervalMs: 500},
		{Sender: instanceToWire(in), News: updateToWire(update), PassOn: true},
		{Sender: instanceToWire(in), Joined: []*peerpb.Sighting{sightingToWire(membership.Sighting{Instance: in}), {}}},
		{Sender: instanceToWire(in), Crashes: []*peerpb.CrashRecord{{Fingerprint: make([]byte, crashes.FingerprintSize), Targets: []uint64{1, 2}}}},
		{Sender: instanceToWire(in), Crashes: []*peerpb.CrashRecord{{Fingerprint: []byte{1}}}},
		{Sender: heartbeatToWire(in), Evacuations: &peerpb.Evacuations{Offset: 3, Era: 1, Zones: []*peerpb.EvacuatedZone{{Name: "z", AgeMs: 5}, {}}}},
	} {
		data, err := proto.Marshal(packet)
		assert.NilError(f, err)
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		directory := membership.NewDirectory(membership.Instance{ID: "a", Zone: "z"})
		m := NewMesh(directory, timeline.NewClock(time.Now), WithCrashLedger(crashes.NewLedger()), WithEvacuations(evacuation.NewSet()))
		if err := m.handle(data, address); err != nil {
			assert.ErrorIs(t, err, ErrMalformed)
		}
		for _, peer := range directory.Peers() {
			assert.Assert(t, peer.PeerAddress.IsValid(), "instance %q has no address", peer.ID)
		}
	})
}
