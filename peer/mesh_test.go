package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"rhubarbrelay/crashes"
	"rhubarbrelay/evacuation"
	"rhubarbrelay/membership"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
	"rhubarbrelay/timeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 20 * time.Second

// testInstance is an instance on a loopback socket that stores the updates it
// receives.
type testInstance struct {
	inactive    atomic.Bool
	directory   *membership.Directory
	mesh        *Mesh
	address     netip.AddrPort
	crashes     *crashes.Ledger
	evacuations *evacuation.Set

	mu         sync.Mutex
	updates    []TargetUpdate
	statements []targets.Statement
	demands    demandRecorder
	notices    []StartNotice
}

func (in *testInstance) addNotice(_ membership.Instance, notice StartNotice) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.notices = append(in.notices, notice)
}

func (in *testInstance) receivedNotices() []StartNotice {
	in.mu.Lock()
	defer in.mu.Unlock()
	return append([]StartNotice(nil), in.notices...)
}

func (in *testInstance) addStatements(statements []targets.Statement) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.statements = append(in.statements, statements...)
}

func (in *testInstance) hasStatement(want targets.Statement) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return slices.Contains(in.statements, want)
}

func startInstance(t *testing.T, id string, seeds ...netip.AddrPort) *testInstance {
	t.Helper()
	return startInstanceInZone(t, "a", id, seeds...)
}

func startInstanceInZone(t *testing.T, zone, id string, seeds ...netip.AddrPort) *testInstance {
	t.Helper()
	return startInstanceWithClock(t, time.Now, zone, id, seeds...)
}

func startInstanceWithClock(t *testing.T, clock func() time.Time, zone, id string, seeds ...netip.AddrPort) *testInstance {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	in := &testInstance{address: netip.MustParseAddrPort(conn.LocalAddr().String()), crashes: crashes.NewLedger(), evacuations: evacuation.NewSet()}
	in.directory = membership.NewDirectory(membership.Instance{
		ID: id, Zone: zone, Incarnation: 1, State: membership.Ready, PeerAddress: in.address, CallerAddress: in.address, AdminAddress: in.address,
	}, membership.WithClock(clock))
	in.mesh = NewMesh(in.directory, timeline.NewClock(time.Now), WithSeeds(seeds), WithActive(func() bool { return !in.inactive.Load() }), WithCrashLedger(in.crashes), WithEvacuations(in.evacuations), WithOnStatements(in.addStatements), WithOnDemands(in.demands.record), WithOnStartNotice(in.addNotice), WithOnTargetUpdate(func(update TargetUpdate) {
		in.mu.Lock()
		defer in.mu.Unlock()
		in.updates = append(in.updates, update)
	}))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- in.mesh.Run(ctx, conn) }()
	waitFor(t, "the mesh is running", func() bool {
		in.mesh.mu.Lock()
		defer in.mesh.mu.Unlock()
		return in.mesh.conn != nil
	})
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-done)
	})
	return in
}

