package membership

// Changes signals that TakePending has something to return.
func (d *Directory) Changes() <-chan struct{} { return d.changes }

// TakePending returns and clears the local changes that the peers must learn:
// this instance's own state, its claims, and the signals of targets. After
// more changes than are kept, it returns all that the instance knows.
func (d *Directory) TakePending() News {
	d.mu.Lock()
	defer d.mu.Unlock()
	pending := d.pending
	if d.overflowed {
		pending = d.report()
	}
	d.pending = News{}
	d.overflowed = false
	return pending
}

// Report returns all that this instance knows, for a peer whose view may
// lack it. A suspected instance appears with its own report and the claim.
func (d *Directory) Report() News {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.report()
}

// report returns all that this instance knows. The caller holds the lock.
func (d *Directory) report() News {
	news := News{Instances: []Instance{d.self}, Targets: d.targets.reports()}
	for _, r := range d.records {
		news.Instances = append(news.Instances, r.reports()...)
	}
	return news
}

// reports returns the reports whose merge gives the record.
func (r *record) reports() []Instance {
	var all []Instance
	if r.info.Incarnation != 0 {
		own := r.info
		if r.left {
			own.State = Leaving
		}
		all = append(all, own)
	}
	if r.suspected.holds(r.info.Sequence) || r.dead.holds(r.info.Sequence) {
		claimed := r.info
		claimed.State = Suspect
		claimed.Sequence = max(r.suspected.sequence, r.dead.sequence)
		all = append(all, claimed)
	}
	return all
}

// enqueue adds to the local changes. The caller holds the lock.
func (d *Directory) enqueue(news News) {
	if len(d.pending.Instances)+len(d.pending.Targets) < maxPending {
		d.pending.Instances = append(d.pending.Instances, news.Instances...)
		d.pending.Targets = append(d.pending.Targets, news.Targets...)
	} else {
		d.overflowed = true
	}
	select {
	case d.changes <- struct{}{}:
	default:
	}
}
