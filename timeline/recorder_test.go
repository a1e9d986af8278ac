package timeline

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func fixedTime(t time.Time) func() time.Time { return func() time.Time { return t } }

// Timestamps must increase even if the wall clock stops or is set back.
func TestClockNeverGoesBack(t *testing.T) {
	wall := time.UnixMilli(10_000)
	c := NewClock(func() time.Time { return wall })
	first := c.Now()
	second := c.Now()
	assert.Assert(t, second > first)
	wall = wall.Add(-time.Second)
	assert.Assert(t, c.Now() > second)
}

// An event must get a later timestamp than an event on another process that caused
// it, even if the local wall clock is behind.
func TestClockPassesObservedStamps(t *testing.T) {
	ahead := NewClock(fixedTime(time.UnixMilli(60_000)))
	behind := NewClock(fixedTime(time.UnixMilli(10_000)))
	cause := ahead.Now()
	assert.Assert(t, behind.Observe(cause))
	assert.Assert(t, behind.Now() > cause)
}

// A remote timestamp from far in the future must not advance the clock: one wrong
// clock would spread to all processes.
func TestClockIgnoresFarStamps(t *testing.T) {
	c := NewClock(fixedTime(time.UnixMilli(10_000)))
	assert.Assert(t, !c.Observe(TimestampAt(time.UnixMilli(10_000).Add(2*MaxDrift))))
	assert.Equal(t, c.Now().Time(), time.UnixMilli(10_000))
}

// Concurrent calls of Now must not return equal timestamps.
func TestClockConcurrentStampsDiffer(t *testing.T) {
	c := NewClock(fixedTime(time.UnixMilli(1)))
	const goroutines, each = 8, 500
	timestamps := make([][]Timestamp, goroutines)
	var wg sync.WaitGroup
	for i := range goroutines {
		wg.Go(func() {
			for range each {
				timestamps[i] = append(timestamps[i], c.Now())
			}
		})
	}
	wg.Wait()
	all := slices.Concat(timestamps...)
	slices.Sort(all)
	assert.Equal(t, len(slices.Compact(all)), goroutines*each)
}

// The recorder must not exceed its capacity. It must overwrite the oldest events
// first and report the latest one that it lost.
func TestRecorderIsBounded(t *testing.T) {
	const capacity = 64
	wall := time.UnixMilli(1)
	r := NewRecorder("a", NewClock(func() time.Time { return wall }), WithCapacity(capacity))
	for i := range 10 * capacity {
		wall = wall.Add(time.Millisecond)
		r.Record(Event{Kind: TargetReady, Version: int64(i)})
	}
	events := r.Since(0)
	assert.Equal(t, len(events), capacity)
	assert.Equal(t, events[len(events)-1].Version, int64(10*capacity-1))
	complete := r.Since(r.LastDropped())
	assert.Assert(t, len(complete) > 0)
	for i, e := range complete {
		assert.Equal(t, e.Version, int64(10*capacity-len(complete)+i))
	}
}

// Concurrent recording must not lose events, return them out of order or give two
// events the same timestamp.
func TestRecorderConcurrent(t *testing.T) {
	r := NewRecorder("a", NewClock(time.Now))
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 100 {
				r.Record(Event{Kind: RequestRetried})
				r.Since(0)
			}
		})
	}
	wg.Wait()
	events := r.Since(0)
	assert.Equal(t, len(events), 800)
	for i := range events[1:] {
		assert.Assert(t, events[i].Time < events[i+1].Time)
	}
}

