package daemon

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"rhubarbrelay/membership"
	"rhubarbrelay/timeline"
)

const (
	// readyPollInterval is the time between checks whether configuration and
	// targets are loaded.
	readyPollInterval = 10 * time.Millisecond
	// serveFraction is the fraction of the grace period during which a leaving
	// instance accepts new requests, as callers cache entry responses. The entry
	// TTL does not extend this time, even if it is longer.
	serveFraction = 0.5
	// exitMargin is the time before the end of the grace period at which the wait
	// for requests in progress ends. The rest of the shutdown must fit into it: up
	// to shutdownTimeout for entry and administration requests. It is too short for
	// fetchConfig, which does not end with the context and takes up to fetchTimeout:
	// a fetch in progress can delay the exit beyond the end of the grace period.
	exitMargin = 300 * time.Millisecond
	// responseTime is the time before the end of the wait at which requests in progress
	// must end, so that their responses reach the callers.
	responseTime = 200 * time.Millisecond
	// shutdownTimeout limits the wait for entry and administration requests in
	// progress at the end.
	shutdownTimeout = 100 * time.Millisecond
	// newerConfigTimeout limits the wait of a starting instance, once its state is
	// loaded, for a newer configuration that it has heard of. An attempt that has
	// begun by then ends within fetchTimeout. newerConfigInterval is the time between
	// two attempts to fetch it.
	newerConfigTimeout  = 500 * time.Millisecond
	newerConfigInterval = 50 * time.Millisecond
	// catchUpInterval is the time between checks for a newer configuration on
	// other instances.
	catchUpInterval = 500 * time.Millisecond
)

// server is a component that serves connections on an address.
type server struct {
	name    string
	address netip.AddrPort
	serve   func(net.Listener) error
}

// servers returns the servers of the instance.
func (d *Daemon) servers() []server {
	return []server{
		{"server for callers", d.settings.Callers.Listen, d.relay.Serve},
		{"server for other instances", d.settings.Peers.Listen, d.relay.ServePeers},
		{"entry server", d.settings.Callers.Entry, d.entryServer.Serve},
		{"readiness server", d.settings.Callers.Ready, d.entryServer.Serve},
		{"administration server", d.settings.Admin.Listen, d.admin.Serve},
	}
}

// Run serves until stopCtx ends or a component fails, then shuts down gracefully. It
// returns the error of the first component that failed.
func (d *Daemon) Run(stopCtx context.Context) error { return d.run(stopCtx, d.servers()) }

func (d *Daemon) run(stopCtx context.Context, servers []server) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(d.settings.Peers.Listen))
	if err != nil {
		return trace.Wrap(err, "listen for peers on %s", d.settings.Peers.Listen)
	}
	stopCtx, stop := context.WithCancel(stopCtx)
	defer stop()
	// ctx ends after the graceful shutdown, during which all components still run.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group errgroup.Group
	start := func(name string, component func() error) {
		group.Go(func() error {
			err := component()
			if err == nil {
				return nil
			}
			d.logger.WithError(err).WithField("component", name).Error("component failed, the instance stops")
			stop()
			return trace.Wrap(err, "%s", name)
		})
	}
	for _, s := range servers {
		l, err := net.Listen("tcp", s.address.String()) //nolint:noctx // The listener stays open as long as the daemon runs.
		if err != nil {
			return errors.Join(trace.Wrap(err, "listen on %s", s.address), conn.Close())
		}
		start(s.name, func() error { return s.serve(l) })
	}
	d.recorder.Record(timeline.Event{Kind: timeline.InstanceStarted})
	d.logger.WithField("callers", d.settings.Callers.Listen.String()).WithField("zone", d.settings.Instance.Zone).
		Info("instance started")
	start("exchange with peers", func() error { return d.mesh.Run(ctx, conn) })
	// The followers read the store only if the state cannot be read from another
	// instance: followersDue ends once that is decided.
	followersDue, startFollowers := context.WithCancel(ctx)
	defer startFollowers()
	follow := func(run func(context.Context) error) func() error {
		return func() error {
			<-followersDue.Done()
			return run(ctx)
		}
	}
	start("configuration follower", follow(d.configFollower.Run))
	start("target follower", follow(d.targetFollower.Run))
	start("membership", func() error { return d.join(ctx, startFollowers) })
	start("reachability checks", func() error { return d.watchReach(ctx) })
	start("configuration catch-up", func() error { return d.catchUpConfig(ctx) })
	group.Go(func() error {
		defer cancel()
		d.serveUntilStopped(stopCtx)
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		d.entryServer.Shutdown(shutdownCtx)
		d.admin.Shutdown(shutdownCtx)
		return nil
	})
	err = group.Wait()
	d.changeLog.flush()
	d.recorder.Record(timeline.Event{Kind: timeline.InstanceStopped})
	d.logger.Info("instance stopped")
	return err
}

