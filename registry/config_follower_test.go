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

func documentOf(version int) string {
	return fmt.Sprintf(`{"version":%d,"limits":{},"listeners":[{"host":"a.example","rules":[{"name":"r","kind":"safe","slo-ms":400,`+
		`"priority":1,"match":{"path-prefix":"/"},"action":{"service":"s","timeout-ms":1000,"attempts":2}}]}],`+
		`"clusters":[{"name":"s","health-path":"/h","max-conns":10,"protocol":"h1"}]}`, version)
}

// noPeer is a Fetch without any other instance.
func noPeer(int64) ([]byte, string) { return nil, "" }

// The places of the followers in tests. The first reads the registry too.
const (
	reader  = 0
	watcher = watchers - 1
	other   = watchers
)

func placeOf(rank int, away bool) Place {
	order := func() int { return rank }
	return Place{Reads: func() bool { return rank == reader }, Away: func() bool { return away }, Rank: order, Order: order}
}

// follow runs a follower until the test ends and returns the versions that came
// into force.
func follow(t *testing.T, store Store, rank int, fetch Fetch) (*ConfigFollower, func() []int64) {
	t.Helper()
	var mu sync.Mutex
	var versions []int64
	f := NewConfigFollower(store, placeOf(rank, false), fetch, quiet, func(d *config.Document) {
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

// Guards against a version that goes back, a bad document that comes into
// force, and a good one that does not.
func TestVersionsInForce(t *testing.T) {
	tests := []struct {
		name string
		do   func(s *fakeStore, f *ConfigFollower)
		want []int64
	}{
		{"newer", func(s *fakeStore, _ *ConfigFollower) { s.put(platform.ConfigTopic, "config", documentOf(9)) }, []int64{5, 9}},
		{"older", func(s *fakeStore, _ *ConfigFollower) { s.put(platform.ConfigTopic, "config", documentOf(4)) }, []int64{5}},
		{"older from another instance", func(_ *fakeStore, f *ConfigFollower) { f.Offer([]byte(documentOf(4)), "peer") }, []int64{5}},
		{"newer from another instance", func(_ *fakeStore, f *ConfigFollower) { f.Offer([]byte(documentOf(6)), "peer") }, []int64{5, 6}},
		{"malformed", func(s *fakeStore, _ *ConfigFollower) { s.put(platform.ConfigTopic, "config", documentOf(9)[:40]) }, []int64{5}},
		{"of another key", func(s *fakeStore, _ *ConfigFollower) { s.put(platform.ConfigTopic, "other", documentOf(9)) }, []int64{5}},
		{"dropped", func(s *fakeStore, _ *ConfigFollower) { s.put(platform.ConfigTopic, "config", "") }, []int64{5}},
		{"after the history was dropped", func(s *fakeStore, _ *ConfigFollower) {
			s.put(platform.ConfigTopic, "config", documentOf(8))
			s.expire(platform.ConfigTopic)
			s.put(platform.ConfigTopic, "config", documentOf(9))
		}, []int64{5, 9}},
		{"after an outage", func(s *fakeStore, _ *ConfigFollower) {
			s.fail(errLost)
			time.Sleep(20 * time.Second)
			s.put(platform.ConfigTopic, "config", documentOf(7))
			s.fail(nil)
		}, []int64{5, 7}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				store.put(platform.ConfigTopic, "config", documentOf(5))
				f, versions := follow(t, store, reader, noPeer)
				time.Sleep(time.Second)
				tt.do(store, f)
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

// Guards against an instance that waits at the store although another one does
// so for it, and against one that misses a version when it hears nothing.
func TestHints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.ConfigTopic, "config", documentOf(5))
		f, versions := follow(t, store, other, noPeer)
		for range 20 {
			f.Hint(5)
			time.Sleep(500 * time.Millisecond)
		}
		reads, newest := store.counts()
		assert.Equal(t, newest, 1)
		assert.Assert(t, reads <= 1, "%d reads", reads)
		store.put(platform.ConfigTopic, "config", documentOf(6))
		f.Hint(6)
		synctest.Wait()
		assert.DeepEqual(t, versions(), []int64{5, 6})
		store.put(platform.ConfigTopic, "config", documentOf(7))
		time.Sleep(hintTimeout + 100*time.Millisecond)
		assert.DeepEqual(t, versions(), []int64{5, 6, 7})
	})
}

// Guards against instances that all call a store that is away, and against one
// that is not found again.
func TestFewCallTheStoreWhileItIsAway(t *testing.T) {
	for _, rank := range []int{watcher, other} {
		synctest.Test(t, func(t *testing.T) {
			store := newFakeStore()
			store.fail(platform.ErrUnavailable)
			f := NewConfigFollower(store, placeOf(rank, true), noPeer, quiet, func(*config.Document) {})
			ctx, cancel := context.WithCancel(context.Background())
			var running sync.WaitGroup
			running.Go(func() { _ = f.Run(ctx) })
			time.Sleep(time.Minute)
			_, newest := store.counts()
			assert.Equal(t, newest > 10, rank == watcher, "%d calls", newest)
			assert.Assert(t, newest >= 1)
			cancel()
			running.Wait()
		})
	}
}

// Guards against instances that all wait at the store for the first
// configuration.
func TestFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		var published atomic.Bool
		f, versions := follow(t, store, other, func(above int64) ([]byte, string) {
			if !published.Load() || above >= 5 {
				return nil, ""
			}
			return []byte(documentOf(5)), "peer"
		})
		time.Sleep(hintTimeout - 100*time.Millisecond)
		published.Store(true)
		f.Hint(5)
		synctest.Wait()
		reads, newest := store.counts()
		assert.Equal(t, reads, 0)
		assert.Equal(t, newest, 1)
		assert.DeepEqual(t, versions(), []int64{5})
	})
}

