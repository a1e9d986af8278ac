// Package routing decides which target runs a request, and when: it keeps the
// waiting requests of a service and the state of its targets.
package routing

import (
	"errors"
	"net/netip"
	"time"

	"rhubarbrelay/config"
)

// The refusals of Acquire. Each means that the request was not run.
var (
	ErrQueueFull = errors.New("too many requests are waiting")
	ErrTooLate   = errors.New("no target becomes free before the deadline")
	ErrNoTarget  = errors.New("no target is available")
)

// Call is a request that asks for a target.
type Call struct {
	// Arrival and Deadline bound the wait; the earliest deadline goes first.
	Arrival  time.Time
	Deadline time.Time
	// Long marks requests that run many times longer than the others.
	Long bool
	// Class names the route of the request. Durations are learned per class;
	// without a class, only Long marks long work.
	Class string
	// Exclude lists targets that an earlier attempt of the request tried. A
	// call without any is a first attempt and adds to the retry budget.
	Exclude []netip.AddrPort
}

// Status is the result of an attempt as the target's state sees it.
type Status int

// The statuses of an attempt.
const (
	// Succeeded is a whole answer that is not an error of the target.
	Succeeded Status = iota
	// Failed is an error answer of the target or an exchange that broke.
	Failed
	// Shed is a refusal of a request that the target states not to have run.
	Shed
	// Unreachable is a connection that could not be opened.
	Unreachable
	// TimedOut is an answer that did not come before the deadline.
	TimedOut
	// Unused is a slot given back without an attempt.
	Unused
)

// NoReport is the Reported value of an answer without a load report.
const NoReport = -1

// Result describes a finished attempt.
type Result struct {
	Status Status
	// Latency is the time between sending and the whole answer.
	Latency time.Duration
	// Reported is the number of requests in flight at the target, as its
	// answer reports it, or NoReport.
	Reported int
	// Long repeats the mark of the call, or what the duration showed.
	Long bool
}

// TargetView is the state of one target for operators.
type TargetView struct {
	Target   config.Target
	InFlight int
	// Others is the estimate of the requests in flight from other instances.
	Others  int
	Limit   int
	Leaving bool
	Ejected bool
	// Latency is the recent latency of short requests.
	Latency time.Duration
	// Reason is ReasonNone if the target gets all its slots.
	Reason Reason
}

// Reason says why a target gets less work than its slots allow.
type Reason string

// The reasons of a TargetView, in the order in which it names the first that
// applies.
const (
	ReasonNone      Reason = ""
	ReasonDrained   Reason = "drained"
	ReasonLeaving   Reason = "leaving"
	ReasonEjected   Reason = "ejected"
	ReasonTrial     Reason = "trial"
	ReasonSlowStart Reason = "slow_start"
	ReasonLimited   Reason = "limited"
	ReasonSlow      Reason = "slow"
	ReasonBusy      Reason = "busy"
)

// String returns the reason as the administration API shows it.
func (r Reason) String() string { return string(r) }

// Stats counts what a dispatcher did. The first group only grows; the second
// is the present state.
type Stats struct {
	Acquired       uint64
	Queued         uint64
	RefusedFull    uint64
	RefusedUnfair  uint64
	RefusedEarly   uint64 // the expected wait was too long
	RefusedWaited  uint64 // the longest wait was over
	RefusedNone    uint64 // no target was available
	Canceled       uint64
	RetriesAllowed uint64
	RetriesDenied  uint64
	Ejections      uint64
	Returns        uint64
	Failures       uint64
	Sheds          uint64

	Waiting  int
	InFlight int
	LongHeld int
}
