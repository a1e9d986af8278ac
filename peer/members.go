package peer

import (
	"net/netip"
	"slices"
	"time"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer/peerpb"
)

const (
	// memberExchangePeriod is the time after its start for which an instance compares the
	// instances that it knows with those that others know. When many start together, they
	// join through several that have read the store, each of which knows only a part.
	memberExchangePeriod = 20 * time.Second
	// memberExchangeDelay is the time after its start from which an instance does so. Before,
	// introductions are on their way, and links are busy with the state for those that join.
	memberExchangeDelay = time.Second
	// memberRequestInterval is the time between two requests for the instances that others
	// know, and memberResponseInterval that between two responses, which have some 15 KB
	// with 200 instances and must leave room on a link of 10 Mbit/s.
	memberRequestInterval  = 300 * time.Millisecond
	memberResponseInterval = 100 * time.Millisecond
	// remoteMemberFraction is the fraction of the known instances by which an instance of a
	// remote zone must know more to be asked. The instances of the local zone tell the rest.
	remoteMemberFraction = 1.0 / 16
)

// addMembers describes the known instances in a packet, if this instance has started
// recently.
func (m *Mesh) addMembers(packet *peerpb.Packet) {
	if !m.startedRecently() {
		return
	}
	summary := m.directory.Summary()
	packet.Members = &peerpb.Members{Known: uint32(summary.Known), ZoneDigest: summary.ZoneDigest}
}

func (m *Mesh) startedRecently() bool { return m.age() < memberExchangePeriod }

// age returns the time since the start of this instance.
func (m *Mesh) age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.startedAt)
}

// handleMembers sends the known instances to one that requests them, and requests those of
// a sender in the local zone that knows others of it, or of a remote one that knows many
// more.
func (m *Mesh) handleMembers(packet *peerpb.Packet, sender membership.Instance, from netip.AddrPort) {
	if packet.GetMembersRequest() && m.memberResponses.Allow() {
		m.sendMembers(from)
	}
	members := packet.GetMembers()
	if members == nil || !m.startedRecently() || m.age() < memberExchangeDelay {
		return
	}
	own := m.directory.Summary()
	differs := float64(members.GetKnown()) > (1+remoteMemberFraction)*float64(own.Known)
	if m.isLocal(sender) {
		differs = members.GetZoneDigest() != own.ZoneDigest
	}
	if !differs || !m.memberRequests.Allow() {
		return
	}
	local, _ := m.intervals()
	request := m.heartbeat(local)
	request.MembersRequest = true
	m.send(request, from)
}

func (m *Mesh) sendMembers(to netip.AddrPort) {
	_, remote := m.intervals()
	for part := range slices.Chunk(m.directory.Sightings(), maxIntroduced) {
		packet := m.heartbeat(remote)
		for _, s := range part {
			packet.Joined = append(packet.Joined, sightingToWire(s))
		}
		m.send(packet, to)
	}
}
