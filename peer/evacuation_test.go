package peer

import (
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"rhubarbrelay/evacuation"
	"rhubarbrelay/peer/peerpb"
	"rhubarbrelay/platform"
)

func evacuatedZones(in *testInstance) string {
	return strings.Join(in.evacuations.State().Names(), ",")
}

// Guards against instances of any zone that do not learn at once that a zone is
// evacuated, or that it no longer is.
func TestEvacuationReachesAllInstances(t *testing.T) {
	first := startInstanceInZone(t, "a", "a-1")
	all := []*testInstance{first, startInstanceInZone(t, "a", "a-2"), startInstanceInZone(t, "b", "b-1"), startInstanceInZone(t, "b", "b-2"), startInstanceInZone(t, "b", "b-3")}
	addToDirectories(all...)
	for _, in := range all {
		in.inactive.Store(true) // they send no heartbeats to remote zones, and few others
	}
	for offset, zones := range [][]string{{"b"}, {"a", "b"}, nil} {
		first.evacuations.Replace(at(int64(offset+1)), zones)
		first.mesh.BroadcastEvacuations()
		for _, other := range all {
			waitFor(t, "all know the zones", func() bool { return evacuatedZones(other) == strings.Join(zones, ",") })
		}
	}
}

// Guards against an instance that has missed the broadcast, and does not learn of an
// evacuation from heartbeats and complete packets.
func TestEvacuationIsRepeated(t *testing.T) {
	a, b := startInstanceInZone(t, "a", "a-1"), startInstanceInZone(t, "a", "a-2")
	a.evacuations.Replace(at(3), []string{"z"})
	addToDirectories(a, b)
	waitFor(t, "a heartbeat contains the zone", func() bool { return evacuatedZones(b) == "z" })
	c := startInstanceInZone(t, "c", "c-1", a.address)
	waitFor(t, "a complete packet contains the zone", func() bool { return evacuatedZones(c) == "z" })
}

// Guards against an instance that was disconnected while an evacuation ended and keeps
// the zone evacuated.
func TestOldEvacuationIsCorrected(t *testing.T) {
	former, other := startInstanceInZone(t, "a", "a-1"), startInstanceInZone(t, "a", "a-2")
	other.evacuations.Replace(at(9), nil) // never evacuated, as far as it knows
	former.evacuations.Replace(at(3), []string{"z"})
	addToDirectories(former, other)
	waitFor(t, "the former set is corrected", func() bool { return evacuatedZones(former) == "" })
	assert.Equal(t, evacuatedZones(other), "")
}

// Guards against packets and snapshots that alter the evacuated zones, and against
// packets that contain any although no zone is evacuated.
func TestEvacuationCodec(t *testing.T) {
	since := time.Now().Add(-time.Hour)
	state := evacuation.State{At: platform.Position{Era: 2, Offset: 7}, Zones: []evacuation.Zone{{Name: "a", Since: since}, {Name: "b", Since: since}}}
	s := testSnapshot()
	s.Evacuations = state
	data, err := EncodeSnapshot(s)
	assert.NilError(t, err)
	got, err := DecodeSnapshot(data)
	assert.NilError(t, err)
	assert.Equal(t, got.Evacuations.At, state.At)
	assert.DeepEqual(t, got.Evacuations.Names(), state.Names())
	assert.Assert(t, got.Evacuations.Zones[0].Since.Sub(since).Abs() < time.Minute)

	in := startInstance(t, "a")
	in.evacuations.Replace(at(5), nil)
	packet := in.mesh.periodicHeartbeat(time.Second)
	assert.Assert(t, packet.GetEvacuations() == nil)
}

// Guards against a malformed set of another instance that is taken over.
func TestMalformedEvacuations(t *testing.T) {
	tests := []struct {
		name    string
		message *peerpb.Evacuations
	}{
		{"negative offset", &peerpb.Evacuations{Offset: -1}},
		{"negative era", &peerpb.Evacuations{Era: -1}},
		{"no name", &peerpb.Evacuations{Zones: []*peerpb.EvacuatedZone{{}}}},
		{"long name", &peerpb.Evacuations{Zones: []*peerpb.EvacuatedZone{{Name: strings.Repeat("z", 64)}}}},
		{"negative age", &peerpb.Evacuations{Zones: []*peerpb.EvacuatedZone{{Name: "z", AgeMs: -1}}}},
		{"too many zones", &peerpb.Evacuations{Zones: make([]*peerpb.EvacuatedZone, evacuation.MaxZones+1)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := evacuationsFromWire(tt.message)
			assert.ErrorIs(t, err, ErrMalformed)
		})
	}
}

// Guards against a complete packet without the evacuated zones. An instance of a remote
// zone may get no other packet of this one.
func TestEvacuationInCompletePacket(t *testing.T) {
	in := startInstance(t, "a")
	in.evacuations.Replace(at(5), []string{"z"})
	var packet peerpb.Packet
	assert.NilError(t, proto.Unmarshal(in.mesh.encode(&peerpb.Packet{}), &packet))
	assert.Equal(t, packet.GetEvacuations().GetZones()[0].GetName(), "z")
}
