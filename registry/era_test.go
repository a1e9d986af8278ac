package registry

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/peer"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

// in returns a position of an era.
func in(era, offset int64) platform.Position { return platform.Position{Era: era, Offset: offset} }

// restoreTargets begins a new era in which the registry ends at the offset.
func restoreTargets(store *fakeStore, end int) { store.restore(platform.TargetTopic, end) }

// newTestFollower returns a follower of the store that is first in the read order and
// sends its updates to the network.
func newTestFollower(store Store, network *fakeNetwork) (*TargetFollower, *targets.Directory) {
	directory := targets.NewDirectory()
	first := func() int { return 0 }
	return NewTargetFollower(store, directory, fakeBroadcaster{network, 0}, first, first, ignoreChange, func() {}, discardLogger), directory
}

func readyTarget(id string, sequence int64) targets.Change {
	return targets.Change{ID: id, Target: &targets.Target{ID: id, StartedMS: 1, Service: "s", Sequence: sequence}}
}

// Guards against a draining target that stays in use because a datagram was lost after
// a restoration: the offsets of the new era are lower, so that the update after the lost
// one seems to continue the state.
func TestLostUpdateAfterRestoration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		for i := range 20 {
			store.put(platform.TargetTopic, "i", registration("ready", i))
		}
		network, directories := startTargetFollowers(t, store, 30)
		time.Sleep(3 * time.Second)
		restoreTargets(store, 5)
		time.Sleep(3 * time.Second)
		store.put(platform.TargetTopic, "i", registration("draining", 30))
		network.lose(1)
		time.Sleep(readInterval + maxReadDelay)
		for i, d := range directories {
			assert.Equal(t, readyCount(d), 0, "ready targets at instance %d", i)
		}
	})
}

// Guards against a state that counts as complete although changes are missing, and
// against reads that are not needed, when the store is restored.
func TestUpdatesOfSeveralEras(t *testing.T) {
	type step struct {
		update peer.TargetUpdate
		next   platform.Position
		fresh  bool
	}
	change := []targets.Change{readyTarget("j", 1)}
	begin := step{peer.TargetUpdate{From: in(1, 5), To: in(2, 3)}, in(2, 3), true}
	tests := []struct {
		name  string
		steps []step
	}{
		{"beginning of an era", []step{begin, {peer.TargetUpdate{From: in(2, 3), To: in(2, 4)}, in(2, 4), true}}},
		{"beginning was lost", []step{{peer.TargetUpdate{From: in(2, 3), To: in(2, 4)}, unknownPosition, false}}},
		{"beginning arrives from a second reader", []step{{peer.TargetUpdate{From: in(2, 3), To: in(2, 4)}, unknownPosition, false}, {peer.TargetUpdate{From: in(1, 5), To: in(2, 6)}, in(2, 6), true}}},
		{"beginning arrives from a second reader, too early for changes that are known", []step{
			{peer.TargetUpdate{From: in(2, 3), To: in(2, 4), Changes: change}, unknownPosition, false},
			{peer.TargetUpdate{From: in(1, 5), To: in(2, 6)}, unknownPosition, false},
		}},
		{"two readers", []step{begin, {peer.TargetUpdate{From: in(1, 5), To: in(2, 6)}, in(2, 3), false}, {peer.TargetUpdate{From: in(2, 3), To: in(2, 7)}, in(2, 7), true}}},
		{"sender had missed changes", []step{{peer.TargetUpdate{From: in(1, 4), To: in(2, 3)}, unknownPosition, false}}},
		{"changes after a gap are known", []step{{peer.TargetUpdate{From: in(1, 6), To: in(1, 7), Changes: change}, in(1, 5), false}, {begin.update, unknownPosition, false}}},
		{"update of the older era", []step{begin, {peer.TargetUpdate{From: in(1, 5), To: in(1, 9)}, in(2, 3), false}}},
		{"second restoration", []step{begin, {peer.TargetUpdate{From: in(2, 3), To: in(3, 1)}, in(3, 1), true}}},
		{"second restoration, the first was missed", []step{{peer.TargetUpdate{From: in(2, 3), To: in(3, 1)}, unknownPosition, false}, {begin.update, unknownPosition, false}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				for i := range 5 {
					store.put(platform.TargetTopic, "i", registration("ready", i))
				}
				f, _ := newTestFollower(store, &fakeNetwork{})
				assert.NilError(t, f.read(context.Background()))
				for i, s := range tt.steps {
					time.Sleep(time.Millisecond)
					f.ApplyUpdate(s.update)
					assert.Equal(t, f.next, s.next, "step %d", i)
					assert.Equal(t, f.Age() == 0, s.fresh, "step %d", i)
				}
			})
		})
	}
}

