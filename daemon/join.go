package daemon

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"rhubarbrelay/admin"
	"rhubarbrelay/membership"
	"rhubarbrelay/peer"
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

var (
	// errJoinRefused means that an instance is not ready or busy with others that join.
	errJoinRefused = errors.New("instance cannot provide its state now")
	// errOtherInstance means that a join request describes the instance itself.
	errOtherInstance = errors.New("join request does not describe another instance")
)

func (d *Daemon) newJoiner() *joiner {
	seeds := seedAddresses(d.settings)
	return &joiner{
		members: d.members, greet: d.mesh.GreetSeeds, fetch: d.fetchState, restore: d.restoreState,
		loaded: d.loaded, hasJoined: d.hasJoined.Load, logger: d.logger,
		countInstances: d.countInstances, firstStart: d.settings.Instance.FirstStart,
		hasSeeds: len(seeds) > 0, isSeed: slices.Contains(seeds, d.settings.Peers.Listen),
	}
}

// join makes this instance join the others and keeps it registered while it must be.
// It calls startFollowers when the state was read from another instance or must be
// read from the store.
func (d *Daemon) join(ctx context.Context, startFollowers func()) error {
	var registration errgroup.Group
	stateFromStore := false
	d.newJoiner().run(ctx, func() {
		stateFromStore = true
		startFollowers()
		registration.Go(func() error {
			d.registerAtStart(ctx)
			return d.registrar.Run(ctx) // an instance may be alone, and then never joins another one
		})
	})
	startFollowers()
	if stateFromStore {
		return registration.Wait()
	}
	return d.registrar.Run(ctx)
}

// countInstances returns the number of instances in the deployment as far as the
// registered ones tell, or 0 if these cannot be listed. It greets them, so that this
// instance can join through them.
func (d *Daemon) countInstances(ctx context.Context) int {
	size, err := d.registrar.List(ctx)
	if err != nil {
		d.logger.WithError(err).Warn("registered instances cannot be listed")
		return 0
	}
	d.mesh.SendHello()
	return size
}

// registerAtStart registers the instance in the store, which also lists the other
// registered instances. As these determine the read order, it then makes the
// followers check their position again.
func (d *Daemon) registerAtStart(ctx context.Context) {
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
	if resp.StatusCode() != fasthttp.StatusOK {
		return peer.Snapshot{}, fmt.Errorf("%w: status %d", errJoinRefused, resp.StatusCode())
	}
	return peer.DecodeSnapshot(state)
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
// of that instance. It is called with the request of the instance.
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
		return nil, errJoinRefused
	}
	defer d.joining.Add(-1)
	targets, ok := d.targetFollower.State()
	if !ok {
		return nil, errJoinRefused
	}
	d.hasJoined.Store(true)
	d.members.AddSightings([]membership.Sighting{{Instance: in}})
	d.mesh.Introduce(in)
	return peer.EncodeSnapshot(peer.Snapshot{
		Instances: d.members.Sightings(), Targets: targets, Config: d.configFollower.Raw(),
		Blocked: d.crashes.Blocked(peer.MaxSnapshotCrashRecords), Evacuations: d.evacuations.State(),
	})
}
