package peer

import (
	"context"
	"time"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer/peerpb"
)

// Heartbeat intervals of an instance. Only a few instances, the active ones,
// receive callers, and only their failure must be detected quickly. Remote zones
// need their heartbeats only for callers whose own zone has too few ready
// instances.
const (
	activeInterval       = 500 * time.Millisecond
	activeRemoteInterval = 2 * time.Second
	inactiveInterval     = 3 * time.Second
	// removeInterval is the time between two removals of instances that were
	// last seen long ago.
	removeInterval = 10 * time.Second
)

// sendHeartbeats sends heartbeats until the context ends. An instance that is not
// active sends fewer of them, and only in its local zone.
func (m *Mesh) sendHeartbeats(ctx context.Context) error {
	ticker := time.NewTicker(activeInterval)
	defer ticker.Stop()
	m.GreetSeeds()
	var sinceLocal, sinceRemote, sinceRemoval time.Duration
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		sinceLocal, sinceRemote, sinceRemoval = sinceLocal+activeInterval, sinceRemote+activeInterval, sinceRemoval+activeInterval
		localInterval, remoteInterval := m.intervals()
		if sinceLocal >= localInterval {
			sinceLocal = 0
			m.sendTo(m.periodicHeartbeat(localInterval), m.isLocal)
		}
		if m.active() && sinceRemote >= remoteInterval {
			sinceRemote = 0
			m.sendTo(m.periodicHeartbeat(remoteInterval), func(in membership.Instance) bool { return !m.isLocal(in) })
		}
		if sinceRemoval >= removeInterval {
			sinceRemoval = 0
			m.directory.RemoveDead()
		}
	}
}

// intervals returns the heartbeat intervals that this instance announces to the
// local zone and to remote zones. An instance that is not active announces
// inactiveInterval to both, but sends periodic heartbeats only to the local zone:
// remote zones do not need to detect its failure.
func (m *Mesh) intervals() (local, remote time.Duration) {
	if m.active() {
		return activeInterval, activeRemoteInterval
	}
	return inactiveInterval, inactiveInterval
}

// isLocal reports whether the instance is in the local zone.
func (m *Mesh) isLocal(in membership.Instance) bool { return in.Zone == m.directory.Self().Zone }

// heartbeat returns a packet without the fields that do not change within an
// incarnation. It announces the next heartbeat after the interval.
func (m *Mesh) heartbeat(interval time.Duration) *peerpb.Packet {
	return &peerpb.Packet{Sender: heartbeatToWire(m.directory.Self()), IntervalMs: uint32(interval.Milliseconds())}
}

func (m *Mesh) periodicHeartbeat(interval time.Duration) *peerpb.Packet {
	packet := m.heartbeat(interval)
	m.addEvacuations(packet)
	m.addMembers(packet)
	return packet
}

// announcedInterval returns the time until the next heartbeat that the sender of a
// packet announces to the local zone.
func (m *Mesh) announcedInterval(packet *peerpb.Packet, sender membership.Instance) time.Duration {
	interval := packet.GetIntervalMs()
	if local := packet.GetLocalIntervalMs(); local > 0 && m.isLocal(sender) {
		interval = local
	}
	return time.Duration(interval) * time.Millisecond
}

// SendHello sends a complete packet, one with the zone and the addresses of this
// instance, to every instance in the directory and to the seeds. It requests one in
// return from the instances of the local zone and the seeds, but not from remote
// zones: only their active instances are needed in the directory, and these send
// heartbeats anyway.
func (m *Mesh) SendHello() {
	m.sendTo(&peerpb.Packet{Hello: true}, m.isLocal)
	m.sendTo(&peerpb.Packet{}, func(in membership.Instance) bool { return !m.isLocal(in) })
	m.GreetSeeds()
}

// GreetSeeds sends a complete packet to each seed and requests one in return.
func (m *Mesh) GreetSeeds() {
	self := m.directory.Self()
	for _, seed := range m.seeds {
		if seed != self.PeerAddress {
			m.send(&peerpb.Packet{Hello: true}, seed)
		}
	}
}

// AnnounceState sends the changed state of this instance to the local zone at once.
// Remote zones receive it with the next periodic heartbeat, which only an active
// instance sends them.
func (m *Mesh) AnnounceState() { m.announce(false) }

func (m *Mesh) announce(allZones bool) {
	m.sendTo(&peerpb.Packet{}, func(in membership.Instance) bool { return allZones || m.isLocal(in) })
}

// AnnounceVersion sends the configuration version of this instance to the local
// zone at once and, if allZones is set, to the forwarders of remote zones. An
// instance that is among the first to have the version sets allZones.
func (m *Mesh) AnnounceVersion(allZones bool) {
	local, remote := m.intervals()
	m.sendTo(m.heartbeat(local), m.isLocal)
	if allZones {
		m.sendToForwarders(m.heartbeat(remote))
	}
}

// AnnounceReach sends the changed reachability of this instance at once to the local zone
// and, if it was active or is, to the forwarders of remote zones.
func (m *Mesh) AnnounceReach(wasActive bool) {
	local, _ := m.intervals()
	m.sendTo(m.heartbeat(local), m.isLocal)
	if wasActive || m.active() {
		m.sendToForwarders(&peerpb.Packet{PassOn: true})
	}
}

// AnnounceLeaving announces several times that this instance leaves: to all zones
// if it was active, else to the local zone.
func (m *Mesh) AnnounceLeaving(ctx context.Context, wasActive bool) {
	for range leavingRepeats {
		m.announce(wasActive)
		select {
		case <-ctx.Done():
			return
		case <-time.After(leavingInterval):
		}
	}
}
