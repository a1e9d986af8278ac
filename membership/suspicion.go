package membership

// Suspect notes that this instance cannot reach another one.
func (d *Directory) Suspect(id string) {
	d.change(func() bool {
		r := d.records[id]
		if r == nil || r.state() == Dead || r.suspected.holds(r.info.Sequence) {
			return false
		}
		claimed := r.info
		claimed.State = Suspect
		r.merge(claimed, d.now())
		d.enqueue(News{Instances: []Instance{claimed}})
		return true
	})
}

// Expire declares the instances dead that did not refute a suspicion in time,
// and forgets those that have been dead for long. It is called periodically.
func (d *Directory) Expire() {
	d.change(func() bool {
		changed := false
		now := d.now()
		for id, r := range d.records {
			switch {
			case r.state() == Dead:
				if _, ok := d.listed[id]; !ok && now.Sub(r.diedAt) > deadRetention {
					delete(d.records, id)
				}
			case r.suspected.holds(r.info.Sequence) && now.Sub(r.suspectedAt) >= d.suspicion:
				r.dead.add(r.info.Sequence)
				r.diedAt = now
				changed = true
			}
		}
		return changed
	})
}

// refute answers a claim against this instance.
func (d *Directory) refute(in Instance) {
	claimed := in.State == Suspect || in.State == Dead
	if !claimed || in.Incarnation > d.self.Incarnation {
		return
	}
	if in.Incarnation == d.self.Incarnation && in.Sequence < d.self.Sequence {
		return
	}
	d.self.Sequence++
	if in.Incarnation == d.self.Incarnation {
		d.self.Sequence = max(d.self.Sequence, in.Sequence+1)
	}
	d.enqueue(News{Instances: []Instance{d.self}})
}

func (d *Directory) declareDead(r *record) {
	r.dead.add(r.info.Sequence)
	r.diedAt = d.now()
	d.enqueue(News{Instances: []Instance{r.instance()}})
}
