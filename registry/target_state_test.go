package registry

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/peer"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

// handOn returns a follower that has taken over the state of another one.
func handOn(t *testing.T, from *TargetFollower, store Store) (*TargetFollower, *targets.Directory) {
	t.Helper()
	state, ok := from.State()
	assert.Assert(t, ok)
	directory := targets.NewDirectory()
	order := func() int { return 0 }
	f := NewTargetFollower(store, directory, fakeBroadcaster{&fakeNetwork{}, 0}, order, order, ignoreChange, func() {}, discardLogger)
	f.Restore(state, time.Now())
	return f, directory
}

// Guards against a starting instance that uses a target forever whose registration
// was removed: an instance that hands its state on delays removals after an outage,
// and the removal is before the offset from which the starting one reads.
func TestDelayedRemovalIsNotHandedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.TargetTopic, "i", registration("ready", 1))
		store.put(platform.TargetTopic, "j", registration("ready", 1))
		network, directories := startTargetFollowers(t, store, 1)
		time.Sleep(3 * time.Second)
		store.fail(platform.ErrUnavailable)
		time.Sleep(5 * time.Second)
		store.put(platform.TargetTopic, "i", "")
		store.fail(nil)
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, readyCount(directories[0]), 2) // the removal of i is delayed
		f, directory := handOn(t, network.followers[0], store)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		running.Go(func() { _ = f.Run(ctx) })
		time.Sleep(5 * time.Second)
		assert.Equal(t, readyCount(directory), 1)
		assert.Equal(t, readyCount(directories[0]), 1)
	})
}

// Guards against a starting instance that reads the store although it has the state,
// misses changes after that state, or counts it as more recent than it is.
func TestRestoredState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.TargetTopic, "i", registration("ready", 1))
		network, _ := startTargetFollowers(t, store, 1)
		time.Sleep(100 * time.Millisecond)
		_, newest := store.counts()
		f, directory := handOn(t, network.followers[0], store)
		assert.Equal(t, f.Age(), 100*time.Millisecond)
		assert.Equal(t, readyCount(directory), 1)
		store.put(platform.TargetTopic, "i", registration("draining", 2))
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		running.Go(func() { _ = f.Run(ctx) })
		time.Sleep(readInterval)
		assert.Equal(t, readyCount(directory), 0)
		_, newestAfter := store.counts()
		assert.Equal(t, newestAfter, newest)
	})
}

// Guards against an old state from another instance that replaces a later one which
// this instance has read itself.
func TestRestoreKeepsOwnState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.TargetTopic, "i", registration("draining", 2))
		network, directories := startTargetFollowers(t, store, 1)
		time.Sleep(100 * time.Millisecond)
		old := targets.Target{ID: "i", StartedMS: 1, Service: "s", Sequence: 1}
		network.followers[0].Restore(peer.TargetState{Targets: []targets.Target{old}, Next: at(1)}, time.Now())
		assert.Equal(t, readyCount(directories[0]), 0)
	})
}

// Guards against a target that had left and is in use again after a restoration, on an
// instance that started after the target had left.
func TestTargetThatLeftStaysRemovedAfterRestoration(t *testing.T) {
	for _, tt := range []struct {
		name   string
		loaded bool // whether the starting instance has read the store before it joins
	}{{"joined", false}, {"read the store, then joined", true}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				store.put(platform.TargetTopic, "i", registration("ready", 1))
				network, directories := startTargetFollowers(t, store, 1)
				time.Sleep(time.Second)
				store.put(platform.TargetTopic, "i", registration("draining", 2))
				store.put(platform.TargetTopic, "i", "")
				time.Sleep(time.Second)
				assert.Equal(t, directories[0].Count(), 0)
				f, directory := newTestFollower(store, &fakeNetwork{})
				if tt.loaded {
					assert.NilError(t, f.read(context.Background()))
				}
				state, ok := network.followers[0].State()
				assert.Assert(t, ok)
				f.Restore(state, time.Now())
				restoreTargets(store, 1)
				assert.ErrorIs(t, f.read(context.Background()), platform.ErrRestored)
				f.recordExpiry()
				assert.NilError(t, f.read(context.Background()))
				assert.Equal(t, directory.Count(), 0)
			})
		})
	}
}

// Guards against a starting instance that takes over a state of an older era than others
// have reported, counts updates of that era as continuing it and hands it on.
func TestStateOfOlderEraIsNotContinued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.TargetTopic, "i", registration("ready", 1))
		network, _ := startTargetFollowers(t, store, 1)
		time.Sleep(time.Millisecond)
		state, ok := network.followers[0].State()
		assert.Assert(t, ok)
		restoreTargets(store, 0)
		own := &fakeNetwork{}
		f, directory := newTestFollower(store, own)
		f.ApplyUpdate(peer.TargetUpdate{From: in(2, 0), To: in(2, 0)})
		f.Restore(state, time.Now())
		assert.Equal(t, readyCount(directory), 1)
		time.Sleep(time.Second)
		f.ApplyUpdate(peer.TargetUpdate{From: at(1), To: at(2)})
		assert.Equal(t, f.Age(), time.Second+time.Millisecond)
		_, ok = f.State()
		assert.Assert(t, !ok)
		reads, newest := store.counts()
		assert.NilError(t, f.read(context.Background()))
		readsAfter, newestAfter := store.counts()
		assert.Equal(t, readsAfter, reads)
		assert.Equal(t, newestAfter, newest+1)
		assert.Equal(t, f.next, in(2, 0))
		assert.Equal(t, readyCount(directory), 1) // until it can have registered again
		assert.Equal(t, own.sent[0].From, at(1))
	})
}

// Guards against an era that is not known after a state was taken over, so that the next
// restoration is not reported.
func TestEraOfRestoredState(t *testing.T) {
	f, _ := newTestFollower(newFakeStore(), &fakeNetwork{})
	f.Restore(peer.TargetState{Next: in(3, 5)}, time.Now())
	assert.Equal(t, f.Era(), int64(3))
}

// Guards against a target that is missing on a starting instance since its registration
// arrived by an update while the state, which is older, was on its way.
func TestUpdateDuringJoin(t *testing.T) {
	store := newFakeStore()
	store.put(platform.TargetTopic, "i", registration("ready", 1))
	provider, _ := newTestFollower(store, &fakeNetwork{})
	assert.NilError(t, provider.read(context.Background()))
	state, ok := provider.State()
	assert.Assert(t, ok)
	store.put(platform.TargetTopic, "j", registration("ready", 1))
	f, directory := newTestFollower(store, &fakeNetwork{})
	f.ApplyUpdate(peer.TargetUpdate{From: at(1), To: at(2), Changes: []targets.Change{readyTarget("j", 1)}})
	f.Restore(state, time.Now())
	assert.NilError(t, f.read(context.Background()))
	assert.Equal(t, directory.Count(), 2)
}
