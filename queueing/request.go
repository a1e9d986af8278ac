package queueing

import (
	"math"
	"time"
)

const (
	// waitFraction is the fraction of the time until its deadline that a
	// request may spend waiting.
	waitFraction = 0.5
	// maxWaitObjectives limits the wait to this multiple of the request's
	// objective.
	maxWaitObjectives = 1.5
	// lateMargin is the time that a request needs to finish within its objective,
	// as a multiple of its work.
	lateMargin = 1.2
	// priorityStep is the time by which a request is placed behind others in the order
	// for each step below the highest priority.
	priorityStep = 250 * time.Millisecond
	// maxPriority is the largest number by which requests are ranked. The delay of a
	// request with a larger one would not fit into a time.Duration.
	maxPriority = 1 << 20
)

// Request describes a request that waits for a service.
type Request struct {
	// Kind is the route class. Requests of a kind have the same priority, and similar
	// objectives and work.
	Kind string
	// Tenant is empty for requests without one, which form a group of their own.
	Tenant string
	// TenantPriority ranks the request before Priority does; 0 is the highest.
	TenantPriority int
	Priority       int
	Arrival        time.Time
	Deadline       time.Time
	// Objective is the time within which a response is useful, 0 for none.
	// PriorElapsed is the part of it that earlier attempts of the caller have taken.
	Objective    time.Duration
	PriorElapsed time.Duration
	// Work is the estimated time for which the request occupies a slot.
	Work time.Duration
}

// Limit returns the time until which the request may wait.
func (r *Request) Limit() time.Time {
	wait := time.Duration(waitFraction * float64(r.Deadline.Sub(r.Arrival)))
	if r.Objective > 0 {
		wait = min(wait, time.Duration(maxWaitObjectives*float64(r.Objective)))
	}
	return r.Arrival.Add(wait)
}

// lateAt returns the time from which the request cannot finish within its objective, or
// its deadline if it has none.
func (r *Request) lateAt() time.Time {
	if r.Objective <= 0 {
		return r.Deadline
	}
	return r.Arrival.Add(r.Objective - r.PriorElapsed - r.margin())
}

func (r *Request) margin() time.Duration { return time.Duration(lateMargin * float64(r.Work)) }

// place returns the time by which waiting requests are ordered: the latest useful start
// of the caller's first attempt, so that repeated attempts gain no precedence, delayed by
// one priorityStep for each step below the highest priority.
func (r *Request) place() time.Time {
	useful := r.Objective
	if useful <= 0 {
		useful = time.Duration(waitFraction * float64(r.Deadline.Sub(r.Arrival)+r.PriorElapsed))
	}
	rank := min(r.TenantPriority, maxPriority) + min(r.Priority, maxPriority)
	return r.Arrival.Add(useful - r.margin() + time.Duration(rank)*priorityStep)
}

// value returns the value of serving the request, for each second of its work.
func (r *Request) value() float64 {
	return math.Pow(priorityValue, -float64(r.Priority)) / max(r.Work.Seconds(), minWork)
}

// minWork is the lowest work, in seconds, that the value of a request is calculated with.
const minWork = 1e-3

// repeated reports whether the request is a repeated attempt of its caller. Callers retry
// after minRetryAfter at the earliest; a shorter PriorElapsed is an error of its estimate.
func (r *Request) repeated() bool { return r.PriorElapsed >= minRetryAfter }
