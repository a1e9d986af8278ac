// Package routing decides which target runs a request, and when: it keeps the
// waiting requests of a service and what is known of its targets.
//
// A load report is old after a few milliseconds, so the dispatcher asks a few
// targets for their load at the moment of the decision and sends the request on
// the connection of the best answer.
package routing

import (
	"errors"
	"time"

	"rhubarbrelay/limits"
	"rhubarbrelay/targets"
)

// The refusals of Acquire. Each means that the request was not run.
var (
	// ErrNoCapacity means that no target became free in the time that the request
	// may wait.
	ErrNoCapacity = errors.New("no target becomes free in time")
	// ErrNoTarget means that the service has no target that could be asked.
	ErrNoTarget = errors.New("no target is available")
)

// Request is a request that asks for a target.
type Request struct {
	// Route names the requests whose durations are alike.
	Route    string
	Arrival  time.Time
	Deadline time.Time
	// Objective is the time in which an answer is useful, and Spent the part of
	// it that earlier attempts of the caller have taken.
	Objective time.Duration
	Elapsed   time.Duration
	Priority  int
	// Exclude lists the targets that earlier tries used.
	Exclude []targets.Incarnation
	// Retry marks a further try, which does not wait.
	Retry bool
}

// due returns the time until which an answer is useful.
func (r *Request) due() time.Time { return r.Arrival.Add(r.Objective - r.Elapsed) }

// Outcome is the result of a try as the target's state sees it.
type Outcome int

// The outcomes of a try.
const (
	// Succeeded is a whole answer that is not an error of the target.
	Succeeded Outcome = iota
	// Failed is an error answer of the target or an exchange that broke.
	Failed
	// Shed is a refusal of a request that the target states not to have run.
	Shed
	// Unreachable is a connection that could not be opened.
	Unreachable
	// TimedOut is an answer that did not come in time.
	TimedOut
	// Replaced is an answer by another target at the address.
	Replaced
	// Superseded is a try that another target answered before.
	Superseded
	// Inconclusive is a lease given back without a try, or one that the caller ended.
	Inconclusive
)

// Settings are the settings of the dispatchers.
type Settings struct {
	// Zone is the zone of this instance, whose targets are preferred.
	Zone string
	// Retries bounds the further tries of a service, over all instances.
	Retries limits.RetryLimits
	// ProbesPerSecond bounds the probes of a target, over all instances.
	ProbesPerSecond float64
}

// InstanceCounts tells how many instances share the budgets.
type InstanceCounts struct {
	// Known is the number of instances that may send requests to targets.
	Known int
	// Active is the number of those that entry answers name.
	Active int
}

// Stats counts what a dispatcher did.
type Stats struct {
	Acquired        uint64
	Waited          uint64 // acquired after a wait
	RefusedEarly    uint64 // the expected wait was too long
	RefusedLate     uint64 // the longest wait was over
	RefusedNoTarget uint64 // no target was known
	RetriesDenied   uint64
	Probes          uint64
	ProbeFailures   uint64
	Failures        uint64
	Sheds           uint64
	Waiting         int
	InFlight        int
	Targets         int
}
