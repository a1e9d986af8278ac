package targets

import "time"

// Removal is the last registration of an incarnation that was removed. Instances hand
// it on, so that a restored registry does not add the target again on those that started
// after it had left.
type Removal struct {
	Incarnation Incarnation
	State       State
	// Sequence is that up to which registrations do not add the target again.
	Sequence int64
	// Age is the time since the removal.
	Age time.Duration
}

// Removed returns the removals that are not older than removalRetention, including the
// delayed ones.
func (d *Directory) Removed() []Removal {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	removals := make([]Removal, 0, len(d.removed))
	for incarnation, last := range d.removed {
		removals = append(removals, Removal{Incarnation: incarnation, State: last.state, Sequence: last.sequence, Age: now.Sub(last.at)})
	}
	for _, e := range d.entries {
		if !e.removeAt.IsZero() {
			removals = append(removals, Removal{Incarnation: e.target.Incarnation(), State: e.target.State, Sequence: e.lastSequence()})
		}
	}
	return removals
}

// AddRemoved adds removals that another instance knows, and removes the targets whose
// registrations are not newer, delayed as any removal.
func (d *Directory) AddRemoved(removals []Removal) {
	d.mu.Lock()
	changedServices := map[string]bool{}
	for _, r := range removals {
		d.addRemoved(r, changedServices)
	}
	d.mu.Unlock()
	d.notify(changedServices)
}

func (d *Directory) addRemoved(r Removal, changedServices map[string]bool) {
	if r.Age > removalRetention {
		return
	}
	if e := d.entries[r.Incarnation.ID]; e != nil && e.target.Incarnation() == r.Incarnation && e.target.Sequence <= r.Sequence {
		d.remove(r.Incarnation.ID, e, false, changedServices)
	}
	at := d.clock().Add(-r.Age)
	last, ok := d.removed[r.Incarnation]
	if !ok {
		last = removal{at: at, sequence: r.Sequence}
	}
	if at.After(last.at) {
		last.at = at
	}
	last.sequence, last.state = max(last.sequence, r.Sequence), max(last.state, r.State)
	d.removed[r.Incarnation] = last
}
