// Package daemon assembles an instance from its settings, runs it and shuts it
// down gracefully.
package daemon

import (
	"math"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"rhubarbrelay/admin"
	"rhubarbrelay/bodies"
	"rhubarbrelay/config"
	"rhubarbrelay/crashes"
	"rhubarbrelay/entry"
	"rhubarbrelay/evacuation"
	"rhubarbrelay/limits"
	"rhubarbrelay/membership"
	"rhubarbrelay/peer"
	"rhubarbrelay/platform"
	"rhubarbrelay/registry"
	"rhubarbrelay/relay"
	"rhubarbrelay/routing"
	"rhubarbrelay/settings"
	"rhubarbrelay/startup"
	"rhubarbrelay/targets"
	"rhubarbrelay/timeline"
	"rhubarbrelay/upstream"
)

// The fractions of the memory of the process that the large bodies of all requests,
// each in two copies, and those of all responses may hold. The rest is for small ones,
// connections, the state, and garbage.
const (
	requestMemoryFraction  = 0.25
	responseMemoryFraction = 0.15
)

// Daemon is one running instance with all its components.
type Daemon struct {
	settings       *settings.Settings
	logger         log.Interface
	startedAt      time.Time
	recorder       *timeline.Recorder
	changeLog      *changeLog
	members        *membership.Directory
	selector       *entry.Selector
	mesh           *peer.Mesh
	targets        *targets.Directory
	table          *routing.Table
	configFollower *registry.ConfigFollower
	targetFollower *registry.TargetFollower
	registrar      *registry.Registrar
	freshness      *freshness
	crashes        *crashes.Ledger
	evacuations    *evacuation.Set
	quotas         *limits.Quotas
	quotasChanged  chan struct{}
	relay          *relay.Server
	entryServer    *relay.EntryServer
	admin          *admin.Server
	limits         connectionLimits
	pauses         *pauses
	scheduling     *schedulingDelay
	targetDial     upstream.DialFunc // nil for the default
	// peerClient calls the administration API of other instances.
	peerClient *fasthttp.Client
	// joining is the number of instances that join through this one now, hasJoined
	// whether any has.
	joining   atomic.Int64
	hasJoined atomic.Bool
	joiner    *startup.Joiner
	startGate *startup.Gate
	starter   starter
}

// Option configures a Daemon.
type Option func(*Daemon)

// WithTargetDial replaces the function that opens connections to targets.
func WithTargetDial(dial upstream.DialFunc) Option {
	return func(d *Daemon) { d.targetDial = dial }
}

// millicores returns the processor capacity of the instance in thousandths of a core.
func millicores(in settings.Instance) int {
	return int(math.Round(in.CPUShare * in.Cores * 1000))
}

