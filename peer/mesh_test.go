package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"rhubarbrelay/membership"
	"rhubarbrelay/targets"
	"rhubarbrelay/timeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 20 * time.Second

// node is an instance on a loopback socket.
type node struct {
	directory *membership.Directory
	mesh      *Mesh
	address   netip.AddrPort

	mu   sync.Mutex
	news []News
}

func startNode(t *testing.T, id string, seeds ...netip.AddrPort) *node {
	t.Helper()
	return startNodeIn(t, "a", id, seeds...)
}

func startNodeIn(t *testing.T, zone, id string, seeds ...netip.AddrPort) *node {
	t.Helper()
	return startNodeAt(t, time.Now, zone, id, seeds...)
}

func startNodeAt(t *testing.T, clock func() time.Time, zone, id string, seeds ...netip.AddrPort) *node {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	n := &node{address: netip.MustParseAddrPort(conn.LocalAddr().String())}
	n.directory = membership.NewDirectory(membership.Instance{
		ID: id, Zone: zone, Incarnation: 1, State: membership.Ready, PeerAddress: n.address, CallerAddress: n.address, AdminAddress: n.address,
	}, membership.WithClock(clock))
	n.mesh = NewMesh(n.directory, timeline.NewClock(time.Now), WithSeeds(seeds), WithOnNews(func(news News) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.news = append(n.news, news)
	}))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.mesh.Run(ctx, conn) }()
	waitFor(t, "the mesh runs", func() bool {
		n.mesh.mu.Lock()
		defer n.mesh.mu.Unlock()
		return n.mesh.conn != nil
	})
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-ended)
	})
	return n
}

func (n *node) heard() []News {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]News(nil), n.news...)
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("did not happen: %s", what)
		}
	}
}

// Guards against instances that do not find each other when only one of them
// knows of the other, and against a leaving one that stays in the answers.
func TestInstancesMeetAndLeave(t *testing.T) {
	a := startNode(t, "a")
	b := startNode(t, "b", a.address)
	waitFor(t, "both know each other", func() bool { return len(a.directory.Ready()) == 2 && len(b.directory.Ready()) == 2 })
	b.directory.SetState(membership.Leaving)
	b.mesh.AnnounceLeaving(context.Background(), true)
	waitFor(t, "b is out", func() bool { return len(a.directory.Ready()) == 1 })
}

// Guards against news that are changed on their way, and against datagrams whose
// ranges of offsets hide a lost one.
func TestSpread(t *testing.T) {
	a := startNode(t, "a")
	b := startNode(t, "b", a.address)
	waitFor(t, "a knows b", func() bool { return len(a.directory.Ready()) == 2 })
	a.directory.SetConfigVersion(7)
	const count = 2*MaxNewsChanges + 3
	changes, offsets := make([]targets.Change, 0, count), make([]int64, 0, count)
	for i := range count {
		target := &targets.Target{
			ID: fmt.Sprintf("t-%d", i), StartedMS: 5, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "z", Version: "v1",
			Slots: 4, State: targets.State(i % 2), Sequence: int64(i), WarmupLeft: time.Second,
		}
		changes = append(changes, targets.Change{ID: target.ID, Target: target})
		offsets = append(offsets, int64(100+2*i))
	}
	changes[1] = targets.Change{ID: "gone"}
	a.mesh.Spread(News{From: 100, To: 160, Changes: changes, SinceOutage: time.Second}, offsets, true)
	waitFor(t, "all news", func() bool { n := b.heard(); return len(n) > 0 && n[len(n)-1].To == 160 })
	next := int64(100)
	var got []targets.Change
	for _, n := range b.heard() {
		assert.Equal(t, n.From, next)
		assert.Equal(t, n.SinceOutage, time.Second)
		assert.Equal(t, n.Version, int64(7))
		next = n.To
		got = append(got, n.Changes...)
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

// introduce makes all nodes know each other.
func introduce(nodes ...*node) {
	for _, n := range nodes {
		for _, o := range nodes {
			n.directory.Hear(o.directory.Self(), time.Minute)
		}
		n.directory.EndListing()
	}
}

// Guards against news that go to every instance of another zone, and against
// instances there that miss them or are told of a configuration that their zone
// does not have yet.
func TestNewsArePassedOn(t *testing.T) {
	first := startNode(t, "a-1")
	const others = 5 // in the other zone
	nodes := make([]*node, 0, 2+others)
	nodes = append(nodes, first, startNode(t, "a-2", first.address))
	for i := range others {
		nodes = append(nodes, startNodeIn(t, "b", fmt.Sprintf("b-%d", i), first.address))
	}
	introduce(nodes...)
	first.directory.SetConfigVersion(7)
	first.mesh.Spread(News{From: 5, To: 6}, nil, true)
	for i, n := range nodes[1:] {
		passed := 0
		copies := 1
		if n.directory.Self().Zone == "b" {
			copies = leadsOfZone
		}
		waitFor(t, fmt.Sprintf("news at instance %d", i+1), func() bool { return len(n.heard()) >= copies })
		for _, h := range n.heard() {
			assert.Equal(t, h.To, int64(6))
			if h.Version == 0 {
				passed++
			}
		}
		if n.directory.Self().Zone == "b" {
			assert.Assert(t, passed >= leadsOfZone-1, "instance %d was told of a version that its zone lacks", i+1)
		}
		assert.Assert(t, len(n.heard()) <= leadsOfZone, "instance %d heard %d", i+1, len(n.heard()))
	}
}

// Guards against a dead instance that stays in the answers for long because it
// sent news last.
func TestDeathAfterNews(t *testing.T) {
	first := startNode(t, "a-1")
	var late atomic.Int64 // of the second's clock
	second := startNodeAt(t, func() time.Time { return time.Now().Add(time.Duration(late.Load())) }, "a", "a-2", first.address)
	introduce(first, second)
	first.mesh.Spread(News{From: 5, To: 6}, nil, true)
	waitFor(t, "news", func() bool { return len(second.heard()) > 0 })
	waitFor(t, "the first is missed", func() bool {
		late.Add(int64(3 * activeInterval))
		return len(second.directory.Ready()) == 1
	})
	assert.Assert(t, late.Load() < int64(4*3*activeInterval), "missed after %s", time.Duration(late.Load()))
}

// Guards against news for one zone that go to others.
func TestNewsForTheOwnZone(t *testing.T) {
	first := startNode(t, "a-1")
	second := startNode(t, "a-2", first.address)
	other := startNodeIn(t, "b", "b-1", first.address)
	introduce(first, second, other)
	second.mesh.Spread(News{From: 5, To: 6}, nil, false)
	second.mesh.Spread(News{From: 6, To: 7}, nil, false)
	waitFor(t, "news in the zone", func() bool { return len(first.heard()) == 2 })
	first.mesh.Spread(News{From: 7, To: 8}, nil, true)
	waitFor(t, "news of the first", func() bool { return len(other.heard()) > 0 })
	assert.Equal(t, other.heard()[0].To, int64(8))
}

// Guards against a datagram that stops the exchange, whatever its bytes.
func TestMalformedDatagram(t *testing.T) {
	a := startNode(t, "a")
	conn, err := net.Dial("udp", a.address.String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	for _, data := range []string{"", "\xff\xff", "\x0a\x03abc"} {
		_, err := conn.Write([]byte(data))
		assert.NilError(t, err)
	}
	waitFor(t, "three malformed ones", func() bool { return a.mesh.Stats().Malformed == 3 })
	startNode(t, "b", a.address)
	waitFor(t, "a still listens", func() bool { return len(a.directory.Ready()) == 2 })
}
