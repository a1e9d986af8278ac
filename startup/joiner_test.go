package startup

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer"
)

// Guards against a start of hundreds of instances that reads the store once for each
// of them, and against one that takes many seconds because all read the state from
// the same few instances.
func TestStartOfManyInstances(t *testing.T) {
	for _, perZone := range []int{3, 20, 60} {
		t.Run(fmt.Sprint(5*perZone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newSimulatedDeployment(5, perZone, true)
				r := d.start(t, 10*time.Second)
				assert.Equal(t, r.loaded, 5*perZone)
				// The seeds, and instances that by chance find no seed in time.
				assert.Assert(t, r.loads <= int64(6+perZone/20), "%d reads of the store", r.loads)
				assert.Assert(t, r.lastReady < 3*time.Second, "the last instance took %s", r.lastReady)
			})
		})
	}
}

// Guards against a deployment that is not available after all its instances were
// killed, because they wait for seeds that start later, and against one in which each
// instance then reads the store. The times are random: the median of several starts is
// compared with the times of instances that all read the store by themselves.
func TestRestartOfAllWithLateSeeds(t *testing.T) {
	const startSpread = 300 * time.Millisecond
	tests := []struct {
		perZone, starts int
		maxCalls        int64
		first, last     time.Duration // medians; the last one for all but the seeds
		limit           time.Duration // for each start
	}{
		{3, 21, 40, 220 * time.Millisecond, startSpread + 200*time.Millisecond, 2 * time.Second},
		{60, 5, 100, 200 * time.Millisecond, startSpread + 700*time.Millisecond, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(5*tt.perZone), func(t *testing.T) {
			var first, last []time.Duration
			for range tt.starts {
				synctest.Test(t, func(t *testing.T) {
					d := newSimulatedDeployment(5, tt.perZone, false)
					d.seedDelay = 500 * time.Millisecond
					r := d.start(t, 5*time.Second)
					assert.Equal(t, r.loaded, 5*tt.perZone)
					assert.Assert(t, r.calls() <= tt.maxCalls, "%d calls to the store", r.calls())
					assert.Assert(t, r.lastReady < tt.limit, "the last instance took %s", r.lastReady)
					slowest := time.Duration(0)
					for _, in := range d.instances {
						if !in.isSeed {
							slowest = max(slowest, in.loadedAt.Load().Sub(r.start))
						}
					}
					first, last = append(first, r.firstReady), append(last, slowest)
				})
			}
			assert.Assert(t, median(first) < tt.first, "the first instance took %s", median(first))
			assert.Assert(t, median(last) < tt.last, "the last instance took %s", median(last))
		})
	}
}

func median(durations []time.Duration) time.Duration {
	slices.Sort(durations)
	return durations[len(durations)/2]
}

// Guards against instances that never become ready because the seeds are down or
// stale: others then read the store, within a second.
func TestStartWithoutSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSimulatedDeployment(3, 5, false)
		d.seedsDown = true
		r := d.start(t, 10*time.Second)
		assert.Equal(t, r.loaded, 15-3)
		assert.Assert(t, r.lastReady < 1500*time.Millisecond, "the last instance took %s", r.lastReady)
	})
}

// Guards against an instance that cannot start while the store is unavailable
// although others have the state.
func TestJoinDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSimulatedDeployment(2, 5, false)
		d.store.down = true
		d.instances[0].setLoaded()
		r := d.start(t, 5*time.Second)
		assert.Equal(t, r.loaded, 10)
	})
}

// Guards against an instance that serves with targets that were read long ago, by an
// instance that has lost contact with the store, although the store can be read.
func TestOldStateIsNotAccepted(t *testing.T) {
	tests := []struct {
		name      string
		age       time.Duration
		storeDown bool
		joined    bool
	}{
		{"recent", time.Second, false, true},
		{"old", time.Minute, false, false},
		{"old, store down", time.Minute, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newSimulatedDeployment(1, 2, false)
				d.store.down = tt.storeDown
				d.instances[0].running.Store(true)
				d.instances[0].setLoaded()
				in := d.instances[1]
				in.running.Store(true)
				in.fetch = func(membership.Instance) (peer.Snapshot, error) {
					return peer.Snapshot{Targets: peer.TargetState{Age: tt.age}}, nil
				}
				var source string
				in.restored = func(from string) {
					if !in.hasState.Load() {
						source = from
					}
				}
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				in.joiner.Run(ctx)
				assert.Equal(t, source != "", tt.joined)
				assert.Assert(t, in.hasState.Load())
				in.running.Store(false)
				time.Sleep(2 * time.Second) // calls to the store end
			})
		})
	}
}
