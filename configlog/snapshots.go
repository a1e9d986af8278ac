package configlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"rhubarbrelay/config"
	"rhubarbrelay/platform"
)

const (
	// snapshotShare is the share of the retention time after which the newest
	// snapshot is replaced.
	snapshotShare = 4
	// jitterShare is the share of the retention time that bounds the random
	// delay before a snapshot is written, and the least time between checks.
	// With it a snapshot is replaced after 3/8 of the retention time at most.
	jitterShare = 16
	// snapshotTries bounds the search for a usable snapshot behind foreign or
	// outdated ones.
	snapshotTries = 16
)

// restoreNewest takes the newest snapshot in the log that is newer than the
// state and reaches the needed version. It looks at older snapshots when the
// newest is foreign data or was written by an instance that lagged behind.
func (f *Follower) restoreNewest(ctx context.Context, needed platform.Offset) error {
	page, err := f.log.Read(ctx, SnapshotStream, -1, 0)
	if err != nil {
		return err
	}
	for range snapshotTries {
		if len(page.Records) == 0 {
			return nil
		}
		rec := page.Records[0]
		state, err := Restore(rec.Data)
		if err == nil && state.Version() >= needed {
			f.mu.Lock()
			f.adopt(state)
			f.mu.Unlock()
			return nil
		}
		if err != nil {
			f.logger.WithError(err).WithField("offset", int64(rec.Offset)).Warn("snapshot not readable")
		}
		if rec.Offset <= page.First {
			return nil
		}
		page, err = f.log.Read(ctx, SnapshotStream, rec.Offset-1, 0)
		if err != nil {
			return err
		}
	}
	return nil
}

// snapshotAge measures the age of the newest snapshot.
type snapshotAge struct {
	offset platform.Offset
	seen   time.Time
}

// of returns the age of a record by its time, or by the time since it was
// first seen when that is longer, so that a wrong clock cannot stop snapshots.
func (a *snapshotAge) of(rec platform.Record) time.Duration {
	if rec.Offset != a.offset || a.seen.IsZero() {
		a.offset, a.seen = rec.Offset, time.Now()
	}
	return max(time.Since(rec.Time), time.Since(a.seen))
}

// writeSnapshots appends a snapshot whenever the newest is older than a
// quarter of the retention time, after a random delay so that usually only one
// instance does so.
func (f *Follower) writeSnapshots(ctx context.Context) {
	age := &snapshotAge{}
	for ctx.Err() == nil {
		sleep(ctx, f.snapshotRound(ctx, age))
	}
}

// snapshotRound checks the newest snapshot once, replaces it when it is due,
// and returns the time until the next check.
func (f *Follower) snapshotRound(ctx context.Context, age *snapshotAge) time.Duration {
	f.mu.Lock()
	retention := f.retention
	f.mu.Unlock()
	interval := retention / jitterShare
	if interval <= 0 || !f.Ready() {
		return f.retryDelay
	}
	remaining, err := f.snapshotDue(ctx, age, retention)
	if err != nil {
		f.logger.WithError(err).Debug("newest snapshot not usable")
	}
	if err != nil || remaining > 0 {
		return max(remaining, interval)
	}
	sleep(ctx, f.jitter(interval))
	remaining, err = f.snapshotDue(ctx, age, retention)
	if err != nil || remaining > 0 {
		return max(remaining, interval)
	}
	if err := f.appendSnapshot(ctx); err != nil {
		f.logger.WithError(err).Warn("snapshot not written")
	}
	return interval
}

// snapshotDue returns the time until the newest snapshot must be replaced.
func (f *Follower) snapshotDue(ctx context.Context, age *snapshotAge, retention time.Duration) (time.Duration, error) {
	if f.Version() == platform.Offset(config.NoVersion) {
		return retention / snapshotShare, nil
	}
	page, err := f.log.Read(ctx, SnapshotStream, -1, 0)
	if err != nil || len(page.Records) == 0 {
		return 0, err
	}
	rec := page.Records[0]
	state, err := Restore(rec.Data)
	if err != nil {
		return 0, nil //nolint:nilerr // Foreign data counts as no snapshot.
	}
	if state.Version() > f.Version() {
		return 0, fmt.Errorf("newest snapshot has version %d, this instance %d", state.Version(), f.Version())
	}
	return retention/snapshotShare - age.of(rec), nil
}

func (f *Follower) appendSnapshot(ctx context.Context) error {
	data, err := f.Snapshot()
	if err != nil {
		return err
	}
	_, err = f.log.Append(ctx, SnapshotStream, data)
	if errors.Is(err, platform.ErrUncertain) {
		return nil // A second snapshot is harmless, the next check decides.
	}
	return err
}
