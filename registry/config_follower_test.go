package registry

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/membership"
	"rhubarbrelay/peer"
	"rhubarbrelay/platform"
)

func documentJSON(version int) string {
	return fmt.Sprintf(`{"version":%d,"limits":{},"listeners":[{"host":"a.example","rules":[{"name":"r","kind":"safe","slo-ms":400,`+
		`"priority":1,"match":{"path-prefix":"/"},"action":{"service":"s","timeout-ms":1000,"attempts":2}}]}],`+
		`"clusters":[{"name":"s","health-path":"/h","max-conns":10,"protocol":"h1"}]}`, version)
}

// noPeer is a FetchFunc that finds no other instance.
func noPeer(int64) ([]byte, string) { return nil, "" }

// Ranks of the followers in tests. The reader also reads the target registry.
const (
	reader     = 0
	watcher    = watcherCount - 1
	nonWatcher = watcherCount
)

func roleOf(rank int, storeFailing bool) ReadRole {
	order := func() int { return rank }
	return ReadRole{IsReader: func() bool { return rank == reader }, StoreFailing: func() bool { return storeFailing }, Rank: order, ReadOrder: order}
}

// startConfigFollower runs a follower until the test ends. The returned function
// lists the versions that were activated.
func startConfigFollower(t *testing.T, store Store, rank int, fetch FetchFunc) (*ConfigFollower, func() []int64) {
	t.Helper()
	return startConfigFollowerInRole(t, store, roleOf(rank, false), fetch)
}

func startConfigFollowerInRole(t *testing.T, store Store, role ReadRole, fetch FetchFunc) (*ConfigFollower, func() []int64) {
	t.Helper()
	var mu sync.Mutex
	var versions []int64
	f := NewConfigFollower(store, role, fetch, discardLogger, func(d *config.Document) {
		mu.Lock()
		defer mu.Unlock()
		versions = append(versions, d.Version)
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = f.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return f, func() []int64 {
		mu.Lock()
		defer mu.Unlock()
		return append([]int64(nil), versions...)
	}
}

// Guards against activating an older version or an invalid document, and against
// not activating a newer valid one.
func TestActivatedVersions(t *testing.T) {
	tests := []struct {
		name   string
		action func(s *fakeStore, f *ConfigFollower)
		want   []int64
	}{
		{"newer", func(s *fakeStore, _ *ConfigFollower) { s.put(platform.ConfigTopic, "config", documentJSON(9)) }, []int64{5, 9}},
		{"older", func(s *fakeStore, _ *ConfigFollower) { s.put(platform.ConfigTopic, "config", documentJSON(4)) }, []int64{5}},
		{"older from another instance", func(_ *fakeStore, f *ConfigFollower) { f.ApplyIfNewer([]byte(documentJSON(4)), "peer") }, []int64{5}},
		{"newer from another instance", func(_ *fakeStore, f *ConfigFollower) { f.ApplyIfNewer([]byte(documentJSON(6)), "peer") }, []int64{5, 6}},
		{"malformed", func(s *fakeStore, _ *ConfigFollower) { s.put(platform.ConfigTopic, "config", documentJSON(9)[:40]) }, []int64{5}},
		{"record with another key", func(s *fakeStore, _ *ConfigFollower) { s.put(platform.ConfigTopic, "other", documentJSON(9)) }, []int64{5}},
		{"removed", func(s *fakeStore, _ *ConfigFollower) { s.put(platform.ConfigTopic, "config", "") }, []int64{5}},
		{"after the history has expired", func(s *fakeStore, _ *ConfigFollower) {
			s.put(platform.ConfigTopic, "config", documentJSON(8))
			s.expire(platform.ConfigTopic)
			s.put(platform.ConfigTopic, "config", documentJSON(9))
		}, []int64{5, 9}},
		{"after an outage", func(s *fakeStore, _ *ConfigFollower) {
			s.fail(errResponseLost)
			time.Sleep(20 * time.Second)
			s.put(platform.ConfigTopic, "config", documentJSON(7))
			s.fail(nil)
		}, []int64{5, 7}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				store.put(platform.ConfigTopic, "config", documentJSON(5))
				f, versions := startConfigFollower(t, store, reader, noPeer)
				time.Sleep(time.Second)
				tt.action(store, f)
				time.Sleep(time.Second)
				got := versions()
				assert.Equal(t, got[0], tt.want[0])
				assert.Equal(t, got[len(got)-1], tt.want[len(tt.want)-1])
				for i := 1; i < len(got); i++ {
					assert.Assert(t, got[i] > got[i-1])
				}
			})
		})
	}
}

