package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"rhubarbrelay/admin"
	"rhubarbrelay/membership"
	"rhubarbrelay/peer"
	"rhubarbrelay/startup"
)

const (
	// joinTimeout limits the request with which an instance joins through another one.
	joinTimeout = time.Second
	// maxPeerResponse limits the size in bytes of a response of another instance.
	maxPeerResponse = 32 << 20
	// maxConcurrentJoins limits the instances that join through this one at the same
	// time, as all share its network link. The others try another instance.
	maxConcurrentJoins = 4
)

// errOtherInstance means that a join request describes the instance itself.
var errOtherInstance = errors.New("join request does not describe another instance")

// starter is the instance as its joiner sees it.
type starter struct {
	*Daemon
	// load starts to read the state from the store.
	load func()
}

func (d *Daemon) newJoiner() *startup.Joiner {
	seeds := seedAddresses(d.settings)
	return startup.NewJoiner(d.members, &d.starter, startup.Role{
		HasSeeds: len(seeds) > 0, IsSeed: slices.Contains(seeds, d.settings.Peers.Listen), FirstStart: d.settings.Instance.FirstStart,
	}, d.logger)
}

// Greet implements startup.Instance.
func (s *starter) Greet() { s.mesh.GreetSeeds() }

// Fetch implements startup.Instance.
func (s *starter) Fetch(through membership.Instance) (peer.Snapshot, error) {
	return s.fetchState(through)
}

// Restore implements startup.Instance.
func (s *starter) Restore(snapshot peer.Snapshot, source string, at time.Time) {
	s.restoreState(snapshot, source, at)
}

// Load implements startup.Instance.
func (s *starter) Load() { s.load() }

// Loaded implements startup.Instance.
func (s *starter) Loaded() bool { return s.loaded() }

// HasJoined implements startup.Instance.
func (s *starter) HasJoined() bool { return s.hasJoined.Load() }

// Ready implements startup.Instance.
func (s *starter) Ready() bool { return s.ready() }

// Notify implements startup.Instance.
func (s *starter) Notify(notice peer.StartNotice, to []netip.AddrPort, wait func(size int) bool) {
	s.mesh.Notify(notice, to, wait)
}

// List implements startup.Instance. It greets the registered instances, so that this one
// can join through them if they are ready.
func (s *starter) List(ctx context.Context) (map[string][]netip.AddrPort, error) {
	listing, err := s.registrar.List(ctx)
	if err != nil {
		return nil, err
	}
	s.mesh.SendHello()
	return listing.Peers, nil
}

// join makes this instance join the others and keeps it registered while it must be.
// It calls startFollowers when the state was read from another instance or must be
// read from the store.
func (d *Daemon) join(ctx context.Context, startFollowers func()) error {
	var background errgroup.Group
	stateFromStore, joined := false, make(chan struct{})
	d.starter.load = func() {
		stateFromStore = true
		startFollowers()
		background.Go(func() error {
			d.registerAtStart(ctx, joined)
			return d.registrar.Run(ctx) // an instance may be alone, and then never joins another one
		})
	}
	background.Go(func() error {
		d.joiner.Notify(ctx)
		return nil
	})
	d.joiner.Run(ctx)
	close(joined)
	startFollowers()
	if !stateFromStore {
		background.Go(func() error { return d.registrar.Run(ctx) })
	}
	return background.Wait()
}

// registerDelay is how long an instance that has read the store waits for others, that
// join through it or through which it joins, before it registers. If there are others,
// the first ones of each zone are registered, and all need not write to the store at
// once. They are then known to each other.
const registerDelay = 1500 * time.Millisecond

// registerAtStart registers the instance in the store, which also lists the other
// registered instances. As these determine the read order, it then makes the
// followers check their position again. With seeds it does so after registerDelay, and
// not if it has joined the others by then.
func (d *Daemon) registerAtStart(ctx context.Context, joined <-chan struct{}) {
	if len(d.settings.Peers.Seeds) > 0 {
		timer := time.NewTimer(registerDelay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return
		case <-joined:
			return
		case <-timer.C:
		}
		if d.hasJoined.Load() {
			return
		}
	}
	d.registrar.Register(ctx)
	d.targetFollower.Wake()
	d.configFollower.Wake()
	d.mesh.SendHello()
}

// fetchState joins through an instance and returns its state.
func (d *Daemon) fetchState(through membership.Instance) (peer.Snapshot, error) {
	self, err := peer.EncodeInstance(d.members.Self())
	if err != nil {
		return peer.Snapshot{}, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + through.AdminAddress.String() + admin.JoinPath)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyRaw(self)
	state, err := d.callPeer(req, resp, joinTimeout)
	if err != nil {
		return peer.Snapshot{}, err
	}
	snapshot, err := peer.DecodeSnapshot(state)
	if resp.StatusCode() != fasthttp.StatusOK {
		if err == nil {
			d.members.AddSightings(snapshot.Instances)
		}
		return peer.Snapshot{}, fmt.Errorf("%w: status %d", startup.ErrJoinRefused, resp.StatusCode())
	}
	return snapshot, err
}

// restoreState takes over the state of another instance. The ages in it refer to the
// given time.
func (d *Daemon) restoreState(snapshot peer.Snapshot, source string, at time.Time) {
	d.members.AddSightings(snapshot.Instances)
	d.members.SetListed()
	d.evacuations.Merge(snapshot.Evacuations)
	d.configFollower.ApplyIfNewer(snapshot.Config, source)
	d.targetFollower.Restore(snapshot.Targets, at)
	d.crashes.Merge(snapshot.Blocked)
	d.logger.WithField("peer", source).WithField("instances", len(snapshot.Instances)).
		WithField("targets", len(snapshot.Targets.Targets)).Info("joined the other instances")
}

// Join returns the encoded state for an instance that starts, and tells the others
// of that instance. It is called with the request of the instance. If the error wraps
// startup.ErrJoinRefused, the state has only other instances that it can join through.
func (d *Daemon) Join(request []byte) ([]byte, error) {
	in, err := peer.DecodeInstance(request)
	if err != nil {
		return nil, err
	}
	if in.ID == d.settings.Instance.ID || !in.PeerAddress.IsValid() {
		return nil, errOtherInstance
	}
	if d.joining.Add(1) > maxConcurrentJoins || !d.ready() {
		d.joining.Add(-1)
		return d.refuseJoin(in)
	}
	defer d.joining.Add(-1)
	targets, ok := d.targetFollower.State()
	if !ok {
		return d.refuseJoin(in)
	}
	d.hasJoined.Store(true)
	d.members.AddSightings([]membership.Sighting{{Instance: in}})
	d.mesh.Introduce(in)
	return peer.EncodeSnapshot(peer.Snapshot{
		Instances: d.members.Sightings(), Targets: targets, Config: d.configFollower.Raw(),
		Blocked: d.crashes.Blocked(peer.MaxSnapshotCrashRecords), Evacuations: d.evacuations.State(),
	})
}

func (d *Daemon) refuseJoin(in membership.Instance) ([]byte, error) {
	others, err := peer.EncodeSnapshot(peer.Snapshot{Instances: startup.SampleReady(d.members, in)})
	return others, errors.Join(startup.ErrJoinRefused, err)
}