func (in *testInstance) received() []TargetUpdate {
	in.mu.Lock()
	defer in.mu.Unlock()
	return append([]TargetUpdate(nil), in.updates...)
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// Guards against instances that do not find each other when only one of them has
// the address of the other, and against a leaving instance that others still list
// as ready.
func TestDiscoveryAndLeaving(t *testing.T) {
	a := startInstance(t, "a")
	b := startInstance(t, "b", a.address)
	waitFor(t, "both instances list each other as ready", func() bool { return len(a.directory.Ready()) == 2 && len(b.directory.Ready()) == 2 })
	b.directory.SetState(membership.Leaving)
	b.mesh.AnnounceLeaving(context.Background(), true)
	waitFor(t, "a no longer lists b as ready", func() bool { return len(a.directory.Ready()) == 1 })
}

// at returns a position of the first era.
func at(offset int64) platform.Position { return platform.Position{Era: 1, Offset: offset} }

// Guards against updates that are altered in transit, and against ranges of
// offsets from which a lost datagram cannot be detected.
func TestBroadcastUpdate(t *testing.T) {
	a := startInstance(t, "a")
	b := startInstance(t, "b", a.address)
	waitFor(t, "a lists b as ready", func() bool { return len(a.directory.Ready()) == 2 })
	a.directory.SetConfigVersion(7)
	const count = 2*MaxUpdateChanges + 3
	changes, offsets := make([]targets.Change, 0, count), make([]int64, 0, count)
	for i := range count {
		target := &targets.Target{
			ID: fmt.Sprintf("t-%d", i), StartedMS: 5, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "z", Version: "v1",
			Slots: 4, State: targets.State(i % 2), Sequence: int64(i), WarmupLeft: time.Second,
		}
		changes = append(changes, targets.Change{ID: target.ID, Target: target})
		offsets = append(offsets, int64(100+2*i))
	}
	changes[1] = targets.Change{ID: "removed"}
	a.mesh.BroadcastUpdate(TargetUpdate{From: platform.Position{Era: 2, Offset: 100}, To: platform.Position{Era: 3, Offset: 160}, Changes: changes, SinceOutage: time.Second}, offsets, true)
	waitFor(t, "b has received all updates", func() bool { u := b.received(); return len(u) > 0 && u[len(u)-1].To.Offset == 160 })
	next := platform.Position{Era: 2, Offset: 100}
	var got []targets.Change
	for _, u := range b.received() {
		assert.Equal(t, u.From, next)
		assert.Equal(t, u.SinceOutage, time.Second)
		assert.Equal(t, u.ConfigVersion, int64(7))
		next = u.To
		got = append(got, u.Changes...)
	}
	assert.Equal(t, len(got), len(changes))
	for i := range got {
		if changes[i].Target == nil {
			assert.Assert(t, got[i].Target == nil)
			continue
		}
		assert.Equal(t, *got[i].Target, *changes[i].Target)
	}
}

// addToDirectories adds all instances to the directories of each other.
func addToDirectories(instances ...*testInstance) {
	for _, in := range instances {
		for _, o := range instances {
			in.directory.RecordPacket(o.directory.Self(), time.Minute)
		}
		in.directory.SetListed()
	}
}

// Guards against updates that are sent to every instance of a remote zone,
// against instances there that miss them, and against forwarded copies with a
// configuration version that the zone does not have yet. The forwarders do receive
// that version, in the direct packet.
func TestUpdatesAreForwarded(t *testing.T) {
	first := startInstance(t, "a-1")
	const remoteInstances = 5
	instances := make([]*testInstance, 0, 2+remoteInstances)
	instances = append(instances, first, startInstance(t, "a-2", first.address))
	for i := range remoteInstances {
		instances = append(instances, startInstanceInZone(t, "b", fmt.Sprintf("b-%d", i), first.address))
	}
	addToDirectories(instances...)
	first.directory.SetConfigVersion(7)
	first.mesh.BroadcastUpdate(TargetUpdate{From: at(5), To: at(6)}, nil, true)
	for i, in := range instances[1:] {
		withoutVersion := 0
		copies := 1
		if in.directory.Self().Zone == "b" {
			copies = forwardersPerZone
		}
		waitFor(t, fmt.Sprintf("instance %d has received the update", i+1), func() bool { return len(in.received()) >= copies })
		for _, u := range in.received() {
			assert.Equal(t, u.To, at(6))
			if u.ConfigVersion == 0 {
				withoutVersion++
			}
		}
		if in.directory.Self().Zone == "b" {
			assert.Assert(t, withoutVersion >= forwardersPerZone-1, "instance %d received too few copies with the configuration version of its own zone", i+1)
		}
		assert.Assert(t, len(in.received()) <= forwardersPerZone, "instance %d received %d updates, more than there are forwarders", i+1, len(in.received()))
	}
}

// Guards against a failed instance that is considered alive for too long because
// its last packet was an update that announces too long a heartbeat interval.
func TestDeathAfterUpdate(t *testing.T) {
	first := startInstance(t, "a-1")
	var clockOffset atomic.Int64 // of the clock of the second instance
	second := startInstanceWithClock(t, func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) }, "a", "a-2", first.address)
	addToDirectories(first, second)
	first.mesh.BroadcastUpdate(TargetUpdate{From: at(5), To: at(6)}, nil, true)
	waitFor(t, "the second instance has received the update", func() bool { return len(second.received()) > 0 })
	waitFor(t, "the first instance is considered dead", func() bool {
		clockOffset.Add(int64(3 * activeInterval))
		return len(second.directory.Ready()) == 1
	})
	assert.Assert(t, clockOffset.Load() < int64(4*3*activeInterval), "considered dead only after %s", time.Duration(clockOffset.Load()))
}

// Guards against updates for the local zone being sent to remote zones.
func TestUpdatesForLocalZone(t *testing.T) {
	first := startInstance(t, "a-1")
	second := startInstance(t, "a-2", first.address)
	remote := startInstanceInZone(t, "b", "b-1", first.address)
	addToDirectories(first, second, remote)
	second.mesh.BroadcastUpdate(TargetUpdate{From: at(5), To: at(6)}, nil, false)
	second.mesh.BroadcastUpdate(TargetUpdate{From: at(6), To: at(7)}, nil, false)
	waitFor(t, "the zone has received both updates", func() bool { return len(first.received()) == 2 })
	first.mesh.BroadcastUpdate(TargetUpdate{From: at(7), To: at(8)}, nil, true)
	waitFor(t, "the remote zone has received the third update", func() bool { return len(remote.received()) > 0 })
	assert.Equal(t, remote.received()[0].To, at(8))
}

// Guards against a malformed datagram that stops the mesh from receiving.
func TestMalformedDatagram(t *testing.T) {
	a := startInstance(t, "a")
	conn, err := net.Dial("udp", a.address.String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	for _, data := range []string{"", "\xff\xff", "\x0a\x03abc"} {
		_, err := conn.Write([]byte(data))
		assert.NilError(t, err)
	}
	waitFor(t, "three datagrams are counted as malformed", func() bool { return a.mesh.Stats().Malformed == 3 })
	startInstance(t, "b", a.address)
	waitFor(t, "a has received a packet of b", func() bool { return len(a.directory.Ready()) == 2 })
}

// Guards against an update that moves the position of its receiver to where no read can start.
func TestUpdateWithNegativeOffset(t *testing.T) {
	for _, u := range []TargetUpdate{{From: at(5), To: at(-4)}, {From: at(-4), To: at(5)}} {
		_, err := updateFromWire(updateToWire(u))
		assert.ErrorIs(t, err, ErrMalformed)
	}
}