// New returns an instance that has not been started.
func New(s *settings.Settings, logger log.Interface, opts ...Option) *Daemon {
	clock := timeline.NewClock(time.Now)
	store := platform.NewStore(s.Store.Address)
	d := &Daemon{settings: s, logger: logger, startedAt: time.Now(), recorder: timeline.NewRecorder(s.Instance.ID, clock), changeLog: newChangeLog(logger)}
	for _, opt := range opts {
		opt(d)
	}
	d.pauses = newPauses(bootTime)
	d.scheduling = newSchedulingDelay(logger)
	d.limits = newConnectionLimits(fileLimit(), s.Callers.MaxConnections)
	if d.limits.callers < s.Callers.MaxConnections {
		logger.WithField("max_connections", s.Callers.MaxConnections).WithField("limit", d.limits.callers).
			Warn("fewer connections are accepted than configured, as file descriptors are limited")
	}
	d.peerClient = newPeerClient()
	d.members = membership.NewDirectory(membership.Instance{
		ID: s.Instance.ID, Zone: s.Instance.Zone, Incarnation: time.Now().UnixMilli(),
		CallerAddress: s.Callers.Listen, PeerAddress: s.Peers.Listen, AdminAddress: s.Admin.Listen,
		Millicores: millicores(s.Instance),
	}, membership.WithOnChange(d.onMembersChanged))
	d.selector = entry.NewSelector(d.members, entry.WithSilence(d.members.Silence))
	d.targets = targets.NewDirectory(targets.WithOnChange(d.onTargetsChanged))
	d.table = routing.NewTable(d.routingSettings(s), d.targets, routing.WithLogger(logger), routing.WithPoolFactory(d.newTargetPool),
		routing.WithLimitSharing(entry.NewLimitSharing(d.members, time.Now)),
		routing.WithColdSharing(entry.NewColdSharing(d.members, time.Now)),
		routing.WithOnStatement(func(s targets.Statement) { d.mesh.BroadcastStatement(s) }))
	d.evacuations = evacuation.NewSet(evacuation.WithOnChange(d.onEvacuation))
	d.quotas, d.quotasChanged = limits.NewQuotas(quotaLimits(s), time.Now), make(chan struct{}, 1)
	d.crashes = crashes.NewLedger(crashes.WithOnChange(d.onCrashRecord))
	d.mesh = peer.NewMesh(d.members, clock, peer.WithLogger(logger), peer.WithCrashLedger(d.crashes), peer.WithEvacuations(d.evacuations), peer.WithOnStatements(d.table.ApplyStatements),
		peer.WithOnTargetUpdate(d.onTargetUpdate), peer.WithOnDemands(d.quotas.Record), peer.WithSeeds(seedAddresses(s)), peer.WithActive(d.selector.IsActive),
		peer.WithOnStartNotice(d.onStartNotice))
	d.starter.Daemon = d
	d.joiner = d.newJoiner()
	d.targetFollower = registry.NewTargetFollower(store, d.targets, d.mesh, d.members.Rank, d.members.ReadOrder, d.recordTargetChange,
		d.onRegistryRecovered, logger, registry.WithOnRestored(d.onStoreRestored))
	d.configFollower = registry.NewConfigFollower(store, registry.ReadRole{
		IsReader: d.targetFollower.IsReader, StoreFailing: d.targetFollower.Failing, Rank: d.members.Rank, ReadOrder: d.members.ReadOrder,
	}, d.fetchConfig, logger, d.applyConfig, registry.WithEvacuations(d.evacuations))
	d.registrar = registry.NewRegistrar(store, d.members, logger, registry.WithStoreEra(d.targetFollower.Era))
	d.freshness = newFreshness(d.targetFollower, d.configFollower, s.Budgets.DrainDelay, d.recordSuspension)
	d.startGate = startup.NewGate()
	d.relay = relay.NewServer(d.configFollower, d.table, relay.WithStartGate(d.startGate), relay.WithRecorder(d.recorder), relay.WithLogger(logger),
		relay.WithFreshness(d.freshness), relay.WithConnectionLimits(d.limits.callers, d.limits.peers), relay.WithCrashLedger(d.crashes), relay.WithPeers(d.selector), relay.WithQuotas(d.quotas),
		relay.WithMemory(newMemory(s, requestMemoryFraction), newMemory(s, responseMemoryFraction)))
	d.entryServer = relay.NewEntryServer(d.selector, s.Callers.EntryTTL, d.ready, logger)
	d.admin = admin.NewServer(d, d.recorder, s.Admin.Token, logger)
	return d
}

func (d *Daemon) newTargetPool(destination upstream.Destination, limit int) *upstream.Pool {
	if d.targetDial == nil {
		return upstream.NewPool(destination, limit)
	}
	return upstream.NewPool(destination, limit, upstream.WithDial(d.targetDial))
}

func (d *Daemon) routingSettings(s *settings.Settings) routing.Settings {
	return routing.Settings{
		Zone: s.Instance.Zone,
		Retries: limits.RetryLimits{
			Ratio: s.Budgets.RetryRatio, Slack: s.Budgets.RetrySlack, Window: s.Budgets.RetryWindow, Since: d.startedAt,
		},
		Cold:            routing.ColdLimits{Overage: s.Budgets.ColdOverage, Slack: s.Budgets.ColdSlack},
		ProbesPerSecond: s.Budgets.ProbesPerSecond,
	}
}

func newMemory(s *settings.Settings, fraction float64) *bodies.Memory {
	return bodies.NewMemory(int(fraction * float64(s.Instance.Memory)))
}

// seedAddresses returns the seeds with the peer port of this instance, which all
// instances share.
func seedAddresses(s *settings.Settings) []netip.AddrPort {
	seeds := make([]netip.AddrPort, 0, len(s.Peers.Seeds))
	for _, seed := range s.Peers.Seeds {
		seeds = append(seeds, netip.AddrPortFrom(seed.Addr(), s.Peers.Listen.Port()))
	}
	return seeds
}

