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

// Guards against timestamps that repeat or decrease when the wall clock stops
// or is set back.
func TestClockNeverGoesBack(t *testing.T) {
	wall := time.UnixMilli(10_000)
	c := NewClock(func() time.Time { return wall })
	first := c.Now()
	second := c.Now()
	assert.Assert(t, second > first)
	wall = wall.Add(-time.Second)
	assert.Assert(t, c.Now() > second)
}

// Guards against an event whose timestamp is not later than that of its cause
// on another process, which happens if the local wall clock is behind and the
// clock does not advance to received timestamps.
func TestClockPassesObservedTimestamps(t *testing.T) {
	ahead := NewClock(fixedTime(time.UnixMilli(60_000)))
	behind := NewClock(fixedTime(time.UnixMilli(10_000)))
	cause := ahead.Now()
	assert.Assert(t, behind.Observe(cause))
	assert.Assert(t, behind.Now() > cause)
}

// Guards against one wrong wall clock advancing the clocks of all processes,
// which happens if they accept its timestamps from far in the future.
func TestClockIgnoresFarFutureTimestamps(t *testing.T) {
	c := NewClock(fixedTime(time.UnixMilli(10_000)))
	assert.Assert(t, !c.Observe(TimestampAt(time.UnixMilli(10_000).Add(2*MaxDrift))))
	assert.Equal(t, c.Now().Time(), time.UnixMilli(10_000))
}

// Guards against equal timestamps from concurrent calls of Now, which happen if
// two calls advance the clock from the same last timestamp.
func TestClockConcurrentTimestampsDiffer(t *testing.T) {
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

// Guards against a recorder that exceeds its capacity, overwrites new events
// before old ones, or does not report the latest event that it lost: a reader
// could take an incomplete list of events for a complete one.
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

// Guards against events that are lost, returned out of order or given the same
// timestamp when several goroutines record at the same time.
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

// Guards against a filter that omits matching events or returns others, for
// example because it checks only one of the fields that are set.
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

// Guards against a merged order that shows an effect before its cause because
// the wall clocks of the processes differ. Also guards against events that
// appear twice because the same process was queried twice.
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

// Guards against an order of events with equal timestamps that depends on which
// process responded first: it could change from query to query.
func TestMergeOrdersEqualTimestampsByInstance(t *testing.T) {
	a, b := []Event{{Time: 5, Instance: "a"}}, []Event{{Time: 5, Instance: "b"}}
	assert.DeepEqual(t, Merge(Filter{}, b, a), Merge(Filter{}, a, b))
	assert.Equal(t, Merge(Filter{}, b, a)[0].Instance, "a")
}

// Guards against a request ID from a caller that forges fields or lines of the
// output, which happens if its spaces and line breaks are printed as they are.
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
			"config event with version 0",
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
