// Package daemon builds one instance from its settings, runs it and stops it
// gracefully.
package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"rhubarbrelay/admin"
	"rhubarbrelay/config"
	"rhubarbrelay/configlog"
	"rhubarbrelay/entry"
	"rhubarbrelay/health"
	"rhubarbrelay/idempotency"
	"rhubarbrelay/limits"
	"rhubarbrelay/membership"
	"rhubarbrelay/peer"
	"rhubarbrelay/platform"
	"rhubarbrelay/relay"
	"rhubarbrelay/routing"
	"rhubarbrelay/settings"
	"rhubarbrelay/timeline"
	"rhubarbrelay/upstream"
)

// maxRequests bounds the requests that wait or run on the instance, over all
// services. Above it a service keeps to its fair share.
const maxRequests = 8192

// forwardHeader is the room for the header of a forwarded request, in bytes.
const forwardHeader = 64 << 10

// Daemon is one instance of the system.
type Daemon struct {
	settings  *settings.Settings
	logger    log.Interface
	clock     *timeline.Clock
	recorder  *timeline.Recorder
	platform  *platform.Client
	follower  *configlog.Follower
	directory *membership.Directory
	guard     *membership.Guard
	mesh      *peer.Mesh
	fairness  *limits.Fairness
	table     *routing.Table
	pools     *upstream.Pools
	prober    *health.Prober
	memory    *idempotency.Memory
	relay     *relay.Server
	admin     *admin.Server
	// listTried is closed after the first attempt to read the instance list, and
	// listRead is set once it was read.
	listTried chan struct{}
	listRead  atomic.Bool
	// stale receives a value when the guard notices that the process was paused.
	stale chan struct{}
}

// New returns an instance that is not yet running.
func New(s *settings.Settings, logger log.Interface) *Daemon {
	started := time.Now()
	d := &Daemon{
		settings:  s,
		logger:    logger,
		clock:     timeline.NewClock(time.Now),
		platform:  platform.NewClient(s.Platform.Address),
		listTried: make(chan struct{}),
		stale:     make(chan struct{}, 1),
	}
	d.recorder = timeline.NewRecorder(s.Instance.ID, d.clock)
	d.follower = configlog.NewFollower(d.platform, configlog.WithFollowerLogger(logger), configlog.WithPeerCheck())
	d.buildMembership(started)
	d.buildRouting()
	d.buildServers(started)
	d.follower.Subscribe(d.applyFleet)
	d.directory.Subscribe(d.applyLeaving)
	d.directory.Subscribe(newMemberWatch(d.directory, d.recorder, logger, s.Peers.MaxInstances).update)
	return d
}

func (d *Daemon) buildMembership(started time.Time) {
	s := d.settings
	d.directory = membership.NewDirectory(membership.Instance{
		ID: s.Instance.ID, Zone: s.Instance.Zone, Incarnation: started.UnixMilli(),
		CallerAddress: s.Callers.Listen, PeerAddress: s.Peers.Advertise, AdminAddress: s.Admin.Listen,
		State: membership.Starting,
	}, membership.WithClock(d.clock))
	d.guard = membership.NewGuard(
		membership.WithVersion(d.follower.Version),
		membership.WithAlone(d.directory.Alone),
		membership.WithOnChange(d.noteFreshness),
	)
	d.mesh = peer.NewMesh(d.directory, d.follower,
		peer.WithLogger(d.logger),
		peer.WithClock(d.clock),
		peer.WithSeeds(s.Peers.Seeds),
		peer.WithHandler(d.serveForwarded),
		peer.WithHeartbeatObserver(d.guard.HeardPeer),
		peer.WithForwardLimit(max(s.Callers.MaxRequestBody, upstream.DefaultMaxAnswer)+forwardHeader),
	)
}

func (d *Daemon) buildRouting() {
	d.fairness = limits.NewFairness(maxRequests)
	d.table = routing.NewTable(routing.WithFairness(d.fairness), routing.WithRecorder(d.recorder))
	d.pools = upstream.NewPools(d.settings.Peers.MaxInstances)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	budget := limits.NewProbeBudget(d.settings.Peers.MaxInstances, random)
	d.prober = health.NewProber(d.follower, d.table, d.pools, d, budget, health.WithFreshness(d.guard))
}

func (d *Daemon) buildServers(started time.Time) {
	s := d.settings
	planner := entry.NewPlanner(d.directory, d.follower, entry.WithTTL(s.Callers.EntryTTL))
	d.memory = idempotency.NewMemory(s.Instance.ID, started.UnixMilli(), started)
	d.relay = relay.NewServer(d.follower, d.table, d.pools, planner, d,
		relay.WithRecorder(d.recorder),
		relay.WithLogger(d.logger),
		relay.WithFreshness(d.guard),
		relay.WithMemory(d.memory),
		relay.WithForwarder(forwarder{d.mesh}),
		relay.WithMaxRequestBody(s.Callers.MaxRequestBody),
		relay.WithMaxConnections(s.Callers.MaxConnections),
	)
	d.admin = admin.NewServer(
		configlog.NewPublisher(d.platform, configlog.WithFollower(d.follower)), d.follower,
		admin.WithInstance(d),
		admin.WithDocuments(d),
		admin.WithEvents(d.recorder),
		admin.WithLogger(d.logger),
		admin.WithToken(s.Admin.Token),
	)
}

// AnnounceTarget notes what a target said of itself. The directory passes news
// on to the peers.
func (d *Daemon) AnnounceTarget(t config.Target, draining bool) {
	if !d.directory.AnnounceTarget(t.Address, draining) {
		return
	}
	kind := timeline.TargetReady
	if draining {
		kind = timeline.TargetLeaving
	}
	d.recorder.Record(timeline.Event{Kind: kind, Target: t.Name, Detail: "its own signal"})
	d.logger.WithField("target", t.Name).WithField("draining", draining).Info("target changed its state")
}

func (d *Daemon) serveForwarded(ctx context.Context, request []byte, timeout time.Duration) ([]byte, error) {
	return d.relay.ServeForwarded(ctx, request, timeout)
}

func (d *Daemon) applyFleet(fleet *config.Fleet) {
	d.pools.Update(fleet)
	d.table.Update(fleet)
	d.directory.ApplyFleet(fleet)
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

// noteFreshness records that the process was paused, or that its view is
// valid again.
func (d *Daemon) noteFreshness(fresh bool) {
	if fresh {
		d.recorder.Record(timeline.Event{Kind: timeline.InstanceFresh})
		d.logger.Info("view of the system is valid again")
		return
	}
	d.recorder.Record(timeline.Event{Kind: timeline.InstanceStale})
	d.logger.Warn("process was paused; nothing is sent to targets until the view is validated")
	select {
	case d.stale <- struct{}{}:
	default:
	}
}

// forwarder passes requests to the owners of their idempotency keys.
type forwarder struct {
	mesh *peer.Mesh
}

// Forward returns the owner's answer.
func (f forwarder) Forward(ctx context.Context, instance string, incarnation int64, request []byte) ([]byte, error) {
	answer, err := f.mesh.Forward(ctx, instance, incarnation, request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", forwardError(err), err)
	}
	return answer, nil
}
