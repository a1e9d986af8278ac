package configlog

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	pb "rhubarbrelay/configlog/configlogpb"
	"rhubarbrelay/platform"
)

// Guards against readers that disagree on which of two racing records holds,
// and against foreign data that changes a scope.
func TestApplyVerdict(t *testing.T) {
	altered := func(alter func(m *pb.ConfigRecord)) []byte {
		m := recordOf(change("x", 0, 3))
		alter(m)
		return encodeRecord(m)
	}
	tests := []struct {
		name   string
		offset platform.Offset
		data   []byte
		want   Verdict
	}{
		{"current base", 1, encode(change("x", 0, 3)), Accepted},
		{"lost race", 1, encode(change("x", -1, 3)), Conflict},
		{"base of the future", 1, encode(change("x", 5, 3)), Conflict},
		{"applied before", 0, encode(change("x", 0, 3)), Stale},
		{"garbage", 1, []byte("\xff\xff garbage"), Ignored},
		{"empty", 1, nil, Ignored},
		{"other magic", 1, altered(func(m *pb.ConfigRecord) { m.Magic = 1 }), Ignored},
		{"no id", 1, altered(func(m *pb.ConfigRecord) { m.Id = "" }), Ignored},
		{"no scope", 1, altered(func(m *pb.ConfigRecord) { m.Scope = "" }), Ignored},
		{"long id", 1, altered(func(m *pb.ConfigRecord) { m.Id = strings.Repeat("x", maxNameBytes+1) }), Ignored},
		{"later kind", 1, altered(func(m *pb.ConfigRecord) { m.Kind = 99 }), Accepted},
		{"later format", 1, altered(func(m *pb.ConfigRecord) { m.Format = 99 }), Accepted},
		{"unreadable body", 1, altered(func(m *pb.ConfigRecord) { m.Body = []byte("[") }), Accepted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewState()
			assert.Equal(t, s.Apply(record(0, encode(change("first", config.NoVersion, 2)))), Accepted)
			assert.Equal(t, s.Apply(record(tt.offset, tt.data)), tt.want)
			assert.Equal(t, s.Version(), tt.offset)
			want := config.Version(0)
			if tt.want == Accepted {
				want = 1
			}
			assert.Equal(t, s.ScopeVersion("service/a"), want)
		})
	}
}

// Guards against a publisher that takes the rejected second copy of its own
// record for a lost race, and against a memory that grows without bound.
func TestOutcome(t *testing.T) {
	s := NewState()
	s.Apply(record(0, encode(change("mine", config.NoVersion, 1))))
	s.Apply(record(1, encode(change("mine", config.NoVersion, 1))))
	s.Apply(record(2, encode(change("other", config.NoVersion, 2))))
	mine, ok := s.Outcome("service/a", "mine")
	assert.Assert(t, ok)
	assert.Equal(t, mine, Outcome{Verdict: Accepted, Version: 0})
	other, ok := s.Outcome("service/a", "other")
	assert.Assert(t, ok)
	assert.Equal(t, other, Outcome{Verdict: Conflict, Version: 0})

	for i := range 3 * recentRecords {
		s.Apply(record(platform.Offset(3+i), encode(change(fmt.Sprint("late-", i), config.NoVersion, 2))))
	}
	assert.Equal(t, len(s.scopes["service/a"].GetRecent()), recentRecords)
	_, ok = s.Outcome("service/a", "other")
	assert.Assert(t, !ok)
	mine, ok = s.Outcome("service/a", "mine")
	assert.Assert(t, ok, "the record in force is always known")
	assert.Equal(t, mine.Verdict, Accepted)
}