// serveUntilStopped accepts callers once configuration and targets are loaded. When
// stopCtx ends, it shuts down gracefully.
func (d *Daemon) serveUntilStopped(stopCtx context.Context) {
	if d.waitReady(stopCtx) {
		d.members.SetState(membership.Ready)
		d.mesh.AnnounceState()
		d.logger.WithField("version", d.configFollower.Current().Version).WithField("targets", d.targets.Count()).
			Info("instance is ready")
		<-stopCtx.Done()
	}
	d.stop()
}

// waitReady waits until configuration and targets are loaded and the configuration is
// the newest one that this instance has heard of, if that can be fetched. It returns
// false if stopCtx ends first.
func (d *Daemon) waitReady(stopCtx context.Context) bool {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !d.loaded() {
		select {
		case <-stopCtx.Done():
			return false
		case <-ticker.C:
		}
	}
	d.startGate.Open()
	d.fetchNewestKnownConfig(stopCtx)
	return stopCtx.Err() == nil
}

// fetchNewestKnownConfig fetches a newer configuration that another instance has. The
// store may have been restored from a copy that lacks it.
func (d *Daemon) fetchNewestKnownConfig(stopCtx context.Context) {
	ctx, cancel := context.WithTimeout(stopCtx, newerConfigTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if _, ok := d.members.PeerWithNewerConfig(d.configFollower.Current().Version); !ok {
			return
		}
		previous := d.configFollower.Current()
		if d.configFollower.CatchUp(); d.configFollower.Current() == previous {
			sleepContext(ctx, newerConfigInterval)
		}
	}
}

// stop shuts down gracefully. It announces that the instance is leaving, which
// removes it from entry responses unless no other instance is ready, and makes
// every further response close the connection of its caller. It accepts new
// requests for serveFraction of the grace period, then waits for requests in
// progress until exitMargin before its end.
func (d *Daemon) stop() {
	start := time.Now()
	grace := d.settings.Stop.Grace
	ctx, cancel := context.WithTimeout(context.Background(), grace-exitMargin)
	defer cancel()
	wasActive := d.selector.IsActive()
	d.members.SetState(membership.Leaving)
	d.relay.StartDraining(start.Add(grace - exitMargin - responseTime))
	d.recorder.Record(timeline.Event{Kind: timeline.InstanceLeaving})
	d.logger.WithField("in_progress", d.relay.InProgress()).Info("instance leaving")
	var group errgroup.Group
	group.Go(func() error { d.mesh.AnnounceLeaving(ctx, wasActive); return nil })
	group.Go(func() error { d.registrar.Deregister(ctx); return nil })
	time.Sleep(time.Duration(serveFraction * float64(grace)))
	if err := d.relay.Shutdown(ctx); err != nil {
		d.logger.WithError(err).WithField("in_progress", d.relay.InProgress()).Error("grace period ended before all requests finished")
	}
	_ = group.Wait() // its functions always return nil
	d.logger.WithField("took", time.Since(start).String()).Info("shutdown finished")
}

// catchUpConfig fetches the configuration from another instance whose heartbeats
// show a newer version, in case this instance missed the update.
func (d *Daemon) catchUpConfig(ctx context.Context) error {
	ticker := time.NewTicker(catchUpInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		d.configFollower.CatchUp()
	}
}
