// Package configlog keeps the configuration in the platform's log: the fold
// over its records, the follower that keeps one instance up to date, and the
// publisher that appends changes.
package configlog

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"rhubarbrelay/config"
	pb "rhubarbrelay/configlog/configlogpb"
	"rhubarbrelay/platform"
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
	// maxNameBytes bounds the id, scope and author of a record. It is part of
	// the rule of acceptance and must be the same in every version.
	maxNameBytes = 128
	// recentRecords is the number of records per scope whose verdict is kept.
	// More operators than this never race for one scope; each costs about 40
	// bytes of the snapshot.
	recentRecords = 16
	// maxScopes bounds the scopes of a state. Instances are replaced every day
	// and would leave a scope each for good; services count in the dozens. It is
	// part of the rule of acceptance and must be the same in every version.
	maxScopes = 4096
)

// The errors of snapshots.
var (
	// ErrSnapshot reports data that is not a configuration snapshot.
	ErrSnapshot = errors.New("not a configuration snapshot")
	// ErrPartial reports a state that lacks the effect of a record whose kind
	// this software version does not know. Others must not build on it.
	ErrPartial = errors.New("state lacks the effect of a record of an unknown kind")
)

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

// Outcome is the verdict on a record that the state remembers.
type Outcome struct {
	Verdict Verdict
	// Version is the offset of an accepted record, or the version of the scope
	// that a rejected record met.
	Version config.Version
}

// State is the fold over the configuration log. It is not safe for concurrent
// use.
type State struct {
	version platform.Offset
	// scopes holds immutable values: a record replaces the value of its scope.
	scopes  map[string]*pb.ScopeState
	partial bool
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
	if m.GetVersion() < int64(config.NoVersion) {
		return nil, fmt.Errorf("%w: version %d", ErrSnapshot, m.GetVersion())
	}
	s := NewState()
	s.version = platform.Offset(m.GetVersion())
	for _, scope := range m.GetScopes() {
		name := scope.GetScope()
		if _, ok := s.scopes[name]; ok || name == "" || scope.GetVersion() > m.GetVersion() {
			return nil, fmt.Errorf("%w: scope %q at version %d in a snapshot of version %d", ErrSnapshot, name, scope.GetVersion(), m.GetVersion())
		}
		s.scopes[name] = scope
	}
	return s, nil
}

