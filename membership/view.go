package membership

import (
	"cmp"
	"slices"
)

// Self returns this instance.
func (d *Directory) Self() Instance {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.self
}

// Instances returns every known instance that is not dead, this one included,
// by id.
func (d *Directory) Instances() []Instance {
	return slices.DeleteFunc(d.Known(), func(in Instance) bool { return in.State == Dead })
}

// Known returns every known instance, dead ones and this one included, by id.
func (d *Directory) Known() []Instance {
	d.mu.RLock()
	defer d.mu.RUnlock()
	all := make([]Instance, 0, len(d.records)+1)
	all = append(all, d.self)
	for _, r := range d.records {
		all = append(all, d.stateWithList(r))
	}
	slices.SortFunc(all, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Lookup returns the instance with the id.
func (d *Directory) Lookup(id string) (Instance, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if id == d.self.ID {
		return d.self, true
	}
	r, ok := d.records[id]
	if !ok {
		return Instance{}, false
	}
	return d.stateWithList(r), true
}

// LiveCount returns the number of live instances, this one included, for
// comparison with the configured largest number of instances.
func (d *Directory) LiveCount() int {
	n := 0
	for _, in := range d.Instances() {
		if in.State == Live {
			n++
		}
	}
	return n
}

// Alone returns whether no other instance is known that is not dead.
func (d *Directory) Alone() bool { return len(d.Instances()) == 1 }

// Revision returns a number that grows with every change of the view.
func (d *Directory) Revision() uint64 { return d.revision.Load() }

// stateWithList returns the instance with the list's leaving signal applied.
func (d *Directory) stateWithList(r *record) Instance {
	in := r.instance()
	l := d.listed[in.ID]
	if l.leaving && l.incarnation == in.Incarnation && in.State != Dead {
		in.State = Leaving
	}
	return in
}

// differ returns whether subscribers see a difference. A refutation that
// changes nothing but the sequence is none.
func differ(a, b Instance) bool {
	a.Sequence = b.Sequence
	return a != b
}
