// Package evacuation holds the set of zones whose targets get no requests because an
// operator has evacuated them.
package evacuation

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"rhubarbrelay/platform"
)

const (
	// MaxZones limits the zones in a set, so that it fits into a datagram.
	MaxZones = 16
	// recentChange is the time after a change for which the set is still sent with each
	// heartbeat although it is empty, since datagrams are lost and instances may be
	// disconnected for a while.
	recentChange = time.Minute
)

// Zone is an evacuated zone.
type Zone struct {
	Name string
	// Since is when the first instance learned of the evacuation, as far as known.
	Since time.Time
}

// State is a set of evacuated zones.
type State struct {
	// At is the position in the log as of which the set is valid. The zero position
	// means that nothing is known.
	At platform.Position
	// Zones are sorted by name.
	Zones []Zone
}

// Names returns the names of the evacuated zones.
func (s State) Names() []string {
	names := make([]string, 0, len(s.Zones))
	for _, z := range s.Zones {
		names = append(names, z.Name)
	}
	return names
}

// sameZones reports whether both sets hold the same zones.
func (s State) sameZones(other State) bool { return slices.Equal(s.Names(), other.Names()) }

// Record is a record of the log that evacuates a zone or ends its evacuation.
type Record struct {
	Zone      string
	Evacuated bool
	Offset    int64
}

// Change is a change of the set.
type Change struct {
	// Added and Ended are the zones whose evacuation has begun or ended.
	Added, Ended []string
	State        State
	// FromStore is set if this instance has read the change from the store.
	FromStore bool
}

// Set is the set of evacuated zones as this instance knows it: the one with the highest
// position that it has read or received. It is safe for concurrent use.
type Set struct {
	clock    func() time.Time
	onChange func(Change)

	mu        sync.Mutex
	state     State
	changedAt time.Time // zero before the first change
}

// Option configures a Set.
type Option func(*Set)

// WithClock sets the function that returns the current time.
func WithClock(clock func() time.Time) Option { return func(s *Set) { s.clock = clock } }

// WithOnChange sets a function that is called with each change, in their order. It must
// not use the set.
func WithOnChange(fn func(Change)) Option { return func(s *Set) { s.onChange = fn } }

// NewSet returns an empty set of which nothing is known.
func NewSet(opts ...Option) *Set {
	s := &Set{clock: time.Now, onChange: func(Change) {}}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Replace takes over the zones that the newest records of all keys name, as of the
// position.
func (s *Set) Replace(at platform.Position, zones []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.Before(s.state.At) {
		return // another instance has read the log later
	}
	evacuated := map[string]bool{}
	for _, zone := range zones {
		evacuated[zone] = true
	}
	s.store(at, evacuated)
}

// Apply applies the records between two positions of the log. Those before the position
// of the set are contained in it.
func (s *Set) Apply(from, to platform.Position, records []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.At.Before(from) || to.Before(s.state.At) {
		return // records in between are unknown, or all of them are contained
	}
	evacuated := map[string]bool{}
	for _, z := range s.state.Zones {
		evacuated[z.Name] = true
	}
	for _, r := range records {
		if r.Offset < s.state.At.Offset {
			continue
		}
		if evacuated[r.Zone] = r.Evacuated; !r.Evacuated {
			delete(evacuated, r.Zone)
		}
	}
	s.store(to, evacuated)
}

// store takes over a set that was read from the store. s.mu is held.
func (s *Set) store(at platform.Position, evacuated map[string]bool) {
	now := s.clock()
	next := State{At: at}
	for zone := range evacuated {
		next.Zones = append(next.Zones, Zone{Name: zone, Since: now})
	}
	s.setState(next, true)
}

// Merge takes over the set of another instance if its position is higher.
func (s *Set) Merge(other State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.At.Before(other.At) {
		s.setState(State{At: other.At, Zones: slices.Clone(other.Zones)}, false)
	}
}

// setState replaces the state. The earlier time counts for a zone that is in both. s.mu
// is held.
func (s *Set) setState(next State, fromStore bool) {
	slices.SortFunc(next.Zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	next.Zones = next.Zones[:min(MaxZones, len(next.Zones))]
	change := Change{FromStore: fromStore, State: next}
	for i, z := range next.Zones {
		known := slices.IndexFunc(s.state.Zones, func(k Zone) bool { return k.Name == z.Name })
		if known < 0 {
			change.Added = append(change.Added, z.Name)
		} else if since := s.state.Zones[known].Since; since.Before(z.Since) {
			next.Zones[i].Since = since
		}
	}
	for _, k := range s.state.Zones {
		if !slices.ContainsFunc(next.Zones, func(z Zone) bool { return z.Name == k.Name }) {
			change.Ended = append(change.Ended, k.Name)
		}
	}
	s.state = next
	if len(change.Added)+len(change.Ended) > 0 {
		s.changedAt = s.clock()
		s.onChange(change)
	}
}

// State returns the current set.
func (s *Set) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{At: s.state.At, Zones: slices.Clone(s.state.Zones)}
}

// Announced returns the set and whether heartbeats contain it: while it is not empty and
// for recentChange after its last change.
func (s *Set) Announced() (State, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	recent := !s.changedAt.IsZero() && s.clock().Sub(s.changedAt) < recentChange
	if len(s.state.Zones) == 0 && !recent {
		return State{}, false
	}
	return State{At: s.state.At, Zones: slices.Clone(s.state.Zones)}, true
}

// Corrects reports whether another instance with the given set must be told of this
// one: it has a higher position and other zones.
func (s *Set) Corrects(other State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return other.At.Before(s.state.At) && !s.state.sameZones(other)
}