// Guards against a target that is used forever since its registration, lost by the
// restoration, arrives from an instance that does not know of the new era.
func TestLateRegistrationOfOlderEra(t *testing.T) {
	store := newFakeStore()
	restoreTargets(store, 0)
	store.put(platform.TargetTopic, "i", registration("ready", 1))
	f, directory := newTestFollower(store, &fakeNetwork{})
	assert.NilError(t, f.read(context.Background()))
	drained := readyTarget("i", 2)
	drained.Target.State = targets.Draining
	f.ApplyUpdate(peer.TargetUpdate{From: in(1, 7), To: in(1, 9), Changes: []targets.Change{readyTarget("j", 1), drained}})
	assert.Equal(t, directory.Count(), 1)
	assert.Equal(t, readyCount(directory), 0)
}

// Guards against a response of the older era that arrives after an update of the new
// one and sets the position back.
func TestReadInProgressDuringRestoration(t *testing.T) {
	for _, tt := range []struct {
		name   string
		update peer.TargetUpdate
		next   platform.Position
	}{
		{"state continued", peer.TargetUpdate{From: in(1, 0), To: in(2, 3)}, in(2, 3)},
		{"update missed", peer.TargetUpdate{From: in(2, 3), To: in(2, 4)}, unknownPosition},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f, directory := newTestFollower(newFakeStore(), &fakeNetwork{})
			assert.NilError(t, f.read(context.Background()))
			f.store = interruptedStore{newFakeStore(), func() { f.ApplyUpdate(tt.update) }}
			assert.NilError(t, f.read(context.Background()))
			assert.Equal(t, f.next, tt.next)
			assert.Equal(t, directory.Count(), 0)
		})
	}
}

// interruptedStore calls a function before each response to a read.
type interruptedStore struct {
	*fakeStore
	before func()
}

// Read implements Store.
func (s interruptedStore) Read(ctx context.Context, topic platform.Topic, from platform.Position, wait time.Duration) (platform.Batch, error) {
	batch, err := s.fakeStore.Read(ctx, topic, from, wait)
	s.before()
	return batch, err
}

// Guards against an instance that counts the beginning of an era as known although its
// sender had applied some of the changes before.
func TestBeginningOfEraIsBroadcastOnlyInFull(t *testing.T) {
	store := newFakeStore()
	network := &fakeNetwork{}
	f, _ := newTestFollower(store, network)
	assert.NilError(t, f.read(context.Background()))
	restoreTargets(store, 0)
	store.put(platform.TargetTopic, "j", registration("ready", 1))
	f.ApplyUpdate(peer.TargetUpdate{From: in(2, 0), To: in(2, 1), Changes: []targets.Change{readyTarget("j", 1)}})
	assert.NilError(t, f.read(context.Background()))
	assert.Equal(t, f.next, in(2, 1))
	assert.Equal(t, len(network.sent), 0)
}

// Guards against an era whose beginning is broadcast in parts, and against one that fits
// into one datagram and is not broadcast, so that every instance must read the store.
func TestEraBeginsWithManyChanges(t *testing.T) {
	for _, count := range []int{peer.MaxUpdateChanges, peer.MaxUpdateChanges + 1} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			store := newFakeStore()
			network := &fakeNetwork{}
			f, directory := newTestFollower(store, network)
			other, otherDirectory := newTestFollower(store, &fakeNetwork{})
			network.followers = []*TargetFollower{f, other}
			assert.NilError(t, f.read(context.Background()))
			assert.NilError(t, other.read(context.Background()))
			restoreTargets(store, 0)
			for i := range count {
				store.put(platform.TargetTopic, fmt.Sprintf("t-%02d", i), registration("ready", 1))
			}
			readRestored(t, f)
			assert.Equal(t, directory.Count(), count)
			assert.Equal(t, f.next, in(2, int64(count)))
			if count <= peer.MaxUpdateChanges {
				assert.Equal(t, len(network.sent), 1)
				assert.Equal(t, len(network.sent[0].Changes), count)
				assert.Equal(t, other.next, in(2, int64(count)))
				assert.Equal(t, otherDirectory.Count(), count)
				return
			}
			assert.Equal(t, len(network.sent), 0)
			assert.Equal(t, other.next, at(0))
			readRestored(t, other)
			assert.Equal(t, otherDirectory.Count(), count)
		})
	}
}

