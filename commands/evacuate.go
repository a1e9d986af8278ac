package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"

	"rhubarbrelay/platform"
)

// ErrInvalidZone means that a name cannot be that of a zone.
var ErrInvalidZone = errors.New("not the name of a zone")

// EvacuationStore is the part of the platform's store that evacuations use.
type EvacuationStore interface {
	Newest(ctx context.Context, topic platform.Topic) (platform.Batch, error)
	Append(ctx context.Context, topic platform.Topic, key string, value []byte) (platform.Position, error)
}

// Evacuate makes all instances stop sending requests to the targets of a zone. It prints
// how many targets are registered there, as a misspelt zone has none. The record is
// written although the zone is evacuated already: the store may have been restored since.
// The error wraps ErrOutcomeUnknown if the store did not respond to the append.
func Evacuate(ctx context.Context, store EvacuationStore, zone string, out io.Writer) error {
	if err := writeEvacuation(ctx, store, zone, []byte(platform.EvacuationValue)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out, "zone %s is evacuated\n", zone); err != nil {
		return err
	}
	batch, err := store.Newest(ctx, platform.TargetTopic)
	if err != nil {
		return fmt.Errorf("zone %s is evacuated, but its targets cannot be counted: %w", zone, err)
	}
	count := 0
	for _, r := range batch.Records {
		if t, err := platform.DecodeTarget(r.Key, r.Value); err == nil && t.Zone == zone {
			count++
		}
	}
	if count == 0 {
		_, err = fmt.Fprintf(out, "warning: no target is registered in zone %s\n", zone)
		return err
	}
	_, err = fmt.Fprintf(out, "registered targets in this zone: %d\n", count)
	return err
}

// EndEvacuation makes the instances use the targets of a zone again.
func EndEvacuation(ctx context.Context, store EvacuationStore, zone string, out io.Writer) error {
	if err := writeEvacuation(ctx, store, zone, nil); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "zone %s is not evacuated any more\n", zone)
	return err
}

func writeEvacuation(ctx context.Context, store EvacuationStore, zone string, value []byte) error {
	key := platform.EvacuationKey(zone)
	if _, ok := platform.EvacuatedZone(key); !ok {
		return fmt.Errorf("%w: %q", ErrInvalidZone, zone)
	}
	_, err := store.Append(ctx, platform.ConfigTopic, key, value)
	if err != nil && !isRejection(err) {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return err
}

// ListEvacuations prints the evacuated zones, one a line.
func ListEvacuations(ctx context.Context, store EvacuationStore, out io.Writer) error {
	batch, err := store.Newest(ctx, platform.ConfigTopic)
	if err != nil {
		return err
	}
	var zones []string
	for _, r := range batch.Records {
		if zone, ok := platform.EvacuatedZone(r.Key); ok && len(r.Value) > 0 {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	for _, zone := range zones {
		if _, err := fmt.Fprintln(out, zone); err != nil {
			return err
		}
	}
	return nil
}
