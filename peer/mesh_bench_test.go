package peer

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer/peerpb"
	"rhubarbrelay/timeline"
)

// peerCounts are the sizes of a zone at which the cost of taking part is measured.
var peerCounts = []int{16, 100, 300, 1000}

// newBenchmarkMesh returns a mesh that knows n other instances of its zone. All of
// them have the address of a socket that nobody reads.
func newBenchmarkMesh(b *testing.B, n int) *Mesh {
	b.Helper()
	receiver, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(b, err)
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(b, err)
	b.Cleanup(func() {
		_ = receiver.Close()
		_ = conn.Close()
	})
	address := netip.MustParseAddrPort(receiver.LocalAddr().String())
	directory := membership.NewDirectory(membership.Instance{ID: "self", Zone: "a", Incarnation: 1, PeerAddress: address})
	for i := range n {
		directory.RecordPacket(membership.Instance{ID: fmt.Sprintf("i-%04d", i), Zone: "a", Incarnation: 1, State: membership.Ready, PeerAddress: address}, time.Hour)
	}
	m := NewMesh(directory, timeline.NewClock(time.Now))
	m.conn = conn
	return m
}

// BenchmarkSendHeartbeat measures one heartbeat to all instances of the zone.
func BenchmarkSendHeartbeat(b *testing.B) {
	for _, n := range peerCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := newBenchmarkMesh(b, n)
			b.ReportAllocs()
			for b.Loop() {
				m.sendTo(m.heartbeat(activeInterval), m.isLocal)
			}
		})
	}
}

// BenchmarkHandleHeartbeat measures the receipt of a heartbeat of a known instance.
func BenchmarkHandleHeartbeat(b *testing.B) {
	for _, n := range peerCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := newBenchmarkMesh(b, n)
			sender := heartbeatToWire(membership.Instance{ID: "i-0001", Incarnation: 1, State: membership.Ready})
			data, err := proto.Marshal(&peerpb.Packet{Sender: sender, IntervalMs: 500})
			assert.NilError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				assert.NilError(b, m.handle(data, m.directory.Self().PeerAddress))
			}
		})
	}
}
