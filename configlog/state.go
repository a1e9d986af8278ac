// Package configlog keeps the configuration in the platform's log: the fold
// over its records, the follower that keeps one instance up to date, and the
// publisher that appends changes.
package configlog

import (
	"errors"
	"fmt"
	"slices"

	"rhubarbrelay/config"
	"rhubarbrelay/platform"

	"google.golang.org/protobuf/proto"

	pb "rhubarbrelay/configlog/configlogpb"
)

// The streams of the platform's log that carry the configuration.
const (
	Stream         = "config"
	SnapshotStream = "config-snapshots"
)

const (
	// magic marks a configuration record or snapshot, so that foreign data in
	// the stream is not taken for one.
	magic = 0x72687562
	// Format is the format of the bodies that this version writes.
	Format = 1
)

// ErrSnapshot reports data that is not a configuration snapshot.
var ErrSnapshot = errors.New("not a configuration snapshot")

// Verdict is the result of applying one record.
type Verdict int

// The verdicts. Every reader of the log reaches the same verdict on the same
// record, whatever its software version.
const (
	// Ignored records are not configuration records.
	Ignored Verdict = iota
	// Accepted records were based on the current version of their scope.
	Accepted
	// Conflict records lost a race: their base is not the current version.
	Conflict
	// Stale records are at or below the version already applied.
	Stale
)

// State is the fold over the configuration log. It is not safe for concurrent
// use.
type State struct {
	version platform.Offset
	scopes  map[string]*pb.ScopeState
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{version: platform.Offset(config.NoVersion), scopes: map[string]*pb.ScopeState{}}
}

// Restore returns the state that a snapshot holds.
func Restore(snapshot []byte) (*State, error) {
	var m pb.Snapshot
	if err := proto.Unmarshal(snapshot, &m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	if m.GetMagic() != magic {
		return nil, fmt.Errorf("%w: magic %#x", ErrSnapshot, m.GetMagic())
	}
	s := NewState()
	s.version = platform.Offset(m.GetVersion())
	for _, scope := range m.GetScopes() {
		s.scopes[scope.GetScope()] = scope
	}
	return s, nil
}

// Snapshot encodes the state. Equal states have equal snapshots.
func (s *State) Snapshot() ([]byte, error) {
	m := &pb.Snapshot{Magic: magic, Version: int64(s.version)}
	for _, scope := range s.scopes {
		m.Scopes = append(m.Scopes, scope)
	}
	slices.SortFunc(m.Scopes, func(a, b *pb.ScopeState) int {
		if a.GetScope() < b.GetScope() {
			return -1
		}
		return 1
	})
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}

// Version returns the offset of the last record applied, accepted or not.
func (s *State) Version() platform.Offset { return s.version }

// Apply folds one record into the state. Records must be applied in the order
// of their offsets.
func (s *State) Apply(rec platform.Record) Verdict {
	if rec.Offset <= s.version {
		return Stale
	}
	s.version = rec.Offset
	var m pb.ConfigRecord
	if err := proto.Unmarshal(rec.Data, &m); err != nil {
		return Ignored
	}
	if m.GetMagic() != magic || m.GetId() == "" || m.GetScope() == "" {
		return Ignored
	}
	current, ok := s.scopes[m.GetScope()]
	version := int64(config.NoVersion)
	if ok {
		version = current.GetVersion()
	}
	if m.GetBase() != version {
		return Conflict
	}
	s.scopes[m.GetScope()] = nextScope(current, &m, rec)
	return Accepted
}

// nextScope returns the scope's state after an accepted record. It never
// changes the previous state, which snapshots may share.
func nextScope(current *pb.ScopeState, m *pb.ConfigRecord, rec platform.Record) *pb.ScopeState {
	next := &pb.ScopeState{}
	if current != nil {
		next = proto.CloneOf(current)
	}
	next.Scope = m.GetScope()
	next.Version = int64(rec.Offset)
	next.RecordId = m.GetId()
	next.Author = m.GetAuthor()
	next.ChangedMs = rec.Time.UnixMilli()
	switch m.GetKind() {
	case pb.Kind_KIND_SERVICE_PUT:
		next.Format = m.GetFormat()
		next.Body = m.GetBody()
		next.Deleted = false
	case pb.Kind_KIND_SERVICE_DELETE:
		next.Body = nil
		next.Deleted = true
		next.DrainedTargets = nil
	case pb.Kind_KIND_TARGET_DRAIN:
		target := string(m.GetBody())
		if !slices.Contains(next.DrainedTargets, target) {
			next.DrainedTargets = append(next.DrainedTargets, target)
		}
	case pb.Kind_KIND_TARGET_UNDRAIN:
		target := string(m.GetBody())
		next.DrainedTargets = slices.DeleteFunc(next.DrainedTargets, func(t string) bool { return t == target })
	case pb.Kind_KIND_INSTANCE_DRAIN:
		next.Drained = true
	case pb.Kind_KIND_INSTANCE_UNDRAIN:
		next.Drained = false
	default:
		// A kind of a later version still moves the scope's version, so that
		// readers of every version agree on it.
	}
	return next
}
