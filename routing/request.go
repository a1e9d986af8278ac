// Package routing decides which target runs a request, and when. It keeps the
// queue of each service and the known state of its targets.
//
// A load report is outdated after a few milliseconds. The dispatcher therefore
// probes a few targets for their load at the time of the decision and sends the
// request on the connection of the best one.
package routing

import (
	"errors"
	"time"

	"rhubarbrelay/limits"
	"rhubarbrelay/targets"
)

// The causes of a refusal by Acquire. In each case the request was not run.
var (
	// ErrNoCapacity means that no target has capacity within the time that the
	// request may wait, or that the request can no longer finish within its
	// objective and would wait behind others.
	ErrNoCapacity = errors.New("no target becomes free in time")
	// ErrNoTarget means that the service has no target, or none on which a retry
	// may run. A retry does not wait for one.
	ErrNoTarget = errors.New("no target is available")
	// ErrUnreachable means that the targets cannot be reached from this instance, while
	// another one can run the request. It is not wrapped in a RefusalError.
	ErrUnreachable = errors.New("targets cannot be reached from this instance")
)

// Request describes a request that needs a target.
type Request struct {
	// Route is the key of the duration estimate: requests of a route take
	// similar times.
	Route    string
	Arrival  time.Time
	Deadline time.Time
	// Objective is the time within which a response is useful. PriorElapsed
	// is the part of it that earlier attempts of the caller have taken.
	Objective    time.Duration
	PriorElapsed time.Duration
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// Exclude lists the targets of earlier tries.
	Exclude []targets.Incarnation
	// Retry marks a retry or a hedge, which does not wait.
	Retry bool
	// Requeued marks a request that had a target, but no connection to it was free. It waits
	// like a new one, but has been counted.
	Requeued bool
	// Elsewhere marks a request that another instance may run: it does not wait for targets
	// that this instance cannot reach.
	Elsewhere bool
	// Suspect marks a request that may end the target that runs it. No two such
	// requests of this instance run on a target at a time, so that the end of the
	// target tells which of them is the cause.
	Suspect bool
}

// due returns the time until which a response is useful.
func (r *Request) due() time.Time { return r.Arrival.Add(r.Objective - r.PriorElapsed) }

// Outcome is the result of a try with regard to the state of its target.
type Outcome int

// The outcomes of a try.
const (
	// Succeeded means a complete response that is not an error of the target.
	Succeeded Outcome = iota
	// Failed means an error response of the target, a response without a seal
	// header, or an exchange that failed after at least part of the request was
	// sent.
	Failed
	// Shed means that the target rejected the request and states that it did
	// not run it.
	Shed
	// Unreachable means that nothing was sent to the target, for example because
	// no connection could be opened.
	Unreachable
	// TimedOut means that no response came in time.
	TimedOut
	// Replaced means that another target responded at the address.
	Replaced
	// Superseded means that another try of the same request responded first.
	Superseded
	// Inconclusive means that the try says nothing about the target: the
	// connection pool was exhausted or closed, or the try was canceled.
	Inconclusive
)

// Settings are the settings of the dispatchers.
type Settings struct {
	// Zone is the local zone, whose targets are preferred.
	Zone string
	// Retries limits the retries of a service, including hedges, over all
	// instances.
	Retries limits.RetryLimits
	// Cold limits the requests to cold targets of services that have a limit for them.
	Cold ColdLimits
	// ProbesPerSecond limits the probes of a target, over all instances.
	ProbesPerSecond float64
}

// InstanceCounts are the numbers of instances by which limits and budgets are
// divided.
type InstanceCounts struct {
	// Known is the number of instances that may send requests to targets. The
	// connection limit of a target and the retry slack of a service are divided
	// by it.
	Known int
	// Active is the number of active instances. Entry responses direct the
	// callers of a zone to its active instances. The probe limit of a target and
	// the rate at which the targets can run requests, see dequeueRate, are divided
	// by it.
	Active int
}

// Stats are the counters and current values of a dispatcher.
type Stats struct {
	Acquired        uint64
	Waited          uint64 // acquired after a wait of more than rescanInterval
	RefusedEarly    uint64 // refused on arrival: the expected wait was too long
	RefusedLate     uint64 // refused after it was queued: no target had capacity in time, or at once for a retry or late request
	RefusedNoTarget uint64 // the service had no target, or none for a retry
	RetriesDenied   uint64
	Probes          uint64
	ProbeFailures   uint64
	Failures        uint64
	Sheds           uint64
	Waiting         int
	InFlight        int
	Targets         int
	Limited         int // targets that limit their requests
	Leaving         int // targets that state that they leave
	Quiet           int // targets that want no requests for a time
	Cold            int // targets that are cold, or count as cold, and whose requests are limited
	Evacuated       int // targets in evacuated zones
	Unreached       int // targets that could not be reached lately
	// Reach is the name of the state of the network links to the targets.
	Reach string
}
