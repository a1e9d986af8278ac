// Package daemon builds one instance from its settings, runs it and stops it
// gracefully.
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

// Daemon is one instance of the system.
type Daemon struct {
	settings  *settings.Settings
	logger    log.Interface
	recorder  *timeline.Recorder
	members   *membership.Directory
	selector  *entry.Selector
	mesh      *peer.Mesh
	targets   *targets.Directory
	table     *routing.Table
	config    *registry.ConfigFollower
	registry  *registry.TargetFollower
	announcer *registry.Announcer
	freshness *freshness
	relay     *relay.Server
	desk      *relay.EntryServer
	admin     *admin.Server
}

// New returns an instance that is not yet running.
func New(s *settings.Settings, logger log.Interface) *Daemon {
	clock := timeline.NewClock(time.Now)
	store := platform.NewStore(s.Store.Address)
	d := &Daemon{settings: s, logger: logger, recorder: timeline.NewRecorder(s.Instance.ID, clock)}
	d.targets = targets.NewDirectory(targets.WithOnChange(d.noteTargets))
	d.table = routing.NewTable(termsOf(s), d.targets)
	d.members = membership.NewDirectory(membership.Instance{
		ID: s.Instance.ID, Zone: s.Instance.Zone, Incarnation: time.Now().UnixMilli(),
		CallerAddress: s.Callers.Listen, PeerAddress: s.Peers.Listen, AdminAddress: s.Admin.Listen,
	}, membership.WithOnChange(d.noteMembers))
	d.selector = entry.NewSelector(d.members)
	d.mesh = peer.NewMesh(d.members, clock, peer.WithLogger(logger),
		peer.WithOnNews(d.hearNews), peer.WithSeeds(seedsOf(s)), peer.WithActive(d.selector.IsActive))
	d.registry = registry.NewTargetFollower(store, d.targets, d.mesh, d.members.Rank, d.members.ReadOrder, d.noteTarget,
		d.noteReturn, logger)
	d.config = registry.NewConfigFollower(store, registry.Place{
		Reads: d.registry.Reads, Away: d.registry.Failing, Rank: d.members.Rank, Order: d.members.ReadOrder,
	}, d.fetchConfig, logger, d.applyConfig)
	d.announcer = registry.NewAnnouncer(store, d.members, logger)
	d.freshness = newFreshness(d.registry, d.config, s.Budgets.DrainDelay, d.notePause)
	d.relay = relay.NewServer(d.config, d.table, relay.WithRecorder(d.recorder), relay.WithLogger(logger),
		relay.WithFreshness(d.freshness), relay.WithMaxConnections(s.Callers.MaxConnections))
	d.desk = relay.NewEntryServer(d.selector, s.Callers.EntryTTL, d.ready, logger)
	d.admin = admin.NewServer(d, d.recorder, s.Admin.Token, logger)
	return d
}

func termsOf(s *settings.Settings) routing.Settings {
	return routing.Settings{
		Zone: s.Instance.Zone,
		Retries: limits.RetryLimits{
			Ratio: s.Budgets.RetryRatio, Slack: s.Budgets.RetrySlack, Window: s.Budgets.RetryWindow,
		},
		ProbesPerSecond: s.Budgets.ProbesPerSecond,
	}
}

// seedsOf returns where the seeds listen for instances: on the port of this one.
func seedsOf(s *settings.Settings) []netip.AddrPort {
	seeds := make([]netip.AddrPort, 0, len(s.Peers.Seeds))
	for _, seed := range s.Peers.Seeds {
		seeds = append(seeds, netip.AddrPortFrom(seed.Addr(), s.Peers.Listen.Port()))
	}
	return seeds
}

// applyConfig puts a new version into force. An instance that waits at the store
// for new versions tells the others of it, one that passes news on its zone.
func (d *Daemon) applyConfig(document *config.Document) {
	d.table.Update(document.Services)
	d.relay.ResetTrafficSplits()
	d.members.SetConfigVersion(document.Version)
	switch {
	case d.registry.Reads():
		d.registry.Refresh() // its news tell the others of the version
	case d.config.Watches() || d.selector.IsActive():
		d.mesh.AnnounceVersion(d.config.Watches())
	}
	d.recorder.Record(timeline.Event{Kind: timeline.ConfigInForce, Version: document.Version})
}

func (d *Daemon) noteTargets(service string) { d.table.RefreshTargets(service) }

// noteTarget records that a target registered itself, leaves or is gone.
func (d *Daemon) noteTarget(change targets.Change, source string) {
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

// noteReturn is called when the registry can be read again: the configuration
// may have changed meanwhile.
func (d *Daemon) noteReturn() {
	d.config.Refresh()
	d.config.Wake()
}

func (d *Daemon) noteMembers() {
	sharing := routing.InstanceCounts{Known: d.members.Count(), Active: d.selector.ActiveCount()}
	if d.table.SetInstanceCounts(sharing) {
		d.logger.WithField("known", sharing.Known).WithField("active", sharing.Active).Info("number of instances changed")
	}
}

// notePause records that the process was paused.
func (d *Daemon) notePause(pause time.Duration) {
	d.recorder.Record(timeline.Event{Kind: timeline.InstanceStale, Detail: pause.String()})
	d.logger.WithField("pause", pause.String()).Warn("process was paused, state is read again before it is used")
}

func (d *Daemon) hearNews(news peer.News) {
	d.registry.HearNews(news)
	d.config.Hint(news.Version)
}

// ready returns whether the instance takes callers.
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

// RawConfig returns the configuration in force as it was published.
func (d *Daemon) RawConfig() []byte { return d.config.Raw() }
