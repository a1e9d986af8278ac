package daemon

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/evacuation"
	"rhubarbrelay/logwriter"
	"rhubarbrelay/peer"
	"rhubarbrelay/platform"
	"rhubarbrelay/timeline"
)

// Guards against instances that do not apply an evacuation or its end, one that joins
// during it included, and against operators who cannot see it.
func TestEvacuationOnAllInstances(t *testing.T) {
	const instances = 4
	network, l := freeNetwork(t)
	store := startStoreWithTargets(t, l, network)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	var herd []*Daemon
	start := func() {
		d := newHerdInstance(t, network, len(herd))
		herd = append(herd, d)
		running.Go(func() { assert.Check(t, d.Run(ctx)) })
	}
	all := func(what string, condition func(d *Daemon) bool) {
		t.Helper()
		eventually(t, "all instances "+what, func() bool {
			for _, d := range herd {
				if !d.ready() || !condition(d) {
					return false
				}
			}
			return true
		})
	}
	evacuated := func(d *Daemon) bool {
		s := d.table.Dispatcher("s").Stats()
		return s.Targets > 0 && s.Evacuated == s.Targets
	}
	for range instances - 1 {
		start()
	}
	all("know the targets", func(d *Daemon) bool { return d.table.Dispatcher("s").Stats().Targets > 0 })
	for _, zone := range []string{"z-0", "z-1", "z-2"} {
		store.Put(string(platform.ConfigTopic), platform.EvacuationKey(zone), []byte(platform.EvacuationValue))
	}
	all("evacuate the zones", evacuated)
	start()
	all("evacuate the zones, the one that joins included", evacuated)
	for _, d := range herd {
		assert.Equal(t, len(d.Status().Evacuated), 3)
		assert.Assert(t, time.Since(d.Status().Evacuated["z-0"]) < time.Minute)
		assert.Equal(t, len(d.Metrics(logwriter.Stats{}).(instanceMetrics).EvacuatedZonesMS), 3)
	}
	for _, zone := range []string{"z-0", "z-1", "z-2"} {
		store.Put(string(platform.ConfigTopic), platform.EvacuationKey(zone), nil)
	}
	all("use the zones again", func(d *Daemon) bool { return d.table.Dispatcher("s").Stats().Evacuated == 0 })
	kinds := map[timeline.Kind]int{}
	for _, e := range herd[0].recorder.Events(timeline.Filter{}) {
		kinds[e.Kind]++
	}
	assert.Equal(t, kinds[timeline.ZoneEvacuated], 3)
	assert.Equal(t, kinds[timeline.ZoneRestored], 3)
}

// Guards against an instance that joins through another one and uses the targets of an
// evacuated zone until it reads the store or hears of the evacuation.
func TestEvacuationInSnapshot(t *testing.T) {
	d, _ := newTestDaemon(t, "a-1")
	at := platform.Position{Era: 1, Offset: 5}
	d.restoreState(peer.Snapshot{Evacuations: evacuation.State{At: at, Zones: []evacuation.Zone{{Name: "z", Since: time.Now()}}}}, "a-2", time.Now())
	assert.DeepEqual(t, d.evacuations.State().Names(), []string{"z"})
}
