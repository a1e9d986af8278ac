package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/admin"
	"rhubarbrelay/config"
	"rhubarbrelay/configlog"
	"rhubarbrelay/timeline"
)

// fakeLog is the configuration that all fake instances of a test share. It
// accepts a change if its base is the scope's version, as the fold does.
type fakeLog struct {
	mu        sync.Mutex
	next      config.Version
	versions  map[string]config.Version
	documents map[string]admin.Document
	drained   map[string]bool
}

func newFakeLog() *fakeLog {
	return &fakeLog{
		versions: map[string]config.Version{}, documents: map[string]admin.Document{},
		drained: map[string]bool{},
	}
}

func (l *fakeLog) apply(c configlog.Change) (config.Version, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current, ok := l.versions[c.Scope]
	if !ok {
		current = config.NoVersion
	}
	if c.Base != current {
		return 0, configlog.ErrConflict
	}
	version := l.next
	l.next++
	l.versions[c.Scope] = version
	name := c.Scope[strings.Index(c.Scope, "/")+1:]
	d := l.documents[name]
	d.Service, d.Version, d.Author, d.ChangeID = name, version, c.Author, c.ID
	d.Changed = time.Unix(int64(version), 0).UTC()
	switch c.Kind {
	case configlog.PutService:
		d.Text = string(c.Body)
	case configlog.DeleteService:
		d.Text, d.DrainedTargets = "", nil
	case configlog.DrainTarget:
		d.DrainedTargets = append(slices.Clone(d.DrainedTargets), string(c.Body))
	case configlog.UndrainTarget:
		d.DrainedTargets = slices.DeleteFunc(slices.Clone(d.DrainedTargets), func(t string) bool { return t == string(c.Body) })
	case configlog.DrainInstance, configlog.UndrainInstance:
		l.drained[name] = c.Kind == configlog.DrainInstance
		return version, nil
	}
	l.documents[name] = d
	return version, nil
}

// fakeInstance is one instance that tests make fail.
type fakeInstance struct {
	log     *fakeLog
	address netip.AddrPort
	id      string
	state   admin.InstanceState
	peers   []*fakeInstance
	events  *timeline.Recorder
	// before runs before a change is applied, for races.
	before func(c configlog.Change)
	// loseAnswer applies the change and reports it as uncertain.
	loseAnswer bool
	// refuse is returned instead of applying the change.
	refuse error
	// lagging keeps the versions of the scopes from being reported.
	lagging bool
}

// startFleet starts instances that share a log and know each other.
func startFleet(t *testing.T, l *fakeLog, ids ...string) []*fakeInstance {
	t.Helper()
	all := make([]*fakeInstance, 0, len(ids))
	for i, id := range ids {
		skew := time.Duration(i) * time.Hour / 4
		clock := timeline.NewClock(func() time.Time { return time.UnixMilli(1_000_000).Add(-skew) })
		all = append(all, &fakeInstance{log: l, id: id, state: admin.InstanceLive, events: timeline.NewRecorder(id, clock)})
	}
	for _, f := range all {
		f.peers = all
		server := admin.NewServer(f, f, admin.WithInstance(f), admin.WithDocuments(f), admin.WithEvents(f.events))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		f.address = netip.MustParseAddrPort(listener.Addr().String())
		done := make(chan error, 1)
		go func() { done <- server.Serve(listener) }()
		t.Cleanup(func() {
			assert.Check(t, server.Shutdown(context.Background()))
			assert.Check(t, <-done)
		})
	}
	return all
}

func (f *fakeInstance) Publish(_ context.Context, c configlog.Change) (configlog.Result, error) {
	if f.before != nil {
		f.before(c)
	}
	if f.refuse != nil {
		return configlog.Result{}, f.refuse
	}
	version, err := f.log.apply(c)
	if err == nil && f.loseAnswer {
		err = configlog.ErrUncertain
	}
	return configlog.Result{Version: version}, err
}

func (f *fakeInstance) Fleet() *config.Fleet {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	fleet := config.NewFleet()
	if f.lagging {
		return fleet
	}
	fleet.Version = f.log.next - 1
	fleet.ScopeVersions = maps.Clone(f.log.versions)
	fleet.DrainedInstances = maps.Clone(f.log.drained)
	for name, d := range f.log.documents {
		if services, err := config.ParseDocument([]byte(d.Text)); err == nil && len(services) == 1 {
			fleet.Services[name] = services[0]
		}
	}
	return fleet
}

func (f *fakeInstance) Document(service string) (admin.Document, bool) {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	d, ok := f.log.documents[service]
	return d, ok && d.Text != ""
}

func (f *fakeInstance) Status() admin.Status {
	s := admin.Status{ID: f.id, Zone: "mid-a", State: f.state, Incarnation: 1, Ready: true}
	for _, p := range f.peers {
		s.Instances = append(s.Instances, admin.InstanceStatus{ID: p.id, Zone: "mid-a", State: p.state, AdminAddress: p.address})
	}
	s.Services = []admin.ServiceStatus{{
		Name: "spoolkeep", MaxQueue: 512,
		Targets: []admin.TargetStatus{
			{Name: "sk-01", Address: netip.MustParseAddrPort("127.0.0.1:9000"), State: admin.TargetReady, Limit: 4, Slots: 4},
			{Name: "sk-02", Address: netip.MustParseAddrPort("127.0.0.1:9001"), State: admin.TargetEjected, Reason: "fails fast", Limit: 4, Slots: 4},
		},
	}}
	return s
}

// addresses returns the --admin value of the instances.
func addresses(fleet []*fakeInstance) string {
	all := make([]string, 0, len(fleet))
	for _, f := range fleet {
		all = append(all, f.address.String())
	}
	return strings.Join(all, ",")
}

var errBroken = errors.New("broken")

// change returns a change by another operator on the current version.
func (l *fakeLog) change(kind configlog.Kind, scope, body string) {
	l.mu.Lock()
	base, ok := l.versions[scope]
	if !ok {
		base = config.NoVersion
	}
	l.mu.Unlock()
	_, err := l.apply(configlog.Change{
		ID: fmt.Sprintf("other-%d", base), Scope: scope, Base: base, Kind: kind, Author: "mina", Body: []byte(body),
	})
	if err != nil {
		panic(err)
	}
}

// unusedAddress returns an address on which nothing listens.
func unusedAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, l.Close()) }()
	return netip.MustParseAddrPort(l.Addr().String())
}
