package daemon

import (
	"context"
	"math"
	"runtime/metrics"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

const (
	// schedulingInterval is the time between two measurements of the scheduling delay.
	schedulingInterval = time.Second
	// maxSchedulingDelay is the delay above which the instance lacks processor time: callers
	// wait that long at each step of a request.
	maxSchedulingDelay = 100 * time.Millisecond
	// schedulingQuantile is the fraction of the waits that are not longer than the delay.
	schedulingQuantile = 0.9
	// schedulingMetric is the distribution of the times for which goroutines have waited
	// for a processor since the start of the process.
	schedulingMetric = "/sched/latencies:seconds"
)

// schedulingDelay measures how long goroutines wait for a processor. A long wait means that
// the instance lacks processor time.
type schedulingDelay struct {
	read   func() *metrics.Float64Histogram
	logger log.Interface

	previous []uint64     // the counts of the last measurement
	delay    atomic.Int64 // nanoseconds
	lacking  bool
}

func newSchedulingDelay(logger log.Interface) *schedulingDelay {
	return &schedulingDelay{read: readSchedulingMetric, logger: logger}
}

// readSchedulingMetric returns nil if the runtime does not have the metric.
func readSchedulingMetric() *metrics.Float64Histogram {
	sample := []metrics.Sample{{Name: schedulingMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return nil
	}
	return sample[0].Value.Float64Histogram()
}

// Delay returns the delay of the last measurement.
func (s *schedulingDelay) Delay() time.Duration { return time.Duration(s.delay.Load()) }

// run measures until the context ends.
func (s *schedulingDelay) run(ctx context.Context) error {
	return runPeriodically(ctx, schedulingInterval, s.measure)
}

// measure updates the delay and logs when the instance begins to lack processor time and
// when it has enough again.
func (s *schedulingDelay) measure() {
	h := s.read()
	if h == nil {
		return
	}
	delay := quantile(h.Buckets, countsSince(s.previous, h.Counts))
	s.previous = slices.Clone(h.Counts)
	s.delay.Store(int64(delay))
	lacking := delay > maxSchedulingDelay
	if lacking == s.lacking {
		return
	}
	s.lacking = lacking
	logger := s.logger.WithField("delay", delay.String())
	if lacking {
		logger.Warn("instance lacks processor time")
		return
	}
	logger.Info("instance has enough processor time again")
}

// countsSince returns the differences between two readings of a histogram.
func countsSince(previous, counts []uint64) []uint64 {
	since := slices.Clone(counts)
	for i := range previous {
		since[i] -= previous[i]
	}
	return since
}

// quantile returns the schedulingQuantile of a histogram as the upper end of its bucket, or
// as the lower end of the last one, which has no upper end.
func quantile(buckets []float64, counts []uint64) time.Duration {
	total := uint64(0)
	for _, n := range counts {
		total += n
	}
	rank := uint64(math.Ceil(schedulingQuantile * float64(total)))
	seen := uint64(0)
	for i, n := range counts {
		seen += n
		if n == 0 || seen < rank {
			continue
		}
		seconds := buckets[i+1]
		if math.IsInf(seconds, 1) {
			seconds = buckets[i]
		}
		return time.Duration(seconds * float64(time.Second))
	}
	return 0
}
