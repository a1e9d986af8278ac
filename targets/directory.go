package targets

import (
	"sync"
	"time"
)

// removalDelay is how long after the end of a registry outage a ready target
// stays although its registration was removed: a target whose registration
// expired during the outage registers again within 2 s of the end of the outage.
const removalDelay = 2200 * time.Millisecond

// Change is a change of a target's registration. A nil Target removes the
// registration with the ID.
type Change struct {
	ID     string
	Target *Target
	// Lost is set in a removal if the registry was restored from a copy that lacks the
	// registration, so that the target may run and register again.
	Lost bool
}

// entry holds the newest registration of one target ID.
type entry struct {
	target *Target
	// removeAt is set while a removal is delayed, lost if it is due to a restoration.
	removeAt time.Time
	lost     bool
}

// Directory holds the registered targets by ID. It is safe for concurrent use.
type Directory struct {
	clock    func() time.Time
	onChange func(service string)

	mu      sync.Mutex
	entries map[string]*entry
	// removed holds the last registrations of the removed incarnations, so that a
	// delayed copy of an old registration does not add them again.
	removed     map[Incarnation]removal
	outageEnded time.Time
	loaded      bool
}

// removal is the last registration of a removed incarnation.
type removal struct {
	at time.Time
	// sequence is that of the last registration, or the one before if that was lost:
	// registrations up to it do not add the target again.
	sequence int64
	state    State
}

// removalRetention is how long the last registration of a removed incarnation is
// kept. It is assumed that no copy of an old registration arrives later; nothing
// ensures that, and such a copy adds the target again.
const removalRetention = 5 * time.Minute

// Option configures a Directory.
type Option func(*Directory)

// WithClock sets the function that returns the current time.
func WithClock(clock func() time.Time) Option { return func(d *Directory) { d.clock = clock } }

// WithOnChange sets a function that is called with the name of each service
// whose targets changed, without a lock held.
func WithOnChange(fn func(service string)) Option { return func(d *Directory) { d.onChange = fn } }

