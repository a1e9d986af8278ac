package routing

import (
	"math"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

// The two ignored goroutines belong to fasthttp's server: the clock of the Date
// header runs until the process exits, and the cleaner of the worker pool ends up
// to 10 s after its server.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// Guards against late requests that delay others, requests of high priority
// that wait behind those of lower priority, and requests of low priority that
// starve.
func TestQueueOrder(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	request := func(arrival, priority int) *Request {
		return &Request{Arrival: at(arrival), Priority: priority, Objective: 400 * time.Millisecond, Deadline: at(arrival + 2000)}
	}
	withPriorElapsed := func(r *Request, ms int) *Request {
		r.PriorElapsed = time.Duration(ms) * time.Millisecond
		return r
	}
	tests := []struct {
		name    string
		arrived []*Request
		now     int
		want    []int
	}{
		{"order of arrival", []*Request{request(0, 1), request(1, 1), request(2, 1)}, 10, []int{0, 1, 2}},
		{"high priority first", []*Request{request(0, 2), request(5, 0), request(9, 1)}, 10, []int{1, 2, 0}},
		{"low priority after a wait of more than one priority step", []*Request{request(0, 1), request(260, 0)}, 260, []int{0, 1}},
		{"the largest number last", []*Request{request(0, math.MaxInt), request(5, 1)}, 10, []int{1, 0}},
		{"late last, because of earlier attempts", []*Request{withPriorElapsed(request(0, 0), 450), request(5, 1)}, 10, []int{1, 0}},
		{"late last", []*Request{request(0, 0), request(300, 1)}, 350, []int{1, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var q queue
			waiters := make([]*waiter, len(tt.arrived))
			for i, r := range tt.arrived {
				waiters[i] = newWaiter(r, 100*time.Millisecond)
				q.add(waiters[i])
			}
			for _, w := range waiters {
				q.markLate(w, at(tt.now))
			}
			for i, want := range tt.want {
				assert.Assert(t, q.waiters[i] == waiters[want], "wrong request at position %d", i)
			}
		})
	}
}
