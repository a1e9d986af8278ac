package targets

import (
	"sync"
	"time"
)

// lapseGrace is how long a removal that is read right after an outage of the
// registry is held back: a target whose entry lapsed during the outage
// registers again within 2 s of its end.
const lapseGrace = 2200 * time.Millisecond

// Change is one change of a target's registration. A nil Target removes the
// entry of the ID.
type Change struct {
	ID     string
	Target *Target
}

// entry is what the directory knows of one ID.
type entry struct {
	target *Target
	// removeAt is set while a removal is held back.
	removeAt time.Time
}

// Directory holds the registered targets by ID. It is safe for concurrent use.
type Directory struct {
	clock  func() time.Time
	onMove func(service string)

	mu      sync.Mutex
	entries map[string]*entry
	// departed holds what is known of incarnations whose entry is gone, so that
	// a late copy of an old report does not bring them back.
	departed    map[Incarnation]departure
	outageEnded time.Time
	loaded      bool
}

// departure is the last report of an incarnation whose entry was removed.
type departure struct {
	at       time.Time
	sequence int64
	state    State
}

// departureMemory is how long a departed incarnation is remembered. Reports
// older than that do not circulate.
const departureMemory = 5 * time.Minute

// Option changes a Directory under construction.
type Option func(*Directory)

// WithClock sets the source of the time.
func WithClock(clock func() time.Time) Option { return func(d *Directory) { d.clock = clock } }

// WithOnChange sets a function that is called with the name of each service
// whose targets changed, without a lock held.
func WithOnChange(fn func(service string)) Option { return func(d *Directory) { d.onMove = fn } }

// NewDirectory returns an empty directory.
func NewDirectory(opts ...Option) *Directory {
	d := &Directory{
		clock: time.Now, onMove: func(string) {},
		entries: map[string]*entry{}, departed: map[Incarnation]departure{},
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Loaded returns whether the registry was read at least once.
func (d *Directory) Loaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}

// SetOutageEnd notes when the registry answered again after an outage.
func (d *Directory) SetOutageEnd(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outageEnded = at
}

// Replace applies the complete content of the registry. It returns the changes
// that lead there from what was known, like Apply.
func (d *Directory) Replace(all []Target) []Change {
	d.mu.Lock()
	listed := make(map[string]bool, len(all))
	moved := map[string]bool{}
	var effective []Change
	for i := range all {
		listed[all[i].ID] = true
		if d.apply(&all[i], moved) {
			effective = append(effective, Change{ID: all[i].ID, Target: &all[i]})
		}
	}
	for id, e := range d.entries {
		if !listed[id] {
			d.remove(id, e, moved)
			effective = append(effective, Change{ID: id})
		}
	}
	d.loaded = true
	d.mu.Unlock()
	d.announce(moved)
	return effective
}

// Apply applies changes in their order. It returns those that changed more
// than the sequence of a report.
func (d *Directory) Apply(changes []Change) []Change {
	d.mu.Lock()
	moved := map[string]bool{}
	var effective []Change
	for _, c := range changes {
		changed := false
		if c.Target != nil {
			changed = d.apply(c.Target, moved)
		} else if e := d.entries[c.ID]; e != nil {
			d.remove(c.ID, e, moved)
			changed = true
		}
		if changed {
			effective = append(effective, c)
		}
	}
	d.mu.Unlock()
	d.announce(moved)
	return effective
}

func (d *Directory) apply(t *Target, moved map[string]bool) bool {
	e := d.entries[t.ID]
	if e != nil && stale(e.target, t) {
		return false
	}
	kept := *t
	if gone, ok := d.departed[t.Incarnation()]; ok && e == nil {
		if t.Sequence <= gone.sequence {
			return false
		}
		kept.State = max(kept.State, gone.state)
	}
	if e != nil && e.target.StartedMS == t.StartedMS {
		kept.State = max(kept.State, e.target.State)
	}
	if e == nil {
		d.entries[t.ID] = &entry{target: &kept}
		moved[kept.Service] = true
		return true
	}
	revived := !e.removeAt.IsZero()
	e.removeAt = time.Time{}
	if !revived && e.target.sameReport(&kept) {
		e.target = &kept
		return false
	}
	moved[e.target.Service], moved[kept.Service] = true, true
	e.target = &kept
	return true
}

// stale returns whether a report is older than the known one.
func stale(known, report *Target) bool {
	if known.StartedMS != report.StartedMS {
		return report.StartedMS < known.StartedMS
	}
	return report.Sequence < known.Sequence
}

func (d *Directory) remove(id string, e *entry, moved map[string]bool) {
	now := d.clock()
	if until := d.outageEnded.Add(lapseGrace); e.target.State == Ready && !d.outageEnded.IsZero() && now.Before(until) {
		if e.removeAt.IsZero() {
			e.removeAt = until
		}
		return
	}
	d.drop(id, e, moved)
}

func (d *Directory) drop(id string, e *entry, moved map[string]bool) {
	d.departed[e.target.Incarnation()] = departure{at: d.clock(), sequence: e.target.Sequence, state: e.target.State}
	moved[e.target.Service] = true
	delete(d.entries, id)
}

// Expire carries out the removals that were held back and are due, and forgets
// old departures.
func (d *Directory) Expire() {
	d.mu.Lock()
	moved := map[string]bool{}
	now := d.clock()
	for id, e := range d.entries {
		if !e.removeAt.IsZero() && !now.Before(e.removeAt) {
			d.drop(id, e, moved)
		}
	}
	for which, gone := range d.departed {
		if now.Sub(gone.at) > departureMemory {
			delete(d.departed, which)
		}
	}
	d.mu.Unlock()
	d.announce(moved)
}

func (d *Directory) announce(moved map[string]bool) {
	for service := range moved {
		d.onMove(service)
	}
}

// Of returns the targets of the service, draining ones included.
func (d *Directory) ByService(service string) []*Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []*Target
	for _, e := range d.entries {
		if e.target.Service == service {
			found = append(found, e.target)
		}
	}
	return found
}

// Count returns the number of registered targets.
func (d *Directory) Count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.entries)
}