// A filter must return exactly the events that match all of its fields.
func TestEventsFilter(t *testing.T) {
	r := NewRecorder("a", NewClock(fixedTime(time.UnixMilli(1))))
	r.Record(Event{Kind: RequestRefused, Service: "spoolkeep", Request: "r1"})
	r.Record(Event{Kind: RequestRetried, Service: "spoolkeep", Request: "r2", Target: "sk-01"})
	r.Record(Event{Kind: TargetLeaving, Service: "ordering", Target: "o-01"})
	all := r.Events(Filter{})
	tests := []struct {
		name   string
		filter Filter
		want   []Kind
	}{
		{"everything", Filter{}, []Kind{RequestRefused, RequestRetried, TargetLeaving}},
		{"after a timestamp", Filter{After: all[0].Time}, []Kind{RequestRetried, TargetLeaving}},
		{"before a timestamp", Filter{Before: all[2].Time}, []Kind{RequestRefused, RequestRetried}},
		{"request", Filter{Request: "r2"}, []Kind{RequestRetried}},
		{"target", Filter{Target: "o-01"}, []Kind{TargetLeaving}},
		{"service", Filter{Service: "spoolkeep"}, []Kind{RequestRefused, RequestRetried}},
		{"service and target", Filter{Service: "spoolkeep", Target: "o-01"}, nil},
		{"limit keeps the newest", Filter{Limit: 1}, []Kind{TargetLeaving}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var kinds []Kind
			for _, e := range r.Events(tt.filter) {
				kinds = append(kinds, e.Kind)
			}
			assert.DeepEqual(t, kinds, tt.want)
		})
	}
}

// Events of processes with different wall clocks must be merged in causal order.
// Events must not appear twice if the same process is queried twice.
func TestMergeWithSkewedClocks(t *testing.T) {
	fast := NewRecorder("b", NewClock(fixedTime(time.UnixMilli(900_000))))
	slow := NewRecorder("a", NewClock(fixedTime(time.UnixMilli(1_000))))
	fast.Record(Event{Kind: ConfigInForce})
	slow.Clock().Observe(fast.Since(0)[0].Time)
	slow.Record(Event{Kind: ConfigInForce})
	fast.Clock().Observe(slow.Since(0)[0].Time)
	fast.Record(Event{Kind: TargetLeaving})

	merged := Merge(Filter{}, slow.Since(0), fast.Since(0), slow.Since(0))
	got := make([]string, 0, len(merged))
	for _, e := range merged {
		got = append(got, fmt.Sprintf("%s %s", e.Instance, e.Kind))
	}
	assert.DeepEqual(t, got, []string{"b config_in_force", "a config_in_force", "b target_leaving"})
}

// The order of events with equal timestamps must not depend on which process
// responded first.
func TestMergeOrdersEqualStampsByInstance(t *testing.T) {
	a, b := []Event{{Time: 5, Instance: "a"}}, []Event{{Time: 5, Instance: "b"}}
	assert.DeepEqual(t, Merge(Filter{}, b, a), Merge(Filter{}, a, b))
	assert.Equal(t, Merge(Filter{}, b, a)[0].Instance, "a")
}

// A request ID from a caller must not be able to forge fields or lines of the
// output.
func TestFormat(t *testing.T) {
	tests := []struct {
		name  string
		event Event
		want  string
	}{
		{
			"plain",
			Event{Time: TimestampAt(time.UnixMilli(1_500)) + 3, Instance: "a", Kind: ConfigInForce, Version: 7},
			"1970-01-01T00:00:01.500Z/3 a config_in_force version=7",
		},
		{
			"first version",
			Event{Instance: "a", Kind: ConfigInForce},
			"1970-01-01T00:00:00.000Z/0 a config_in_force version=0",
		},
		{
			"forged field and line",
			Event{Instance: "a", Kind: RequestRefused, Request: "r1 detail=x\nfake", Detail: "queue full"},
			`1970-01-01T00:00:00.000Z/0 a request_refused request="r1 detail=x\nfake" detail="queue full"`,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, Format(tt.event), tt.want) })
	}
}

func BenchmarkRecord(b *testing.B) {
	r := NewRecorder("a", NewClock(time.Now))
	e := Event{Kind: RequestRetried, Service: "spoolkeep", Target: "sk-01", Request: "r1"}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Record(e)
		}
	})
}