// NewDirectory returns an empty directory.
func NewDirectory(opts ...Option) *Directory {
	d := &Directory{
		clock: time.Now, onChange: func(string) {},
		entries: map[string]*entry{}, removed: map[Incarnation]removal{},
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Loaded reports whether the registry was read at least once.
func (d *Directory) Loaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}

// SetOutageEnd sets the time at which the registry was reachable again after an
// outage, unless a later one is known.
func (d *Directory) SetOutageEnd(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at.After(d.outageEnded) {
		d.outageEnded = at
	}
}

// Replace applies the complete content of the registry and removes all other
// entries. Like Apply, it returns the effective changes.
func (d *Directory) Replace(all []Target) []Change { return d.replace(all, false) }

// ReplaceRestored is like Replace, for content that may be older than the known one, as
// that of a registry that was restored from a copy: a later registration adds a target
// that is missing in it even if nothing has changed.
func (d *Directory) ReplaceRestored(all []Target) []Change { return d.replace(all, true) }

func (d *Directory) replace(all []Target, lost bool) []Change {
	d.mu.Lock()
	listed := make(map[string]bool, len(all))
	changedServices := map[string]bool{}
	var effective []Change
	for i := range all {
		listed[all[i].ID] = true
		if d.apply(&all[i], changedServices) {
			effective = append(effective, Change{ID: all[i].ID, Target: &all[i]})
		}
	}
	for id, e := range d.entries {
		if !listed[id] {
			d.remove(id, e, lost, changedServices)
			effective = append(effective, Change{ID: id, Lost: lost})
		}
	}
	d.loaded = true
	d.mu.Unlock()
	d.notify(changedServices)
	return effective
}

// Apply applies changes in their order. It returns the effective ones:
// registrations that add a target, change more of it than the sequence or cancel
// its delayed removal, and removals, including those that are delayed.
func (d *Directory) Apply(changes []Change) []Change {
	d.mu.Lock()
	changedServices := map[string]bool{}
	var effective []Change
	for _, c := range changes {
		changed := false
		if c.Target != nil {
			changed = d.apply(c.Target, changedServices)
		} else if e := d.entries[c.ID]; e != nil {
			d.remove(c.ID, e, c.Lost, changedServices)
			changed = true
		}
		if changed {
			effective = append(effective, c)
		}
	}
	d.mu.Unlock()
	d.notify(changedServices)
	return effective
}

// apply applies a registration and reports whether that was an effective change.
// It ignores a registration that is older than the known one, or not newer than
// the last one of an incarnation that was removed.
func (d *Directory) apply(t *Target, changedServices map[string]bool) bool {
	e := d.entries[t.ID]
	if e != nil && stale(e.target, t) {
		return false
	}
	merged := *t
	if last, ok := d.removed[t.Incarnation()]; ok && e == nil {
		if t.Sequence <= last.sequence {
			return false
		}
		// An incarnation that has reported Draining never becomes Ready again.
		merged.State = max(merged.State, last.state)
	}
	if e != nil && e.target.StartedMS == t.StartedMS {
		merged.State = max(merged.State, e.target.State)
	}
	if e == nil {
		d.entries[t.ID] = &entry{target: &merged}
		changedServices[merged.Service] = true
		return true
	}
	removalPending := !e.removeAt.IsZero()
	e.removeAt, e.lost = time.Time{}, false
	if !removalPending && e.target.equalIgnoringSequence(&merged) {
		e.target = &merged
		return false
	}
	changedServices[e.target.Service], changedServices[merged.Service] = true, true
	e.target = &merged
	return true
}

// stale reports whether a registration is older than the known one.
func stale(known, registration *Target) bool {
	if known.StartedMS != registration.StartedMS {
		return registration.StartedMS < known.StartedMS
	}
	return registration.Sequence < known.Sequence
}

// remove removes an entry, or delays the removal if the target is Ready and an
// outage of the registry ended less than removalDelay ago.
func (d *Directory) remove(id string, e *entry, lost bool, changedServices map[string]bool) {
	now := d.clock()
	e.lost = lost && (e.lost || e.removeAt.IsZero())
	if until := d.outageEnded.Add(removalDelay); e.target.State == Ready && !d.outageEnded.IsZero() && now.Before(until) {
		if e.removeAt.IsZero() {
			e.removeAt = until
		}
		return
	}
	d.removeNow(id, e, changedServices)
}

func (d *Directory) removeNow(id string, e *entry, changedServices map[string]bool) {
	d.removed[e.target.Incarnation()] = removal{at: d.clock(), sequence: e.lastSequence(), state: e.target.State}
	changedServices[e.target.Service] = true
	delete(d.entries, id)
}

// lastSequence returns the sequence up to which registrations do not add the target
// again once it is removed.
func (e *entry) lastSequence() int64 {
	if e.lost {
		return e.target.Sequence - 1
	}
	return e.target.Sequence
}

// RemoveDue carries out the delayed removals that are due. It also deletes the
// last registrations of incarnations that were removed more than removalRetention
// ago.
func (d *Directory) RemoveDue() {
	d.mu.Lock()
	changedServices := map[string]bool{}
	now := d.clock()
	for id, e := range d.entries {
		if !e.removeAt.IsZero() && !now.Before(e.removeAt) {
			d.removeNow(id, e, changedServices)
		}
	}
	for incarnation, last := range d.removed {
		if now.Sub(last.at) > removalRetention {
			delete(d.removed, incarnation)
		}
	}
	d.mu.Unlock()
	d.notify(changedServices)
}

func (d *Directory) notify(changedServices map[string]bool) {
	for service := range changedServices {
		d.onChange(service)
	}
}

// ByService returns the targets of the service, including draining ones.
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

// Registered returns the targets whose registration is not known to be removed,
// including draining ones. Those whose removal is delayed are missing: an instance
// that takes over this state would not learn of the removal.
func (d *Directory) Registered() []Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	registered := make([]Target, 0, len(d.entries))
	for _, e := range d.entries {
		if e.removeAt.IsZero() {
			registered = append(registered, *e.target)
		}
	}
	return registered
}

// Knows reports whether a target with the ID is registered.
func (d *Directory) Knows(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[id] != nil
}

// Count returns the number of registered targets.
func (d *Directory) Count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.entries)
}
