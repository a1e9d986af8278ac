package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// refusalCause is the cause of a failure that counts as not run.
type refusalCause int

// The causes of refusals.
const (
	refusedMalformed     refusalCause = iota // the request violates the protocol
	refusedIncomplete                        // the request ended early or did not arrive in time
	refusedTooLarge                          // the header or the body exceeds a limit of the configuration
	refusedInstanceLimit                     // the request exceeds a limit of the instance, but not of the configuration
	refusedNoRoute                           // no route matches
	refusedUnsupported                       // the method or the expectation is not supported
	refusedNoCapacity                        // no target had capacity in time
	refusedNoTarget                          // the service is unknown or has no available target
	refusedMemory                            // large bodies hold the memory of the instance
	refusedStale                             // the instance's state is too old, or it has no configuration yet
	refusedConnections                       // the limit of connections from callers was reached
	refusedUnreachable                       // nothing could be sent to a target
	refusedShed                              // the last target that was tried did not run the request
	refusedDeadline                          // the caller's deadline had passed when the request arrived
	refusedCallerClosed                      // the caller closed its connection; a try in flight may still run the request
	refusedDraining                          // the instance shuts down before the deadline of the request
	refusedByPeer                            // the instance that the request was passed on to did not run it
	refusedUnauthorized                      // the request has no valid API key
	refusedQuota                             // the quota of the tenant is used up
	refusedInternal
	refusalCauses // the number of causes
)

// refusalCauseNames are the metric names of the causes.
var refusalCauseNames = [refusalCauses]string{
	"malformed", "incomplete", "too_large", "instance_limit", "no_route", "unsupported", "too_late", "no_target", "memory", "stale", "connections",
	"unreachable", "shed", "deadline", "caller_closed", "draining", "peer", "unauthorized", "quota", "internal",
}

// The range in microseconds and the precision of the latency histogram.
const (
	minLatencyUS             = 10
	maxLatencyUS             = 120_000_000
	latencySignificantDigits = 2
)

// Stats are the server's counters and latencies since its start.
type Stats struct {
	// Forwarded counts the responses of targets that were forwarded.
	Forwarded uint64
	// UnknownOutcome counts the failed requests that may have run, except those
	// that Refused counts as caller_closed.
	UnknownOutcome uint64
	Retries        uint64
	Hedges         uint64
	Panics         uint64
	// PassedOn counts the requests that other instances have got from this one, TakenOver
	// those that this one has got from others.
	PassedOn, TakenOver uint64
	// Blocked counts the requests that were sent to no target, since copies of them have
	// ended targets. UnknownOutcome includes them.
	Blocked uint64
	// Refused counts the failed requests that have not run, by cause. The cause
	// caller_closed includes requests whose caller closed its connection while a
	// try was in flight that may run the request, unless an earlier try may have
	// run it.
	Refused map[string]uint64
	// Latencies are quantiles of the time from the arrival of a request to the
	// forwarding of the target's response.
	Latencies map[string]time.Duration
}

// counters are the counters of Stats.
type counters struct {
	forwarded, unknownOutcome, retries, hedges, panics, blocked, passedOn, takenOver atomic.Uint64

	refused [refusalCauses]atomic.Uint64

	mu        *sync.Mutex
	latencies *hdrhistogram.Histogram
}

func newCounters() counters {
	return counters{mu: &sync.Mutex{}, latencies: hdrhistogram.New(minLatencyUS, maxLatencyUS, latencySignificantDigits)}
}

// countFailure counts a failure: by its cause if it states that the request has
// not run, else as an unknown outcome.
func (c *counters) countFailure(f *failure) {
	if !f.notRun {
		c.unknownOutcome.Add(1)
		return
	}
	c.refused[f.cause].Add(1)
}

func (c *counters) observeLatency(latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.latencies.RecordValue(min(maxLatencyUS, latency.Microseconds())) // cannot fail, the value is in range
}

// Stats returns the current counters and latencies.
func (s *Server) Stats() Stats {
	c := &s.counters
	stats := Stats{
		Forwarded: c.forwarded.Load(), UnknownOutcome: c.unknownOutcome.Load(), Retries: c.retries.Load(), Hedges: c.hedges.Load(),
		Panics: c.panics.Load(), Blocked: c.blocked.Load(),
		PassedOn: c.passedOn.Load(), TakenOver: c.takenOver.Load(), Refused: make(map[string]uint64, refusalCauses), Latencies: map[string]time.Duration{},
	}
	for cause := range refusalCauses {
		stats.Refused[refusalCauseNames[cause]] = c.refused[cause].Load()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, quantile := range map[string]float64{"p50": 50, "p90": 90, "p99": 99, "max": 100} {
		stats.Latencies[name] = time.Duration(c.latencies.ValueAtQuantile(quantile)) * time.Microsecond
	}
	return stats
}