// Guards against an instance that reads the store although another one reports its
// version, and against one that misses a version when no reports arrive.
func TestPeerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.ConfigTopic, "config", documentJSON(5))
		f, versions := startConfigFollower(t, store, nonWatcher, noPeer)
		for range 20 {
			f.RecordPeerVersion(5)
			time.Sleep(500 * time.Millisecond)
		}
		reads, newest := store.counts()
		assert.Equal(t, newest, 1)
		assert.Assert(t, reads <= 1, "%d reads in 10 s", reads)
		store.put(platform.ConfigTopic, "config", documentJSON(6))
		f.RecordPeerVersion(6)
		synctest.Wait()
		assert.DeepEqual(t, versions(), []int64{5, 6})
		store.put(platform.ConfigTopic, "config", documentJSON(7))
		time.Sleep(peerVersionTimeout + 100*time.Millisecond)
		assert.DeepEqual(t, versions(), []int64{5, 6, 7})
	})
}

// Guards against all instances, instead of only the watchers, calling the store
// repeatedly while it is unavailable, against watchers that stop calling it and so
// cannot detect that it is available again, and against an instance that never
// calls it.
func TestFewConfigReadsDuringOutage(t *testing.T) {
	for _, rank := range []int{watcher, nonWatcher} {
		synctest.Test(t, func(t *testing.T) {
			store := newFakeStore()
			store.fail(platform.ErrUnavailable)
			f := NewConfigFollower(store, roleOf(rank, true), noPeer, discardLogger, func(*config.Document) {})
			ctx, cancel := context.WithCancel(context.Background())
			var running sync.WaitGroup
			running.Go(func() { _ = f.Run(ctx) })
			time.Sleep(time.Minute)
			_, newest := store.counts()
			assert.Equal(t, newest > 10, rank == watcher, "%d calls in 1 min", newest)
			assert.Assert(t, newest >= 1)
			cancel()
			running.Wait()
		})
	}
}

// Guards against an instance that long-polls the store for the first configuration
// although another instance can provide it.
func TestFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		var published atomic.Bool
		f, versions := startConfigFollower(t, store, nonWatcher, func(above int64) ([]byte, string) {
			if !published.Load() || above >= 5 {
				return nil, ""
			}
			return []byte(documentJSON(5)), "peer"
		})
		time.Sleep(peerVersionTimeout - 100*time.Millisecond)
		published.Store(true)
		f.RecordPeerVersion(5)
		synctest.Wait()
		reads, newest := store.counts()
		assert.Equal(t, reads, 0)
		assert.Equal(t, newest, 1)
		assert.DeepEqual(t, versions(), []int64{5})
	})
}

// Guards against a call to the store for a version that another instance can
// provide, and against missing a version that no other instance provides.
func TestFetchFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.ConfigTopic, "config", documentJSON(5))
		const peerVersion = 6
		f, versions := startConfigFollower(t, store, nonWatcher, func(above int64) ([]byte, string) {
			if peerVersion <= above {
				return nil, ""
			}
			return []byte(documentJSON(peerVersion)), "peer"
		})
		time.Sleep(time.Second)
		store.put(platform.ConfigTopic, "config", documentJSON(6))
		f.RecordPeerVersion(6)
		synctest.Wait()
		reads, newest := store.counts()
		assert.Equal(t, reads, 0)
		assert.Equal(t, newest, 1)
		store.put(platform.ConfigTopic, "config", documentJSON(7))
		f.RecordPeerVersion(7)
		synctest.Wait()
		assert.DeepEqual(t, versions(), []int64{5, 6, 7})
	})
}

