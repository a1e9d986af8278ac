package daemon

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// fakeFollower is a targetFollower and a configFollower with an age set by the test.
type fakeFollower struct {
	readAt    atomic.Pointer[time.Time]
	failing   atomic.Bool
	refreshed atomic.Int64
}

func newFakeFollower() *fakeFollower {
	f := &fakeFollower{}
	f.markRead()
	return f
}

func (f *fakeFollower) markRead() { now := time.Now(); f.readAt.Store(&now) }

func (f *fakeFollower) Age() time.Duration     { return time.Since(*f.readAt.Load()) }
func (f *fakeFollower) ReadAge() time.Duration { return f.Age() }
func (f *fakeFollower) Failing() bool          { return f.failing.Load() }
func (f *fakeFollower) Refresh()               { f.refreshed.Add(1) }

// Guards against an instance that serves requests with outdated targets or
// configuration after a suspension of the machine instead of refusing them until
// both are read again. Also guards against an instance that refuses all requests
// during an outage of the store, when targets and configuration cannot be read
// again, or that delays requests by more than refreshTimeout while the store is
// slow.
func TestFreshness(t *testing.T) {
	const drainDelay = 2 * time.Second
	tests := []struct {
		name         string
		suspended    bool
		age          time.Duration
		whileWaiting func(targets, config *fakeFollower) // called while the request waits
		want         bool
		maxWait      time.Duration
	}{
		{name: "recent state", want: true},
		{name: "stale state, refreshed", age: 3 * time.Second, whileWaiting: func(targets, _ *fakeFollower) { targets.markRead() }, want: true, maxWait: 20 * time.Millisecond},
		{name: "stale state, slow store", age: 3 * time.Second, want: true, maxWait: refreshTimeout},
		{name: "stale state, store failing", age: 3 * time.Second, whileWaiting: func(targets, _ *fakeFollower) { targets.failing.Store(true) }, want: true, maxWait: 20 * time.Millisecond},
		{name: "suspended", suspended: true, want: false, maxWait: time.Second},
		{name: "suspended, only targets refreshed", suspended: true, whileWaiting: func(targets, _ *fakeFollower) { targets.markRead() }, want: false, maxWait: time.Second},
		{name: "suspended, all state refreshed", suspended: true, whileWaiting: func(targets, config *fakeFollower) { targets.markRead(); config.markRead() }, want: true, maxWait: 20 * time.Millisecond},
		{name: "suspended, store failing", suspended: true, whileWaiting: func(targets, _ *fakeFollower) { targets.failing.Store(true) }, want: true, maxWait: 20 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				targets, config := newFakeFollower(), newFakeFollower()
				suspendedTime := time.Duration(0)
				suspensions := 0
				f := newFreshness(targets, config, drainDelay, func(time.Duration) { suspensions++ })
				f.suspendedTime = func() time.Duration { return suspendedTime }
				f.lastSuspended = 0
				time.Sleep(tt.age)
				if tt.suspended {
					suspendedTime = time.Second
				}
				if tt.whileWaiting != nil {
					time.AfterFunc(15*time.Millisecond, func() { tt.whileWaiting(targets, config) })
				}
				start := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				assert.Equal(t, f.Await(ctx), tt.want)
				assert.Assert(t, time.Since(start)-tt.maxWait <= 2*freshnessPollInterval, "waited %s", time.Since(start))
				if tt.suspended {
					assert.Equal(t, suspensions, 1)
					assert.Assert(t, targets.refreshed.Load() > 0 && config.refreshed.Load() > 0)
				}
				time.Sleep(20 * time.Millisecond)
			})
		})
	}
}
