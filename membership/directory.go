// Package membership knows which instances of the system and which targets are
// live or leaving. It merges the platform's list, which lags, with what the
// instances and targets say themselves.
package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbrelay/platform"
	"rhubarbrelay/timeline"
)

const (
	// SuspicionTimeout is how long a suspected instance has to refute.
	SuspicionTimeout = 5 * time.Second
	// heardTimeout is how long a direct message outweighs the instance's
	// removal from the list. It equals the time without a heartbeat after
	// which a session is dialled again.
	heardTimeout = 3 * time.Second
	// deadRetention is how long dead instances stay known, so that they are
	// found again when a partition heals. Regions lose each other for an hour.
	deadRetention = 2 * time.Hour
	// maxRecords and maxTargets bound the memory that reports can fill. The
	// design scale has 1,000 targets and fewer instances.
	maxRecords = 4096
	maxTargets = 8192
	// maxPending bounds the local changes that wait to be sent to the peers.
	maxPending = 1024
)

// Directory holds the instances and the leaving targets that this instance
// knows. It is safe for concurrent use.
type Directory struct {
	now       func() time.Time
	suspicion time.Duration
	clock     *timeline.Clock
	revision  atomic.Uint64
	changes   chan struct{}

	mu      sync.RWMutex
	self    Instance
	records map[string]*record
	listed  map[string]listing
	targets targetStates
	pending News
	// overflowed is set when a change found no room in pending.
	overflowed bool
	// subscribers is replaced, never changed in place.
	subscribers []func()
}

// listing is what the list says of one instance.
type listing struct {
	leaving bool
	// incarnation is the one known when the list first said leaving, 0 when
	// none was. A later incarnation is not leaving, although the list lags.
	incarnation int64
}

// Option changes a Directory under construction.
type Option func(*Directory)

// WithClock sets the clock that stamps the signals of targets.
func WithClock(c *timeline.Clock) Option {
	return func(d *Directory) { d.clock = c }
}

// WithNow sets the source of the local time.
func WithNow(now func() time.Time) Option {
	return func(d *Directory) { d.now = now }
}

// WithSuspicionTimeout sets how long a suspected instance has to refute.
func WithSuspicionTimeout(timeout time.Duration) Option {
	return func(d *Directory) { d.suspicion = timeout }
}

// NewDirectory returns a directory that knows only the instance itself.
func NewDirectory(self Instance, opts ...Option) *Directory {
	d := &Directory{
		now:       time.Now,
		suspicion: SuspicionTimeout,
		changes:   make(chan struct{}, 1),
		self:      self,
		records:   map[string]*record{},
		listed:    map[string]listing{},
		targets:   newTargetStates(),
	}
	// A sequence of 0 stands for an instance that has not reported itself.
	d.self.Sequence = max(1, self.Sequence)
	for _, opt := range opts {
		opt(d)
	}
	if d.clock == nil {
		d.clock = timeline.NewClock(d.now)
	}
	return d
}

// ApplyList replaces what the platform's list says. An instance that the list
// no longer names is dead unless it was heard directly just now. A list
// without any instance removes none, because it is more likely a fault of the
// list than the end of all instances.
func (d *Directory) ApplyList(list []platform.Instance) {
	d.changeAll(func() {
		listed := map[string]listing{}
		d.targets.listed = map[netip.AddrPort]bool{}
		for _, in := range list {
			switch {
			case in.Role == platform.RoleTarget && in.State == platform.StateLeaving:
				d.targets.listed[in.CallerAddress] = true
			case in.Role == platform.RoleEntry && in.ID != d.self.ID:
				listed[in.ID] = d.list(in)
			}
		}
		if !slices.ContainsFunc(list, func(in platform.Instance) bool { return in.Role == platform.RoleEntry }) {
			return
		}
		for id := range d.listed {
			if _, ok := listed[id]; !ok {
				d.unlist(id)
			}
		}
		d.listed = listed
	})
}

// list adds an instance that the list names. What the instance says itself
// precedes the list, so a known incarnation stays as it is.
func (d *Directory) list(in platform.Instance) listing {
	before, known := d.listed[in.ID]
	r := d.records[in.ID]
	if r == nil && len(d.records) < maxRecords {
		r = &record{}
		d.records[in.ID] = r
	}
	if r == nil {
		return listing{}
	}
	if r.info.Incarnation == 0 {
		if !known {
			*r = record{}
		}
		r.info = instanceFromList(in)
	}
	l := listing{leaving: in.State == platform.StateLeaving}
	if l.leaving {
		l.incarnation = r.info.Incarnation
		if before.leaving && before.incarnation != 0 {
			l.incarnation = before.incarnation
		}
	}
	return l
}