// Guards against changes that are not broadcast because a second restoration interrupts
// the read of all registrations after the first.
func TestRestorationDuringReadOfAll(t *testing.T) {
	store := newFakeStore()
	network := &fakeNetwork{}
	f, _ := newTestFollower(store, network)
	assert.NilError(t, f.read(context.Background()))
	restoreTargets(store, 0)
	assert.ErrorIs(t, f.read(context.Background()), platform.ErrRestored)
	f.recordExpiry()
	store.fail(platform.ErrRestored)
	assert.ErrorIs(t, f.read(context.Background()), platform.ErrRestored)
	f.recordExpiry()
	store.fail(nil)
	restoreTargets(store, 0)
	assert.NilError(t, f.read(context.Background()))
	assert.Equal(t, len(network.sent), 1)
	assert.Equal(t, network.sent[0].From, at(0))
	assert.Equal(t, network.sent[0].To, in(3, 0))
}

// Guards against a read of all registrations by every instance at the same time after a
// restoration. In the last test no instance has the state that another one begins with.
func TestReadsOfManyInstancesAfterRestoration(t *testing.T) {
	const instances = 144
	tests := []struct {
		name      string
		lost      int // datagrams with the beginning of the era, each to one instance
		changed   int // registrations that the copy lacks
		maxNewest int
		// spread is the time that the reads of all registrations must at least take.
		spread time.Duration
		later  bool // whether a change follows at once
	}{
		{"no datagram lost", 0, 1, 1, 0, true},
		{"many changes", 0, 3 * peer.MaxUpdateChanges, instances, readInterval, false},
		{"many changes, later change", 0, 3 * peer.MaxUpdateChanges, instances, readInterval, true},
		{"beginning of the era lost for ten", 10, 1, 11, 0, false},
		{"beginning of the era lost for all", instances - 1, 1, 2, 0, false},
		{"beginning of the era lost for all, later change", instances - 1, 1, instances, readInterval, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				store.put(platform.TargetTopic, "i", registration("ready", 1))
				network, directories := startTargetFollowers(t, store, instances)
				time.Sleep(3 * time.Second)
				for n := range tt.changed {
					store.put(platform.TargetTopic, fmt.Sprint("t-", n), registration("ready", 1))
				}
				time.Sleep(time.Second)
				readsBefore, newestBefore := store.counts()
				restoreTargets(store, 1)
				store.put(platform.TargetTopic, "i", registration("draining", 2))
				network.lose(tt.lost)
				for network.followers[0].Era() < 2 {
					time.Sleep(time.Millisecond)
				}
				if tt.later {
					store.put(platform.TargetTopic, "j", registration("draining", 1))
					network.followers[0].Refresh()
				}
				time.Sleep(2 * maxReadDelay)
				for i, f := range network.followers {
					assert.Equal(t, f.position().Era, int64(2), "instance %d", i)
					assert.Equal(t, isReady(directories[i], "i"), false, "instance %d", i)
				}
				time.Sleep(time.Second) // until the delayed removals are due
				known := []string{"i"}
				if tt.later {
					known = append(known, "j")
				}
				for i, d := range directories {
					assert.DeepEqual(t, registeredIDs(d), known)
					assert.Equal(t, d.Count(), len(known), "instance %d", i)
				}
				reads, newest := store.counts()
				times := store.newestTimes()[newestBefore:]
				t.Logf("%d reads; %d reads of all registrations in %s", reads-readsBefore, newest-newestBefore, times[len(times)-1].Sub(times[0]))
				assert.Assert(t, len(times) <= tt.maxNewest, "%d reads of all registrations", len(times))
				assert.Assert(t, times[len(times)-1].Sub(times[0]) >= tt.spread)
			})
		})
	}
}

// registeredIDs returns the sorted IDs of the targets that are not removed.
func registeredIDs(d *targets.Directory) []string {
	registered := d.Registered()
	ids := make([]string, 0, len(registered))
	for _, t := range registered {
		ids = append(ids, t.ID)
	}
	slices.Sort(ids)
	return ids
}

