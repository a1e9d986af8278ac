package daemon

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer"
	"rhubarbrelay/relay"
	"rhubarbrelay/timeline"
)

const (
	// readyPoll is the time between two looks at whether the configuration is
	// complete.
	readyPoll = 20 * time.Millisecond
	// finishTimeout bounds the wait for requests in progress at a stop. It is
	// longer than any deadline of a request.
	finishTimeout = time.Minute
	// peerCheckTimeout bounds the wait for the versions of the peers at the
	// start. In it a listed peer can be dialled and dialled again; an instance
	// that is dead but still listed must not keep others from serving.
	peerCheckTimeout = 3 * time.Second
)

// errStopped ends the group of the running parts without an error.
var errStopped = errors.New("instance stopped")

// Run serves until the stop context ends, then stops gracefully.
func (d *Daemon) Run(stop context.Context) error {
	adminListener, err := listen(d.settings.Admin.Listen.String())
	if err != nil {
		return err
	}
	peerListener, err := listen(d.settings.Peers.Listen.String())
	if err != nil {
		return errors.Join(err, adminListener.Close())
	}
	group, running := errgroup.WithContext(context.Background())
	d.recorder.Record(timeline.Event{Kind: timeline.InstanceStarted})
	d.logger.Info("instance started")
	group.Go(func() error { return d.follower.Run(running) })
	group.Go(func() error { return d.watchList(running) })
	group.Go(func() error { return d.checkPeers(running) })
	group.Go(func() error { return d.revalidate(running) })
	group.Go(func() error { return d.guard.Run(running) })
	group.Go(func() error { return d.mesh.Run(running, peerListener) })
	group.Go(func() error { return d.prober.Run(running) })
	group.Go(func() error { return d.admin.Serve(adminListener) })
	group.Go(func() error { return d.serveCallers(running, stop) })
	group.Go(func() error {
		<-running.Done()
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		return d.admin.Shutdown(ctx)
	})
	err = group.Wait()
	d.pools.Close()
	if errors.Is(err, errStopped) {
		d.logger.Info("instance stopped")
		return nil
	}
	return err
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address) //nolint:noctx // The listener lives as long as the daemon.
	return l, trace.Wrap(err, "listen on %s", address)
}

// serveCallers opens the callers' listener once the configuration is complete
// and closes it after a graceful stop. It returns errStopped after a stop that
// cut off nothing.
func (d *Daemon) serveCallers(running, stop context.Context) error {
	if !d.waitReady(running, stop) {
		return errStopped
	}
	callers, err := listen(d.settings.Callers.Listen.String())
	if err != nil {
		return err
	}
	serving := make(chan error, 1)
	go func() { serving <- d.relay.Serve(callers) }()
	d.directory.SetSelf(membership.Live)
	d.logger.WithField("callers", d.settings.Callers.Listen.String()).Info("instance serves callers")
	select {
	case <-stop.Done():
	case <-running.Done():
	case err := <-serving:
		return trace.Wrap(err, "serve callers")
	}
	if err := errors.Join(d.stop(), <-serving); err != nil {
		return err
	}
	return errStopped
}

// checkPeers waits until the configuration was compared with what the peers
// have in force, since the log may be read stale.
func (d *Daemon) checkPeers(running context.Context) error {
	ctx, cancel := context.WithTimeout(running, peerCheckTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for !d.peersCompared() {
		select {
		case <-ctx.Done():
			if running.Err() == nil {
				d.logger.Warn("no peer confirmed the configuration in time")
				d.follower.PeersChecked()
			}
			return nil
		case <-ticker.C:
		}
	}
	d.follower.PeersChecked()
	return nil
}

// peersCompared returns whether the own version was compared with those of the
// peers. They are known from the list or, when it cannot be read, from a seed.
func (d *Daemon) peersCompared() bool {
	select {
	case <-d.listTried:
		return (d.listRead.Load() || !d.directory.Alone()) && d.mesh.Compared()
	default:
		return false
	}
}

// waitReady waits until the configuration is complete and returns false when
// the instance ends before that.
func (d *Daemon) waitReady(running, stop context.Context) bool {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for !d.follower.Ready() {
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

// stop leaves the entry answers, serves on while callers may hold an old one,
// asks them to close their connections, and finishes the requests in progress.
func (d *Daemon) stop() error {
	d.directory.SetSelf(membership.Leaving)
	d.recorder.Record(timeline.Event{Kind: timeline.InstanceLeaving})
	d.logger.Info("instance leaving")
	time.Sleep(d.settings.Callers.EntryTTL)
	d.relay.SetClosing(true)
	time.Sleep(d.settings.Stop.Margin)
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	err := d.relay.Shutdown(ctx)
	d.recorder.Record(timeline.Event{Kind: timeline.InstanceStopped})
	return trace.Wrap(err, "finish the requests in progress")
}

// forwardError maps an error of the mesh to what the relay tells the caller.
func forwardError(err error) error {
	switch {
	case errors.Is(err, peer.ErrOwnerUnknown), errors.Is(err, peer.ErrOtherIncarnation):
		return relay.ErrOwnerGone
	default:
		return relay.ErrOwnerUnreachable
	}
}
