package membership

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/platform"
)

// pausable is a time that jumps, as it does for a process that was paused.
type pausable struct{ offset atomic.Int64 }

func (p *pausable) now() time.Time { return time.Now().Add(time.Duration(p.offset.Load())) }

func (p *pausable) pause(d time.Duration) { p.offset.Add(int64(d)) }

func runGuard(t *testing.T, p *pausable, opts ...GuardOption) *Guard {
	t.Helper()
	g := NewGuard(append([]GuardOption{WithGuardNow(p.now)}, opts...)...)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = g.Run(ctx) }()
	synctest.Wait()
	return g
}

// Guards against a process that sends requests on its outdated view after a
// pause: the first check after the resume must see the pause, before any tick.
func TestGuardSeesPauseAtFirstUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pausable{}
		g := runGuard(t, p)
		time.Sleep(10 * time.Second)
		assert.Assert(t, g.Fresh())
		p.pause(900 * time.Millisecond)
		assert.Assert(t, g.Fresh())
		time.Sleep(200 * time.Millisecond)
		p.pause(1100 * time.Millisecond)
		assert.Assert(t, !g.Fresh())
		time.Sleep(time.Minute)
		assert.Assert(t, !g.Fresh())
	})
}

// Guards against a view that counts as revalidated by what is older than the
// resume, by a peer that knows a newer configuration, or by log and list alone
// while peers may know of a leaving target.
func TestGuardRevalidation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pausable{}
		var alone atomic.Bool
		g := runGuard(t, p, WithVersion(func() platform.Offset { return 7 }), WithAlone(alone.Load))
		beforePause := p.now()
		p.pause(2 * time.Second)
		// The first call after the resume notices the pause itself.
		g.HeardPeer(8)
		assert.Assert(t, !g.Fresh())
		g.ReadLog(beforePause)
		g.ReadList(p.now())
		assert.Assert(t, !g.Fresh())
		g.ReadLog(p.now())
		assert.Assert(t, !g.Fresh(), "a peer may know more than log and list")
		alone.Store(true)
		g.ReadLog(p.now())
		assert.Assert(t, g.Fresh())
		alone.Store(false)

		p.pause(2 * time.Second)
		assert.Assert(t, !g.Fresh())
		g.ReadLog(p.now())
		time.Sleep(aloneTimeout)
		assert.Assert(t, !g.Fresh())
		g.ReadList(p.now())
		assert.Assert(t, g.Fresh(), "no peer was heard in time")

		p.pause(2 * time.Second)
		assert.Assert(t, !g.Fresh())
		g.ReadLog(p.now())
		p.pause(2 * time.Second)
		g.ReadList(p.now())
		assert.Assert(t, !g.Fresh(), "the log was read before the second pause")
		g.HeardPeer(7)
		assert.Assert(t, g.Fresh())
	})
}

// Guards against an instance that never serves again after a pause because
// nothing is there to compare its view with, and against one that ignores
// the peers it has.
func TestGuardAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pausable{}
		var alone atomic.Bool
		var changes atomic.Int64
		g := runGuard(t, p, WithAlone(alone.Load), WithOnChange(func(bool) { changes.Add(1) }))
		p.pause(2 * time.Second)
		assert.Assert(t, !g.Fresh())
		time.Sleep(2 * aloneTimeout)
		assert.Assert(t, !g.Fresh())
		alone.Store(true)
		assert.NilError(t, g.Wait(t.Context()))

		p.pause(2 * time.Second)
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, g.Wait(ctx), context.DeadlineExceeded)
		assert.NilError(t, g.Wait(t.Context()))
		assert.Assert(t, time.Since(start) >= aloneTimeout)
		assert.Equal(t, changes.Load(), int64(4))
	})
}
