package peer

import (
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer/peerpb"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

// EncodeInstance encodes an instance as a protobuf message.
func EncodeInstance(in membership.Instance) ([]byte, error) { return proto.Marshal(instanceToWire(in)) }

// DecodeInstance decodes an instance. The error wraps ErrMalformed.
func DecodeInstance(data []byte) (membership.Instance, error) {
	var m peerpb.Instance
	if err := proto.Unmarshal(data, &m); err != nil {
		return membership.Instance{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return instanceFromWire(&m)
}

// instanceToWire converts an instance with all its fields. The states on the wire
// are the values of membership.State plus one, because 0 is STATE_UNSPECIFIED.
func instanceToWire(in membership.Instance) *peerpb.Instance {
	return &peerpb.Instance{
		Id: in.ID, Zone: in.Zone, Incarnation: in.Incarnation,
		CallerAddress: in.CallerAddress.String(), PeerAddress: in.PeerAddress.String(), AdminAddress: in.AdminAddress.String(),
		State: peerpb.State(in.State + 1), ConfigVersion: in.ConfigVersion, Unreachable: in.Unreachable, Isolated: in.Isolated,
		Millicores: uint32(in.Millicores), //nolint:gosec // The settings limit it.
	}
}

// heartbeatToWire is like instanceToWire but omits the zone, the addresses and the
// capacity, which do not change within an incarnation.
func heartbeatToWire(in membership.Instance) *peerpb.Instance {
	return &peerpb.Instance{
		Id: in.ID, Incarnation: in.Incarnation, State: peerpb.State(in.State + 1), ConfigVersion: in.ConfigVersion, Unreachable: in.Unreachable, Isolated: in.Isolated,
	}
}

func instanceFromWire(m *peerpb.Instance) (membership.Instance, error) {
	in := membership.Instance{
		ID: m.GetId(), Zone: m.GetZone(), Incarnation: m.GetIncarnation(), ConfigVersion: m.GetConfigVersion(),
		Unreachable: m.GetUnreachable(), Isolated: m.GetIsolated(), Millicores: int(m.GetMillicores()),
	}
	switch m.GetState() {
	case peerpb.State_STATE_STARTING:
		in.State = membership.Starting
	case peerpb.State_STATE_READY:
		in.State = membership.Ready
	case peerpb.State_STATE_LEAVING:
		in.State = membership.Leaving
	default:
		return in, fmt.Errorf("%w: invalid state %s of instance %q", ErrMalformed, m.GetState(), in.ID)
	}
	for _, f := range []struct {
		text string
		dst  *netip.AddrPort
	}{{m.GetCallerAddress(), &in.CallerAddress}, {m.GetPeerAddress(), &in.PeerAddress}, {m.GetAdminAddress(), &in.AdminAddress}} {
		if f.text == "" {
			continue
		}
		address, err := netip.ParseAddrPort(f.text)
		if err != nil {
			return in, fmt.Errorf("%w: invalid address of instance %q: %w", ErrMalformed, in.ID, err)
		}
		*f.dst = address
	}
	if in.ID == "" {
		return in, fmt.Errorf("%w: instance has no ID", ErrMalformed)
	}
	return in, nil
}

func sightingToWire(s membership.Sighting) *peerpb.Sighting {
	return &peerpb.Sighting{Instance: instanceToWire(s.Instance), SilenceMs: uint32(s.Silence.Milliseconds())}
}

func sightingsFromWire(messages []*peerpb.Sighting) ([]membership.Sighting, error) {
	sightings := make([]membership.Sighting, 0, len(messages))
	for _, m := range messages {
		in, err := instanceFromWire(m.GetInstance())
		if err != nil {
			return nil, err
		}
		sightings = append(sightings, membership.Sighting{Instance: in, Silence: time.Duration(m.GetSilenceMs()) * time.Millisecond})
	}
	return sightings, nil
}

func updateToWire(update TargetUpdate) *peerpb.TargetNews {
	m := &peerpb.TargetNews{
		FromOffset: update.From.Offset, FromEra: update.From.Era, ToOffset: update.To.Offset, ToEra: update.To.Era,
		OutageEndedMs: update.SinceOutage.Milliseconds(),
	}
	for _, c := range update.Changes {
		m.Changes = append(m.Changes, changeToWire(c))
	}
	return m
}

func changeToWire(c targets.Change) *peerpb.Target {
	m := &peerpb.Target{Id: c.ID}
	t := c.Target
	if t == nil {
		return m
	}
	m.Born, m.Service, m.Address, m.Zone, m.Version = t.StartedMS, t.Service, t.Address.String(), t.Zone, t.Version
	m.Slots, m.Sequence, m.ColdMs = int32(t.Slots), t.Sequence, t.WarmupLeft.Milliseconds()
	m.State = targetStateToWire(t.State)
	return m
}

func targetStateToWire(state targets.State) peerpb.TargetState {
	if state == targets.Draining {
		return peerpb.TargetState_TARGET_STATE_DRAINING
	}
	return peerpb.TargetState_TARGET_STATE_READY
}

func removalToWire(r targets.Removal) *peerpb.RemovedTarget {
	return &peerpb.RemovedTarget{
		Id: r.Incarnation.ID, Born: r.Incarnation.StartedMS, State: targetStateToWire(r.State), Sequence: r.Sequence,
		AgeMs: uint32(r.Age.Milliseconds()),
	}
}

func removalsFromWire(messages []*peerpb.RemovedTarget) ([]targets.Removal, error) {
	removals := make([]targets.Removal, 0, len(messages))
	for _, m := range messages {
		r := targets.Removal{
			Incarnation: targets.Incarnation{ID: m.GetId(), StartedMS: m.GetBorn()}, Sequence: m.GetSequence(),
			Age: time.Duration(m.GetAgeMs()) * time.Millisecond,
		}
		switch m.GetState() {
		case peerpb.TargetState_TARGET_STATE_READY:
		case peerpb.TargetState_TARGET_STATE_DRAINING:
			r.State = targets.Draining
		default:
			return nil, fmt.Errorf("%w: invalid state %s of removed target %q", ErrMalformed, m.GetState(), m.GetId())
		}
		if m.GetId() == "" {
			return nil, fmt.Errorf("%w: removed target has no ID", ErrMalformed)
		}
		removals = append(removals, r)
	}
	return removals, nil
}

func updateFromWire(m *peerpb.TargetNews) (TargetUpdate, error) {
	if m.GetFromOffset() < 0 || m.GetToOffset() < 0 {
		return TargetUpdate{}, fmt.Errorf("%w: update from offset %d to %d", ErrMalformed, m.GetFromOffset(), m.GetToOffset())
	}
	update := TargetUpdate{
		From:        platform.Position{Era: m.GetFromEra(), Offset: m.GetFromOffset()},
		To:          platform.Position{Era: m.GetToEra(), Offset: m.GetToOffset()},
		SinceOutage: time.Duration(m.GetOutageEndedMs()) * time.Millisecond,
	}
	for _, w := range m.GetChanges() {
		c, err := changeFromWire(w)
		if err != nil {
			return TargetUpdate{}, err
		}
		update.Changes = append(update.Changes, c)
	}
	return update, nil
}

// changeFromWire converts a change. A target that cannot be used counts as removed, as in
// the registry: an instance of an older release may pass it on.
func changeFromWire(m *peerpb.Target) (targets.Change, error) {
	c := targets.Change{ID: m.GetId()}
	if m.GetState() == peerpb.TargetState_TARGET_STATE_UNSPECIFIED {
		return c, nil
	}
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return c, fmt.Errorf("%w: invalid address of target %q: %w", ErrMalformed, c.ID, err)
	}
	c.Target = &targets.Target{
		ID: c.ID, StartedMS: m.GetBorn(), Service: m.GetService(), Address: address, Zone: m.GetZone(),
		Version: m.GetVersion(), Slots: int(m.GetSlots()), Sequence: m.GetSequence(),
		WarmupLeft: targets.Warmup(m.GetColdMs()),
	}
	if m.GetState() == peerpb.TargetState_TARGET_STATE_DRAINING {
		c.Target.State = targets.Draining
	}
	if c.Target.Validate() != nil {
		c.Target = nil
	}
	return c, nil
}
