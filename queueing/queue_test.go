package queueing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newQueue() *Queue { return New(rand.New(rand.NewPCG(1, 2))) }

// Guards against late requests that delay others, requests of high priority
// that wait behind those of lower priority, and requests of low priority that
// starve.
func TestQueueOrder(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	request := func(arrival, priority int) Request {
		return Request{
			Arrival: at(arrival), Priority: priority, Objective: 400 * time.Millisecond, Deadline: at(arrival + 2000),
			Work: 100 * time.Millisecond,
		}
	}
	withPriorElapsed := func(r Request, ms int) Request {
		r.PriorElapsed = time.Duration(ms) * time.Millisecond
		return r
	}
	lowest := func(r Request) Request {
		r.TenantPriority = math.MaxInt
		return r
	}
	tests := []struct {
		name    string
		arrived []Request
		now     int
		want    []int
	}{
		{"order of arrival", []Request{request(0, 1), request(1, 1), request(2, 1)}, 10, []int{0, 1, 2}},
		{"high priority first", []Request{request(0, 2), request(5, 0), request(9, 1)}, 10, []int{1, 2, 0}},
		{"low priority after a wait of more than one priority step", []Request{request(0, 1), request(260, 0)}, 260, []int{0, 1}},
		{"earlier attempts give no precedence", []Request{request(0, 1), withPriorElapsed(request(5, 1), 100)}, 10, []int{0, 1}},
		{"the largest numbers last", []Request{lowest(request(0, math.MaxInt)), request(5, 1)}, 10, []int{1, 0}},
		{"late last, because of earlier attempts", []Request{withPriorElapsed(request(0, 0), 450), request(5, 1)}, 10, []int{1, 0}},
		{"late last", []Request{request(0, 0), request(300, 1)}, 350, []int{1, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := newQueue()
			waiters := make([]*Waiter, len(tt.arrived))
			for i, r := range tt.arrived {
				waiters[i] = q.Add(r, 1, r.Arrival)
			}
			q.check(1, at(tt.now))
			for i, want := range tt.want {
				assert.Assert(t, q.waiters[i] == waiters[want], "wrong request at position %d", i)
			}
		})
	}
}

// BenchmarkAdd measures an arrival at an overloaded service in which 100 requests of 20
// tenants and two kinds wait, and the refusal that it causes.
func BenchmarkAdd(b *testing.B) {
	q := newQueue()
	now := time.Unix(1_700_000_000, 0)
	for i := range b.N {
		now = now.Add(5 * time.Millisecond)
		w := q.Add(Request{
			Kind: []string{"a", "b"}[i%2], Tenant: string(rune('a' + i%20)), Priority: i % 2, Arrival: now, Deadline: now.Add(4 * time.Second),
			Objective: time.Second, Work: 80 * time.Millisecond,
		}, 10, now)
		if w.Refusal() == nil && i%3 == 0 {
			q.Serve(q.waiters[0], now)
		}
	}
	b.ReportMetric(float64(q.Len()), "waiting")
}
