package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
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
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	n := &node{address: netip.MustParseAddrPort(conn.LocalAddr().String())}
	n.directory = membership.NewDirectory(membership.Instance{
		ID: id, Zone: "a", Incarnation: 1, State: membership.Ready, PeerAddress: n.address, CallerAddress: n.address, AdminAddress: n.address,
	})
	n.mesh = NewMesh(n.directory, timeline.NewClock(time.Now), WithSeeds(seeds), WithOnNews(func(news News) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.news = append(n.news, news)
	}))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.mesh.Run(ctx, conn) }()
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
	const count = 2*newsChanges + 3
	changes, offsets := make([]targets.Change, 0, count), make([]int64, 0, count)
	for i := range count {
		target := &targets.Target{
			ID: fmt.Sprintf("t-%d", i), Born: 5, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "z", Version: "v1",
			Slots: 4, State: targets.State(i % 2), Sequence: int64(i), Cold: time.Second,
		}
		changes = append(changes, targets.Change{ID: target.ID, Target: target})
		offsets = append(offsets, int64(100+2*i))
	}
	changes[1] = targets.Change{ID: "gone"}
	a.mesh.Spread(News{From: 100, To: 160, Changes: changes, SinceOutage: time.Second}, offsets)
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
