package peer

import (
	"context"
	"slices"
	"time"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer/peerpb"
)

const (
	// introductionDelay is how long instances that join are collected before the
	// others are told of them, since many may start at the same time.
	introductionDelay = 100 * time.Millisecond
	// maxIntroduced limits the instances in one datagram, so that it is not fragmented
	// by the network.
	maxIntroduced = 10
)

// Introduce tells the instances of all zones of an instance that has joined through
// this one, within introductionDelay. Those of a remote zone are told by the
// forwarders of that zone.
func (m *Mesh) Introduce(in membership.Instance) {
	m.mu.Lock()
	m.joined = append(m.joined, membership.Sighting{Instance: in})
	m.mu.Unlock()
	signal(m.joinedSignal)
}

// signal sends a value that collect receives.
func signal(to chan<- struct{}) {
	select {
	case to <- struct{}{}:
	default: // a value is pending already
	}
}

// collect calls send, with a delay after each signal, until the context ends.
func collect(ctx context.Context, signal <-chan struct{}, delay time.Duration, send func()) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signal:
		}
		timer.Reset(delay)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		send()
	}
}

// sendIntroductions sends the introductions that are pending.
func (m *Mesh) sendIntroductions() {
	m.mu.Lock()
	joined := m.joined
	m.joined = nil
	m.mu.Unlock()
	for part := range slices.Chunk(joined, maxIntroduced) {
		m.sendIntroduction(part)
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
