package entry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"rhubarbrelay/limits"
	"rhubarbrelay/membership"
	"rhubarbrelay/targets"
)

const (
	// maxActiveSilence is the time since its last packet up to which another active
	// instance takes part for sure. Active instances send one each half second.
	maxActiveSilence = 1300 * time.Millisecond
	// maxZoneSilence is the time since its last packet up to which an instance of the
	// zone is on this side of a split. Those that are not active send one each three
	// seconds.
	maxZoneSilence = 3200 * time.Millisecond
	// coldSettleTime is the time after a change of the view, and after the start, for
	// which others may have another one: it takes that long to see a split of the zone.
	coldSettleTime = maxZoneSilence
	// coldMemory is the time for which an instance that is missing counts as one that
	// may be on the other side of a split. The directory forgets it after a minute.
	coldMemory = 10 * time.Minute
	// maxSharingGap is the time without any question for the sharers after which this
	// instance may have missed that it was none meanwhile, as after a pause of the
	// process.
	maxSharingGap = time.Second
)

// ColdDirectory is the Directory that ColdSharing uses. Peers returns all other instances
// that are not removed yet, the missing ones included, and Sightings those that are alive.
type ColdDirectory interface {
	Directory
	Peers() []membership.Instance
	Sightings() []membership.Sighting
}

// ColdSharing tells which targets this instance shares the limit of while they are cold:
// those of its zone for which it is one of two active instances, selected by hash. No
// instance of another zone shares it, as the views of different zones differ most.
//
// An instance shares only while it hears the other active instances, and at least half of
// the instances of its zone that it has known lately, so that at most two parts of a zone
// that was split have sharers. It is safe for concurrent use.
type ColdSharing struct {
	directory ColdDirectory
	clock     func() time.Time

	mu        sync.Mutex
	active    []string             // IDs of the active instances of the zone
	connected bool                 // whether this instance hears enough others
	since     time.Time            // when active or connected has changed, or the start
	known     map[string]time.Time // when an instance of the zone was last in the directory
	updatedAt time.Time
}

// NewColdSharing returns the sharing of the instance, which starts now.
func NewColdSharing(directory ColdDirectory, clock func() time.Time) *ColdSharing {
	return &ColdSharing{directory: directory, clock: clock, since: clock(), known: map[string]time.Time{}}
}

// Share returns the share of this instance of the limit of a target.
func (s *ColdSharing) Share(target *targets.Target) limits.ColdShare {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.refresh(now)
	self := s.directory.Self()
	if !s.connected || target.Zone != self.Zone || !isSharer(s.active, target.ID, self.ID) {
		return limits.ColdShare{}
	}
	return limits.ColdShare{Sharers: maxSharers, Since: s.since, Settled: now.Sub(s.since) >= coldSettleTime}
}

// isSharer reports whether selectSharers selects the instance. It allocates nothing, as
// requests ask for the sharers of many targets.
func isSharer(candidates []string, targetID, id string) bool {
	if !slices.Contains(candidates, id) {
		return false
	}
	own, before := sharerHash(id, targetID), 0
	for _, other := range candidates {
		if c := cmp.Or(cmp.Compare(sharerHash(other, targetID), own), cmp.Compare(other, id)); c < 0 {
			before++
		}
	}
	return before < maxSharers
}

// refresh updates the view of the sharers. s.mu is held.
func (s *ColdSharing) refresh(now time.Time) {
	gap := now.Sub(s.updatedAt)
	if gap < sharingRefreshInterval {
		return
	}
	s.updatedAt = now
	self := s.directory.Self()
	var active []string
	for _, in := range activeByZone(eligible(s.directory), readyCapacity)[self.Zone] {
		active = append(active, in.ID)
	}
	connected := s.isConnected(self, active, now)
	if gap > maxSharingGap || connected != s.connected || !slices.Equal(active, s.active) {
		s.since = now
	}
	s.active, s.connected = active, connected
}

// isConnected reports whether this instance hears all other active instances, and half of
// those that it has known. s.mu is held.
func (s *ColdSharing) isConnected(self membership.Instance, active []string, now time.Time) bool {
	heard, heardActive := 1, 0
	for _, sighting := range s.directory.Sightings() {
		in := sighting.Instance
		if in.ID == self.ID || in.Zone != self.Zone {
			continue
		}
		if sighting.Silence <= maxZoneSilence {
			heard++
		}
		if sighting.Silence <= maxActiveSilence && slices.Contains(active, in.ID) {
			heardActive++
		}
	}
	others := len(active)
	if slices.Contains(active, self.ID) {
		others--
	}
	return heardActive == others && 2*heard >= s.countKnown(self.Zone, now)
}

// countKnown returns the number of instances of the zone, this one included, that were
// known within coldMemory and have not left. s.mu is held.
func (s *ColdSharing) countKnown(zone string, now time.Time) int {
	for _, in := range s.directory.Peers() {
		switch {
		case in.Zone != zone:
		case in.State == membership.Leaving:
			delete(s.known, in.ID)
		default:
			s.known[in.ID] = now
		}
	}
	for id, seenAt := range s.known {
		if now.Sub(seenAt) > coldMemory {
			delete(s.known, id)
		}
	}
	return 1 + len(s.known)
}