// isReady reports whether a target is ready.
func isReady(d *targets.Directory, id string) bool {
	return slices.ContainsFunc(d.ByService("s"), func(t *targets.Target) bool { return t.ID == id && t.State == targets.Ready })
}

func (f *TargetFollower) position() platform.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// Guards against the removal of running targets whose registrations the copy lacks, if
// the store is away so briefly that no read fails, and against the loss of a target that
// registers again unchanged after the removal delay.
func TestNoTargetIsLostByRestoration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		_, directories := startTargetFollowers(t, store, 3)
		time.Sleep(time.Second)
		for _, id := range []string{"early", "late", "never"} {
			store.put(platform.TargetTopic, id, registration("ready", 1))
		}
		time.Sleep(3 * time.Second)
		restoreTargets(store, 0)
		registered := map[time.Duration]string{1900 * time.Millisecond: "early", 4 * time.Second: "late"}
		for elapsed := time.Duration(0); elapsed <= 6*time.Second; elapsed += 100 * time.Millisecond {
			if id := registered[elapsed]; id != "" {
				store.put(platform.TargetTopic, id, registration("ready", 1))
			}
			for i, d := range directories {
				assert.Assert(t, isReady(d, "early"), "instance %d after %s", i, elapsed)
			}
			time.Sleep(100 * time.Millisecond)
		}
		for i, d := range directories {
			assert.Assert(t, isReady(d, "late") && !isReady(d, "never"), "instance %d", i)
		}
	})
}

// Guards against removals that are delayed again when an instance reads all registrations
// some time after others have reported the restoration.
func TestOutageEndOfRestorationIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		network := &fakeNetwork{}
		f, _ := newTestFollower(store, network)
		assert.NilError(t, f.read(context.Background()))
		restoreTargets(store, 0)
		f.ApplyUpdate(peer.TargetUpdate{From: in(2, 1), To: in(2, 2), SinceOutage: time.Second})
		time.Sleep(time.Second)
		assert.NilError(t, f.read(context.Background()))
		assert.Equal(t, network.sent[0].SinceOutage, 2*time.Second)
	})
}

// Guards against a change that is missing on an instance which counts as complete: it has
// missed two updates, and the one that broadcasts the changes again has missed only the
// first and knows those of the second.
func TestChangesKnownAfterGapAreBroadcastAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.TargetTopic, "i", registration("ready", 1))
		network := &fakeNetwork{}
		f, _ := newTestFollower(store, network)
		other, directory := newTestFollower(store, &fakeNetwork{})
		network.followers = []*TargetFollower{f, other}
		assert.NilError(t, f.read(context.Background()))
		assert.NilError(t, other.read(context.Background()))
		store.put(platform.TargetTopic, "j", registration("ready", 1))
		store.put(platform.TargetTopic, "i", registration("draining", 2))
		draining, err := platform.DecodeTarget("i", []byte(registration("draining", 2)))
		assert.NilError(t, err)
		f.ApplyUpdate(peer.TargetUpdate{From: at(2), To: at(3), Changes: []targets.Change{{ID: "i", Target: draining}}})
		assert.NilError(t, f.read(context.Background()))
		assert.Equal(t, other.position(), at(3))
		assert.Assert(t, !isReady(directory, "i") && isReady(directory, "j"))
		time.Sleep(time.Second)
		store.put(platform.TargetTopic, "i", registration("draining", 3))
		assert.NilError(t, f.read(context.Background()))
		assert.Equal(t, len(network.sent[1].Changes), 0) // the next update has only new changes
	})
}

// Guards against a state that counts as recent, and against a target that is missing
// although it has registered again, because a copy of an old update arrives late, from a
// forwarder that was suspended.
func TestLateCopyOfUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, directory := newTestFollower(newFakeStore(), &fakeNetwork{})
		assert.NilError(t, f.read(context.Background()))
		removal := peer.TargetUpdate{From: at(1), To: at(2), Changes: []targets.Change{{ID: "i"}}}
		f.ApplyUpdate(peer.TargetUpdate{From: at(0), To: at(1), Changes: []targets.Change{readyTarget("i", 1)}})
		f.ApplyUpdate(removal)
		f.ApplyUpdate(peer.TargetUpdate{From: at(2), To: at(3), Changes: []targets.Change{readyTarget("i", 2)}})
		time.Sleep(time.Second)
		f.ApplyUpdate(removal)
		assert.Equal(t, f.Age(), time.Second)
		assert.Assert(t, isReady(directory, "i"))
		f.ApplyUpdate(peer.TargetUpdate{From: at(3), To: at(3)})
		assert.Equal(t, f.Age(), time.Duration(0))
	})
}

