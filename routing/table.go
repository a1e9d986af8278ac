package routing

import (
	"sync"

	"rhubarbrelay/config"
	"rhubarbrelay/targets"
)

// Registry lists the targets of a service.
type Registry interface {
	ByService(service string) []*targets.Target
}

// Table holds the dispatchers of all services. It is safe for concurrent use.
type Table struct {
	terms    Settings
	registry Registry
	opts     []Option

	mu          sync.RWMutex
	sharing     InstanceCounts
	dispatchers map[string]*Dispatcher
}

// NewTable returns a table without services. The options apply to every
// dispatcher.
func NewTable(terms Settings, registry Registry, opts ...Option) *Table {
	return &Table{terms: terms, registry: registry, opts: opts, sharing: InstanceCounts{Known: 1, Active: 1}, dispatchers: map[string]*Dispatcher{}}
}

// Dispatcher returns the dispatcher of a service, nil when there is none.
func (t *Table) Dispatcher(service string) *Dispatcher {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.dispatchers[service]
}

// Update puts the services of a configuration into force.
func (t *Table) Update(services map[string]*config.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, service := range services {
		d := t.dispatchers[name]
		if d != nil {
			d.Update(service, t.sharing)
			continue
		}
		d = NewDispatcher(service, t.terms, t.sharing, t.opts...)
		d.SetTargets(t.registry.ByService(name))
		t.dispatchers[name] = d
	}
	for name, d := range t.dispatchers {
		if services[name] == nil {
			d.Close()
			delete(t.dispatchers, name)
		}
	}
}

// SetInstanceCounts changes how many instances share the budgets, and returns whether
// that is a change.
func (t *Table) SetInstanceCounts(sharing InstanceCounts) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sharing == t.sharing {
		return false
	}
	t.sharing = sharing
	for _, d := range t.dispatchers {
		d.Update(d.Service(), sharing)
	}
	return true
}

// SetSettings changes the settings of all dispatchers.
func (t *Table) SetSettings(terms Settings) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.terms = terms
	for _, d := range t.dispatchers {
		d.SetSettings(terms)
	}
}

// RefreshTargets reads the targets of a service anew.
func (t *Table) RefreshTargets(service string) {
	if d := t.Dispatcher(service); d != nil {
		d.SetTargets(t.registry.ByService(service))
	}
}

// Stats returns the counters of every service.
func (t *Table) Stats() map[string]Stats {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make(map[string]Stats, len(t.dispatchers))
	for name, d := range t.dispatchers {
		all[name] = d.Stats()
	}
	return all
}