// applyConfig activates a new configuration version. An instance that reads the
// target registry sends the version along with its target updates. Otherwise, an
// instance that watches the store for new versions announces the version to all
// zones, and any other active instance announces it to the local zone.
func (d *Daemon) applyConfig(document *config.Document) {
	d.table.Update(document.Services)
	d.setQuotas(document)
	d.relay.ResetTrafficSplits()
	d.relay.LogUnmetLimits(document)
	d.members.SetConfigVersion(document.Version)
	switch {
	case d.targetFollower.IsReader():
		d.targetFollower.Refresh() // the resulting target updates carry the version
	case d.configFollower.IsWatcher() || d.selector.IsActive():
		d.mesh.AnnounceVersion(d.configFollower.IsWatcher())
	}
	d.recorder.Record(timeline.Event{Kind: timeline.ConfigInForce, Version: document.Version})
}

func (d *Daemon) onTargetsChanged(service string) { d.table.RefreshTargets(service) }

// recordTargetChange records and logs that a target registered, started to drain
// or was removed.
func (d *Daemon) recordTargetChange(change targets.Change, source string) {
	kind, state := timeline.TargetLeaving, "gone"
	event := timeline.Event{Target: change.ID}
	if t := change.Target; t != nil {
		event.Service, state = t.Service, "draining"
		if t.State == targets.Ready {
			kind, state = timeline.TargetReady, "ready"
		}
	}
	event.Kind, event.Detail = kind, state
	d.recorder.Record(event)
	d.changeLog.addTarget(change, source)
}

// onRegistryRecovered reads the configuration again after an outage of the target
// registry, as a new version may have been published during it.
func (d *Daemon) onRegistryRecovered() {
	d.configFollower.Refresh()
	d.configFollower.Wake()
}

// onStoreRestored reads the configuration again, as a version may have been published
// at an offset that was read before.
func (d *Daemon) onStoreRestored() { d.configFollower.RecordRestoration() }

func (d *Daemon) onMembersChanged() {
	counts := routing.InstanceCounts{Known: d.members.Count(), Active: d.selector.ActiveCount()}
	if d.table.SetInstanceCounts(counts) {
		d.changeLog.setInstanceCounts(counts)
	}
}

// recordSuspension records and logs that the machine was suspended.
func (d *Daemon) recordSuspension(suspension time.Duration) {
	d.recorder.Record(timeline.Event{Kind: timeline.InstanceStale, Detail: suspension.String()})
	d.logger.WithField("pause", suspension.String()).Warn("machine was suspended; state is refreshed before use")
}

// onCrashRecord tells the other instances of a crash record that this one has changed.
func (d *Daemon) onCrashRecord(record crashes.Record) {
	d.mesh.BroadcastCrash(record)
	if len(record.Targets) >= crashes.MaxCrashes {
		d.logger.WithField("fingerprint", record.Fingerprint.String()).Error("request ends targets and is sent to none any more")
	}
}

func (d *Daemon) onTargetUpdate(update peer.TargetUpdate) {
	d.targetFollower.ApplyUpdate(update)
	d.configFollower.RecordPeerVersion(update.ConfigVersion)
}

// onStartNotice receives a notice of an instance that reads its state from the store.
func (d *Daemon) onStartNotice(sender membership.Instance, notice peer.StartNotice) {
	d.joiner.RecordNotice(sender, notice)
}

// ready reports whether the instance accepts callers.
func (d *Daemon) ready() bool { return d.members.Self().State == membership.Ready }

// loaded reports whether configuration and targets are known.
func (d *Daemon) loaded() bool { return d.configFollower.Current() != nil && d.targets.Loaded() }

// Status returns the state of the instance for operators.
func (d *Daemon) Status() admin.Status {
	status := admin.Status{
		ID: d.settings.Instance.ID, Zone: d.settings.Instance.Zone, Ready: d.ready(),
		Targets: d.targets.Count(), TargetAge: d.targetFollower.Age(),
		StoreFailing: d.targetFollower.Failing() || d.configFollower.Failing(), InProgress: d.relay.InProgress(),
		Evacuated: d.evacuatedZones(),
	}
	if document := d.configFollower.Current(); document != nil {
		status.ConfigVersion = document.Version
	}
	status.Tenants = d.tenantStatus()
	for _, in := range d.members.Ready() {
		status.Instances = append(status.Instances, in.ID)
	}
	return status
}

// RawConfig returns the active configuration as it was published.
func (d *Daemon) RawConfig() []byte { return d.configFollower.Raw() }

// CompressedConfig returns the active configuration compressed with gzip.
func (d *Daemon) CompressedConfig() []byte { return d.configFollower.Compressed() }
