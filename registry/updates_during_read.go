package registry

import (
	"slices"

	"rhubarbrelay/peer"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

// maxUpdatesDuringRead limits the updates that are kept while all registrations are
// being read.
const maxUpdatesDuringRead = 256

func (f *TargetFollower) setReadingAll(reading bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readingAll, f.duringRead = reading, nil
}

// noteDuringRead keeps an update that arrives while all registrations are being read. It
// must be called before the changes of the update are applied.
func (f *TargetFollower) noteDuringRead(update peer.TargetUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.readingAll && len(update.Changes) > 0 && len(f.duringRead) < maxUpdatesDuringRead {
		f.duringRead = append(f.duringRead, update)
	}
}

// withUpdates returns all registrations as of a position with the changes of the updates
// that have arrived during the read and are newer. Without them, a target that has just
// registered would be removed, and not be added again by the same registration. f.mu is
// held.
func (f *TargetFollower) withUpdates(all []targets.Target, asOf platform.Position) []targets.Target {
	for _, update := range f.duringRead {
		if update.To.Era != asOf.Era || !asOf.Before(update.To) {
			continue
		}
		for _, c := range update.Changes {
			all = slices.DeleteFunc(all, func(t targets.Target) bool { return t.ID == c.ID })
			if c.Target != nil {
				all = append(all, *c.Target)
			}
		}
	}
	return all
}
