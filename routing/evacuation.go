package routing

import (
	"fmt"
	"time"

	"rhubarbrelay/targets"
)

// ErrEvacuated means that all targets of the service are in evacuated zones. It wraps
// ErrNoTarget.
var ErrEvacuated = fmt.Errorf("%w: the zones of all targets are evacuated", ErrNoTarget)

// reopenSpread is the time over which the targets of a zone are used again after its
// evacuation, each from a random time on. Otherwise all instances would open connections
// to all of them at once.
const reopenSpread = time.Second

// SetEvacuated sets the zones whose targets get no requests.
func (t *Table) SetEvacuated(zones []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evacuated = zones
	for _, d := range t.dispatchers {
		d.SetEvacuated(zones)
	}
}

// SetEvacuated sets the zones whose targets get no requests. Requests in progress there
// continue, and waiting ones look for another target.
func (d *Dispatcher) SetEvacuated(zones []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evacuated = make(map[string]bool, len(zones))
	for _, zone := range zones {
		d.evacuated[zone] = true
	}
	before := d.readyCapacity()
	d.applyEvacuations()
	if after := d.readyCapacity(); after < before {
		// The recent throughput is not reached without the evacuated targets.
		d.throughput *= float64(after) / float64(before)
	}
	d.queue.wakeScanners()
}

// applyEvacuations closes the idle connections to targets in zones that are evacuated
// now, and makes those of zones that no longer are usable again. The caller must hold
// d.mu.
func (d *Dispatcher) applyEvacuations() {
	now := d.clock()
	for incarnation, t := range d.targets {
		if t.evacuated == d.evacuated[t.info.Zone] {
			continue
		}
		t.evacuated = !t.evacuated
		t.pool.SetReuse(!t.evacuated)
		if t.evacuated {
			d.reach.Forget(incarnation)
			continue
		}
		t.cold.assumed, t.cold.confirmedAt = true, time.Time{}
		if opens := now.Add(time.Duration(d.random.Float64() * float64(reopenSpread))); opens.After(t.backoffUntil) {
			t.backoffUntil = opens
		}
	}
	d.remoteDependent = d.dependsOnRemoteZones()
}

// readyCapacity returns the number of requests that the targets in service run at a time.
// The caller must hold d.mu.
func (d *Dispatcher) readyCapacity() int {
	capacity := 0
	for _, t := range d.targets {
		if t.inService() {
			capacity += t.capacity()
		}
	}
	return capacity
}

// onlyEvacuated reports whether all ready targets are in evacuated zones, and there is
// one.
func (d *Dispatcher) onlyEvacuated() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.evacuated) == 0 {
		return false
	}
	found := false
	for _, t := range d.targets {
		if t.inService() {
			return false
		}
		found = found || t.evacuated && t.info.State == targets.Ready
	}
	return found
}
