package peer

import (
	"slices"
	"sync"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"rhubarbrelay/limits"
	"rhubarbrelay/peer/peerpb"
)

// demandRecorder stores the reports that an instance receives.
type demandRecorder struct {
	mu      sync.Mutex
	demands map[uint64]limits.TenantDemand
	reports []limits.DemandReport
}

func (r *demandRecorder) record(report limits.DemandReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports = append(r.reports, report)
	if r.demands == nil {
		r.demands = map[uint64]limits.TenantDemand{}
	}
	for _, d := range report.Demands {
		r.demands[d.Tenant] = d
	}
}

func (r *demandRecorder) count() (demands, reports int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.demands), len(r.reports)
}

// startDemandRecorder starts an instance that the first one knows.
func startDemandRecorder(t *testing.T, zone, id string, first *testInstance) *demandRecorder {
	t.Helper()
	in := startInstanceInZone(t, zone, id, first.address)
	waitFor(t, "the instances know each other", func() bool { return in.directory.Count() > 1 && first.directory.Knows(id, 1) })
	return &in.demands
}

// Guards against demands of many tenants that reach the other instances in datagrams that
// the network fragments, incompletely, or with the wrong sender; and against reports to
// instances that do not need them.
func TestDemandsReachInstances(t *testing.T) {
	a := startInstance(t, "a")
	local := startDemandRecorder(t, "a", "b", a)
	remote := startDemandRecorder(t, "b", "c", a)
	other := startDemandRecorder(t, "b", "d", a)
	report := limits.DemandReport{}
	for i := range 200 {
		report.Demands = append(report.Demands, limits.TenantDemand{Tenant: ^uint64(i), PerSecond: 40_000_000, Admitted: ^uint32(i)})
	}
	a.mesh.SendDemands(report, []string{"b", "c"})
	for _, r := range []*demandRecorder{local, remote} {
		waitFor(t, "all demands have arrived", func() bool { n, _ := r.count(); return n == len(report.Demands) })
		r.mu.Lock()
		assert.Equal(t, r.reports[0].Instance, "a")
		assert.Equal(t, r.reports[0].Incarnation, int64(1))
		assert.DeepEqual(t, r.demands[report.Demands[7].Tenant], report.Demands[7])
		r.mu.Unlock()
	}
	_, n := other.count()
	assert.Equal(t, n, 0)
}

// Guards against datagrams with demands that the network fragments.
func TestSizeOfDemands(t *testing.T) {
	a := startInstance(t, "a")
	var largest int
	report := limits.DemandReport{}
	for i := range 100 {
		report.Demands = append(report.Demands, limits.TenantDemand{Tenant: ^uint64(i), PerSecond: 40_000_000, Admitted: ^uint32(i)})
	}
	perPacket := (maxPacketSize - demandOverhead - proto.Size(a.mesh.heartbeat(activeInterval))) / demandSize
	for part := range slices.Chunk(report.Demands, perPacket) {
		packet := a.mesh.heartbeat(activeInterval)
		packet.Demands = demandsToWire(report, part)
		largest = max(largest, len(a.mesh.encode(packet)))
	}
	assert.Assert(t, largest <= maxPacketSize, "%d bytes", largest)
	assert.Assert(t, largest >= maxPacketSize-100, "%d bytes", largest)
}

// Guards against a datagram whose lists do not fit together, which must be dropped and not
// end the instance.
func TestMalformedDemands(t *testing.T) {
	_, err := demandsFromWire(&peerpb.Demands{Tenants: []uint64{1, 2}, PerSecondHundredths: []uint32{1}, Admitted: []uint32{1, 2}})
	assert.ErrorIs(t, err, ErrMalformed)
}