// Snapshot encodes the state. Equal states have equal snapshots.
func (s *State) Snapshot() ([]byte, error) {
	if s.partial {
		return nil, ErrPartial
	}
	m := &pb.Snapshot{Magic: magic, Version: int64(s.version)}
	for _, name := range slices.Sorted(maps.Keys(s.scopes)) {
		m.Scopes = append(m.Scopes, s.scopes[name])
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}

// Version returns the offset of the last record applied, accepted or not.
func (s *State) Version() platform.Offset { return s.version }

// ScopeVersion returns the version of a scope's last accepted record.
func (s *State) ScopeVersion(name string) config.Version {
	if scope, ok := s.scopes[name]; ok {
		return config.Version(scope.GetVersion())
	}
	return config.NoVersion
}

// Outcome returns the verdict on a record of a scope when the state remembers
// it. Of a record that was appended twice, the accepted copy counts.
func (s *State) Outcome(name, id string) (Outcome, bool) {
	scope := s.scopes[name]
	for _, r := range slices.Backward(scope.GetRecent()) {
		if r.GetId() != id {
			continue
		}
		if r.GetAccepted() {
			return Outcome{Verdict: Accepted, Version: config.Version(r.GetVersion())}, true
		}
		return Outcome{Verdict: Conflict, Version: config.Version(r.GetVersion())}, true
	}
	if scope != nil && scope.GetRecordId() == id {
		return Outcome{Verdict: Accepted, Version: config.Version(scope.GetVersion())}, true
	}
	return Outcome{}, false
}

// Apply folds one record into the state. Records must be applied in the order
// of their offsets.
func (s *State) Apply(rec platform.Record) Verdict {
	if rec.Offset <= s.version {
		return Stale
	}
	s.version = rec.Offset
	var m pb.ConfigRecord
	if err := proto.Unmarshal(rec.Data, &m); err != nil || !wellFormed(&m) {
		return Ignored
	}
	current := s.scopes[m.GetScope()]
	if m.GetBase() != int64(s.ScopeVersion(m.GetScope())) {
		s.put(rejectedScope(current, &m))
		return Conflict
	}
	if !knownKind(m.GetKind()) {
		s.partial = true
	}
	s.put(acceptedScope(current, &m, rec))
	return Accepted
}

// put replaces the value of a scope and evicts another one when there are too
// many.
func (s *State) put(scope *pb.ScopeState) {
	s.scopes[scope.GetScope()] = scope
	if len(s.scopes) <= maxScopes {
		return
	}
	var victim *pb.ScopeState
	for _, candidate := range s.scopes {
		if candidate != scope && (victim == nil || evictBefore(candidate, victim)) {
			victim = candidate
		}
	}
	delete(s.scopes, victim.GetScope())
}

// evictBefore orders scopes by how little their loss matters: those without
// effect, then drained instances, then services; among equals the oldest.
func evictBefore(a, b *pb.ScopeState) bool {
	return cmp.Or(
		cmp.Compare(evictionRank(a), evictionRank(b)),
		cmp.Compare(a.GetVersion(), b.GetVersion()),
		cmp.Compare(a.GetScope(), b.GetScope()),
	) < 0
}

func evictionRank(scope *pb.ScopeState) int {
	switch {
	case scope.GetVersion() < 0:
		return 0
	case scope.GetBody() == nil && !scope.GetDrained():
		return 1
	case scope.GetDrained():
		return 2
	default:
		return 3
	}
}

// wellFormed reports whether the envelope is that of a configuration record.
// It must give the same result in every software version.
func wellFormed(m *pb.ConfigRecord) bool {
	return m.GetMagic() == magic &&
		m.GetId() != "" && len(m.GetId()) <= maxNameBytes &&
		m.GetScope() != "" && len(m.GetScope()) <= maxNameBytes &&
		len(m.GetAuthor()) <= maxNameBytes
}

func knownKind(k pb.Kind) bool {
	_, ok := pb.Kind_name[int32(k)]
	return ok && k != pb.Kind_KIND_UNSPECIFIED
}

// rejectedScope returns the scope's state with the verdict on a rejected
// record. A record that was accepted before stays accepted.
func rejectedScope(current *pb.ScopeState, m *pb.ConfigRecord) *pb.ScopeState {
	next := copyScope(current)
	next.Scope = m.GetScope()
	known := slices.ContainsFunc(next.Recent, func(r *pb.RecentRecord) bool { return r.GetId() == m.GetId() })
	if !known {
		next.Recent = withRecent(next.Recent, &pb.RecentRecord{Id: m.GetId(), Version: next.GetVersion()})
	}
	return next
}

// acceptedScope returns the scope's state after an accepted record.
func acceptedScope(current *pb.ScopeState, m *pb.ConfigRecord, rec platform.Record) *pb.ScopeState {
	next := copyScope(current)
	next.Scope = m.GetScope()
	next.Version = int64(rec.Offset)
	next.RecordId = m.GetId()
	next.Author = m.GetAuthor()
	next.ChangedMs = rec.Time.UnixMilli()
	next.Recent = withRecent(next.Recent, &pb.RecentRecord{Id: m.GetId(), Version: int64(rec.Offset), Accepted: true})
	target := string(m.GetBody())
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
		if !slices.Contains(next.DrainedTargets, target) {
			next.DrainedTargets = append(slices.Clone(next.DrainedTargets), target)
		}
	case pb.Kind_KIND_TARGET_UNDRAIN:
		next.DrainedTargets = slices.DeleteFunc(slices.Clone(next.DrainedTargets), func(t string) bool { return t == target })
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

// withRecent returns a new list that ends with the record.
func withRecent(recent []*pb.RecentRecord, r *pb.RecentRecord) []*pb.RecentRecord {
	if len(recent) >= recentRecords {
		recent = recent[len(recent)-recentRecords+1:]
	}
	return append(slices.Clone(recent), r)
}

// copyScope returns a copy that shares the body and lists, which are never
// changed in place. Fields of later software versions are kept.
func copyScope(s *pb.ScopeState) *pb.ScopeState {
	if s == nil {
		return &pb.ScopeState{Version: int64(config.NoVersion)}
	}
	c := &pb.ScopeState{
		Scope: s.GetScope(), Version: s.GetVersion(), RecordId: s.GetRecordId(), Author: s.GetAuthor(),
		Format: s.GetFormat(), Body: s.GetBody(), DrainedTargets: s.GetDrainedTargets(), Drained: s.GetDrained(),
		Deleted: s.GetDeleted(), ChangedMs: s.GetChangedMs(), Recent: s.GetRecent(),
	}
	c.ProtoReflect().SetUnknown(s.ProtoReflect().GetUnknown())
	return c
}
