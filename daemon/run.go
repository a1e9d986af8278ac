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
		{"entry server", d.settings.Callers.Entry, d.serveEntry},
		{"readiness server", d.settings.Callers.Ready, d.serveReadiness},
		{"administration server", d.settings.Admin.Listen, d.serveAdmin},
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
	listeners, err := listen(servers)
	if err != nil {
		return errors.Join(err, conn.Close())
	}
	stopCtx, stop := context.WithCancel(stopCtx)
	defer stop()
	// ctx ends after the graceful shutdown, during which all components still run.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group errgroup.Group
	failure := make(chan error, 1) // the first one
	start := func(name string, component func() error) {
		group.Go(func() error {
			err := component()
			if err == nil {
				return nil
			}
			d.logger.WithError(err).WithField("component", name).Error("component failed, the instance stops")
			err = trace.Wrap(err, "%s", name)
			select {
			case failure <- err:
			default:
			}
			stop()
			return err
		})
	}
	for i, s := range servers {
		start(s.name, func() error { return s.serve(listeners[i]) })
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
	start("pause detection", func() error { return d.pauses.run(ctx) })
	start("scheduling delay", func() error { return d.scheduling.run(ctx) })
	start("reachability checks", func() error { return d.watchReach(ctx) })
	start("quota shares", func() error { return d.shareQuotas(ctx) })
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
		d.admin.Shutdown(shutdownCtx)
		return nil
	})
	err = d.waitForComponents(ctx, &group, failure)
	d.changeLog.flush()
	d.recorder.Record(timeline.Event{Kind: timeline.InstanceStopped})
	d.logger.Info("instance stopped")
	return err
}

// listen opens the listeners of all servers. No connection is accepted unless all can be
// opened.
func listen(servers []server) ([]net.Listener, error) {
	listeners := make([]net.Listener, 0, len(servers))
	for _, s := range servers {
		l, err := net.Listen("tcp", s.address.String()) //nolint:noctx // The listener stays open as long as the daemon runs.
		if err != nil {
			for _, opened := range listeners {
				err = errors.Join(err, opened.Close())
			}
			return nil, trace.Wrap(err, "listen on %s", s.address)
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
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

// catchUpConfig fetches the configuration from another instance whose heartbeats
// show a newer version, in case this instance missed the update.
func (d *Daemon) catchUpConfig(ctx context.Context) error {
	return runPeriodically(ctx, catchUpInterval, d.configFollower.CatchUp)
}
