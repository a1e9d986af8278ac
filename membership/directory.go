// Package membership knows which instances of the system and which targets are
// live or leaving. It merges the platform's list, which lags, with what the
// instances and targets say themselves.
package membership

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

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
