package entry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbrelay/targets"
)

const (
	// maxSharers is the number of instances that share the limit of a target. There
	// may be more instances than requests that the target takes in a window, so that
	// equal shares of all would be too small or, rounded up, exceed the limit.
	maxSharers = 2
	// sharingRefreshInterval is the time after which the active instances are
	// determined again. Requests ask for the sharers of each limited target.
	sharingRefreshInterval = 100 * time.Millisecond
)

// LimitSharing selects the instances that share the limits of targets: active ones
// of the zone of the target, since they send it most requests, or of any zone if its
// own has none. It is safe for concurrent use.
type LimitSharing struct {
	directory Directory
	clock     func() time.Time

	mu        sync.Mutex
	active    map[string][]string // IDs of the active instances by zone
	updatedAt time.Time
}

// NewLimitSharing returns the sharing of limits between the directory's instances.
func NewLimitSharing(directory Directory, clock func() time.Time) *LimitSharing {
	return &LimitSharing{directory: directory, clock: clock}
}

// Sharers returns the number of instances that share the limit of the target, or 0 if
// this instance is not one of them.
func (s *LimitSharing) Sharers(target *targets.Target) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	candidates := s.active[target.Zone]
	if len(candidates) == 0 {
		for _, ids := range s.active {
			candidates = append(candidates, ids...)
		}
	}
	sharers := selectSharers(candidates, target.ID)
	if !slices.Contains(sharers, s.directory.Self().ID) {
		return 0
	}
	return len(sharers)
}

// selectSharers selects maxSharers instances by their hashes, which differ from target
// to target, so that all candidates share about as many limits.
func selectSharers(candidates []string, targetID string) []string {
	if len(candidates) <= maxSharers {
		return candidates
	}
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(sharerHash(a, targetID), sharerHash(b, targetID)), cmp.Compare(a, b))
	})
	return sorted[:maxSharers]
}

func sharerHash(instanceID, targetID string) uint64 {
	return xxhash.Sum64String(targetID + "/" + instanceID)
}

func (s *LimitSharing) refresh() {
	now := s.clock()
	if s.active != nil && now.Sub(s.updatedAt) < sharingRefreshInterval {
		return
	}
	s.updatedAt = now
	s.active = map[string][]string{}
	for zone, instances := range activeByZone(eligible(s.directory), readyCapacity) {
		for _, in := range instances {
			s.active[zone] = append(s.active[zone], in.ID)
		}
	}
}