// Guards against drains that a snapshot loses or that outlive their withdrawal.
func TestDrains(t *testing.T) {
	s := NewState()
	changes := []Change{
		change("1", config.NoVersion, 1),
		{ID: "2", Scope: "service/a", Base: 0, Kind: DrainTarget, Body: []byte("t1")},
		{ID: "3", Scope: "instance/i", Base: config.NoVersion, Kind: DrainInstance},
	}
	for i, c := range changes {
		assert.Equal(t, s.Apply(record(platform.Offset(i), encode(c))), Accepted)
	}
	snapshot, err := s.Snapshot()
	assert.NilError(t, err)
	restored, err := Restore(snapshot)
	assert.NilError(t, err)
	fleet := restored.Fleet()
	assert.Assert(t, fleet.Services["a"].Targets[0].Drained)
	assert.Assert(t, fleet.DrainedInstances["i"])

	restored.Apply(record(3, encode(Change{ID: "4", Scope: "service/a", Base: 1, Kind: UndrainTarget, Body: []byte("t1")})))
	restored.Apply(record(4, encode(Change{ID: "5", Scope: "instance/i", Base: 2, Kind: UndrainInstance})))
	fleet = restored.Fleet()
	assert.Assert(t, !fleet.Services["a"].Targets[0].Drained)
	assert.Assert(t, !fleet.DrainedInstances["i"])
	restored.Apply(record(5, encode(Change{ID: "6", Scope: "service/a", Base: 3, Kind: DeleteService})))
	assert.Equal(t, len(restored.Fleet().Services), 0)
	assert.Equal(t, restored.ScopeVersion("service/a"), config.Version(5))

	again, err := s.Snapshot()
	assert.NilError(t, err)
	assert.DeepEqual(t, again, snapshot) // states that share values do not change each other
}

// Guards against a state that grows by a scope for each replaced instance, and
// against the loss of a service to make room.
func TestScopesAreBounded(t *testing.T) {
	s := NewState()
	next := platform.Offset(0)
	apply := func(c Change) {
		c.ID = fmt.Sprint("id-", next)
		assert.Equal(t, s.Apply(record(next, encode(c))), Accepted)
		next++
	}
	apply(change("", config.NoVersion, 1))
	for i := range maxScopes + 10 {
		scope := config.InstanceScope(fmt.Sprintf("i-%05d", i))
		apply(Change{Scope: scope, Base: config.NoVersion, Kind: DrainInstance})
		if i == 100 {
			apply(Change{Scope: scope, Base: config.Version(next - 1), Kind: UndrainInstance})
		}
	}
	assert.Equal(t, len(s.scopes), maxScopes)
	fleet := s.Fleet()
	assert.Assert(t, fleet.Services["a"] != nil)
	assert.Equal(t, s.ScopeVersion("instance/i-00100"), config.NoVersion, "no effect, so it goes first")
	assert.Assert(t, !fleet.DrainedInstances["i-00009"])
	assert.Assert(t, fleet.DrainedInstances["i-00010"])
	data, err := s.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, len(data) < config.MaxDocumentBytes, "%d bytes", len(data))
}

// Guards against an older software version that writes a snapshot without the
// effect of a record that it does not understand.
func TestUnknownKindPreventsSnapshot(t *testing.T) {
	s := NewState()
	m := recordOf(change("x", config.NoVersion, 1))
	m.Kind = 99
	assert.Equal(t, s.Apply(record(0, encodeRecord(m))), Accepted)
	_, err := s.Snapshot()
	assert.ErrorIs(t, err, ErrPartial)
}

// Guards against an older software version that drops what a later version
// wrote into a snapshot.
func TestSnapshotKeepsUnknownFields(t *testing.T) {
	scope := &pb.ScopeState{Scope: "service/a", Version: 3}
	later := protowire.AppendVarint(protowire.AppendTag(nil, 99, protowire.VarintType), 7)
	scope.ProtoReflect().SetUnknown(later)
	data, err := proto.Marshal(&pb.Snapshot{Magic: magic, Version: 3, Scopes: []*pb.ScopeState{scope}})
	assert.NilError(t, err)
	s, err := Restore(data)
	assert.NilError(t, err)
	assert.Equal(t, s.Apply(record(4, encode(change("x", 3, 1)))), Accepted)
	assert.DeepEqual(t, []byte(s.scopes["service/a"].ProtoReflect().GetUnknown()), later)
}

// Guards against foreign data that replaces the state.
func TestRestoreRefusesForeignData(t *testing.T) {
	encoded := func(m *pb.Snapshot) []byte {
		data, err := proto.Marshal(m)
		assert.NilError(t, err)
		return data
	}
	scope := &pb.ScopeState{Scope: "service/a", Version: 4}
	tests := []struct {
		name string
		data []byte
	}{
		{"empty", nil},
		{"garbage", []byte("\xff\xff")},
		{"record", encode(change("x", config.NoVersion, 1))},
		{"negative version", encoded(&pb.Snapshot{Magic: magic, Version: -2})},
		{"scope newer than snapshot", encoded(&pb.Snapshot{Magic: magic, Version: 3, Scopes: []*pb.ScopeState{scope}})},
		{"scope twice", encoded(&pb.Snapshot{Magic: magic, Version: 4, Scopes: []*pb.ScopeState{scope, scope}})},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Restore(tt.data)
			assert.ErrorIs(t, err, ErrSnapshot)
		})
	}
}

