package registry

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/membership"
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

// startRegistrars runs n registrars of one zone that know each other, until the test
// ends.
func startRegistrars(t *testing.T, store *fakeStore, n int) []*Registrar {
	t.Helper()
	address := netip.MustParseAddrPort("10.0.0.1:80")
	directories := make([]*membership.Directory, n)
	for i := range directories {
		self := membership.Instance{ID: fmt.Sprintf("i-%03d", i), Zone: "a", PeerAddress: address, CallerAddress: address, AdminAddress: address}
		directories[i] = membership.NewDirectory(self)
	}
	era := func() int64 {
		store.mu.Lock()
		defer store.mu.Unlock()
		return store.era
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	registrars := make([]*Registrar, n)
	for i, d := range directories {
		for _, other := range directories {
			d.RecordPacket(other.Self(), time.Hour)
		}
		registrars[i] = NewRegistrar(store, d, discardLogger, WithStoreEra(era))
		running.Go(func() { assert.Check(t, registrars[i].Run(ctx)) })
	}
	t.Cleanup(func() { cancel(); running.Wait() })
	return registrars
}

func registeredInstances(t *testing.T, store *fakeStore) int {
	t.Helper()
	batch, err := store.Newest(context.Background(), platform.InstanceTopic)
	assert.NilError(t, err)
	return len(batch.Records)
}

// Guards against registrations that are missing after a restoration, by which starting
// instances find the others, and against a call of each instance to write them.
func TestInstancesRegisterAfterRestoration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 144
		store := newFakeStore()
		startRegistrars(t, store, instances)
		time.Sleep(10 * time.Second)
		assert.Equal(t, registeredInstances(t, store), registeredPerZone)
		for restorations := 1; restorations <= 2; restorations++ {
			store.restore(platform.InstanceTopic, 0)
			time.Sleep(10 * time.Second)
			assert.Equal(t, registeredInstances(t, store), registeredPerZone)
			assert.Equal(t, store.appendCount(), (1+restorations)*registeredPerZone)
		}
	})
}

// Guards against a leaving instance that is registered because the store was restored,
// from a copy with or without its registration, and against one that removes a
// Guards against an instance that starts between a restoration and the others'
// registrations, finds none and stays alone.
func TestInstanceThatStartsAfterRestorationIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		registrars := startRegistrars(t, store, 2)
		time.Sleep(10 * time.Second)
		store.restore(platform.InstanceTopic, 0)
		address := netip.MustParseAddrPort("10.0.0.2:80")
		late := membership.Instance{ID: "late", Zone: "b", PeerAddress: address, CallerAddress: address, AdminAddress: address}
		value, err := peer.EncodeRegistration(late, 1)
		assert.NilError(t, err)
		store.put(platform.InstanceTopic, "late", string(value))
		time.Sleep(2 * time.Second)
		for _, r := range registrars {
			known := slices.ContainsFunc(r.directory.Peers(), func(in membership.Instance) bool { return in.ID == "late" })
			assert.Assert(t, known, r.directory.Self().ID)
		}
	})
}

// Guards against an instance that registers again and again because another one has
// reported an era that the store never states.
func TestWrongEraCausesNoStormOfRegistrations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		address := netip.MustParseAddrPort("10.0.0.1:80")
		self := membership.Instance{ID: "i", Zone: "a", PeerAddress: address, CallerAddress: address, AdminAddress: address}
		wrongEra := WithStoreEra(func() int64 { return 1 << 40 })
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		assert.NilError(t, NewRegistrar(store, membership.NewDirectory(self), discardLogger, wrongEra).Run(ctx))
		assert.Assert(t, store.appendCount() <= 2, "%d appends in a minute", store.appendCount())
	})
}

// registration that it never had.
func TestLeavingInstanceAfterRestoration(t *testing.T) {
	tests := []struct {
		name       string
		instance   int
		restoredTo int      // number of records
		appended   []string // after the restoration; empty for a removal
	}{
		{"copy with the registration", 0, registeredPerZone, []string{""}},
		{"copy without the registration", 0, 0, []string{""}},
		{"never registered", registeredPerZone, registeredPerZone, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				registrars := startRegistrars(t, store, registeredPerZone+1)
				time.Sleep(10 * time.Second)
				leaving := registrars[tt.instance]
				leaving.Deregister(context.Background())
				store.restore(platform.InstanceTopic, tt.restoredTo)
				time.Sleep(10 * time.Second)
				var appended []string
				for _, r := range store.recordsFrom(platform.InstanceTopic, tt.restoredTo) {
					if r.Key == leaving.directory.Self().ID {
						appended = append(appended, string(r.Value))
					}
				}
				assert.DeepEqual(t, appended, tt.appended)
			})
		})
	}
}

// Guards against a document of a restored store that an instance accepts although it
// would not accept it otherwise: an older or malformed one, or another one with the
// number of the active one.
func TestDocumentsAfterRestoration(t *testing.T) {
	other := strings.Replace(documentJSON(7), `"r"`, `"other"`, 1)
	for _, tt := range []struct {
		name   string
		values []string
		want   []int64
	}{
		{"older", []string{documentJSON(6)}, []int64{7}},
		{"removed", []string{""}, []int64{7}},
		{"truncated", []string{documentJSON(9)[:40]}, []int64{7}},
		{"invalid", []string{documentJSON(0), documentJSON(-9), strings.Replace(documentJSON(9), `"attempts":2`, `"attempts":-2`, 1)}, []int64{7}},
		{"same number", []string{other}, []int64{7}},
		{"newer after invalid", []string{documentJSON(9)[:40], documentJSON(8)}, []int64{7, 8}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				putVersions(store, 5, 6, 7)
				f, versions := startConfigFollower(t, store, reader, noPeer)
				time.Sleep(time.Second)
				store.restore(platform.ConfigTopic, 1)
				f.RecordRestoration()
				for _, value := range tt.values {
					time.Sleep(time.Second)
					store.put(platform.ConfigTopic, platform.ConfigKey, value)
				}
				time.Sleep(configBound)
				assert.DeepEqual(t, versions(), tt.want)
				assert.Equal(t, f.Current().Routes[0].Name, "r")
			})
		})
	}
}
