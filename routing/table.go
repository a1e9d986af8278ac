package routing

import (
	"sync"

	"rhubarbrelay/config"
)

// Table holds the dispatcher of each service of a fleet.
type Table struct {
	mu          sync.RWMutex
	dispatchers map[string]*Dispatcher
	options     []Option
}

// NewTable returns a table without services. The options apply to each of its
// dispatchers.
func NewTable(opts ...Option) *Table {
	return &Table{dispatchers: map[string]*Dispatcher{}, options: opts}
}

// Update makes the table match the fleet. Requests that wait for a service
// that is gone are refused with ErrNoTarget.
func (t *Table) Update(fleet *config.Fleet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]*Dispatcher, len(fleet.Services))
	for name, service := range fleet.Services {
		d, ok := t.dispatchers[name]
		if ok {
			d.Update(service)
		} else {
			d = NewDispatcher(service, t.options...)
		}
		next[name] = d
	}
	for name, d := range t.dispatchers {
		if _, ok := next[name]; !ok {
			d.Update(config.NewService(name))
		}
	}
	t.dispatchers = next
}

// Dispatcher returns the dispatcher of the service, nil when there is none.
func (t *Table) Dispatcher(service string) *Dispatcher {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.dispatchers[service]
}
