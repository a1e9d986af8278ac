package timeline

import (
	"slices"
	"strings"
	"sync"
)

// DefaultCapacity is the number of events that a process keeps by default. At
// about 200 bytes per event they take some 2 MB, and less than 12 MB with the longest texts.
const DefaultCapacity = 8192

// There are 16 shards, more than an instance has CPU cores, to keep lock
// contention low.
const (
	shardBits  = 4
	shardCount = 1 << shardBits
)

// fibonacciMultiplier is 2^64 divided by the golden ratio, as in Fibonacci
// hashing. The upper bits of a timestamp multiplied by it are evenly distributed,
// even if the counter of every timestamp is 0.
const fibonacciMultiplier = 0x9E3779B97F4A7C15

// Recorder keeps the newest events of a process. It is safe for concurrent use.
type Recorder struct {
	instance string
	clock    *Clock
	shards   [shardCount]shard
}

// shard is a ring buffer with its own lock.
type shard struct {
	mu       sync.Mutex
	capacity int
	events   []Event
	next     int
	// lastDropped is the latest timestamp among the overwritten events.
	lastDropped Timestamp
	// Padding that avoids false sharing between the locks of adjacent shards.
	_ [64]byte
}

// RecorderOption configures a Recorder.
type RecorderOption func(*Recorder)

// WithCapacity sets the number of events that the recorder keeps. Each shard keeps
// at least one.
func WithCapacity(events int) RecorderOption {
	return func(r *Recorder) {
		for i := range r.shards {
			r.shards[i].capacity = max(1, events/shardCount)
		}
	}
}

// NewRecorder returns a recorder for the instance.
func NewRecorder(instance string, clock *Clock, opts ...RecorderOption) *Recorder {
	r := &Recorder{instance: instance, clock: clock}
	WithCapacity(DefaultCapacity)(r)
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Clock returns the clock of the event timestamps. Messages to other processes
// carry its timestamps, and it observes those that are received.
func (r *Recorder) Clock() *Clock { return r.clock }

// maxTextBytes limits each text of a stored event, some of which quote what others send.
const maxTextBytes = 256

// Record sets the time and the instance of the event and stores it. It truncates texts of
// more than maxTextBytes.
func (r *Recorder) Record(e Event) {
	for _, text := range []*string{&e.Service, &e.Target, &e.Request, &e.Peer, &e.Detail} {
		if len(*text) > maxTextBytes {
			*text = strings.Clone((*text)[:maxTextBytes]) // a part would keep the whole text
		}
	}
	e.Time = r.clock.Now()
	e.Instance = r.instance
	r.shards[uint64(e.Time)*fibonacciMultiplier>>(64-shardBits)].add(e)
}

// Since returns the stored events after the timestamp, oldest first.
func (r *Recorder) Since(after Timestamp) []Event {
	return r.Events(Filter{After: after})
}

// Events returns the stored events that match the filter, oldest first.
func (r *Recorder) Events(f Filter) []Event {
	var matches []Event
	for i := range r.shards {
		matches = r.shards[i].appendMatches(matches, f)
	}
	slices.SortFunc(matches, compareEvents)
	return f.applyLimit(matches)
}

// LastDropped returns the latest timestamp among the overwritten events. The
// recorder holds every event after it.
func (r *Recorder) LastDropped() Timestamp {
	var latest Timestamp
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		latest = max(latest, s.lastDropped)
		s.mu.Unlock()
	}
	return latest
}

func (s *shard) add(e Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.events) < s.capacity {
		s.events = append(s.events, e)
		return
	}
	s.lastDropped = max(s.lastDropped, s.events[s.next].Time)
	s.events[s.next] = e
	s.next = (s.next + 1) % s.capacity
}

func (s *shard) appendMatches(matches []Event, f Filter) []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.events {
		if f.Match(&s.events[i]) {
			matches = append(matches, s.events[i])
		}
	}
	return matches
}
