package daemon

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/platform"
	"rhubarbrelay/standin"
	"rhubarbrelay/targets"
)

func putTarget(t *testing.T, store *standin.Store, network, id string, sequence int64, state targets.State) {
	t.Helper()
	target := targets.Target{
		ID: id, StartedMS: 1, Service: "s", Zone: "z-0", Version: "v1", Slots: 4,
		Address: netip.MustParseAddrPort(network + ".250:20000"), Sequence: sequence, State: state,
	}
	value, err := platform.EncodeTarget(&target)
	assert.NilError(t, err)
	store.Put(string(platform.TargetTopic), id, value)
}

// targetCounts returns the numbers of ready and of draining targets.
func targetCounts(d *Daemon) (ready, draining int) {
	for _, target := range d.targets.ByService("s") {
		if target.State == targets.Ready {
			ready++
		} else {
			draining++
		}
	}
	return ready, draining
}

// Guards against instances that miss changes after the store was restored, lose running
// targets, or use targets again that drain or have left.
func TestRestoration(t *testing.T) {
	const instances, drained, removed, added = 6, 20, 10, 30
	network, l := freeNetwork(t)
	store := startStoreWithTargets(t, l, network)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	herd := make([]*Daemon, instances)
	for i := range herd {
		herd[i] = newHerdInstance(t, network, i)
		running.Go(func() { assert.Check(t, herd[i].Run(ctx)) })
	}
	all := func(what string, condition func(d *Daemon) bool) {
		eventually(t, "all instances "+what, func() bool {
			for _, d := range herd {
				if !condition(d) {
					return false
				}
			}
			return true
		})
	}
	hasTargets := func(wantReady, wantDraining int) func(d *Daemon) bool {
		return func(d *Daemon) bool {
			ready, draining := targetCounts(d)
			return d.ready() && ready == wantReady && draining == wantDraining
		}
	}
	all("are ready", hasTargets(herdTargets, 0))
	copied := time.Now()
	for i := range drained {
		putTarget(t, store, network, fmt.Sprintf("t-%03d", i), 2, targets.Draining)
	}
	for i := range removed {
		store.Put(string(platform.TargetTopic), fmt.Sprintf("t-%03d", drained+i), nil)
	}
	for i := range added {
		putTarget(t, store, network, fmt.Sprintf("n-%03d", i), 1, targets.Ready)
	}
	const ready = herdTargets - drained - removed + added
	all("have the changes", hasTargets(ready, drained))
	store.Restore(time.Since(copied))
	putTarget(t, store, network, fmt.Sprintf("t-%03d", herdTargets-1), 2, targets.Draining)
	all("know the new era", func(d *Daemon) bool {
		_, draining := targetCounts(d)
		return d.targetFollower.Era() == 2 && draining == drained+1
	})
	store.Rewrite(string(platform.TargetTopic))
	// On a slow machine the removal delay may have passed.
	all("have the running targets", hasTargets(ready-1, drained+1))
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i, d := range herd {
			assert.Assert(t, hasTargets(ready-1, drained+1)(d), "instance %d", i)
		}
	}
}
