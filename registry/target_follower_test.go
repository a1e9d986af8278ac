package registry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"

	"rhubarbrelay/peer"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

// fakeNetwork delivers the updates of each follower to the others unless it is
// disconnected.
type fakeNetwork struct {
	mu           sync.Mutex
	followers    []*TargetFollower
	disconnected bool
	lost         int // number of datagrams to be lost, those to the last instances first
	sent         []peer.TargetUpdate
	offsets      []int64 // of the last sent update
	toAllZones   int     // number of sent updates that were for all zones
}

func ignoreChange(targets.Change, string) {}

// fakeBroadcaster connects one follower to the network.
type fakeBroadcaster struct {
	network *fakeNetwork
	self    int
}

// BroadcastUpdate implements Broadcaster.
func (b fakeBroadcaster) BroadcastUpdate(update peer.TargetUpdate, offsets []int64, allZones bool) {
	b.network.mu.Lock()
	defer b.network.mu.Unlock()
	b.network.sent = append(b.network.sent, update)
	b.network.offsets = offsets
	if allZones {
		b.network.toAllZones++
	}
	if b.network.disconnected {
		return
	}
	for i, f := range slices.Backward(b.network.followers) {
		switch {
		case i == b.self:
		case b.network.lost > 0:
			b.network.lost--
		default:
			f.ApplyUpdate(update)
		}
	}
}

func (n *fakeNetwork) setDisconnected(disconnected bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnected = disconnected
}

// lose makes the network lose datagrams.
func (n *fakeNetwork) lose(datagrams int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost = datagrams
}

// startTargetFollowers runs n followers of one store, with ranks from 0, until the
// test ends.
func startTargetFollowers(t *testing.T, store Store, n int) (*fakeNetwork, []*targets.Directory) {
	t.Helper()
	network := &fakeNetwork{}
	directories := make([]*targets.Directory, n)
	for i := range n {
		directories[i] = targets.NewDirectory()
		f := NewTargetFollower(store, directories[i], fakeBroadcaster{network, i}, func() int { return i }, func() int { return i }, ignoreChange, func() {}, discardLogger)
		network.followers = append(network.followers, f)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, f := range network.followers {
		running.Go(func() { _ = f.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); running.Wait() })
	return network, directories
}

func registration(state string, sequence int) string {
	return fmt.Sprintf(`{"addr":"10.0.0.1:80","born":1,"info":{"service":"s","version":"v1","zone":"a","slots":4},`+
		`"status":{"state":%q,"sequence":%d,"cold-left-ms":0}}`, state, sequence)
}

func readyCount(d *targets.Directory) int {
	n := 0
	for _, t := range d.ByService("s") {
		if t.State == targets.Ready {
			n++
		}
	}
	return n
}

// Guards against every instance reading the registry, and against changes that
// arrive too late at the instances that do not read it.
func TestOneInstanceReadsForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.TargetTopic, "i", registration("ready", 1))
		_, directories := startTargetFollowers(t, store, 10)
		time.Sleep(10 * time.Second)
		reads, _ := store.counts()
		assert.Assert(t, reads <= 16, "%d reads in 10 s", reads)
		store.put(platform.TargetTopic, "i", registration("draining", 2))
		time.Sleep(readInterval + 10*time.Millisecond)
		for i, d := range directories {
			assert.Equal(t, readyCount(d), 0, "ready targets at instance %d", i)
		}
	})
}

// Guards against instances that receive no updates and continue with an old state.
func TestEachReadsWithoutUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.TargetTopic, "i", registration("ready", 1))
		network, directories := startTargetFollowers(t, store, 30)
		time.Sleep(5 * time.Second)
		network.setDisconnected(true)
		store.put(platform.TargetTopic, "i", registration("draining", 2))
		time.Sleep(maxReadDelay + 10*time.Millisecond)
		for i, d := range directories {
			assert.Equal(t, readyCount(d), 0, "ready targets at instance %d", i)
		}
		for _, f := range network.followers {
			assert.Assert(t, f.Age() <= maxReadDelay)
		}
	})
}

// Guards against remote zones that receive no updates after the first reader has
// failed, and against an instance that broadcasts to all zones only because it missed
// a datagram.
func TestBroadcastScope(t *testing.T) {
	tests := []struct {
		name       string
		update     peer.TargetUpdate // received just before the read
		toAllZones int
	}{
		{"no updates", peer.TargetUpdate{}, 1},
		{"update after a gap", peer.TargetUpdate{From: at(7), To: at(9)}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := &fakeNetwork{}
				order := func() int { return 5 }
				f := NewTargetFollower(newFakeStore(), targets.NewDirectory(), fakeBroadcaster{network, 0}, order, order, ignoreChange, func() {}, discardLogger)
				assert.NilError(t, f.read(context.Background()))
				time.Sleep(2 * time.Second)
				if tt.update.To.Offset > 0 {
					f.ApplyUpdate(tt.update)
				}
				assert.NilError(t, f.read(context.Background()))
				assert.Equal(t, len(network.sent), 1)
				assert.Equal(t, network.toAllZones, tt.toAllZones)
			})
		})
	}
}