// designScale returns the records that publish 1,000 targets in 35 services.
func designScale() []platform.Record {
	const services, targets = 35, 1000
	records := make([]platform.Record, 0, services)
	for i := range services {
		s := config.NewService(fmt.Sprintf("service-%02d", i))
		for t := i; t < targets; t += services {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(t / 250), byte(1 + t%250)}), 9000)
			s.Targets = append(s.Targets, config.Target{
				Name: fmt.Sprintf("target-%04d", t), Address: address, Zone: fmt.Sprintf("zone-%d", t%10), Slots: 4, MaxConnections: 200,
			})
		}
		s.Routes = []config.Route{
			{Method: "GET", PathPrefix: "/spools", Idempotency: config.Idempotent},
			{Method: "POST", PathPrefix: "/reservations", Idempotency: config.NonIdempotent},
		}
		c := Change{ID: fmt.Sprintf("%026d", i), Scope: config.ServiceScope(s.Name), Base: config.NoVersion, Author: "operator", Body: config.FormatService(s)}
		records = append(records, record(platform.Offset(i), encode(c)))
	}
	return records
}

func scaleState() *State {
	s := NewState()
	for _, rec := range designScale() {
		s.Apply(rec)
	}
	return s
}

// BenchmarkApply measures the fold of one accepted change of a service with 29
// targets, and the bytes of its record.
func BenchmarkApply(b *testing.B) {
	records := designScale()
	var m pb.ConfigRecord
	assert.NilError(b, proto.Unmarshal(records[0].Data, &m))
	s := scaleState()
	next := platform.Offset(len(records))
	data := make([][]byte, 1000)
	for b.Loop() {
		i := int(next) % len(data)
		if i == 0 || data[i] == nil {
			b.StopTimer()
			for j := range data {
				m.Base = int64(next) + int64(j-i) - 1
				if j == i {
					m.Base = int64(s.ScopeVersion(m.GetScope()))
				}
				data[j] = encodeRecord(&m)
			}
			b.StartTimer()
		}
		if s.Apply(record(next, data[i])) != Accepted {
			b.Fatal("record was not accepted")
		}
		next++
	}
	b.ReportMetric(float64(len(records[0].Data)), "bytes/change")
}

// BenchmarkFleetFull measures the first build of the fleet at design scale.
func BenchmarkFleetFull(b *testing.B) {
	s := scaleState()
	for b.Loop() {
		if len(s.Fleet().Services) != 35 {
			b.Fatal("services are missing")
		}
	}
}

// BenchmarkFleetOneChange measures the build after one changed service.
func BenchmarkFleetOneChange(b *testing.B) {
	s := scaleState()
	builder := newFleetBuilder()
	builder.build(s)
	scope := s.scopes["service/service-00"]
	bodies := [][]byte{scope.GetBody(), append([]byte("# other\n"), scope.GetBody()...)}
	i := 0
	for b.Loop() {
		i++
		changed := copyScope(scope)
		changed.Body = bodies[i%len(bodies)]
		s.scopes["service/service-00"] = changed
		builder.build(s)
	}
}

// BenchmarkSnapshot measures the encoding and the size of a snapshot at design
// scale, with full memory of recent records.
func BenchmarkSnapshot(b *testing.B) {
	s := scaleState()
	for name, scope := range s.scopes {
		for i := range recentRecords {
			scope.Recent = withRecent(scope.Recent, &pb.RecentRecord{Id: fmt.Sprintf("%026d", i), Version: int64(i), Accepted: true})
		}
		s.scopes[name] = scope
	}
	size := 0
	for b.Loop() {
		data, err := s.Snapshot()
		assert.NilError(b, err)
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes/snapshot")
}

// BenchmarkRestore measures the decoding of such a snapshot.
func BenchmarkRestore(b *testing.B) {
	data, err := scaleState().Snapshot()
	assert.NilError(b, err)
	for b.Loop() {
		if _, err := Restore(data); err != nil {
			b.Fatal(err)
		}
	}
}
