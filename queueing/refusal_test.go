package queueing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against refusing the newest request although the refusal of a waiting one costs
// callers less, and against refusing it after a delay.
func TestCheapestIsRefused(t *testing.T) {
	ordinary := Request{
		Kind: "k", Tenant: "t", TenantPriority: 1, Priority: 1, Arrival: modelStart, Deadline: modelStart.Add(4 * time.Second),
		Objective: time.Second, Work: 100 * time.Millisecond,
	}
	tests := []struct {
		name        string
		change      func(r *Request) // of one that waits in the middle of ordinary ones
		wantRefused bool
	}{
		{"tenant of lower priority", func(r *Request) { r.Tenant, r.TenantPriority = "u", 2 }, true},
		{"tenant of higher priority", func(r *Request) { r.Tenant, r.TenantPriority = "u", 0 }, false},
		{"lower priority", func(r *Request) { r.Kind, r.Priority = "l", 2 }, true},
		{"higher priority", func(r *Request) { r.Kind, r.Priority = "l", 0 }, false},
		{"more work", func(r *Request) { r.Kind, r.Work = "l", 200*time.Millisecond }, true},
		{"slightly more work", func(r *Request) { r.Kind, r.Work = "l", 110*time.Millisecond }, false},
		{"repeated attempt", func(r *Request) { r.PriorElapsed = 150 * time.Millisecond }, true},
		{"other tenant", func(r *Request) { r.Tenant = "u" }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := newQueue()
			add := func(r Request) *Waiter { return q.Add(r, 1, modelStart) }
			for range 4 {
				assert.Assert(t, add(ordinary).Refusal() == nil)
			}
			changed := ordinary
			tt.change(&changed)
			w := add(changed)
			assert.Assert(t, w.Refusal() == nil)
			newest := add(ordinary)
			for newest.Refusal() == nil && w.Refusal() == nil {
				newest = add(ordinary)
			}
			assert.Equal(t, w.Refusal() != nil, tt.wantRefused)
			assert.Equal(t, newest.Refusal() != nil, !tt.wantRefused)
		})
	}
}

// Guards against requests that wait although the capacity for them is gone.
func TestLossOfCapacity(t *testing.T) {
	q := newQueue()
	for q.Len() < 60 {
		w := q.Add(Request{
			Kind: "k", Arrival: modelStart, Deadline: modelStart.Add(4 * time.Second), Objective: time.Second, Work: 100 * time.Millisecond,
		}, 10, modelStart)
		assert.Assert(t, w.Refusal() == nil)
	}
	first := q.waiters[0]
	assert.Assert(t, q.State(first, 5, modelStart.Add(shareInterval)).Refusal == nil)
	assert.Assert(t, q.Len() > 40 && q.Len() < 46, "%d requests wait for 5 slots", q.Len())
}

// Guards against retries that come back at once, all at the same time, before there is
// room, or later than callers wait.
func TestRetryAfterRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue()
		waiting := rapid.IntRange(0, 200).Draw(t, "waiting")
		for range waiting {
			q.Add(Request{
				Kind: "k", Arrival: modelStart, Deadline: modelStart.Add(20 * time.Second), Objective: 10 * time.Second, Work: 100 * time.Millisecond,
			}, 2, modelStart)
		}
		r := Request{
			Kind: "k", Arrival: modelStart, Deadline: modelStart.Add(time.Duration(rapid.IntRange(50, 10_000).Draw(t, "left")) * time.Millisecond),
			Objective: time.Second, Work: 100 * time.Millisecond,
		}
		third := r.Deadline.Sub(modelStart) / 3
		backlog := time.Duration(q.Len()) * 50 * time.Millisecond
		room := min(third, max(minRetryAfter, backlog-r.Limit().Sub(modelStart)))
		least, most := time.Hour, time.Duration(0)
		for range 100 {
			after := q.RetryAfter(&r, modelStart)
			least, most = min(least, after), max(most, after)
		}
		if q.Len() > 0 && least < room-time.Millisecond || most > third {
			t.Fatalf("retry delays of %s to %s, room after %s, a third of the time left is %s", least, most, room, third)
		}
		if third > 2*room && most-least < (third-room)/4 && most-least < time.Second/2 {
			t.Fatalf("retry delays of %s to %s are not spread, of at most %s", least, most, third)
		}
	})
}
