package peer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrelay/membership"
)

// Guards against instances that know only a part of the others after a start of many,
// which join through different ones: two groups have one link, between one of each.
func TestGroupsOfStartingInstancesFindEachOther(t *testing.T) {
	const size = 6
	var all []*testInstance
	for _, group := range []string{"x", "y"} {
		first := startInstance(t, group+"-0")
		all = append(all, first)
		for i := 1; i < size; i++ {
			in := startInstance(t, fmt.Sprintf("%s-%d", group, i), first.address)
			first.directory.AddSightings([]membership.Sighting{{Instance: in.directory.Self()}})
			first.mesh.Introduce(in.directory.Self())
			all = append(all, in)
		}
	}
	remote := startInstanceInZone(t, "b", "z", all[0].address)
	all = append(all, remote)
	link := all[size].directory.Self()
	all[1].directory.AddSightings([]membership.Sighting{{Instance: link}})
	waitFor(t, "all instances of the zone know each other", func() bool {
		for _, in := range all[:2*size] {
			if in.directory.Count() != len(all) {
				return false
			}
		}
		return true
	})
}

// Guards against requests for the known instances between instances that know the same,
// and from those that have started long ago.
func TestNoMemberRequestsInVain(t *testing.T) {
	a := startInstance(t, "a")
	b := startInstance(t, "b", a.address)
	waitFor(t, "both instances know each other", func() bool { return a.directory.Count() == 2 && b.directory.Count() == 2 })
	assert.Equal(t, a.directory.Summary(), b.directory.Summary())
	a.mesh.mu.Lock()
	a.mesh.startedAt = a.mesh.startedAt.Add(-memberExchangeDelay)
	a.mesh.mu.Unlock()
	packet := b.mesh.heartbeat(activeInterval)
	b.mesh.addMembers(packet)
	assert.Assert(t, packet.GetMembers() != nil)
	a.mesh.handleMembers(packet, b.directory.Self(), b.address)
	assert.Assert(t, a.mesh.memberRequests.Tokens() >= 1) // no request
	packet.Members.ZoneDigest++
	a.mesh.handleMembers(packet, b.directory.Self(), b.address)
	assert.Assert(t, a.mesh.memberRequests.Tokens() < 1)
	b.mesh.mu.Lock()
	b.mesh.startedAt = b.mesh.startedAt.Add(-memberExchangePeriod)
	b.mesh.mu.Unlock()
	packet.Members = nil
	b.mesh.addMembers(packet)
	assert.Assert(t, packet.GetMembers() == nil)
}
