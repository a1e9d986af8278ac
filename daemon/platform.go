package daemon

import (
	"context"
	"time"

	"rhubarbrelay/configlog"
	"rhubarbrelay/timeline"
)

const (
	// listInterval is the time between two reads of the instance list.
	listInterval = 2 * time.Second
	// revalidateDelay is the pause between two attempts to validate the view
	// of an instance that was paused.
	revalidateDelay = 100 * time.Millisecond
)

// watchList reads the instance list again and again.
func (d *Daemon) watchList(ctx context.Context) error {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	available, first := true, true
	for {
		err := d.readList(ctx)
		if first {
			first = false
			close(d.listTried)
		}
		if ctx.Err() == nil && available != (err == nil) {
			available = err == nil
			d.notePlatform(available, err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (d *Daemon) readList(ctx context.Context) error {
	began := time.Now()
	list, err := d.platform.Instances(ctx)
	if err != nil {
		return err
	}
	d.directory.ApplyList(list)
	d.listRead.Store(true)
	d.guard.ReadList(began)
	return nil
}

func (d *Daemon) notePlatform(available bool, err error) {
	if available {
		d.recorder.Record(timeline.Event{Kind: timeline.PlatformAvailable})
		d.logger.Info("instance list readable again")
		return
	}
	d.recorder.Record(timeline.Event{Kind: timeline.PlatformUnavailable, Detail: err.Error()})
	d.logger.WithError(err).Warn("instance list not readable")
}

// revalidate reads log and list each time the process was paused. A heartbeat
// from a peer may validate the view sooner.
func (d *Daemon) revalidate(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.stale:
		}
		for ctx.Err() == nil && !d.guard.Fresh() {
			d.readOnce(ctx)
			time.Sleep(revalidateDelay)
		}
	}
}

// readOnce reads the list and looks whether the log holds a record that is not
// yet in force.
func (d *Daemon) readOnce(ctx context.Context) {
	_ = d.readList(ctx) // The guard stays stale.
	began := time.Now()
	page, err := d.platform.Read(ctx, configlog.Stream, d.follower.Version()+1, 0)
	if err == nil && page.Next <= d.follower.Version()+1 {
		d.guard.ReadLog(began)
	}
}
