package peer

import (
	"time"

	"rhubarbrelay/peer/peerpb"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

// TargetUpdate holds the changes of the target registry from the position From of
// its log up to, but not including, the position To.
type TargetUpdate struct {
	From, To platform.Position
	Changes  []targets.Change
	// SinceOutage is the time since the end of an outage of the registry, 0 if
	// there was none recently.
	SinceOutage time.Duration
	// ConfigVersion is set in received updates only. It is the version of the
	// sender's active configuration. In a forwarded update it is that of the
	// forwarder if the forwarder has a lower one.
	ConfigVersion int64
}

// BroadcastUpdate sends an update of the target registry to the instances of the
// local zone or of all zones. It is split into datagrams with consecutive ranges
// of offsets, so that the receivers detect a lost one. offsets[i] is the offset of
// update.Changes[i]; without them, the changes must fit into one datagram.
func (m *Mesh) BroadcastUpdate(update TargetUpdate, offsets []int64, allZones bool) {
	for len(update.Changes) > MaxUpdateChanges {
		to := platform.Position{Era: update.To.Era, Offset: offsets[MaxUpdateChanges]}
		part := TargetUpdate{From: update.From, To: to, Changes: update.Changes[:MaxUpdateChanges], SinceOutage: update.SinceOutage}
		m.sendUpdate(part, allZones)
		update.From, update.Changes, offsets = part.To, update.Changes[MaxUpdateChanges:], offsets[MaxUpdateChanges:]
	}
	m.sendUpdate(update, allZones)
}

func (m *Mesh) sendUpdate(update TargetUpdate, allZones bool) {
	local, remote := m.intervals()
	packet := m.heartbeat(local)
	packet.News = updateToWire(update)
	m.sendTo(packet, m.isLocal)
	if allZones {
		packet.PassOn, packet.IntervalMs = true, uint32(remote.Milliseconds())
		m.sendToForwarders(packet)
	}
}

// sendToForwarders sends a packet to the forwarders of the remote zones.
func (m *Mesh) sendToForwarders(packet *peerpb.Packet) {
	data := m.encode(packet)
	for _, in := range m.directory.Forwarders(forwardersPerZone) {
		m.write(data, in.PeerAddress)
	}
}

// forward sends a packet of a remote zone to the instances of the local zone. The
// configuration version in it is lowered to that of this instance if the sender has
// a higher one, so that no version is reported to the receivers before they can
// fetch it within the zone.
func (m *Mesh) forward(packet *peerpb.Packet) {
	packet.PassOn, packet.PassedOn = false, true
	packet.Sender.ConfigVersion = min(packet.Sender.GetConfigVersion(), m.directory.Self().ConfigVersion)
	m.sendTo(packet, m.isLocal)
}