// Guards against a call of the store for a version that another instance can
// give, and against a version that is missed when it cannot.
func TestFetchFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.ConfigTopic, "config", documentOf(5))
		const peerVersion = 6
		f, versions := follow(t, store, other, func(above int64) ([]byte, string) {
			if peerVersion <= above {
				return nil, ""
			}
			return []byte(documentOf(peerVersion)), "peer"
		})
		time.Sleep(time.Second)
		store.put(platform.ConfigTopic, "config", documentOf(6))
		f.Hint(6)
		synctest.Wait()
		reads, newest := store.counts()
		assert.Equal(t, reads, 0)
		assert.Equal(t, newest, 1)
		store.put(platform.ConfigTopic, "config", documentOf(7))
		f.Hint(7)
		synctest.Wait()
		assert.DeepEqual(t, versions(), []int64{5, 6, 7})
	})
}

// Guards against an instance that waits for an answer which was lost with its
// connection, while a new version is in force elsewhere or only in the store.
func TestLostLongPoll(t *testing.T) {
	peer := func(above int64) ([]byte, string) {
		if above >= 6 {
			return nil, ""
		}
		return []byte(documentOf(6)), "peer"
	}
	tests := []struct {
		name   string
		rank   int
		fetch  Fetch
		then   func(f *ConfigFollower)
		within time.Duration
	}{
		{"nothing is heard", reader, noPeer, func(*ConfigFollower) {}, 5 * time.Second},
		{"the registry is back", reader, noPeer, func(f *ConfigFollower) { f.Refresh() }, 0},
		{"another instance names it", other, peer, func(f *ConfigFollower) { f.Hint(6) }, 0},
		{"another instance has it", reader, peer, func(f *ConfigFollower) { f.CatchUp() }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				store.put(platform.ConfigTopic, "config", documentOf(5))
				store.setSilent(true)
				f, versions := follow(t, store, tt.rank, tt.fetch)
				time.Sleep(2 * time.Second) // long enough for any instance to wait at the store
				store.setSilent(false)
				store.put(platform.ConfigTopic, "config", documentOf(6))
				tt.then(f)
				time.Sleep(tt.within)
				synctest.Wait()
				assert.DeepEqual(t, versions(), []int64{5, 6})
			})
		})
	}
}

// Guards against a version that is late because the read that waits for it had
// reached the store while it was being appended.
func TestReadDuringAnAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.ConfigTopic, "config", documentOf(5))
		store.setLate(true)
		_, versions := follow(t, store, reader, noPeer)
		time.Sleep(10 * time.Millisecond)
		store.put(platform.ConfigTopic, "config", documentOf(6))
		time.Sleep(firstLongPoll)
		assert.DeepEqual(t, versions(), []int64{5, 6})
	})
}

// Guards against instances that all trust one which waits for a lost answer: its
// hints go on and name the old version.
func TestSecondWatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.ConfigTopic, "config", documentOf(5))
		f, versions := follow(t, store, watcher, noPeer)
		const hintInterval = 700 * time.Millisecond
		for i := range 10 {
			if i == 5 {
				store.put(platform.ConfigTopic, "config", documentOf(6))
			}
			f.Hint(5)
			time.Sleep(hintInterval)
			if i >= 5 {
				assert.DeepEqual(t, versions(), []int64{5, 6})
			}
		}
	})
}

// Guards against a paused instance that goes on without reading the newest
// version.
func TestRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.ConfigTopic, "config", documentOf(5))
		f, _ := follow(t, store, reader, noPeer)
		time.Sleep(time.Second)
		assert.Equal(t, f.ReadAge(), time.Second)
		f.Refresh()
		synctest.Wait()
		assert.Equal(t, f.ReadAge(), time.Duration(0))
	})
}

// Guards against an instance that gives up registering while the store is away,
// and against others that do not learn of it.
func TestAnnounce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		at := netip.MustParseAddrPort("10.0.0.1:80")
		other := membership.Instance{
			ID: "b", Zone: "a", Incarnation: 1, CallerAddress: at, PeerAddress: at, AdminAddress: at, State: membership.Ready,
		}
		value, err := peer.EncodeInstance(other)
		assert.NilError(t, err)
		store.put(platform.InstanceTopic, "b", string(value))
		store.put(platform.InstanceTopic, "c", "\xff")
		directory := membership.NewDirectory(membership.Instance{ID: "a", Zone: "a", Incarnation: 2})
		a := NewAnnouncer(store, directory, quiet)
		store.fail(platform.ErrUnavailable)
		announced := make(chan struct{})
		go func() {
			a.Announce(context.Background())
			close(announced)
		}()
		time.Sleep(5 * time.Second)
		store.fail(nil)
		<-announced
		assert.Equal(t, directory.Count(), 2)
		batch, err := store.Newest(context.Background(), platform.InstanceTopic)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Records), 3)
		a.Withdraw(context.Background())
		batch, err = store.Newest(context.Background(), platform.InstanceTopic)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Records), 2)
	})
}
