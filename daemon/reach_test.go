package daemon

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/membership"
	"rhubarbrelay/peer/peerpb"
	"rhubarbrelay/reachability"
	"rhubarbrelay/routing"
	"rhubarbrelay/targets"
)

// lostDispatcher returns the dispatcher of a service none of whose targets can be reached.
func lostDispatcher(t *testing.T) *routing.Dispatcher {
	t.Helper()
	d := routing.NewDispatcher(&config.Service{Name: "s", HealthPath: "/h"}, routing.Settings{Zone: "a", ProbesPerSecond: 1000}, routing.InstanceCounts{Known: 1, Active: 1})
	t.Cleanup(d.Close)
	all := make([]*targets.Target, 0, 3)
	for _, address := range unusedAddresses(t, 3) {
		all = append(all, &targets.Target{ID: address.String(), Service: "s", Zone: "a", Slots: 1, Address: address})
	}
	d.SetTargets(all)
	eventually(t, "the links are lost", func() bool {
		d.CheckReach(true)
		return d.Reach() == reachability.Lost
	})
	return d
}

// Guards against an instance that does not announce at once that it has lost its links: the
// others would pass requests on to it until its next heartbeat. The states alternate, so that
// heartbeats, which state the last one, are not taken for announcements.
func TestLostReachIsAnnounced(t *testing.T) {
	const changes = 20
	d, _ := newTestDaemon(t, "a-1")
	other, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	defer func() { assert.NilError(t, other.Close()) }()
	assert.NilError(t, other.SetReadDeadline(time.Now().Add(testTimeout)))
	d.members.RecordPacket(membership.Instance{
		ID: "a-2", Zone: "a", Incarnation: 1, State: membership.Ready, PeerAddress: netip.MustParseAddrPort(other.LocalAddr().String()),
	}, time.Hour)
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ran := make(chan error, 1)
	go func() { ran <- d.mesh.Run(ctx, conn) }()
	defer func() {
		cancel()
		assert.NilError(t, <-ran)
	}()
	receive := func() *peerpb.Instance {
		buffer := make([]byte, 2048)
		n, err := other.Read(buffer)
		assert.NilError(t, err, "no announcement arrives")
		var packet peerpb.Packet
		assert.NilError(t, proto.Unmarshal(buffer[:n], &packet))
		return packet.GetSender()
	}
	receive() // the mesh runs
	lost := []*routing.Dispatcher{lostDispatcher(t)}
	for range changes {
		d.announceReach(lost)
		d.announceReach(nil)
	}
	assert.NilError(t, other.SetReadDeadline(time.Now().Add(testTimeout/4)))
	for announced := 0; announced < changes; {
		if receive().GetIsolated() {
			announced++
		}
	}
}
