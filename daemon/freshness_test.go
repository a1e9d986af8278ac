package daemon

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// source is a follower whose age the test sets.
type source struct {
	readAt    atomic.Pointer[time.Time]
	failing   atomic.Bool
	refreshed atomic.Int64
}

func newSource() *source {
	s := &source{}
	s.read()
	return s
}

func (s *source) read() { now := time.Now(); s.readAt.Store(&now) }

func (s *source) Age() time.Duration     { return time.Since(*s.readAt.Load()) }
func (s *source) ReadAge() time.Duration { return s.Age() }
func (s *source) Failing() bool          { return s.failing.Load() }
func (s *source) Refresh()               { s.refreshed.Add(1) }

// Guards against a process that acts on what it knew before it stood still, and
// against one that refuses everything while the store is away.
func TestFreshness(t *testing.T) {
	const drainDelay = 2 * time.Second
	tests := []struct {
		name   string
		paused bool
		age    time.Duration
		do     func(targets, config *source) // while the request waits
		want   bool
		waits  time.Duration
	}{
		{name: "recent", want: true},
		{name: "old and read again", age: 3 * time.Second, do: func(targets, _ *source) { targets.read() }, want: true, waits: 20 * time.Millisecond},
		{name: "old and slow", age: 3 * time.Second, want: true, waits: ageWait},
		{name: "old and the store is away", age: 3 * time.Second, do: func(targets, _ *source) { targets.failing.Store(true) }, want: true, waits: 20 * time.Millisecond},
		{name: "paused", paused: true, want: false, waits: time.Second},
		{name: "paused, targets read again", paused: true, do: func(targets, _ *source) { targets.read() }, want: false, waits: time.Second},
		{name: "paused, all read again", paused: true, do: func(targets, config *source) { targets.read(); config.read() }, want: true, waits: 20 * time.Millisecond},
		{name: "paused and the store is away", paused: true, do: func(targets, _ *source) { targets.failing.Store(true) }, want: true, waits: 20 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				targets, config := newSource(), newSource()
				suspended := time.Duration(0)
				pauses := 0
				f := newFreshness(targets, config, drainDelay, func(time.Duration) { pauses++ })
				f.suspended = func() time.Duration { return suspended }
				f.offset = 0
				time.Sleep(tt.age)
				if tt.paused {
					suspended = time.Second
				}
				if tt.do != nil {
					time.AfterFunc(15*time.Millisecond, func() { tt.do(targets, config) })
				}
				began := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				assert.Equal(t, f.Await(ctx), tt.want)
				assert.Assert(t, time.Since(began)-tt.waits <= 2*freshPoll, "waited %s", time.Since(began))
				if tt.paused {
					assert.Equal(t, pauses, 1)
					assert.Assert(t, targets.refreshed.Load() > 0 && config.refreshed.Load() > 0)
				}
				time.Sleep(20 * time.Millisecond)
			})
		})
	}
}
