package registry

import (
	"context"
	"time"

	"rhubarbrelay/peer"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

// read reads the changes from next on and broadcasts them. If next is
// unknownPosition, it reads all registrations.
func (f *TargetFollower) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	f.mu.Lock()
	from, start := f.next, f.clock()
	f.readFrom = from
	hadState := from != unknownPosition || f.expired != unknownPosition
	outage := hadState && f.failing && f.isOld(start)
	// noUpdates is true if no update has arrived for readInterval. Only then does
	// this instance broadcast to all zones: if updates arrive, even with gaps, their
	// sender has already broadcast them to the other zones.
	noUpdates := start.Sub(f.lastUpdateAt) >= readInterval
	f.mu.Unlock()
	if from == unknownPosition {
		return f.readAll(ctx, start, outage, noUpdates)
	}
	batch, err := f.store.Read(ctx, platform.TargetTopic, from, 0)
	if err != nil {
		return err
	}
	if outage {
		f.recordOutageEnd(f.clock(), batch.Next.Era)
	}
	from, batch.Records = f.skipKnown(from, batch)
	read := f.applicable(f.decodeChanges(batch.Records), batch.Next)
	effective := f.directory.Apply(read)
	f.notifyChanges(effective, "store")
	changes := f.changesSince(from, read, effective)
	f.recordRead(batch.Next, start, true)
	if !noUpdates && len(changes) > peer.MaxUpdateChanges && f.readOrder() >= maxRepeatOrder {
		// The other instances have these changes or receive them from an earlier one in
		// the read order. If all that missed them sent them again, the datagrams would
		// make others miss more.
		return nil
	}
	f.broadcaster.BroadcastUpdate(peer.TargetUpdate{From: from, To: batch.Next, Changes: changes, SinceOutage: f.timeSinceOutage()},
		offsetsOf(changes, batch.Records), noUpdates)
	return nil
}

// readAll reads all registrations. After the history has expired or the store was
// restored, other instances may have missed the same changes and be unable to read the
// store, so it broadcasts the changes.
func (f *TargetFollower) readAll(ctx context.Context, start time.Time, outage, allZones bool) error {
	f.setReadingAll(true)
	defer f.setReadingAll(false)
	batch, err := f.store.Newest(ctx, platform.TargetTopic)
	if err != nil {
		return err
	}
	f.mu.Lock()
	continued := f.next != unknownPosition
	if f.eraUnknown && batch.Next.Era > 0 {
		f.expired = unknownPosition // it may be of this era, as at the start
	}
	f.mu.Unlock()
	if continued {
		return nil // by Restore or an update during the read; that state may be newer
	}
	effective := f.replaceAll(batch, outage)
	f.mu.Lock()
	from, changesMissing := f.expired, f.expired.Before(f.ahead)
	f.next, f.expired = unknownPosition, unknownPosition
	f.mu.Unlock()
	f.recordRead(batch.Next, start, false)
	if from == unknownPosition {
		return nil // all registrations are new to a starting instance
	}
	f.notifyChanges(effective, "store")
	if !changesMissing {
		f.broadcastAll(peer.TargetUpdate{From: from, To: batch.Next, Changes: effective, SinceOutage: f.timeSinceOutage()}, allZones)
	}
	return nil
}

// replaceAll replaces the known registrations by all those of the registry. A restoration
// of the store counts as an outage, even if no read has failed: the registrations that
// the copy lacks are written again.
func (f *TargetFollower) replaceAll(batch platform.Batch, outage bool) []targets.Change {
	begins, unreported := f.beginsEra(batch.Next)
	if outage || unreported {
		f.recordOutageEnd(f.clock(), batch.Next.Era)
	}
	all := f.decodeTargets(batch.Records)
	f.mu.Lock()
	defer f.mu.Unlock()
	all = f.withUpdates(all, batch.Next)
	if begins {
		return f.directory.ReplaceRestored(all)
	}
	return f.directory.Replace(all)
}

// recordRead records a successful read. Reading all registrations, as at the start,
// does not make this instance a reader.
func (f *TargetFollower) recordRead(next platform.Position, asOf time.Time, reader bool) {
	f.mu.Lock()
	f.correctEra(next.Era, asOf)
	restored := f.recordEra(next.Era, "store")
	f.eraUnknown, f.hasRead = false, true
	f.advanceByRead(next, asOf, reader)
	f.mu.Unlock()
	if restored {
		f.onRestored()
	}
}

// advanceByRead moves next to the end of a read. f.mu is held.
func (f *TargetFollower) advanceByRead(next platform.Position, asOf time.Time, reader bool) {
	if reader {
		f.lastReadAt = asOf
		if f.next == unknownPosition || next.Era < f.next.Era {
			return // an update of a newer era has arrived during the read
		}
	}
	if f.next.Before(next) {
		f.next = next
	}
	if asOf.After(f.freshAt) {
		f.recordFresh(asOf)
	}
}
