package startup

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that are refused although the instance would have its state in
// time, against some that wait in vain, and against a Retry-After that has no relation to
// the start.
func TestGate(t *testing.T) {
	tests := []struct {
		name            string
		arrival, opened time.Duration
		timeout         time.Duration
		size            int
		ok              bool
		waited          time.Duration
		retryAfter      time.Duration
	}{
		{"held until the state is there", 100 * time.Millisecond, 250 * time.Millisecond, time.Second, 10, true, 150 * time.Millisecond, 0},
		{"timeout not known", 100 * time.Millisecond, 250 * time.Millisecond, 0, 10, true, 150 * time.Millisecond, 0},
		{"state is there", 400 * time.Millisecond, 250 * time.Millisecond, time.Second, 10, true, 0, 0},
		{"caller does not wait long enough", 100 * time.Millisecond, 250 * time.Millisecond, 300 * time.Millisecond, 10, false, 0, 200 * time.Millisecond},
		{"longer than expected", 100 * time.Millisecond, 2 * time.Second, time.Second, 10, false, 500 * time.Millisecond, 300 * time.Millisecond},
		{"start takes long", 1600 * time.Millisecond, 2 * time.Second, time.Minute, 10, false, 0, 800 * time.Millisecond},
		{"too large", 100 * time.Millisecond, 250 * time.Millisecond, time.Second, maxHeldBytes + 1, false, 0, 200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewGate()
				time.AfterFunc(tt.opened, g.Open)
				time.Sleep(tt.arrival)
				start := time.Now()
				retryAfter, ok := g.Await(tt.timeout, tt.size)
				assert.Equal(t, ok, tt.ok)
				assert.Equal(t, time.Since(start), tt.waited)
				if !ok {
					assert.Equal(t, retryAfter, tt.retryAfter)
				}
				time.Sleep(3 * time.Second)
			})
		})
	}
}

// Guards against repeated tries that go before first ones, a burst at the targets when the
// state is there, and held requests that exhaust the memory.
func TestGateReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate()
		var mu sync.Mutex
		var released, timeouts []time.Duration
		refused := 0
		var running sync.WaitGroup
		for i := range 2 * maxHeld {
			timeout := time.Duration(600+i%3*300) * time.Millisecond
			running.Go(func() {
				_, ok := g.Await(timeout, maxHeldBytes/maxHeld)
				mu.Lock()
				defer mu.Unlock()
				if !ok {
					refused++
					return
				}
				released, timeouts = append(released, time.Since(g.start)), append(timeouts, timeout)
			})
		}
		time.Sleep(200 * time.Millisecond)
		g.Open()
		running.Wait()
		time.Sleep(releasePeriod)
		assert.Equal(t, refused, maxHeld)
		last := released[len(released)-1] - 200*time.Millisecond
		assert.Assert(t, last >= releasePeriod*9/10 && last <= releasePeriod, "the last request is released after %s", last)
		slices.Reverse(timeouts)
		assert.Assert(t, slices.IsSorted(timeouts))
	})
}
