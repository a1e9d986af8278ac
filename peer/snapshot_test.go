package peer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"rhubarbrelay/crashes"
	"rhubarbrelay/membership"
	"rhubarbrelay/peer/peerpb"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

func testSnapshot() Snapshot {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	return Snapshot{
		Instances: []membership.Sighting{
			{Instance: membership.Instance{
				ID: "a", Zone: "z", Incarnation: 3, CallerAddress: address, PeerAddress: address, AdminAddress: address, State: membership.Ready, ConfigVersion: 4,
			}, Silence: 1500 * time.Millisecond},
		},
		Targets: TargetState{
			Targets: []targets.Target{
				{ID: "t-1", StartedMS: 5, Service: "s", Address: address, Zone: "z", Version: "v", Slots: 4, Sequence: 6, WarmupLeft: time.Second},
				{ID: "t-2", StartedMS: 5, Service: "s", Address: address, Zone: "z", Version: "v", Slots: 4, State: targets.Draining},
			},
			Removed: []targets.Removal{
				{Incarnation: targets.Incarnation{ID: "t-3", StartedMS: 5}, State: targets.Draining, Sequence: 8, Age: time.Minute},
				{Incarnation: targets.Incarnation{ID: "t-4", StartedMS: 6}, Sequence: -1},
			},
			Next: platform.Position{Era: 3, Offset: 77}, Age: 300 * time.Millisecond,
		},
		Config: []byte(`{"version":4}`),
		Blocked: []crashes.Record{
			{Fingerprint: crashes.NewFingerprint([]byte("GET"), nil, nil, nil), Targets: []crashes.TargetKey{1, 2, 1 << 63}, Age: time.Minute},
		},
	}
}

// Guards against state that a starting instance receives altered.
func TestSnapshotCodec(t *testing.T) {
	want := testSnapshot()
	data, err := EncodeSnapshot(want)
	assert.NilError(t, err)
	got, err := DecodeSnapshot(data)
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprintf("%+v", got), fmt.Sprintf("%+v", want))
}

// Guards against a truncated or altered snapshot that ends the process. One that is
// accepted can be encoded again.
func FuzzDecodeSnapshot(f *testing.F) {
	data, err := EncodeSnapshot(testSnapshot())
	assert.NilError(f, err)
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := DecodeSnapshot(data)
		if err != nil {
			assert.ErrorIs(t, err, ErrMalformed)
			return
		}
		_, err = EncodeSnapshot(s)
		assert.NilError(t, err)
	})
}

// Guards against a snapshot that is accepted in part: a starting instance would
// serve with some of the targets missing.
func TestSnapshotIsRejectedAsAWhole(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Snapshot)
	}{
		{"negative offset", func(s *Snapshot) { s.Targets.Next.Offset = -4 }},
		{"instance without ID", func(s *Snapshot) { s.Instances[0].Instance.ID = "" }},
		{"target without address", func(s *Snapshot) { s.Targets.Targets[1].Address = netip.AddrPort{} }},
		{"too many targets of a crash record", func(s *Snapshot) { s.Blocked[0].Targets = make([]crashes.TargetKey, crashes.MaxRecordedTargets+1) }},
		{"removed target without ID", func(s *Snapshot) { s.Targets.Removed[1].Incarnation.ID = "" }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testSnapshot()
			tt.change(&s)
			data, err := EncodeSnapshot(s)
			assert.NilError(t, err)
			_, err = DecodeSnapshot(data)
			assert.ErrorIs(t, err, ErrMalformed)
		})
	}
}

// Guards against a target without a state that ends the process of a starting instance.
func TestTargetWithoutState(t *testing.T) {
	data, err := proto.Marshal(&peerpb.Snapshot{Targets: []*peerpb.Target{{Id: "t"}}})
	assert.NilError(t, err)
	_, err = DecodeSnapshot(data)
	assert.ErrorIs(t, err, ErrMalformed)
}

// Guards against a removed target in an unknown state, from a later version of the
// program, that counts as ready.
func TestUnknownStateOfRemovedTarget(t *testing.T) {
	for _, state := range []peerpb.TargetState{peerpb.TargetState_TARGET_STATE_UNSPECIFIED, 9} {
		data, err := proto.Marshal(&peerpb.Snapshot{Removed: []*peerpb.RemovedTarget{{Id: "t", State: state}}})
		assert.NilError(t, err)
		_, err = DecodeSnapshot(data)
		assert.ErrorIs(t, err, ErrMalformed)
	}
}
