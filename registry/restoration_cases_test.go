package registry

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/peer"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

// Guards against a store whose first stated era ends no long poll.
func TestFirstStatedEraIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.era = 0
		reported := 0
		first := func() int { return 0 }
		f := NewTargetFollower(store, targets.NewDirectory(), fakeBroadcaster{&fakeNetwork{}, 0}, first, first, ignoreChange, func() {}, discardLogger,
			WithOnRestored(func() { reported++ }))
		assert.NilError(t, f.read(context.Background()))
		restoreTargets(store, 0)
		assert.ErrorIs(t, f.read(context.Background()), platform.ErrRestored)
		f.recordExpiry()
		assert.NilError(t, f.read(context.Background()))
		assert.Equal(t, reported, 1)
	})
}

// delayedNewest calls during before the response of Newest arrives.
type delayedNewest struct {
	*fakeStore
	during func()
}

func (s delayedNewest) Newest(ctx context.Context, topic platform.Topic) (platform.Batch, error) {
	b, err := s.fakeStore.Newest(ctx, topic)
	s.during()
	return b, err
}

// Guards against a target that is dropped because it registered while all were read.
func TestTargetOfUpdateDuringReadOfAllIsKept(t *testing.T) {
	for _, expired := range []bool{false, true} {
		t.Run(fmt.Sprint("expired ", expired), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				store.put(platform.TargetTopic, "i", registration("ready", 1))
				s := delayedNewest{store, func() {}}
				f, directory := newTestFollower(&s, &fakeNetwork{})
				if expired {
					assert.NilError(t, f.read(context.Background()))
					assert.NilError(t, f.read(context.Background()))
					f.recordExpiry()
				}
				s.during = func() {
					store.put(platform.TargetTopic, "j", registration("ready", 5))
					r := store.recordsFrom(platform.TargetTopic, 1)
					f.ApplyUpdate(peer.TargetUpdate{From: at(1), To: at(2), Changes: f.decodeChanges(r)})
				}
				assert.NilError(t, f.read(context.Background()))
				s.during = func() {}
				assert.NilError(t, f.read(context.Background()))
				assert.Check(t, directory.Knows("j"), "expired %v: added target is not used", expired)
			})
		})
	}
}

// Guards against a version that is missed because the store was restored during the start.
func TestVersionAfterRestorationDuringStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		putVersions(store, 5, 6, 7)
		store.setDelayed(true)
		c, versions := startConfigFollower(t, store, watcher, noPeer)
		first := func() int { return 0 }
		f := NewTargetFollower(store, targets.NewDirectory(), fakeBroadcaster{&fakeNetwork{}, 0}, first, first, ignoreChange, func() {}, discardLogger,
			WithOnRestored(c.RecordRestoration))
		time.Sleep(50 * time.Millisecond)
		store.restore(platform.ConfigTopic, 1)
		putVersions(store, 7, 9)
		store.setDelayed(false)
		assert.NilError(t, f.read(context.Background()))
		assert.Equal(t, f.Era(), int64(2))
		time.Sleep(configBound)
		assert.DeepEqual(t, versions(), []int64{7, 9})
	})
}

// Guards against a restoration that is not noticed after a datagram with a wrong era.
func TestRestorationAfterWrongEraIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.TargetTopic, "i", registration("ready", 1))
		reported := 0
		first := func() int { return 0 }
		directory := targets.NewDirectory()
		f := NewTargetFollower(store, directory, fakeBroadcaster{&fakeNetwork{}, 0}, first, first, ignoreChange, func() {}, discardLogger,
			WithOnRestored(func() { reported++ }))
		assert.NilError(t, f.read(context.Background()))
		f.ApplyUpdate(peer.TargetUpdate{From: in(math.MaxInt64, 0), To: in(math.MaxInt64, 1), SinceOutage: time.Millisecond})
		assert.NilError(t, f.read(context.Background()))
		time.Sleep(10 * time.Second)
		reported = 0
		restoreTargets(store, 0)
		assert.ErrorIs(t, f.read(context.Background()), platform.ErrRestored)
		f.recordExpiry()
		assert.NilError(t, f.read(context.Background()))
		assert.Check(t, directory.Count() == 1, "running target removed at once")
		assert.Check(t, reported == 1, "restoration not reported")
	})
}

// Guards against one wrong datagram that ends the broadcasts of new eras.
func TestBeginningOfEraIsBroadcastAfterWrongEra(t *testing.T) {
	for _, forged := range []bool{false, true} {
		t.Run(fmt.Sprint("forged ", forged), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				store.put(platform.TargetTopic, "i", registration("ready", 1))
				network := &fakeNetwork{}
				f, _ := newTestFollower(store, network)
				assert.NilError(t, f.read(context.Background()))
				if forged {
					f.ApplyUpdate(peer.TargetUpdate{From: in(math.MaxInt64, 0), To: in(math.MaxInt64, 1), Changes: []targets.Change{{ID: "x"}}})
					assert.NilError(t, f.read(context.Background()))
				}
				time.Sleep(time.Hour)
				restoreTargets(store, 1)
				assert.ErrorIs(t, f.read(context.Background()), platform.ErrRestored)
				f.recordExpiry()
				n := len(network.sent)
				assert.NilError(t, f.read(context.Background()))
				assert.Equal(t, len(network.sent)-n, 1, "broadcasts of the new era")
			})
		})
	}
}

// Guards against every instance polling the store for a version that was lost.
func TestLostReportedVersionCausesNoPolling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		putVersions(store, 9)
		f, _ := startConfigFollower(t, store, nonWatcher, noPeer)
		f.RecordPeerVersion(9)
		synctest.Wait()
		f.RecordPeerVersion(10) // its holder dies, the store was restored without it
		f.RecordRestoration()
		r0, n0 := store.counts()
		for range 60 {
			time.Sleep(time.Second)
			f.RecordPeerVersion(9)
		}
		r, n := store.counts()
		assert.Check(t, r+n-r0-n0 <= 4, "%d calls of a non-watcher in a minute", r+n-r0-n0)
	})
}