// Guards against an overload by datagrams after many targets have registered at the
// same time: each of the instances that missed some of the changes sends all of them
// to its zone again. Also guards against a zone in which all instances read the store
// since none of them does.
func TestManyMissedChangesAreNotBroadcast(t *testing.T) {
	tests := []struct {
		name   string
		missed int
		update peer.TargetUpdate // received just before the read
		order  int
		sent   int
	}{
		{"few", peer.MaxUpdateChanges, peer.TargetUpdate{From: at(900), To: at(901)}, maxRepeatOrder, 1},
		{"many", peer.MaxUpdateChanges + 1, peer.TargetUpdate{From: at(900), To: at(901)}, maxRepeatOrder, 0},
		{"many, first of the zone", peer.MaxUpdateChanges + 1, peer.TargetUpdate{From: at(900), To: at(901)}, maxRepeatOrder - 1, 1},
		{"many, no updates", peer.MaxUpdateChanges + 1, peer.TargetUpdate{}, maxRepeatOrder, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				network := &fakeNetwork{}
				order := func() int { return tt.order }
				f := NewTargetFollower(store, targets.NewDirectory(), fakeBroadcaster{network, 0}, order, order, ignoreChange, func() {}, discardLogger)
				assert.NilError(t, f.read(context.Background()))
				for i := range tt.missed {
					store.put(platform.TargetTopic, fmt.Sprint("t-", i), registration("ready", 1))
				}
				time.Sleep(2 * time.Second)
				if tt.update.To.Offset > 0 {
					f.ApplyUpdate(tt.update)
				}
				assert.NilError(t, f.read(context.Background()))
				assert.Equal(t, len(network.sent), tt.sent)
			})
		})
	}
}

// Guards against changes that are lost for the instances that cannot read the store,
// because the reader does not broadcast them after the history has expired. Also
// guards against the immediate removal of targets whose registrations expired during
// an outage in which the history expired too.
func TestUpdateAfterExpiredHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.TargetTopic, "i", registration("ready", 1))
		store.put(platform.TargetTopic, "j", registration("ready", 1))
		network := &fakeNetwork{}
		rank := func() int { return 0 }
		directory := targets.NewDirectory()
		f := NewTargetFollower(store, directory, fakeBroadcaster{network, 0}, rank, rank, ignoreChange, func() {}, discardLogger)
		assert.NilError(t, f.read(context.Background()))
		assert.Equal(t, len(network.sent), 0)
		f.recordReadResult(platform.ErrUnavailable)
		time.Sleep(2 * minOutageAge)
		store.put(platform.TargetTopic, "i", registration("draining", 2))
		store.put(platform.TargetTopic, "j", "")
		store.expire(platform.TargetTopic)
		assert.ErrorIs(t, f.read(context.Background()), platform.ErrExpired)
		f.recordExpiry()
		assert.NilError(t, f.read(context.Background()))
		assert.Equal(t, len(network.sent), 1)
		assert.Equal(t, network.sent[0].From, at(2))
		assert.Equal(t, network.sent[0].To, at(4))
		assert.Equal(t, len(network.sent[0].Changes), 2)
		assert.Assert(t, network.sent[0].SinceOutage > 0)
		assert.Equal(t, readyCount(directory), 1)
	})
}

// Guards against counting the state as complete although changes are missing. If a
// datagram is lost, the next update begins after the known position: its changes are applied,
// but those of the lost one are still missing.
func TestUpdateGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		for i := range 5 {
			store.put(platform.TargetTopic, fmt.Sprint(i), registration("ready", 1))
		}
		f := NewTargetFollower(store, targets.NewDirectory(), fakeBroadcaster{&fakeNetwork{}, 0}, func() int { return 0 }, func() int { return 0 }, ignoreChange, func() {}, discardLogger)
		assert.NilError(t, f.read(context.Background()))
		time.Sleep(time.Second)
		f.ApplyUpdate(peer.TargetUpdate{From: at(7), To: at(9)})
		assert.Equal(t, f.Age(), time.Second)
		f.ApplyUpdate(peer.TargetUpdate{From: at(4), To: at(6)})
		assert.Equal(t, f.Age(), time.Duration(0))
		f.ApplyUpdate(peer.TargetUpdate{From: at(6), To: at(9)})
		assert.Equal(t, f.next, at(9))
	})
}