// Guards against an instance that waits for a response which was lost with its
// connection, while a new version is active elsewhere or only in the store.
func TestLostLongPoll(t *testing.T) {
	peer := func(above int64) ([]byte, string) {
		if above >= 6 {
			return nil, ""
		}
		return []byte(documentJSON(6)), "peer"
	}
	tests := []struct {
		name    string
		rank    int
		fetch   FetchFunc
		trigger func(f *ConfigFollower)
		within  time.Duration
	}{
		{"no report arrives", reader, noPeer, func(*ConfigFollower) {}, 5 * time.Second},
		{"the registry is available again", reader, noPeer, func(f *ConfigFollower) { f.Refresh() }, 0},
		{"another instance reports it", nonWatcher, peer, func(f *ConfigFollower) { f.RecordPeerVersion(6) }, 0},
		{"another instance has it", reader, peer, func(f *ConfigFollower) { f.CatchUp() }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				store.put(platform.ConfigTopic, "config", documentJSON(5))
				store.setUnresponsive(true)
				f, versions := startConfigFollower(t, store, tt.rank, tt.fetch)
				time.Sleep(2 * time.Second) // after peerVersionTimeout, so that any instance long-polls the store
				store.setUnresponsive(false)
				store.put(platform.ConfigTopic, "config", documentJSON(6))
				tt.trigger(f)
				time.Sleep(tt.within)
				synctest.Wait()
				assert.DeepEqual(t, versions(), []int64{5, 6})
			})
		})
	}
}

// Guards against a version that is activated late because the long poll reached the
// store while the version was being appended.
func TestReadDuringAnAppend(t *testing.T) {
	first := func() int { return reader }
	second := func() int { return watcher }
	yes, no := func() bool { return true }, func() bool { return false }
	tests := []struct {
		name string
		role ReadRole
	}{
		{"first instance", ReadRole{IsReader: no, StoreFailing: no, Rank: first, ReadOrder: first}},
		{"reader, as the store refuses the first instance", ReadRole{IsReader: yes, StoreFailing: no, Rank: second, ReadOrder: second}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				store.put(platform.ConfigTopic, "config", documentJSON(5))
				store.setDelayed(true)
				_, versions := startConfigFollowerInRole(t, store, tt.role, noPeer)
				time.Sleep(10 * time.Millisecond)
				store.put(platform.ConfigTopic, "config", documentJSON(6))
				time.Sleep(firstLongPollTimeout)
				assert.DeepEqual(t, versions(), []int64{5, 6})
			})
		})
	}
}

// Guards against all instances relying on one that waits for a lost response. It
// continues to report the old version, so a second instance must watch the store.
func TestSecondWatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.ConfigTopic, "config", documentJSON(5))
		f, versions := startConfigFollower(t, store, watcher, noPeer)
		const versionInterval = 700 * time.Millisecond
		for i := range 10 {
			if i == 5 {
				store.put(platform.ConfigTopic, "config", documentJSON(6))
			}
			f.RecordPeerVersion(5)
			time.Sleep(versionInterval)
			if i >= 5 {
				assert.DeepEqual(t, versions(), []int64{5, 6})
			}
		}
	})
}

// Guards against an instance that resumes after a suspension without reading the
// newest version.
func TestRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.ConfigTopic, "config", documentJSON(5))
		f, _ := startConfigFollower(t, store, reader, noPeer)
		time.Sleep(time.Second)
		assert.Equal(t, f.ReadAge(), time.Second)
		f.Refresh()
		synctest.Wait()
		assert.Equal(t, f.ReadAge(), time.Duration(0))
	})
}

// Guards against an instance that gives up registering because the store is
// unavailable, that does not list the others because one registration is invalid, or
// whose own registration is not written or not removed.
func TestRegister(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		address := netip.MustParseAddrPort("10.0.0.1:80")
		otherInstance := membership.Instance{
			ID: "b", Zone: "a", Incarnation: 1, CallerAddress: address, PeerAddress: address, AdminAddress: address, State: membership.Ready,
		}
		value, err := peer.EncodeInstance(otherInstance)
		assert.NilError(t, err)
		store.put(platform.InstanceTopic, "b", string(value))
		store.put(platform.InstanceTopic, "c", "\xff")
		directory := membership.NewDirectory(membership.Instance{ID: "a", Zone: "a", Incarnation: 2})
		registrar := NewRegistrar(store, directory, discardLogger)
		store.fail(platform.ErrUnavailable)
		registered := make(chan struct{})
		go func() {
			registrar.Register(context.Background())
			close(registered)
		}()
		time.Sleep(5 * time.Second)
		store.fail(nil)
		<-registered
		assert.Equal(t, directory.Count(), 2)
		batch, err := store.Newest(context.Background(), platform.InstanceTopic)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Records), 3)
		registrar.Deregister(context.Background())
		batch, err = store.Newest(context.Background(), platform.InstanceTopic)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Records), 2)
	})
}
