package relay

import (
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/header"
)

// refusal is the cause of an answer with the outcome not_run.
type refusal int

// The causes of refusals.
const (
	refusedInput refusal = iota // the request is malformed, unknown or too late by itself
	refusedQueueFull
	refusedTooLate
	refusedNoTarget
	refusedStale
	refusedConnections
	refusedNoConnection
	refusedUnreachable
	refusedShed
	refusedDeadline
	refusedCallerClosed
	refusedKeys
	refusedInternal
	refusals // the number of causes
)

// Stats counts what the server did since its start. Entry lookups do not count.
// A request that was forwarded counts at both instances.
type Stats struct {
	// Requests is the sum of the requests answered with each outcome.
	Requests uint64
	Run      uint64
	NotRun   uint64
	Unknown  uint64
	Retries  uint64 // further attempts
	// Forwarded counts the requests passed to the owners of their keys.
	Forwarded uint64
	Panics    uint64
	Refused   Refusals
}

// Refusals counts the requests that this instance answered with not_run, by
// cause.
type Refusals struct {
	Input        uint64 // malformed, unknown or unreadable requests
	QueueFull    uint64
	TooLate      uint64 // no target in time
	NoTarget     uint64
	Stale        uint64 // the instance was paused
	Connections  uint64 // limit of the callers' connections
	NoConnection uint64 // limit of the connections to the target
	Unreachable  uint64 // target cannot be reached
	Shed         uint64 // refused by the target
	Deadline     uint64
	CallerClosed uint64
	Keys         uint64 // table of idempotency keys full
	Internal     uint64 // panics and failures of the instance
}

// counters are the counters of Stats. A request that runs at once adds to one
// of them.
type counters struct {
	run, notRun, unknown       atomic.Uint64
	retries, forwarded, panics atomic.Uint64
	refused                    [refusals]atomic.Uint64
}

// answered counts an answer by its outcome. An entry answer has none.
func (c *counters) answered(resp *fasthttp.Response) {
	switch string(resp.Header.Peek(header.Outcome)) {
	case header.OutcomeRun:
		c.run.Add(1)
	case header.OutcomeNotRun:
		c.notRun.Add(1)
	case header.OutcomeUnknown:
		c.unknown.Add(1)
	}
}

// refuse counts a failure by its cause if it was answered with not_run.
func (c *counters) refuse(f *failure, outcome string) {
	if outcome == header.OutcomeNotRun {
		c.refused[f.cause].Add(1)
	}
}

// Stats returns what the server did.
func (s *Server) Stats() Stats {
	c := &s.counters
	stats := Stats{
		Run: c.run.Load(), NotRun: c.notRun.Load(), Unknown: c.unknown.Load(),
		Retries: c.retries.Load(), Forwarded: c.forwarded.Load(), Panics: c.panics.Load(),
		Refused: Refusals{
			Input: c.refused[refusedInput].Load(), QueueFull: c.refused[refusedQueueFull].Load(),
			TooLate: c.refused[refusedTooLate].Load(), NoTarget: c.refused[refusedNoTarget].Load(),
			Stale: c.refused[refusedStale].Load(), Connections: c.refused[refusedConnections].Load(),
			NoConnection: c.refused[refusedNoConnection].Load(), Unreachable: c.refused[refusedUnreachable].Load(),
			Shed: c.refused[refusedShed].Load(), Deadline: c.refused[refusedDeadline].Load(),
			CallerClosed: c.refused[refusedCallerClosed].Load(),
			Keys:         c.refused[refusedKeys].Load(), Internal: c.refused[refusedInternal].Load(),
		},
	}
	stats.Requests = stats.Run + stats.NotRun + stats.Unknown
	return stats
}