// Guards against a change that is missing on an instance which counts as complete: the
// update with it has reached the sender of the next one during its read, but not the
// instance itself.
func TestUpdateDuringRead(t *testing.T) {
	store := newFakeStore()
	store.put(platform.TargetTopic, "i", registration("ready", 1))
	network := &fakeNetwork{}
	f, _ := newTestFollower(store, network)
	other, directory := newTestFollower(store, &fakeNetwork{})
	assert.NilError(t, f.read(context.Background()))
	assert.NilError(t, other.read(context.Background()))
	store.put(platform.TargetTopic, "i", registration("draining", 2))
	draining, err := platform.DecodeTarget("i", []byte(registration("draining", 2)))
	assert.NilError(t, err)
	store.put(platform.TargetTopic, "j", registration("ready", 1))
	f.store = interruptedStore{store, func() {
		f.ApplyUpdate(peer.TargetUpdate{From: at(1), To: at(2), Changes: []targets.Change{{ID: "i", Target: draining}}})
	}}
	network.followers = []*TargetFollower{f, other}
	assert.NilError(t, f.read(context.Background()))
	assert.Equal(t, f.position(), at(3))
	assert.Equal(t, other.position(), at(1))
	assert.NilError(t, other.read(context.Background()))
	assert.Assert(t, !isReady(directory, "i") && isReady(directory, "j"))
}

// Guards against removals that all delay since one instance, frozen meanwhile, learns late of the era.
func TestLateDiscovererOfEraDelaysNoRemovals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.TargetTopic, "i", registration("ready", 1))
		calm, calmDirectory := newTestFollower(store, &fakeNetwork{})
		assert.NilError(t, calm.read(context.Background()))
		var sent []peer.TargetUpdate
		first := func() int { return 0 }
		late := NewTargetFollower(store, targets.NewDirectory(), captureBroadcaster{&sent}, first, first, ignoreChange, func() {}, discardLogger)
		assert.NilError(t, late.read(context.Background()))
		restoreTargets(store, 1)
		assert.ErrorIs(t, calm.read(context.Background()), platform.ErrRestored)
		calm.recordExpiry()
		assert.NilError(t, calm.read(context.Background()))
		for range 20 {
			time.Sleep(time.Second)
			assert.NilError(t, calm.read(context.Background()))
		}
		sent = nil
		assert.ErrorIs(t, late.read(context.Background()), platform.ErrRestored)
		late.recordExpiry()
		assert.NilError(t, late.read(context.Background()))
		for _, u := range sent {
			calm.ApplyUpdate(u)
		}
		store.put(platform.TargetTopic, "i", "")
		assert.NilError(t, calm.read(context.Background()))
		assert.Check(t, calmDirectory.Count() == 0, "removal is delayed 20 s after the restoration")
	})
}

// Guards against removals that all delay since an instance joins through one that states no era.
func TestJoinThroughOldReleaseDelaysNoRemovals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.TargetTopic, "i", registration("ready", 1))
		other, otherDirectory := newTestFollower(store, &fakeNetwork{})
		assert.NilError(t, other.read(context.Background()))
		var sent []peer.TargetUpdate
		first := func() int { return 0 }
		directory := targets.NewDirectory()
		f := NewTargetFollower(store, directory, captureBroadcaster{&sent}, first, first, ignoreChange, func() {}, discardLogger)
		f.Restore(peer.TargetState{Next: platform.Position{Offset: 1}, Targets: f.decodeTargets(store.recordsFrom(platform.TargetTopic, 0))}, time.Now())
		assert.ErrorIs(t, f.read(context.Background()), platform.ErrRestored)
		f.recordExpiry()
		assert.NilError(t, f.read(context.Background()))
		for _, u := range sent {
			assert.Check(t, u.SinceOutage == 0, "end of an outage reported: %+v", u)
			other.ApplyUpdate(u)
		}
		store.put(platform.TargetTopic, "i", "")
		assert.NilError(t, other.read(context.Background()))
		assert.Check(t, otherDirectory.Count() == 0, "removal is delayed at a calm instance though nothing was restored")
	})
}

