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
	// instance accepts new requests, as callers cache entry responses.
	serveFraction = 0.5
	// exitMargin is how long before the end of the grace period the process
	// exits at the latest.
	exitMargin = 300 * time.Millisecond
	// shutdownTimeout bounds the wait for entry and administration requests in
	// progress at the end.
	shutdownTimeout = 100 * time.Millisecond
	// catchUpInterval is the time between checks for a newer configuration on
	// other instances.
	catchUpInterval = 500 * time.Millisecond
)

// errStopped cancels the group of components after a graceful stop.
var errStopped = errors.New("instance stopped")

// server is a component that serves connections on an address.
type server struct {
	address netip.AddrPort
	serve   func(net.Listener) error
}

// Run serves until the stop context ends, then shuts down gracefully.
func (d *Daemon) Run(stop context.Context) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(d.settings.Peers.Listen))
	if err != nil {
		return trace.Wrap(err, "listen for peers on %s", d.settings.Peers.Listen)
	}
	group, running := errgroup.WithContext(context.Background())
	for _, s := range []server{
		{d.settings.Callers.Listen, d.relay.Serve},
		{d.settings.Callers.Entry, d.entryServer.Serve},
		{d.settings.Callers.Ready, d.entryServer.Serve},
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
	group.Go(func() error { return d.register(running) })
	group.Go(func() error { return d.catchUpConfig(running) })
	group.Go(func() error { return d.serveUntilStopped(running, stop) })
	group.Go(func() error {
		<-running.Done()
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		d.entryServer.Shutdown(ctx)
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

// register adds the instance to the registry and introduces it to its peers.
func (d *Daemon) register(running context.Context) error {
	d.registrar.Register(running)
	d.registry.Wake()
	d.config.Wake()
	d.mesh.SendHello()
	return nil
}

// serveUntilStopped accepts callers once configuration and targets are loaded and
// shuts down when the stop context ends. It returns errStopped after a shutdown,
// and nil if another component has failed.
func (d *Daemon) serveUntilStopped(running, stop context.Context) error {
	if d.waitReady(running, stop) {
		d.members.SetState(membership.Ready)
		d.mesh.AnnounceState()
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

// waitReady waits until configuration and targets are loaded. It returns false if
// the instance stops first.
func (d *Daemon) waitReady(running, stop context.Context) bool {
	ticker := time.NewTicker(readyPollInterval)
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

// stop removes the instance from entry responses at once and keeps serving while
// callers may still use a cached response. It asks callers to close their
// connections and finishes requests in progress within the grace period.
func (d *Daemon) stop() {
	start := time.Now()
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
	group.Go(func() error { d.registrar.Deregister(ctx); return nil })
	time.Sleep(time.Duration(serveFraction * float64(grace)))
	if err := d.relay.Shutdown(ctx); err != nil {
		d.logger.WithError(err).WithField("in_progress", d.relay.InProgress()).Error("grace period ended before all requests finished")
	}
	_ = group.Wait() // its functions always return nil
	d.logger.WithField("took", time.Since(start).String()).Info("requests in progress are finished")
}

// catchUpConfig fetches the configuration from another instance whose heartbeats
// show a newer version, in case this instance missed the update.
func (d *Daemon) catchUpConfig(running context.Context) error {
	ticker := time.NewTicker(catchUpInterval)
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
