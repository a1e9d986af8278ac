// Package daemon builds one instance from its settings, runs it and stops it
// gracefully.
package daemon

import (
	"context"
	"errors"
	"net"
	"time"

	"rhubarbrelay/admin"
	"rhubarbrelay/config"
	"rhubarbrelay/configlog"
	"rhubarbrelay/entry"
	"rhubarbrelay/membership"
	"rhubarbrelay/platform"
	"rhubarbrelay/relay"
	"rhubarbrelay/routing"
	"rhubarbrelay/settings"
	"rhubarbrelay/timeline"
	"rhubarbrelay/upstream"

	"github.com/apex/log"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
)

const (
	// listInterval is the time between two reads of the instance list.
	listInterval = 2 * time.Second
	// finishTimeout bounds the wait for requests in progress at a stop. It is
	// longer than any deadline of a request.
	finishTimeout = time.Minute
)

// Daemon is one instance of the system.
type Daemon struct {
	settings  *settings.Settings
	logger    log.Interface
	platform  *platform.Client
	follower  *configlog.Follower
	directory *membership.Directory
	table     *routing.Table
	pools     *upstream.Pools
	recorder  *timeline.Recorder
	relay     *relay.Server
	admin     *admin.Server
}

// New returns an instance that is not yet running.
func New(s *settings.Settings, logger log.Interface) *Daemon {
	d := &Daemon{settings: s, logger: logger, platform: platform.NewClient(s.Platform.Address)}
	d.recorder = timeline.NewRecorder(s.Instance.ID, timeline.NewClock(time.Now))
	d.follower = configlog.NewFollower(d.platform, configlog.WithFollowerLogger(logger))
	d.directory = membership.NewDirectory(membership.Instance{
		ID: s.Instance.ID, Zone: s.Instance.Zone, Incarnation: time.Now().UnixMilli(),
		CallerAddress: s.Callers.Listen, PeerAddress: s.Peers.Listen, AdminAddress: s.Admin.Listen,
		State: membership.Live,
	})
	d.table = routing.NewTable()
	d.pools = upstream.NewPools(s.Peers.MaxInstances)
	planner := entry.NewPlanner(d.directory, d.follower, entry.WithTTL(s.Callers.EntryTTL))
	d.relay = relay.NewServer(d.follower, d.table, d.pools, planner, d)
	d.admin = admin.NewServer(configlog.NewPublisher(d.platform), d.follower)
	d.follower.Subscribe(d.applyFleet)
	d.directory.Subscribe(d.applyLeaving)
	return d
}

// AnnounceTarget notes what a target said of itself.
func (d *Daemon) AnnounceTarget(t config.Target, draining bool) {
	d.directory.AnnounceTarget(t.Address, draining)
}

func (d *Daemon) applyFleet(fleet *config.Fleet) {
	d.pools.Update(fleet)
	d.table.Update(fleet)
	d.applyLeaving()
	d.recorder.Record(timeline.Event{Kind: timeline.ConfigInForce, Version: int64(fleet.Version)})
}

// applyLeaving tells the dispatchers which targets leave.
func (d *Daemon) applyLeaving() {
	for name, service := range d.follower.Fleet().Services {
		dispatcher := d.table.Dispatcher(name)
		if dispatcher == nil {
			continue
		}
		for _, t := range service.Targets {
			dispatcher.SetLeaving(t.Address, d.directory.TargetLeaving(t.Address))
		}
	}
}

// Run serves until the stop context ends, then stops gracefully.
func (d *Daemon) Run(stop context.Context) error {
	callers, err := listen(d.settings.Callers.Listen.String())
	if err != nil {
		return err
	}
	adminListener, err := listen(d.settings.Admin.Listen.String())
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, background := errgroup.WithContext(background)
	group.Go(func() error { return d.follower.Run(background) })
	group.Go(func() error { return d.watchList(background) })
	group.Go(func() error { return d.relay.Serve(callers) })
	group.Go(func() error { return d.admin.Serve(adminListener) })
	d.recorder.Record(timeline.Event{Kind: timeline.InstanceStarted})
	d.logger.WithField("callers", d.settings.Callers.Listen.String()).Info("instance started")
	select {
	case <-stop.Done():
	case <-background.Done():
	}
	err = d.stop()
	cancel()
	return errors.Join(err, group.Wait())
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address) //nolint:noctx // The listener lives as long as the daemon.
	return l, trace.Wrap(err, "listen on %s", address)
}

// stop leaves the entry answers, serves on while callers may hold an old one,
// then finishes the requests in progress.
func (d *Daemon) stop() error {
	d.directory.SetSelf(membership.Leaving)
	d.recorder.Record(timeline.Event{Kind: timeline.InstanceLeaving})
	d.logger.Info("instance leaving")
	time.Sleep(d.settings.Callers.EntryTTL + d.settings.Stop.Margin)
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	err := errors.Join(d.relay.Shutdown(ctx), d.admin.Shutdown(ctx))
	d.logger.Info("instance stopped")
	return err
}

func (d *Daemon) watchList(ctx context.Context) error {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		list, err := d.platform.Instances(ctx)
		if err != nil {
			d.logger.WithError(err).Debug("instance list not readable")
		} else {
			d.directory.ApplyList(list)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
