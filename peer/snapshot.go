package peer

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"rhubarbrelay/crashes"
	"rhubarbrelay/evacuation"
	"rhubarbrelay/membership"
	"rhubarbrelay/peer/peerpb"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

// Snapshot is the state that a starting instance reads from another one in place of
// the store.
type Snapshot struct {
	Instances []membership.Sighting
	Targets   TargetState
	// Config is the active configuration as it was published, with digests in place of
	// API keys.
	Config []byte
	// Blocked are the records of requests that are sent to no target any more.
	Blocked []crashes.Record
	// Evacuations are the evacuated zones.
	Evacuations evacuation.State
}

// TargetState holds all registered targets.
type TargetState struct {
	Targets []targets.Target
	// Removed are recently removed targets, which a restored store may list again.
	Removed []targets.Removal
	// Next is the position in the registry's log before which all changes are
	// contained in Targets.
	Next platform.Position
	// Age is the time since Targets was last known to be complete.
	Age time.Duration
}

// EncodeSnapshot encodes a snapshot as a protobuf message.
func EncodeSnapshot(s Snapshot) ([]byte, error) {
	m := &peerpb.Snapshot{
		NextOffset: s.Targets.Next.Offset, Era: s.Targets.Next.Era, TargetAgeMs: uint32(s.Targets.Age.Milliseconds()), Config: s.Config,
	}
	for _, in := range s.Instances {
		m.Instances = append(m.Instances, sightingToWire(in))
	}
	for i := range s.Targets.Targets {
		t := &s.Targets.Targets[i]
		m.Targets = append(m.Targets, changeToWire(targets.Change{ID: t.ID, Target: t}))
	}
	for _, r := range s.Targets.Removed {
		m.Removed = append(m.Removed, removalToWire(r))
	}
	m.Blocked = crashesToWire(s.Blocked[:min(len(s.Blocked), MaxSnapshotCrashRecords)])
	if s.Evacuations.At != (platform.Position{}) {
		m.Evacuations = evacuationsToWire(s.Evacuations)
	}
	return proto.Marshal(m)
}

// DecodeSnapshot decodes a snapshot. It rejects the whole snapshot if any part of it
// is malformed; the error wraps ErrMalformed.
func DecodeSnapshot(data []byte) (Snapshot, error) {
	var m peerpb.Snapshot
	if err := proto.Unmarshal(data, &m); err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	instances, err := sightingsFromWire(m.GetInstances())
	if err != nil {
		return Snapshot{}, err
	}
	if m.GetNextOffset() < 0 {
		return Snapshot{}, fmt.Errorf("%w: snapshot at offset %d", ErrMalformed, m.GetNextOffset())
	}
	s := Snapshot{Instances: instances, Config: m.GetConfig()}
	s.Targets.Next = platform.Position{Era: m.GetEra(), Offset: m.GetNextOffset()}
	s.Targets.Age = time.Duration(m.GetTargetAgeMs()) * time.Millisecond
	for _, w := range m.GetTargets() {
		c, err := changeFromWire(w)
		if err != nil {
			return Snapshot{}, err
		}
		if w.GetState() == peerpb.TargetState_TARGET_STATE_UNSPECIFIED {
			return Snapshot{}, fmt.Errorf("%w: target %q has no state", ErrMalformed, c.ID)
		}
		if c.Target == nil {
			continue
		}
		s.Targets.Targets = append(s.Targets.Targets, *c.Target)
	}
	if s.Targets.Removed, err = removalsFromWire(m.GetRemoved()); err != nil {
		return Snapshot{}, err
	}
	if s.Blocked, err = crashesFromWire(m.GetBlocked()); err != nil {
		return Snapshot{}, err
	}
	if s.Evacuations, err = evacuationsFromWire(m.GetEvacuations()); err != nil {
		return Snapshot{}, err
	}
	return s, nil
}