func (d *Directory) unlist(id string) {
	r := d.records[id]
	switch {
	case r == nil:
	case r.info.Incarnation == 0:
		delete(d.records, id)
	case d.now().Sub(r.heardAt) > heardTimeout && r.state() != Dead:
		d.declareDead(r)
	}
}

func (d *Directory) declareDead(r *record) {
	r.dead.add(r.info.Sequence)
	r.diedAt = d.now()
	d.enqueue(News{Instances: []Instance{r.instance()}})
}

func instanceFromList(in platform.Instance) Instance {
	return Instance{
		ID: in.ID, Zone: in.Zone, State: Live,
		CallerAddress: in.CallerAddress, PeerAddress: in.PeerAddress, AdminAddress: in.AdminAddress,
	}
}

// ApplyNews merges reports from peers and returns those that changed what this
// instance knows, which are the ones to pass on. The order of reports and
// their repetition make no difference. A claim that this instance is suspect
// or dead is refuted with a higher sequence.
func (d *Directory) ApplyNews(news News) News {
	var fresh News
	d.change(func() bool {
		changed := false
		for _, in := range news.Instances {
			isFresh, differs := d.applyInstance(in)
			if isFresh {
				fresh.Instances = append(fresh.Instances, in)
			}
			changed = changed || differs
		}
		for _, t := range news.Targets {
			before := d.targets.leaving(t.Address)
			if d.targets.apply(t) {
				d.clock.Observe(t.Stamp)
				fresh.Targets = append(fresh.Targets, t)
			}
			changed = changed || before != d.targets.leaving(t.Address)
		}
		return changed
	})
	return fresh
}

// Heard merges what an instance said of itself directly, in a hello or a
// heartbeat, and returns whether that was new.
func (d *Directory) Heard(in Instance) bool {
	if d.heardAgain(in) {
		return false
	}
	fresh := false
	d.change(func() bool {
		var changed bool
		fresh, changed = d.applyInstance(in)
		if r := d.records[in.ID]; r != nil && r.info.Incarnation == in.Incarnation {
			r.heardAt = d.now()
		}
		return changed
	})
	return fresh
}

// heardAgain handles the usual heartbeat, which repeats the last report,
// without comparing the whole view.
func (d *Directory) heardAgain(in Instance) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.records[in.ID]
	if r == nil || r.info != in {
		return false
	}
	r.heardAt = d.now()
	return true
}

// applyInstance merges a report. It returns whether the report was new and
// whether the view changed by it.
func (d *Directory) applyInstance(in Instance) (fresh, changed bool) {
	if in.ID == "" {
		return false, false
	}
	if in.ID == d.self.ID {
		d.refute(in)
		return false, false
	}
	r := d.records[in.ID]
	if r == nil {
		if len(d.records) >= maxRecords {
			return false, false
		}
		r = &record{}
		d.records[in.ID] = r
	}
	before := *r
	seen := d.stateWithList(r)
	r.merge(in, d.now())
	if l := d.listed[in.ID]; l.leaving && l.incarnation == 0 {
		l.incarnation = r.info.Incarnation
		d.listed[in.ID] = l
	}
	before.suspectedAt = r.suspectedAt
	return before != *r, differ(seen, d.stateWithList(r))
}

// differ returns whether subscribers see a difference. A refutation that
// changes nothing but the sequence is none.
func differ(a, b Instance) bool {
	a.Sequence = b.Sequence
	return a != b
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

// SetSelf changes the state of this instance. Leaving is final.
func (d *Directory) SetSelf(state State) {
	d.change(func() bool {
		if d.self.State == Leaving || d.self.State == state {
			return false
		}
		d.self.State = state
		d.self.Sequence++
		d.enqueue(News{Instances: []Instance{d.self}})
		return true
	})
}

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

// stateWithList returns the instance with the list's leaving signal applied.
func (d *Directory) stateWithList(r *record) Instance {
	in := r.instance()
	l := d.listed[in.ID]
	if l.leaving && l.incarnation == in.Incarnation && in.State != Dead {
		in.State = Leaving
	}
	return in
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

// Subscribe calls the function after every change. No lock is held during the
// call.
func (d *Directory) Subscribe(fn func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers = append(slices.Clone(d.subscribers), fn)
}

// changeAll runs a function that may change any part of the view. It compares
// the whole view, which is too costly for each report of a peer.
func (d *Directory) changeAll(fn func()) {
	d.change(func() bool {
		before := d.fingerprint()
		fn()
		return before != d.fingerprint()
	})
}

// change runs the function under the lock and notifies the subscribers when
// the function returns that the view differs.
func (d *Directory) change(fn func() bool) {
	d.mu.Lock()
	changed := fn()
	if changed {
		d.revision.Add(1)
	}
	subscribers := d.subscribers
	d.mu.Unlock()
	if !changed {
		return
	}
	for _, notify := range subscribers {
		notify()
	}
}
