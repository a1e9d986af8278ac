package crashes

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbrelay/targets"
)

const (
	// MaxCrashes is the number of targets that may end while copies of a request are in
	// flight there, before it is sent to no target any more.
	MaxCrashes = 3
	// MaxRecordedTargets limits the targets of a record. More than MaxCrashes are
	// recorded, to tell which other requests only ran beside the one that ended them.
	MaxRecordedTargets = 8
	// retention is the time since the last such end after which a record is removed.
	retention = 10 * time.Minute
	// maxRecords limits the records, since each end of a target adds one for each
	// request in flight there. Beyond it, the record with the fewest crashes goes.
	maxRecords = 1024
)

// TargetKey identifies an incarnation of a target.
type TargetKey uint64

// NewTargetKey returns the key of an incarnation.
func NewTargetKey(incarnation targets.Incarnation) TargetKey {
	h := xxhash.NewWithSeed(uint64(incarnation.StartedMS))
	_, _ = h.WriteString(incarnation.ID) // cannot fail
	return TargetKey(h.Sum64())
}

// Record is what is known of the copies of one request.
type Record struct {
	Fingerprint Fingerprint
	// Targets ended while a copy was in flight there; MaxRecordedTargets at most.
	Targets []TargetKey
	// Age is the time since the last of them ended.
	Age time.Duration
}

// entry is a record in a ledger.
type entry struct {
	targets []TargetKey
	lastAt  time.Time
}

// Ledger holds the records of requests that were in flight when targets ended. A
// request that causes this never completes, while any other one completes sooner or
// later, which removes its record. Ledger is safe for concurrent use.
type Ledger struct {
	clock    func() time.Time
	onChange func(Record)

	size    atomic.Int64 // number of entries, to be read without the lock
	mu      sync.Mutex
	entries map[Fingerprint]*entry
}

// Option configures a Ledger.
type Option func(*Ledger)

// WithClock sets the function that returns the current time.
func WithClock(clock func() time.Time) Option { return func(l *Ledger) { l.clock = clock } }

// WithOnChange sets a function that is called, without a lock held, with each record
// that this instance has changed. A record without targets was removed. It is not
// called for records of other instances.
func WithOnChange(fn func(Record)) Option { return func(l *Ledger) { l.onChange = fn } }

// NewLedger returns a ledger without records.
func NewLedger(opts ...Option) *Ledger {
	l := &Ledger{clock: time.Now, onChange: func(Record) {}, entries: map[Fingerprint]*entry{}}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// IsEmpty reports whether there are no records. It is cheap, so that requests need no
// fingerprint as long as no target ends.
func (l *Ledger) IsEmpty() bool { return l.size.Load() == 0 }

// Crashes returns the number of targets that ended while a copy of the request was in
// flight there, MaxCrashes at most.
func (l *Ledger) Crashes(f Fingerprint) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[f]
	if e == nil || l.clock().Sub(e.lastAt) > retention {
		return 0
	}
	return min(l.count(e), MaxCrashes)
}

// Add records that a target has ended while the request was in flight there.
func (l *Ledger) Add(f Fingerprint, incarnation targets.Incarnation) {
	record := Record{Fingerprint: f, Targets: []TargetKey{NewTargetKey(incarnation)}}
	l.mu.Lock()
	l.removeExpired()
	l.merge(record)
	record.Targets = slices.Clone(l.entries[f].targets)
	l.mu.Unlock()
	l.onChange(record)
}

// Complete records that a target has responded to the request, which therefore does
// not end targets.
func (l *Ledger) Complete(f Fingerprint) {
	l.mu.Lock()
	known := l.entries[f] != nil
	l.remove(f)
	l.mu.Unlock()
	if known {
		l.onChange(Record{Fingerprint: f})
	}
}

// Merge adds the records of another instance. A record without targets removes the
// record of that request.
func (l *Ledger) Merge(records []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired()
	for _, r := range records {
		if len(r.Targets) == 0 {
			l.remove(r.Fingerprint)
			continue
		}
		l.merge(r)
	}
}

// merge adds a record to the one that is known of the same request. The caller must
// hold l.mu.
func (l *Ledger) merge(r Record) {
	e := l.entries[r.Fingerprint]
	if e == nil {
		l.makeRoom()
		e = &entry{}
		l.entries[r.Fingerprint] = e
		l.size.Store(int64(len(l.entries)))
	}
	if at := l.clock().Add(-r.Age); at.After(e.lastAt) {
		e.lastAt = at
	}
	for _, target := range r.Targets {
		if len(e.targets) < MaxRecordedTargets && !slices.Contains(e.targets, target) {
			e.targets = append(e.targets, target)
		}
	}
}

// count returns the number of targets of an entry, without those of a blocked entry with
// more targets: the request of that one is the cause, and this one only ran beside it.
// The caller must hold l.mu.
func (l *Ledger) count(e *entry) int {
	n := 0
	for _, target := range e.targets {
		if !l.isExplained(target, len(e.targets)) {
			n++
		}
	}
	return n
}

// isExplained reports whether a blocked entry with more targets than the given number has
// the target. The caller must hold l.mu.
func (l *Ledger) isExplained(target TargetKey, count int) bool {
	for _, e := range l.entries {
		if len(e.targets) >= MaxCrashes && len(e.targets) > count && slices.Contains(e.targets, target) {
			return true
		}
	}
	return false
}

func (l *Ledger) remove(f Fingerprint) {
	delete(l.entries, f)
	l.size.Store(int64(len(l.entries)))
}

func (l *Ledger) removeExpired() {
	now := l.clock()
	for f, e := range l.entries {
		if now.Sub(e.lastAt) > retention {
			l.remove(f)
		}
	}
}

// makeRoom removes the oldest of the records with the fewest crashes if there are
// maxRecords. The caller must hold l.mu.
func (l *Ledger) makeRoom() {
	if len(l.entries) < maxRecords {
		return
	}
	var victim Fingerprint
	var least *entry
	for f, e := range l.entries {
		if least == nil || len(e.targets) < len(least.targets) || len(e.targets) == len(least.targets) && e.lastAt.Before(least.lastAt) {
			victim, least = f, e
		}
	}
	l.remove(victim)
}

// BlockedCount returns the number of requests that are sent to no target any more.
func (l *Ledger) BlockedCount() int { return len(l.Blocked(maxRecords)) }

// Blocked returns the records of the requests that are sent to no target any more, the
// newest first, and the limit at most.
func (l *Ledger) Blocked(limit int) []Record {
	if l.IsEmpty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	var blocked []Record
	for f, e := range l.entries {
		if age := now.Sub(e.lastAt); age <= retention && l.count(e) >= MaxCrashes {
			blocked = append(blocked, Record{Fingerprint: f, Targets: slices.Clone(e.targets), Age: age})
		}
	}
	slices.SortFunc(blocked, func(a, b Record) int { return int(a.Age - b.Age) })
	return blocked[:min(len(blocked), limit)]
}
