package peer

import (
	"context"
	"slices"
	"time"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer/peerpb"
)

const (
	// collectionDelay is how long instances that join and changed crash records are
	// collected before the others are told of them, since there may be many at the same
	// time.
	collectionDelay = 100 * time.Millisecond
	// maxIntroduced limits the instances in one datagram, so that it is not fragmented
	// by the network.
	maxIntroduced = 10
)

// Introduce tells the instances of all zones of an instance that has joined through
// this one, within collectionDelay. Those of a remote zone are told by the
// forwarders of that zone.
func (m *Mesh) Introduce(in membership.Instance) {
	m.mu.Lock()
	m.joined = append(m.joined, membership.Sighting{Instance: in})
	m.mu.Unlock()
	m.signalCollected()
}

func (m *Mesh) signalCollected() {
	select {
	case m.collectedSignal <- struct{}{}:
	default: // a value is pending already
	}
}

// sendCollected sends introductions and crash records until the context ends.
func (m *Mesh) sendCollected(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.collectedSignal:
		}
		timer.Reset(collectionDelay)
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		m.mu.Lock()
		joined, changed := m.joined, m.changedCrashes
		m.joined, m.changedCrashes = nil, nil
		m.mu.Unlock()
		for part := range slices.Chunk(joined, maxIntroduced) {
			m.sendIntroduction(part)
		}
		for part := range slices.Chunk(changed, maxCrashRecords) {
			m.sendCrashes(part)
		}
	}
}

func (m *Mesh) sendIntroduction(joined []membership.Sighting) {
	m.sendToAllZones(func(packet *peerpb.Packet) {
		for _, s := range joined {
			packet.Joined = append(packet.Joined, sightingToWire(s))
		}
	})
}

// sendToAllZones sends a packet with the content that fill adds to the instances of the
// local zone and to the forwarders of the others.
func (m *Mesh) sendToAllZones(fill func(*peerpb.Packet)) {
	local, remote := m.intervals()
	packet := m.heartbeat(local)
	fill(packet)
	m.sendTo(packet, m.isLocal)
	packet.PassOn, packet.IntervalMs = true, uint32(remote.Milliseconds())
	m.sendToForwarders(packet)
}

// handleIntroduction adds the introduced instances to the directory.
func (m *Mesh) handleIntroduction(packet *peerpb.Packet) error {
	joined, err := sightingsFromWire(packet.GetJoined())
	if err != nil {
		return err
	}
	m.directory.AddSightings(joined)
	return nil
}
