package daemon

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"rhubarbrelay/membership"
	"rhubarbrelay/timeline"
)

const (
	// serveFraction is the fraction of the grace period during which a leaving
	// instance accepts new connections, as callers cache entry responses. The entry
	// TTL does not extend this time, even if it is longer.
	serveFraction = 0.5
	// exitMargin is the time before the end of the grace period at which the wait
	// for connections ends. The rest of the shutdown must fit into it: shutdownTimeout
	// for administration requests and all other components within componentsTimeout.
	exitMargin = 150 * time.Millisecond
	// responseTime is the time before the end of that wait at which requests in progress
	// must end, so that their responses reach the callers. Requests that have not arrived
	// or were not sent to a target by then are refused.
	responseTime = 350 * time.Millisecond
	// shutdownTimeout limits the wait for administration requests in progress at the end.
	shutdownTimeout = 50 * time.Millisecond
	// componentsTimeout limits the wait for all components, after that for connections. A
	// fetch of the configuration does not end with its context and takes up to
	// fetchTimeout.
	componentsTimeout = 100 * time.Millisecond
)

// errComponentsRun means that components were still running when the process had to end.
var errComponentsRun = errors.New("components did not end in time")

// stop shuts down gracefully. It announces that the instance is leaving, which
// removes it from entry responses unless no other instance is ready, and makes
// every further response close the connection of its caller. It accepts new
// connections for serveFraction of the grace period, then waits until no connection has a
// request or a response under way, until exitMargin before its end. If the process was
// paused when SIGTERM may have been sent, requests are admitted as if the grace period had
// begun with the pause, but those in progress are awaited for all of it.
func (d *Daemon) stop() {
	start := time.Now()
	grace := d.settings.Stop.Grace
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(grace-exitMargin))
	defer cancel()
	drainEnd := start.Add(grace - exitMargin - responseTime - min(d.pauses.signalAge(), grace))
	wasActive := d.selector.IsActive()
	d.members.SetState(membership.Leaving)
	d.relay.StartDraining(drainEnd)
	d.recorder.Record(timeline.Event{Kind: timeline.InstanceLeaving})
	d.logger.WithField("in_progress", d.relay.InProgress()).WithField("connections", d.relay.Connections()).Info("instance leaving")
	var group errgroup.Group
	group.Go(func() error { d.mesh.AnnounceLeaving(ctx, wasActive); return nil })
	group.Go(func() error { d.registrar.Deregister(ctx); return nil })
	time.Sleep(time.Duration(serveFraction * float64(grace)))
	d.closeConnections(ctx, drainEnd)
	_ = group.Wait() // its functions always return nil
	d.logger.WithField("took", time.Since(start).String()).Info("shutdown finished")
}

// closeConnections waits for the connections of callers and other instances, then for those
// of entry queries, which are answered as long as requests are.
func (d *Daemon) closeConnections(ctx context.Context, drainEnd time.Time) {
	entryDue, startEntry := context.WithDeadline(ctx, drainEnd)
	defer startEntry()
	var group errgroup.Group
	group.Go(func() error {
		defer startEntry()
		if err := d.relay.Shutdown(ctx); err != nil {
			d.logger.WithError(err).WithField("in_progress", d.relay.InProgress()).WithField("connections", d.relay.Connections()).
				Error("grace period ended before all requests finished")
		}
		return nil
	})
	group.Go(func() error {
		<-entryDue.Done()
		if err := d.entryServer.Shutdown(ctx, drainEnd); err != nil {
			d.logger.WithError(err).WithField("connections", d.entryServer.Connections()).Error("grace period ended before all entry queries finished")
		}
		return nil
	})
	_ = group.Wait() // its functions always return nil
}

// waitForComponents returns the error of the first component that failed, once all have
// ended or componentsTimeout after the context is done.
func (d *Daemon) waitForComponents(ctx context.Context, group *errgroup.Group, failure <-chan error) error {
	ended := make(chan error, 1)
	go func() { ended <- group.Wait() }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	select {
	case err := <-ended:
		return err
	case <-time.After(componentsTimeout):
	}
	d.logger.WithError(errComponentsRun).Warn("process ends while components run")
	select {
	case err := <-failure:
		return err
	default:
		return nil
	}
}
