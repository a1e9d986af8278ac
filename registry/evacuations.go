package registry

import (
	"rhubarbrelay/evacuation"
	"rhubarbrelay/platform"
)

// Evacuations receives the evacuations of zones that the configuration topic holds.
type Evacuations interface {
	Replace(at platform.Position, zones []string)
	Apply(from, to platform.Position, records []evacuation.Record)
}

// noEvacuations is the Evacuations of a follower without one.
type noEvacuations struct{}

// Replace implements Evacuations.
func (noEvacuations) Replace(platform.Position, []string) {}

// Apply implements Evacuations.
func (noEvacuations) Apply(platform.Position, platform.Position, []evacuation.Record) {}

// ConfigOption configures a ConfigFollower.
type ConfigOption func(*ConfigFollower)

// WithEvacuations sets what receives the evacuations of zones, which are read with the
// configuration.
func WithEvacuations(evacuations Evacuations) ConfigOption {
	return func(f *ConfigFollower) { f.evacuations = evacuations }
}

// applyNewest applies the newest record of each key.
func (f *ConfigFollower) applyNewest(batch platform.Batch) {
	var zones []string
	for _, r := range evacuationRecords(batch.Records) {
		if r.Evacuated {
			zones = append(zones, r.Zone)
		}
	}
	f.evacuations.Replace(batch.Next, zones)
	f.applyRecords(batch.Records)
}

// applyBatch applies the records from a position on.
func (f *ConfigFollower) applyBatch(from platform.Position, batch platform.Batch) {
	f.evacuations.Apply(from, batch.Next, evacuationRecords(batch.Records))
	f.applyRecords(batch.Records)
}

func evacuationRecords(records []platform.Record) []evacuation.Record {
	var found []evacuation.Record
	for _, r := range records {
		if zone, ok := platform.EvacuatedZone(r.Key); ok {
			found = append(found, evacuation.Record{Zone: zone, Evacuated: len(r.Value) > 0, Offset: r.Offset})
		}
	}
	return found
}
