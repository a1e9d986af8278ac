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
	// Exclude lists targets that an earlier attempt of the request tried.
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
	// Shed is a refusal that the target vouches not to have run.
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
	Limit    int
	Leaving  bool
	Ejected  bool
	// Reason says why the target gets less than its slots; empty if it does not.
	Reason string
}