// Guards against a wrong state after the history of the store has expired or the
// store was unavailable, and against keeping targets whose registration expired
// meanwhile.
func TestStoreFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *fakeStore)
		want  int
	}{
		{"history expired", func(s *fakeStore) { s.expire(platform.TargetTopic) }, 2},
		{"unavailable, registration expired and was renewed", func(s *fakeStore) {
			s.fail(platform.ErrUnavailable)
			time.Sleep(5 * time.Second)
			s.put(platform.TargetTopic, "i", "")
			s.fail(nil)
			time.Sleep(1500 * time.Millisecond)
			s.put(platform.TargetTopic, "i", registration("ready", 9))
		}, 2},
		{"unavailable, one target is gone", func(s *fakeStore) {
			s.fail(errResponseLost)
			time.Sleep(5 * time.Second)
			s.put(platform.TargetTopic, "i", "")
			s.fail(nil)
		}, 1},
		{"malformed registration", func(s *fakeStore) { s.put(platform.TargetTopic, "i", "{") }, 1},
		{"record of an unknown writer", func(s *fakeStore) { s.put(platform.TargetTopic, "other", "\xff\x00") }, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				store.put(platform.TargetTopic, "i", registration("ready", 1))
				store.put(platform.TargetTopic, "j", registration("ready", 1))
				_, directories := startTargetFollowers(t, store, 3)
				time.Sleep(3 * time.Second)
				tt.fault(store)
				time.Sleep(5 * time.Second)
				for i, d := range directories {
					assert.Equal(t, readyCount(d), tt.want, "ready targets at instance %d", i)
				}
			})
		})
	}
}

// Guards against removing running targets as soon as an outage ends, because their
// registrations expired during it.
func TestNoTargetIsLostDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.TargetTopic, "i", registration("ready", 1))
		_, directories := startTargetFollowers(t, store, 3)
		time.Sleep(3 * time.Second)
		store.fail(platform.ErrUnavailable)
		time.Sleep(5 * time.Second)
		store.put(platform.TargetTopic, "i", "")
		store.fail(nil)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			for i, d := range directories {
				assert.Equal(t, readyCount(d), 1, "ready targets at instance %d", i)
			}
		}
	})
}

// Guards against calls without backoff while the store is unavailable.
func TestCallsDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		startTargetFollowers(t, store, 1)
		time.Sleep(time.Second)
		before, _ := store.counts()
		store.fail(platform.ErrThrottled)
		time.Sleep(10 * time.Second)
		reads, _ := store.counts()
		assert.Assert(t, reads-before < 25, "%d reads in 10 s", reads-before)
	})
}

// Guards against every instance calling the store often while it is unavailable,
// and against those that call rarely continuing with an old state for too long once
// it is available again.
func TestFewInstancesCallDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 30
		store := newFakeStore()
		store.put(platform.TargetTopic, "i", registration("ready", 1))
		network, directories := startTargetFollowers(t, store, instances)
		time.Sleep(3 * time.Second)
		before, _ := store.counts()
		store.fail(platform.ErrUnavailable)
		time.Sleep(20 * time.Second)
		reads, _ := store.counts()
		assert.Assert(t, reads-before < instances*20/2, "%d reads in 20 s", reads-before)
		store.put(platform.TargetTopic, "i", registration("draining", 2))
		store.fail(nil)
		time.Sleep(2 * minBackoffLimit)
		for i, d := range directories {
			assert.Equal(t, readyCount(d), 0, "ready targets at instance %d", i)
			assert.Assert(t, network.followers[i].Age() < 2*readInterval)
		}
	})
}

// Guards against changes that are never read because a restored store gives out again
// the offsets that the follower has read.
func TestChangesAfterRestorationAreRead(t *testing.T) {
	tests := []struct {
		name    string
		records int // appended after the restoration, the first of which drains the target
	}{
		{"end below the position", 1},
		{"end at the position", 3},
		{"end above the position", 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				for sequence := range 4 {
					store.put(platform.TargetTopic, "i", registration("ready", sequence))
				}
				first := func() int { return 0 }
				directory := targets.NewDirectory()
				f := NewTargetFollower(store, directory, fakeBroadcaster{&fakeNetwork{}, 0}, first, first, ignoreChange, func() {}, discardLogger)
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				running.Go(func() { _ = f.Run(ctx) })
				synctest.Wait()
				assert.Equal(t, readyCount(directory), 1)
				store.restore(platform.TargetTopic, 1)
				store.put(platform.TargetTopic, "i", registration("draining", 9))
				for range tt.records - 1 {
					store.put(platform.TargetTopic, "j", "")
				}
				time.Sleep(2 * readInterval)
				assert.Equal(t, readyCount(directory), 0)
				cancel()
				running.Wait()
			})
		})
	}
}

// Guards against a restoration of the store that leaves no trace in the log and the
// metrics.
func TestRestorationIsReported(t *testing.T) {
	store := newFakeStore()
	store.put(platform.TargetTopic, "t", "malformed")
	order := func() int { return 0 }
	lines := memory.New()
	f := NewTargetFollower(store, targets.NewDirectory(), fakeBroadcaster{&fakeNetwork{}, 0}, order, order, ignoreChange, func() {},
		&log.Logger{Handler: lines, Level: log.WarnLevel})
	assert.NilError(t, f.read(context.Background()))
	assert.Equal(t, f.Era(), int64(1))
	store.restore(platform.TargetTopic, 0)
	store.put(platform.TargetTopic, "t", "malformed")
	assert.ErrorIs(t, f.read(context.Background()), platform.ErrRestored)
	f.recordExpiry()
	assert.NilError(t, f.read(context.Background()))
	assert.Equal(t, f.Era(), int64(2))
	assert.Equal(t, lines.Entries[len(lines.Entries)-1].Message, "store was restored from a copy")
}
