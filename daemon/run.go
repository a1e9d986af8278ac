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
	// readyPoll is the time between two looks at whether the state is complete.
	readyPoll = 10 * time.Millisecond
	// serveShare is the part of the grace time for which a leaving instance
	// serves on: callers keep an entry answer for a while.
	serveShare = 0.5
	// exitMargin is the time before the end of the grace time at which the
	// process exits at the latest.
	exitMargin = 300 * time.Millisecond
	// closeTimeout bounds the wait for questions in progress at the end.
	closeTimeout = 100 * time.Millisecond
	// behindInterval is the time between two looks at the versions of others.
	behindInterval = 500 * time.Millisecond
)

// errStopped ends the group of the running parts without an error.
var errStopped = errors.New("instance stopped")

// server is a part that accepts connections.
type server struct {
	address netip.AddrPort
	serve   func(net.Listener) error
}

// Run serves until the stop context ends, then stops gracefully.
func (d *Daemon) Run(stop context.Context) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(d.settings.Peers.Listen))
	if err != nil {
		return trace.Wrap(err, "listen for instances on %s", d.settings.Peers.Listen)
	}
	group, running := errgroup.WithContext(context.Background())
	for _, s := range []server{
		{d.settings.Callers.Listen, d.relay.Serve},
		{d.settings.Callers.Entry, d.desk.Serve},
		{d.settings.Callers.Ready, d.desk.Serve},
		{d.settings.Admin.Listen, d.admin.Serve},
	} {
		l, err := net.Listen("tcp", s.address.String()) //nolint:noctx // It lives as long as the daemon.
		if err != nil {
			return errors.Join(trace.Wrap(err, "listen on %s", s.address), conn.Close())
		}
		group.Go(func() error { return s.serve(l) })
	}
	d.recorder.Record(timeline.Event{Kind: timeline.InstanceStarted})
	d.logger.WithField("callers", d.settings.Callers.Listen.String()).WithField("zone", d.settings.Instance.Zone).
		Info("instance started")
	group.Go(func() error { return d.mesh.Run(running, conn) })
	group.Go(func() error { return d.config.Run(running) })
	group.Go(func() error { return d.registry.Run(running) })
	group.Go(func() error { return d.announce(running) })
	group.Go(func() error { return d.catchUp(running) })
	group.Go(func() error { return d.live(running, stop) })
	group.Go(func() error {
		<-running.Done()
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		d.desk.Shutdown(ctx)
		d.admin.Shutdown(ctx)
		return nil
	})
	err = group.Wait()
	if errors.Is(err, errStopped) {
		d.recorder.Record(timeline.Event{Kind: timeline.InstanceStopped})
		d.logger.Info("instance stopped")
		return nil
	}
	return err
}

// announce registers the instance and introduces it to the others.
func (d *Daemon) announce(running context.Context) error {
	d.announcer.Announce(running)
	d.registry.Wake()
	d.config.Wake()
	d.mesh.Introduce()
	return nil
}

// live takes callers once the state is complete, until the instance stops. It
// returns errStopped.
func (d *Daemon) live(running, stop context.Context) error {
	if d.waitReady(running, stop) {
		d.members.SetState(membership.Ready)
		d.mesh.Announce()
		d.logger.WithField("version", d.config.Current().Version).WithField("targets", d.targets.Count()).
			Info("instance is ready")
		select {
		case <-stop.Done():
		case <-running.Done():
			return nil
		}
	}
	d.stop()
	return errStopped
}

// waitReady returns false when the instance ends before its state is complete.
func (d *Daemon) waitReady(running, stop context.Context) bool {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for d.config.Current() == nil || !d.targets.Loaded() {
		select {
		case <-stop.Done():
			return false
		case <-running.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// stop leaves the entry answers at once, serves on while callers may hold an
// old one, asks them to close their connections, and finishes the requests in
// progress within the grace time.
func (d *Daemon) stop() {
	began := time.Now()
	grace := d.settings.Stop.Grace
	ctx, cancel := context.WithTimeout(context.Background(), grace-exitMargin)
	defer cancel()
	wasActive := d.selector.IsActive()
	d.members.SetState(membership.Leaving)
	d.relay.DisableKeepAlive()
	d.recorder.Record(timeline.Event{Kind: timeline.InstanceLeaving})
	d.logger.WithField("in_progress", d.relay.InProgress()).Info("instance leaving")
	var group errgroup.Group
	group.Go(func() error { d.mesh.AnnounceLeaving(ctx, wasActive); return nil })
	group.Go(func() error { d.announcer.Withdraw(ctx); return nil })
	time.Sleep(time.Duration(serveShare * float64(grace)))
	if err := d.relay.Shutdown(ctx); err != nil {
		d.logger.WithError(err).WithField("in_progress", d.relay.InProgress()).Error("requests were cut off at the stop")
	}
	_ = group.Wait() // its parts return no error
	d.logger.WithField("took", time.Since(began).String()).Info("requests in progress are finished")
}

// catchUp reads the configuration from another instance when that has a newer
// version, by its heartbeats, and this one has not noticed otherwise.
func (d *Daemon) catchUp(running context.Context) error {
	ticker := time.NewTicker(behindInterval)
	defer ticker.Stop()
	for {
		select {
		case <-running.Done():
			return nil
		case <-ticker.C:
		}
		d.config.CatchUp()
	}
}
