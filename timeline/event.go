// Package timeline records what a process decided, as events that can be
// ordered over all processes.
package timeline

import (
	"cmp"
	"slices"
	"strings"
)

// Kind names what happened, in snake case.
type Kind string

// The kinds of event.
const (
	InstanceStarted Kind = "instance_started"
	InstanceLeaving Kind = "instance_leaving"
	InstanceStopped Kind = "instance_stopped"
	InstanceStale   Kind = "instance_stale"
	ConfigInForce   Kind = "config_in_force"
	TargetLeaving   Kind = "target_leaving"
	TargetReady     Kind = "target_ready"
	RequestRefused  Kind = "request_refused"
	RequestRetried  Kind = "request_retried"
	RequestUnknown  Kind = "request_unknown"
)

// Event is one thing that a process decided or saw.
type Event struct {
	Time     Timestamp
	Instance string
	Kind     Kind
	Service  string
	Target   string
	Request  string
	// Peer is the other instance that the event is about.
	Peer string
	// Version is the configuration version that the event is about; see
	// HasVersion.
	Version int64
	Detail  string
}

// HasVersion returns whether Version means something. 0 is the version of the
// first change, so that events about the configuration always have one.
func (e Event) HasVersion() bool {
	return e.Version != 0 || strings.HasPrefix(string(e.Kind), "config_")
}

// Filter selects events. Empty fields select everything.
type Filter struct {
	// After excludes events up to and including the stamp.
	After Timestamp
	// Before excludes events from the stamp on; 0 excludes none.
	Before  Timestamp
	Request string
	Target  string
	Service string
	// Limit bounds the number of events, of which the newest are kept.
	// 0 means no bound.
	Limit int
}

// Match returns whether the filter selects the event, its limit aside.
func (f Filter) Match(e *Event) bool {
	return e.Time > f.After &&
		(f.Before == 0 || e.Time < f.Before) &&
		(f.Request == "" || e.Request == f.Request) &&
		(f.Target == "" || e.Target == f.Target) &&
		(f.Service == "" || e.Service == f.Service)
}

func (f Filter) newest(events []Event) []Event {
	if f.Limit > 0 && len(events) > f.Limit {
		return events[len(events)-f.Limit:]
	}
	return events
}

// Merge returns the events of several processes in one order: by stamp, then
// by instance. An event that occurs in several lists appears once. It returns
// the newest events when the filter has a limit.
func Merge(f Filter, processes ...[]Event) []Event {
	var all []Event
	for _, events := range processes {
		for i := range events {
			if f.Match(&events[i]) {
				all = append(all, events[i])
			}
		}
	}
	slices.SortStableFunc(all, compare)
	all = slices.CompactFunc(all, func(a, b Event) bool { return a == b })
	return f.newest(all)
}

func compare(a, b Event) int {
	return cmp.Or(cmp.Compare(a.Time, b.Time), cmp.Compare(a.Instance, b.Instance))
}
