// Package timeline records the decisions of a process as events. Hybrid logical
// clock timestamps order the events of all processes.
package timeline

import (
	"cmp"
	"slices"
	"strings"
)

// Kind is the type of an event, in snake case.
type Kind string

// Event kinds.
const (
	InstanceStarted Kind = "instance_started"
	InstanceLeaving Kind = "instance_leaving"
	InstanceStopped Kind = "instance_stopped"
	InstanceStale   Kind = "instance_stale" // the machine was suspended
	ConfigInForce   Kind = "config_in_force"
	TargetLeaving   Kind = "target_leaving" // the target started to drain or was removed
	TargetReady     Kind = "target_ready"
	ZoneEvacuated   Kind = "zone_evacuated" // the targets of the zone in Detail get no requests any more
	ZoneRestored    Kind = "zone_restored"  // they get requests again
	RequestRefused  Kind = "request_refused"
	// RequestRetried means that a try failed, whether or not another one follows, or
	// that the request was hedged.
	RequestRetried Kind = "request_retried"
	// RequestPassedOn means that another instance has got the request, as this one cannot
	// reach the targets.
	RequestPassedOn Kind = "request_passed_on"
	RequestUnknown  Kind = "request_unknown" // the request failed and may have run
)

// Event is a decision or an observation of a process.
type Event struct {
	Time     Timestamp
	Instance string
	Kind     Kind
	Service  string
	Target   string
	Request  string
	// Peer is the address of the other instance that the event is about. Only
	// RequestPassedOn events set it.
	Peer string
	// Version is the configuration version that the event is about. Only
	// ConfigInForce events set it.
	Version int64
	Detail  string
}

// HasVersion reports whether the formatted output includes the version: always for
// events about the configuration, even if it is 0, and for others if it is not 0.
func (e Event) HasVersion() bool {
	return e.Version != 0 || strings.HasPrefix(string(e.Kind), "config_")
}

// Filter selects events. Zero fields match every event.
type Filter struct {
	// After excludes events up to and including the timestamp.
	After Timestamp
	// Before excludes events from the timestamp on; 0 excludes none.
	Before  Timestamp
	Request string
	Target  string
	Service string
	// Limit is the maximum number of events. The newest are kept; 0 means no limit.
	Limit int
}

// Match reports whether the filter selects the event. It ignores Limit.
func (f Filter) Match(e *Event) bool {
	return e.Time > f.After &&
		(f.Before == 0 || e.Time < f.Before) &&
		(f.Request == "" || e.Request == f.Request) &&
		(f.Target == "" || e.Target == f.Target) &&
		(f.Service == "" || e.Service == f.Service)
}

func (f Filter) applyLimit(events []Event) []Event {
	if f.Limit > 0 && len(events) > f.Limit {
		return events[len(events)-f.Limit:]
	}
	return events
}

// Merge merges the events of several processes, sorted by timestamp, then by
// instance, and removes duplicates. If the filter has a limit, it returns the
// newest events.
func Merge(f Filter, eventLists ...[]Event) []Event {
	var all []Event
	for _, events := range eventLists {
		for i := range events {
			if f.Match(&events[i]) {
				all = append(all, events[i])
			}
		}
	}
	slices.SortStableFunc(all, compareEvents)
	all = slices.CompactFunc(all, func(a, b Event) bool { return a == b })
	return f.applyLimit(all)
}

func compareEvents(a, b Event) int {
	return cmp.Or(cmp.Compare(a.Time, b.Time), cmp.Compare(a.Instance, b.Instance))
}
