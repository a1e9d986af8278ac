package timeline

import (
	"slices"
	"sync"
)

// DefaultCapacity bounds the events that a process keeps. At about 200 bytes
// an event they take some 2 MB.
const DefaultCapacity = 8192

// shardBits gives 16 shards, more than the cores of an entry instance.
const (
	shardBits  = 4
	shardCount = 1 << shardBits
)

// spread is 2^64 divided by the golden ratio. The upper bits of a stamp times
// spread are evenly distributed, also when every stamp has the counter 0.
const spread = 0x9E3779B97F4A7C15

// Recorder keeps the newest events of a process. It is safe for concurrent use.
type Recorder struct {
	instance string
	clock    *Clock
	shards   [shardCount]shard
}

// shard is a ring buffer under its own lock.
type shard struct {
	mu       sync.Mutex
	capacity int
	events   []Event
	next     int
	// dropped is the latest stamp that the ring no longer holds.
	dropped Timestamp
	// The padding keeps two locks out of one cache line.
	_ [64]byte
}

// RecorderOption changes a recorder.
type RecorderOption func(*Recorder)

// WithCapacity sets the number of events that the recorder keeps, at least one
// per shard.
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

// Clock returns the clock that stamps the events. Sessions with other
// processes send its stamps and let it observe theirs.
func (r *Recorder) Clock() *Clock { return r.clock }

// Record stamps the event and keeps it.
func (r *Recorder) Record(e Event) {
	e.Time = r.clock.Now()
	e.Instance = r.instance
	r.shards[uint64(e.Time)*spread>>(64-shardBits)].keep(e)
}

// Since returns the kept events after the stamp, oldest first.
func (r *Recorder) Since(after Timestamp) []Event {
	return r.Events(Filter{After: after})
}

// Events returns the kept events that the filter selects, oldest first.
func (r *Recorder) Events(f Filter) []Event {
	var found []Event
	for i := range r.shards {
		found = r.shards[i].appendTo(found, f)
	}
	slices.SortFunc(found, compare)
	return f.newest(found)
}

// LastDropped returns the latest stamp of an event that was dropped to make
// room. The recorder holds every event after it.
func (r *Recorder) LastDropped() Timestamp {
	var latest Timestamp
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		latest = max(latest, s.dropped)
		s.mu.Unlock()
	}
	return latest
}

func (s *shard) keep(e Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.events) < s.capacity {
		s.events = append(s.events, e)
		return
	}
	s.dropped = max(s.dropped, s.events[s.next].Time)
	s.events[s.next] = e
	s.next = (s.next + 1) % s.capacity
}

func (s *shard) appendTo(found []Event, f Filter) []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.events {
		if f.Match(&s.events[i]) {
			found = append(found, s.events[i])
		}
	}
	return found
}