// Guards against the removal of a running target when a read that waited for the store ends an outage without failing.
func TestOutageEndIsTakenOverAfterSlowRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.TargetTopic, "i", registration("ready", 1))
		f, directory := newTestFollower(store, &fakeNetwork{})
		assert.NilError(t, f.read(context.Background()))
		time.Sleep(2 * minOutageAge)
		assert.NilError(t, f.read(context.Background()))
		time.Sleep(time.Second)
		f.ApplyUpdate(peer.TargetUpdate{From: at(1), To: at(2), Changes: []targets.Change{{ID: "i"}}, SinceOutage: time.Second})
		assert.Equal(t, readyCount(directory), 1)
	})
}

// captureBroadcaster appends the updates to a list.
type captureBroadcaster struct{ sent *[]peer.TargetUpdate }

// BroadcastUpdate implements Broadcaster.
func (b captureBroadcaster) BroadcastUpdate(update peer.TargetUpdate, _ []int64, _ bool) {
	*b.sent = append(*b.sent, update)
}

// Guards against a state that counts as complete without a draining change, as it consists of parts of two beginnings.
func TestPartsOfTwoBeginningsOfEra(t *testing.T) {
	store := newFakeStore()
	store.put(platform.TargetTopic, "a", registration("ready", 1))
	var first, second []peer.TargetUpdate
	reader, secondReader := newDatagramFollower(store, &first), newDatagramFollower(store, &second)
	f, directory := newTestFollower(store, &fakeNetwork{})
	for _, follower := range []*TargetFollower{reader, secondReader, f} {
		assert.NilError(t, follower.read(context.Background()))
	}
	restoreTargets(store, 1)
	for i := range 30 {
		store.put(platform.TargetTopic, fmt.Sprintf("t%02d", i), registration("ready", 5))
	}
	readRestored(t, reader)
	store.put(platform.TargetTopic, "a", registration("draining", 2))
	readRestored(t, secondReader)
	// The first reader dies after its first datagram, and the first of the second is lost.
	for _, u := range slices.Concat(first[:min(1, len(first))], second[min(1, len(second)):]) {
		f.ApplyUpdate(u)
	}
	f.ApplyUpdate(peer.TargetUpdate{From: in(2, 32), To: in(2, 32)})
	assert.Check(t, f.next == unknownPosition || !isReady(directory, "a"), "state counts as complete up to %v, but the draining of a is missing", f.next)
	assert.NilError(t, f.read(context.Background()))
	assert.Equal(t, f.next, in(2, 32))
	assert.Assert(t, !isReady(directory, "a"))
	assert.Equal(t, directory.Count(), 31)
}

// readRestored makes the follower read all registrations after a restoration.
func readRestored(t *testing.T, f *TargetFollower) {
	t.Helper()
	assert.ErrorIs(t, f.read(context.Background()), platform.ErrRestored)
	f.recordExpiry()
	assert.NilError(t, f.read(context.Background()))
}

// newDatagramFollower returns a follower of the store that is first in the read order and
// appends the datagrams of its updates to a list.
func newDatagramFollower(store Store, sent *[]peer.TargetUpdate) *TargetFollower {
	first := func() int { return 0 }
	return NewTargetFollower(store, targets.NewDirectory(), datagramBroadcaster{sent}, first, first, ignoreChange, func() {}, discardLogger)
}

// datagramBroadcaster splits updates like a peer.Mesh.
type datagramBroadcaster struct{ sent *[]peer.TargetUpdate }

// BroadcastUpdate implements Broadcaster.
func (b datagramBroadcaster) BroadcastUpdate(update peer.TargetUpdate, offsets []int64, _ bool) {
	for len(update.Changes) > peer.MaxUpdateChanges {
		part := update
		part.To.Offset, part.Changes = offsets[peer.MaxUpdateChanges], update.Changes[:peer.MaxUpdateChanges]
		*b.sent = append(*b.sent, part)
		update.From, update.Changes, offsets = part.To, update.Changes[peer.MaxUpdateChanges:], offsets[peer.MaxUpdateChanges:]
	}
	*b.sent = append(*b.sent, update)
}
