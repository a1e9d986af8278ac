package registry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/peer"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

// configBound is the time after its acknowledgement within which a version must be
// active.
const configBound = 2 * time.Second

// putVersions appends one record for each version.
func putVersions(store *fakeStore, versions ...int) {
	for _, v := range versions {
		store.put(platform.ConfigTopic, platform.ConfigKey, documentJSON(v))
	}
}

// Guards against a version that is missed after an outage because the restored store
// appended it before the position of the last read.
func TestVersionAtOffsetsReadBeforeOutage(t *testing.T) {
	for _, rank := range []int{reader, watcher} {
		t.Run(fmt.Sprint("rank ", rank), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				putVersions(store, 5, 6, 7)
				_, versions := startConfigFollower(t, store, rank, noPeer)
				time.Sleep(time.Second)
				store.fail(platform.ErrUnavailable)
				time.Sleep(time.Second)
				store.restore(platform.ConfigTopic, 1)
				putVersions(store, 7, 9)
				store.fail(nil)
				time.Sleep(configBound)
				assert.DeepEqual(t, versions(), []int64{7, 9})
			})
		})
	}
}

// Guards against a long poll at a position of a former era that goes on although this
// instance knows of the restoration.
func TestRestorationRestartsLongPoll(t *testing.T) {
	for _, rank := range []int{reader, watcher, nonWatcher} {
		t.Run(fmt.Sprint("rank ", rank), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				putVersions(store, 5, 6, 7)
				store.setDelayed(true)
				f, versions := startConfigFollower(t, store, rank, noPeer)
				// Any instance long-polls the store after peerVersionTimeout.
				time.Sleep(peerVersionTimeout + 100*time.Millisecond)
				store.restore(platform.ConfigTopic, 1)
				putVersions(store, 7, 9)
				store.setDelayed(false)
				f.RecordRestoration()
				synctest.Wait()
				assert.DeepEqual(t, versions(), []int64{7, 9})
			})
		})
	}
}

// Guards against a watcher that waits for its next attempt although another instance
// has reported that the restored store can be read.
func TestRestorationEndsBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		putVersions(store, 5)
		f, versions := startConfigFollower(t, store, watcher, noPeer)
		synctest.Wait()
		store.fail(platform.ErrUnavailable)
		time.Sleep(5 * time.Second)
		store.fail(nil)
		store.restore(platform.ConfigTopic, 0)
		putVersions(store, 6)
		f.RecordRestoration()
		synctest.Wait()
		assert.DeepEqual(t, versions(), []int64{5, 6})
	})
}

// Guards against a call to the store by each instance, instead of only the watchers,
// after a restoration.
func TestFewConfigReadsAfterRestoration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 144
		store := newFakeStore()
		putVersions(store, 5, 6, 7)
		fetch := func(above int64) ([]byte, string) {
			if above >= 9 {
				return nil, ""
			}
			return []byte(documentJSON(9)), "peer"
		}
		followers := make([]*ConfigFollower, instances)
		for i := range followers {
			followers[i], _ = startConfigFollower(t, store, i, fetch)
		}
		report := func(version int64, duration time.Duration) {
			for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(readInterval) {
				for _, f := range followers {
					f.RecordPeerVersion(version)
				}
			}
		}
		const period = 10 * time.Second
		report(7, period)
		readsBefore, newestBefore := store.counts()
		start := time.Now()
		store.restore(platform.ConfigTopic, 1)
		synctest.Wait()
		for _, f := range followers {
			f.RecordRestoration()
		}
		report(7, period)
		putVersions(store, 9)
		synctest.Wait()
		report(9, period)
		reads, newest := store.counts()
		elapsed := time.Since(start)
		t.Logf("%d long polls, %d reads of the newest version in %s", reads-readsBefore, newest-newestBefore, elapsed)
		// A watcher reads it once when its long poll is refused and once when it is told.
		assert.Assert(t, newest-newestBefore <= 2*watcherCount, "%d reads of the newest version", newest-newestBefore)
		// Besides those that wait to the end, a watcher begins a long poll after each of
		// these reads and after the new version.
		polls := int(elapsed/firstLongPollTimeout + elapsed/longPollTimeout)
		assert.Assert(t, reads-readsBefore <= polls+3*watcherCount, "%d long polls", reads-readsBefore)
		for i, f := range followers {
			assert.Equal(t, f.Current().Version, int64(9), "instance %d", i)
		}
	})
}

// Guards against a restoration that is reported never or repeatedly, or while the lock
// of the follower is held.
func TestRestorationIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		first := func() int { return 0 }
		var eras []int64
		var f *TargetFollower
		f = NewTargetFollower(store, targets.NewDirectory(), fakeBroadcaster{&fakeNetwork{}, 0}, first, first, ignoreChange, func() {}, discardLogger,
			WithOnRestored(func() { eras = append(eras, f.Era()) }))
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan struct{})
		go func() { defer close(stopped); _ = f.Run(ctx) }()
		time.Sleep(2 * readInterval)
		synctest.Wait()
		assert.Equal(t, len(eras), 0)
		store.restore(platform.TargetTopic, 0)
		time.Sleep(3 * readInterval)
		synctest.Wait()
		assert.DeepEqual(t, eras, []int64{2})
		for _, era := range []int64{3, 3, 2} {
			f.ApplyUpdate(peer.TargetUpdate{To: platform.Position{Era: era}})
		}
		assert.DeepEqual(t, eras, []int64{2, 3})
		cancel()
		<-stopped
	})
}
