package daemon

import (
	"math"
	"runtime/metrics"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"
)

// Guards against a lack of processor time that is not logged, or is with each measurement.
func TestLackOfProcessorTimeIsLogged(t *testing.T) {
	tests := []struct {
		name   string
		counts []uint64 // of waits below 1 ms, 100 ms, 1 s, and longer ones
		delay  time.Duration
		lines  int // so far
	}{
		{"nothing waited", []uint64{0, 0, 0, 0}, 0, 0},
		{"short waits", []uint64{900, 0, 0, 0}, time.Millisecond, 0},
		{"a few long waits", []uint64{1800, 0, 50, 0}, time.Millisecond, 0},
		{"long waits", []uint64{1800, 0, 150, 0}, time.Second, 1},
		{"longer waits", []uint64{1800, 0, 150, 900}, time.Second, 1},
		{"short waits again", []uint64{1800, 10, 150, 900}, 100 * time.Millisecond, 2},
	}
	lines := memory.New()
	h := &metrics.Float64Histogram{Buckets: []float64{0, 0.001, 0.1, 1, math.Inf(1)}}
	s := newSchedulingDelay(&log.Logger{Handler: lines, Level: log.InfoLevel})
	s.read = func() *metrics.Float64Histogram { return h }
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h.Counts = tt.counts
			s.measure()
			assert.Equal(t, s.Delay(), tt.delay)
			assert.Equal(t, len(lines.Entries), tt.lines)
		})
	}
}

// Guards against a runtime that no longer has the metric.
func TestSchedulingMetricExists(t *testing.T) {
	h := readSchedulingMetric()
	assert.Assert(t, h != nil)
	assert.Equal(t, len(h.Buckets), len(h.Counts)+1)
}
