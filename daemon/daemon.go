// Package daemon assembles an instance from its settings, runs it and shuts it
// down gracefully.
package daemon

import (
	"net/netip"
	"time"

	"github.com/apex/log"

	"rhubarbrelay/admin"
	"rhubarbrelay/config"
	"rhubarbrelay/entry"
	"rhubarbrelay/limits"
	"rhubarbrelay/membership"
	"rhubarbrelay/peer"
	"rhubarbrelay/platform"
	"rhubarbrelay/registry"
	"rhubarbrelay/relay"
	"rhubarbrelay/routing"
	"rhubarbrelay/settings"
	"rhubarbrelay/targets"
	"rhubarbrelay/timeline"
)

// Daemon is one running instance with all its components.
type Daemon struct {
	settings    *settings.Settings
	logger      log.Interface
	recorder    *timeline.Recorder
	members     *membership.Directory
	selector    *entry.Selector
	mesh        *peer.Mesh
	targets     *targets.Directory
	table       *routing.Table
	config      *registry.ConfigFollower
	registry    *registry.TargetFollower
	registrar   *registry.Registrar
	freshness   *freshness
	relay       *relay.Server
	entryServer *relay.EntryServer
	admin       *admin.Server
}

// New returns an instance that has not been started.
func New(s *settings.Settings, logger log.Interface) *Daemon {
	clock := timeline.NewClock(time.Now)
	store := platform.NewStore(s.Store.Address)
	d := &Daemon{settings: s, logger: logger, recorder: timeline.NewRecorder(s.Instance.ID, clock)}
	d.targets = targets.NewDirectory(targets.WithOnChange(d.onTargetsChanged))
	d.table = routing.NewTable(routingSettings(s), d.targets)
	d.members = membership.NewDirectory(membership.Instance{
		ID: s.Instance.ID, Zone: s.Instance.Zone, Incarnation: time.Now().UnixMilli(),
		CallerAddress: s.Callers.Listen, PeerAddress: s.Peers.Listen, AdminAddress: s.Admin.Listen,
	}, membership.WithOnChange(d.onMembersChanged))
	d.selector = entry.NewSelector(d.members)
	d.mesh = peer.NewMesh(d.members, clock, peer.WithLogger(logger),
		peer.WithOnTargetUpdate(d.onTargetUpdate), peer.WithSeeds(seedAddresses(s)), peer.WithActive(d.selector.IsActive))
	d.registry = registry.NewTargetFollower(store, d.targets, d.mesh, d.members.Rank, d.members.ReadOrder, d.recordTargetChange,
		d.onRegistryRecovered, logger)
	d.config = registry.NewConfigFollower(store, registry.ReadRole{
		IsReader: d.registry.IsReader, StoreFailing: d.registry.Failing, Rank: d.members.Rank, ReadOrder: d.members.ReadOrder,
	}, d.fetchConfig, logger, d.applyConfig)
	d.registrar = registry.NewRegistrar(store, d.members, logger)
	d.freshness = newFreshness(d.registry, d.config, s.Budgets.DrainDelay, d.recordPause)
	d.relay = relay.NewServer(d.config, d.table, relay.WithRecorder(d.recorder), relay.WithLogger(logger),
		relay.WithFreshness(d.freshness), relay.WithMaxConnections(s.Callers.MaxConnections))
	d.entryServer = relay.NewEntryServer(d.selector, s.Callers.EntryTTL, d.ready, logger)
	d.admin = admin.NewServer(d, d.recorder, s.Admin.Token, logger)
	return d
}

func routingSettings(s *settings.Settings) routing.Settings {
	return routing.Settings{
		Zone: s.Instance.Zone,
		Retries: limits.RetryLimits{
			Ratio: s.Budgets.RetryRatio, Slack: s.Budgets.RetrySlack, Window: s.Budgets.RetryWindow,
		},
		ProbesPerSecond: s.Budgets.ProbesPerSecond,
	}
}

// seedAddresses returns the peer addresses of the seeds. All instances use the
// same peer port.
func seedAddresses(s *settings.Settings) []netip.AddrPort {
	seeds := make([]netip.AddrPort, 0, len(s.Peers.Seeds))
	for _, seed := range s.Peers.Seeds {
		seeds = append(seeds, netip.AddrPortFrom(seed.Addr(), s.Peers.Listen.Port()))
	}
	return seeds
}

// applyConfig activates a new configuration version. An instance that reads the
// registry sends the version along with its target updates. Of the others, those
// that watch the store announce it to all zones, active ones to their own zone.
func (d *Daemon) applyConfig(document *config.Document) {
	d.table.Update(document.Services)
	d.relay.ResetTrafficSplits()
	d.members.SetConfigVersion(document.Version)
	switch {
	case d.registry.IsReader():
		d.registry.Refresh() // the resulting target updates carry the version
	case d.config.IsWatcher() || d.selector.IsActive():
		d.mesh.AnnounceVersion(d.config.IsWatcher())
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
	d.logger.WithField("target", change.ID).WithField("service", event.Service).WithField("state", state).
		WithField("source", source).Info("target changed its state")
}

// onRegistryRecovered reads the configuration again once the registry is readable
// after an outage, as it may have changed in the meantime.
func (d *Daemon) onRegistryRecovered() {
	d.config.Refresh()
	d.config.Wake()
}

func (d *Daemon) onMembersChanged() {
	sharing := routing.InstanceCounts{Known: d.members.Count(), Active: d.selector.ActiveCount()}
	if d.table.SetInstanceCounts(sharing) {
		d.logger.WithField("known", sharing.Known).WithField("active", sharing.Active).Info("number of instances changed")
	}
}

// recordPause records and logs that the process was paused.
func (d *Daemon) recordPause(pause time.Duration) {
	d.recorder.Record(timeline.Event{Kind: timeline.InstanceStale, Detail: pause.String()})
	d.logger.WithField("pause", pause.String()).Warn("process was paused; state is refreshed before use")
}

func (d *Daemon) onTargetUpdate(update peer.TargetUpdate) {
	d.registry.ApplyUpdate(update)
	d.config.RecordPeerVersion(update.ConfigVersion)
}

// ready returns whether the instance accepts callers.
func (d *Daemon) ready() bool { return d.members.Self().State == membership.Ready }

// Status returns the state of the instance for operators.
func (d *Daemon) Status() admin.Status {
	status := admin.Status{
		ID: d.settings.Instance.ID, Zone: d.settings.Instance.Zone, Ready: d.ready(),
		Targets: d.targets.Count(), TargetAge: d.registry.Age(),
		StoreFailing: d.registry.Failing() || d.config.Failing(), InProgress: d.relay.InProgress(),
	}
	if document := d.config.Current(); document != nil {
		status.ConfigVersion = document.Version
	}
	for _, in := range d.members.Ready() {
		status.Instances = append(status.Instances, in.ID)
	}
	return status
}

// RawConfig returns the active configuration as it was published.
func (d *Daemon) RawConfig() []byte { return d.config.Raw() }
