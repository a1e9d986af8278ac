package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// refusal is the cause of an answer that promises that the request has not run.
type refusal int

// The causes of refusals.
const (
	refusedInput refusal = iota // the request is malformed or unknown
	refusedTooLate
	refusedNoTarget
	refusedStale
	refusedConnections
	refusedUnreachable
	refusedShed
	refusedDeadline
	refusedCallerClosed
	refusedInternal
	refusals // the number of causes
)

// refusalNames are the names of the causes in metrics.
var refusalNames = [refusals]string{
	"input", "too_late", "no_target", "stale", "connections", "unreachable", "shed", "deadline", "caller_closed", "internal",
}

// Latencies in microseconds that the histogram can hold.
const (
	lowestLatency  = 10
	highestLatency = 120_000_000
	latencyDigits  = 2
)

// Stats counts what the server did since its start.
type Stats struct {
	// Forwarded counts the answers of targets that were passed on.
	Forwarded uint64
	// UnknownOutcome counts the failures of requests that may have run.
	UnknownOutcome uint64
	Retries        uint64
	Hedges         uint64
	Panics         uint64
	// Refused counts the requests that have not run, by cause.
	Refused map[string]uint64
	// Latencies are quantiles of the time until a target's answer was passed on.
	Latencies map[string]time.Duration
}

// counters are the counters of Stats.
type counters struct {
	run, unknown, retries, hedges, panics atomic.Uint64
	refused                               [refusals]atomic.Uint64

	mu        *sync.Mutex
	latencies *hdrhistogram.Histogram
}

func newCounters() counters {
	return counters{mu: &sync.Mutex{}, latencies: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)}
}

// refuse counts a failure by its cause if the request has not run.
func (c *counters) refuse(f *failure) {
	if !f.notRun {
		c.unknown.Add(1)
		return
	}
	c.refused[f.cause].Add(1)
}

func (c *counters) observe(latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.latencies.RecordValue(min(highestLatency, latency.Microseconds())) // always within the range
}

// Stats returns what the server did.
func (s *Server) Stats() Stats {
	c := &s.counters
	stats := Stats{
		Forwarded: c.run.Load(), UnknownOutcome: c.unknown.Load(), Retries: c.retries.Load(), Hedges: c.hedges.Load(),
		Panics: c.panics.Load(), Refused: make(map[string]uint64, refusals), Latencies: map[string]time.Duration{},
	}
	for cause := range refusals {
		stats.Refused[refusalNames[cause]] = c.refused[cause].Load()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, quantile := range map[string]float64{"p50": 50, "p90": 90, "p99": 99, "max": 100} {
		stats.Latencies[name] = time.Duration(c.latencies.ValueAtQuantile(quantile)) * time.Microsecond
	}
	return stats
}
