package peer

import (
	"fmt"
	"net/netip"
	"time"

	"rhubarbrelay/evacuation"
	"rhubarbrelay/peer/peerpb"
	"rhubarbrelay/platform"
)

// Evacuations holds the evacuated zones as this instance knows them.
type Evacuations interface {
	Merge(state evacuation.State)
	// Announced returns the set and whether heartbeats contain it.
	Announced() (evacuation.State, bool)
	State() evacuation.State
	// Corrects reports whether an instance with the other set must be told of this one.
	Corrects(other evacuation.State) bool
}

// WithEvacuations sets the set of evacuated zones that receives those of other instances,
// and that is sent to them.
func WithEvacuations(evacuations Evacuations) Option {
	return func(m *Mesh) { m.evacuations = evacuations }
}

// BroadcastEvacuations sends the set of evacuated zones to the instances of all zones at
// once, from another goroutine.
func (m *Mesh) BroadcastEvacuations() { signal(m.evacuationSignal) }

func (m *Mesh) sendEvacuations() {
	m.sendToAllZones(func(packet *peerpb.Packet) { packet.Evacuations = evacuationsToWire(m.evacuations.State()) })
}

// addEvacuations adds the set of evacuated zones to a heartbeat or a complete packet if
// others may not know it.
func (m *Mesh) addEvacuations(packet *peerpb.Packet) {
	if m.evacuations == nil {
		return
	}
	if state, ok := m.evacuations.Announced(); ok {
		packet.Evacuations = evacuationsToWire(state)
	}
}

// handleEvacuations takes over a newer set of evacuated zones, and sends this instance's
// to a sender with an older one: it may have been disconnected while an evacuation ended,
// so that no heartbeat mentions that any more.
func (m *Mesh) handleEvacuations(packet *peerpb.Packet, from netip.AddrPort) error {
	if m.evacuations == nil || packet.GetEvacuations() == nil {
		return nil
	}
	state, err := evacuationsFromWire(packet.GetEvacuations())
	if err != nil {
		return err
	}
	m.evacuations.Merge(state)
	if m.evacuations.Corrects(state) && !packet.GetPassedOn() {
		reply := m.heartbeat(activeRemoteInterval)
		reply.Evacuations = evacuationsToWire(m.evacuations.State())
		m.send(reply, from)
	}
	return nil
}

func evacuationsToWire(state evacuation.State) *peerpb.Evacuations {
	message := &peerpb.Evacuations{Offset: state.At.Offset, Era: state.At.Era}
	now := time.Now()
	for _, z := range state.Zones {
		message.Zones = append(message.Zones, &peerpb.EvacuatedZone{Name: z.Name, AgeMs: now.Sub(z.Since).Milliseconds()})
	}
	return message
}

func evacuationsFromWire(message *peerpb.Evacuations) (evacuation.State, error) {
	state := evacuation.State{At: platform.Position{Era: message.GetEra(), Offset: message.GetOffset()}}
	if len(message.GetZones()) > evacuation.MaxZones || state.At.Offset < 0 || state.At.Era < 0 {
		return state, fmt.Errorf("%w: %d evacuated zones at offset %d of era %d", ErrMalformed, len(message.GetZones()), state.At.Offset, state.At.Era)
	}
	now := time.Now()
	for _, z := range message.GetZones() {
		if _, ok := platform.EvacuatedZone(platform.EvacuationKey(z.GetName())); !ok || z.GetAgeMs() < 0 || z.GetAgeMs() > maxEvacuationAge.Milliseconds() {
			return state, fmt.Errorf("%w: evacuated zone %q for %d ms", ErrMalformed, z.GetName(), z.GetAgeMs())
		}
		state.Zones = append(state.Zones, evacuation.Zone{Name: z.GetName(), Since: now.Add(-time.Duration(z.GetAgeMs()) * time.Millisecond)})
	}
	return state, nil
}

// maxEvacuationAge limits the age of an evacuation that another instance states, so that
// the time of its start can be represented.
const maxEvacuationAge = 100 * 365 * 24 * time.Hour
