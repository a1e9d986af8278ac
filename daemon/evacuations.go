package daemon

import (
	"strings"
	"time"

	"rhubarbrelay/evacuation"
	"rhubarbrelay/timeline"
)

// onEvacuation applies a change of the evacuated zones. An instance that has read it from
// the store tells the others.
func (d *Daemon) onEvacuation(change evacuation.Change) {
	d.table.SetEvacuated(change.State.Names())
	if change.FromStore {
		d.mesh.BroadcastEvacuations()
	}
	for _, zone := range change.Added {
		d.recorder.Record(timeline.Event{Kind: timeline.ZoneEvacuated, Detail: zone})
	}
	for _, zone := range change.Ended {
		d.recorder.Record(timeline.Event{Kind: timeline.ZoneRestored, Detail: zone})
	}
	d.logger.WithField("evacuated", strings.Join(change.State.Names(), ",")).WithField("begun", strings.Join(change.Added, ",")).
		WithField("ended", strings.Join(change.Ended, ",")).WithField("from_store", change.FromStore).Info("evacuated zones changed")
}

// evacuatedZones returns since when each evacuated zone is evacuated.
func (d *Daemon) evacuatedZones() map[string]time.Time {
	zones := map[string]time.Time{}
	for _, z := range d.evacuations.State().Zones {
		zones[z.Name] = z.Since
	}
	return zones
}

// newEvacuationMetrics returns for how many milliseconds each zone has been evacuated.
func newEvacuationMetrics(zones map[string]time.Time) map[string]int64 {
	metrics := make(map[string]int64, len(zones))
	for zone, since := range zones {
		metrics[zone] = time.Since(since).Milliseconds()
	}
	return metrics
}
