package routing

import (
	"maps"
	"slices"
	"sync"

	"rhubarbrelay/config"
	"rhubarbrelay/targets"
)

// TargetSource provides the targets of a service.
type TargetSource interface {
	ByService(service string) []*targets.Target
}

// Table holds the dispatchers of all services. It is safe for concurrent use.
type Table struct {
	settings Settings
	targets  TargetSource
	opts     []Option

	refresh     sync.Mutex // held from the read of a list until it is applied
	mu          sync.RWMutex
	instances   InstanceCounts
	evacuated   []string // zones whose targets get no requests
	dispatchers map[string]*Dispatcher
}

// NewTable returns a table without services. The options apply to every
// dispatcher.
func NewTable(settings Settings, source TargetSource, opts ...Option) *Table {
	return &Table{settings: settings, targets: source, opts: opts, instances: InstanceCounts{Known: 1, Active: 1}, dispatchers: map[string]*Dispatcher{}}
}

// Dispatcher returns the dispatcher of a service, or nil if there is none.
func (t *Table) Dispatcher(service string) *Dispatcher {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.dispatchers[service]
}

// Dispatchers returns the dispatchers of all services, by name.
func (t *Table) Dispatchers() []*Dispatcher {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]*Dispatcher, 0, len(t.dispatchers))
	for _, name := range slices.Sorted(maps.Keys(t.dispatchers)) {
		all = append(all, t.dispatchers[name])
	}
	return all
}

// Update applies the services of a new configuration.
func (t *Table) Update(services map[string]*config.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, service := range services {
		d := t.dispatchers[name]
		if d != nil {
			d.Update(service, t.instances)
			continue
		}
		d = NewDispatcher(service, t.settings, t.instances, t.opts...)
		d.SetEvacuated(t.evacuated)
		d.SetTargets(t.targets.ByService(name))
		t.dispatchers[name] = d
	}
	for name, d := range t.dispatchers {
		if services[name] == nil {
			d.Close()
			delete(t.dispatchers, name)
		}
	}
}

// SetInstanceCounts sets the instance counts of all dispatchers and reports
// whether they have changed.
func (t *Table) SetInstanceCounts(instances InstanceCounts) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if instances == t.instances {
		return false
	}
	t.instances = instances
	for _, d := range t.dispatchers {
		d.Update(d.Service(), instances)
	}
	return true
}

// SetSettings replaces the settings of all dispatchers.
func (t *Table) SetSettings(settings Settings) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settings = settings
	for _, d := range t.dispatchers {
		d.SetSettings(settings)
	}
}

// ApplyStatements takes over what another instance has heard of targets.
func (t *Table) ApplyStatements(statements []targets.Statement) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, d := range t.dispatchers {
		for _, statement := range statements {
			d.ApplyStatement(statement)
		}
	}
}

// RefreshTargets reloads the targets of a service from the target source. It may be called
// concurrently: the list that is read last is applied last.
func (t *Table) RefreshTargets(service string) {
	t.refresh.Lock()
	defer t.refresh.Unlock()
	if d := t.Dispatcher(service); d != nil {
		d.SetTargets(t.targets.ByService(service))
	}
}

// Stats returns the statistics of every service.
func (t *Table) Stats() map[string]Stats {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make(map[string]Stats, len(t.dispatchers))
	for name, d := range t.dispatchers {
		all[name] = d.Stats()
	}
	return all
}
