// Package timeline records what a process decided, as events that can be
// ordered over all processes.
package timeline

import (
	"sync"
	"time"
)

// Kind names what happened, in snake case.
type Kind string

// The kinds of event.
const (
	InstanceStarted     Kind = "instance_started"
	InstanceLeaving     Kind = "instance_leaving"
	InstanceStopped     Kind = "instance_stopped"
	InstanceStale       Kind = "instance_stale"
	InstanceFresh       Kind = "instance_fresh"
	PeerState           Kind = "peer_state"
	ConfigInForce       Kind = "config_in_force"
	ConfigRejected      Kind = "config_rejected"
	ConfigPublished     Kind = "config_published"
	TargetLeaving       Kind = "target_leaving"
	TargetReady         Kind = "target_ready"
	TargetEjected       Kind = "target_ejected"
	TargetReturned      Kind = "target_returned"
	RequestRefused      Kind = "request_refused"
	RequestRetried      Kind = "request_retried"
	RequestUnknown      Kind = "request_unknown"
	RequestForwarded    Kind = "request_forwarded"
	PlatformUnavailable Kind = "platform_unavailable"
	PlatformAvailable   Kind = "platform_available"
)

// Event is one thing that a process decided or saw.
type Event struct {
	Time     Stamp
	Instance string
	Kind     Kind
	Service  string
	Target   string
	Request  string
	// Peer is the other instance that the event is about.
	Peer string
	// Version is the configuration version that the event is about, 0 if none.
	Version int64
	Detail  string
}

// Stamp is a time of a hybrid logical clock: Unix milliseconds in the upper 48
// bits, a counter in the lower 16.
type Stamp uint64

const counterBits = 16

// Time returns the wall time of the stamp.
func (s Stamp) Time() time.Time { return time.UnixMilli(int64(s >> counterBits)) }

// Clock is a hybrid logical clock. It never goes back, and it passes every
// stamp that it observes.
type Clock struct {
	mu   sync.Mutex
	last Stamp
	now  func() time.Time
}

// NewClock returns a clock over the wall time that the function gives.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a stamp later than every stamp returned or observed before.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, Stamp(c.now().UnixMilli())<<counterBits)
	return c.last
}

// Observe moves the clock past a stamp from another process.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, s)
}

// defaultCapacity bounds the events that a process keeps.
const defaultCapacity = 8192

// Recorder keeps the newest events of a process in a ring buffer.
type Recorder struct {
	instance string
	clock    *Clock

	mu     sync.Mutex
	events []Event
	next   int
}

// NewRecorder returns a recorder for the instance.
func NewRecorder(instance string, clock *Clock) *Recorder {
	return &Recorder{instance: instance, clock: clock}
}

// Record stamps the event and keeps it.
func (r *Recorder) Record(e Event) {
	e.Time = r.clock.Now()
	e.Instance = r.instance
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < defaultCapacity {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % defaultCapacity
}

// Since returns the kept events after the stamp, oldest first.
func (r *Recorder) Since(after Stamp) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Event
	for i := range r.events {
		e := r.events[(r.next+i)%len(r.events)]
		if e.Time > after {
			found = append(found, e)
		}
	}
	return found
}
