package routing

import (
	"sync"

	"rhubarbrelay/config"
)

// Table holds the dispatcher of each service of a fleet.
type Table struct {
	mu          sync.RWMutex
	dispatchers map[string]*Dispatcher
}

// NewTable returns a table without services.
func NewTable() *Table { return &Table{dispatchers: map[string]*Dispatcher{}} }

// Update makes the table match the fleet.
func (t *Table) Update(fleet *config.Fleet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]*Dispatcher, len(fleet.Services))
	for name, service := range fleet.Services {
		d, ok := t.dispatchers[name]
		if ok {
			d.Update(service)
		} else {
			d = NewDispatcher(service)
		}
		next[name] = d
	}
	t.dispatchers = next
}

// Dispatcher returns the dispatcher of the service, nil when there is none.
func (t *Table) Dispatcher(service string) *Dispatcher {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.dispatchers[service]
}
