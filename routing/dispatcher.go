package routing

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"rhubarbrelay/config"
	"rhubarbrelay/limits"
)

// reviewInterval is the time between two looks at a queue that no release
// serves: estimates that keep a target from being chosen age with time.
const reviewInterval = time.Millisecond

// Dispatcher gives a service's requests to its targets. It is safe for
// concurrent use; each dispatcher has a lock of its own and holds it only for
// a decision, never while a request waits.
type Dispatcher struct {
	clock    func() time.Time
	recorder Recorder
	share    *limits.Share
	retries  *limits.RetryBudget

	mu         sync.Mutex
	random     *rand.Rand
	service    *config.Service
	baseline   chooser
	targets    []*target
	byAddress  map[netip.AddrPort]*target // removed ones too, while in use
	leaving    map[netip.AddrPort]bool
	available  []*target
	free       []*target // available, with room below the limit
	ejected    []*target
	slots      int // of available targets
	inFlight   int
	longHeld   int
	queue      queue
	generation uint64 // of the configured targets
	durations  durations
	reports    reportTrust
	reviewing  bool
	stats      Stats
}

// NewDispatcher returns the dispatcher of a service.
func NewDispatcher(service *config.Service, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		clock:     time.Now,
		retries:   limits.NewRetryBudget(service.RetryPercent),
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		service:   service,
		byAddress: map[netip.AddrPort]*target{},
		leaving:   map[netip.AddrPort]bool{},
		durations: newDurations(),
	}
	for _, opt := range opts {
		opt(d)
	}
	d.update(service, false)
	return d
}

// Update puts a new version of the service into force. Slots already given
// stay valid, and waiting requests wait for the new targets.
func (d *Dispatcher) Update(service *config.Service) { d.update(service, true) }

func (d *Dispatcher) update(service *config.Service, running bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !running || service.Policy != d.service.Policy {
		d.baseline = newChooser(service.Policy)
	}
	d.service = service
	d.retries.SetPercent(service.RetryPercent)
	previous := d.targets
	d.generation++
	d.targets = make([]*target, 0, len(service.Targets))
	for _, c := range service.Targets {
		d.put(c, running)
	}
	for _, t := range previous {
		if t.generation != d.generation {
			d.retire(t)
		}
	}
	d.rebuild()
}

// put adds a configured target, with the state that it already has.
func (d *Dispatcher) put(c config.Target, running bool) {
	t, known := d.byAddress[c.Address]
	if !known {
		t = newTarget(c)
		d.byAddress[c.Address] = t
	}
	if t.generation == d.generation {
		return
	}
	returned := !known || t.removed || t.config.Drained && !c.Drained
	t.generation = d.generation
	t.removed = false
	t.leaving = d.leaving[c.Address]
	t.config = c
	t.concurrency.SetSlots(max(1, c.Slots))
	if running && returned {
		t.concurrency.Restart(d.clock())
	}
	d.targets = append(d.targets, t)
}

// retire takes a target out of the service. Its state stays while requests are
// in flight, so that they count when the target comes back.
func (d *Dispatcher) retire(t *target) {
	t.removed = true
	if len(t.slots) == 0 {
		delete(d.byAddress, t.address())
	}
}

// SetLeaving says whether the target leaves the fleet. A leaving target gets
// no new work.
func (d *Dispatcher) SetLeaving(address netip.AddrPort, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving[address] == leaving {
		return
	}
	if leaving {
		d.leaving[address] = true
	} else {
		delete(d.leaving, address)
	}
	t, ok := d.byAddress[address]
	if !ok || t.removed {
		return
	}
	t.leaving = leaving
	if !leaving {
		t.concurrency.Restart(d.clock())
	}
	d.rebuild()
}

// rebuild lists the targets that may get work, after a change of them.
func (d *Dispatcher) rebuild() {
	for _, t := range d.free {
		t.index = -1
	}
	d.free = d.free[:0]
	d.available = d.available[:0]
	d.ejected = d.ejected[:0]
	d.slots = 0
	for _, t := range d.targets {
		if !t.available() {
			continue
		}
		d.available = append(d.available, t)
		d.slots += t.config.Slots
		if t.ejection.State() != limits.In {
			d.ejected = append(d.ejected, t)
		}
		d.refresh(t)
	}
	if len(d.available) == 0 {
		d.refuseWaiting(ErrNoTarget)
	}
	d.pump(d.clock())
}

// refresh puts the target into the list of free targets or takes it out.
func (d *Dispatcher) refresh(t *target) {
	free := t.available() && len(t.slots) < t.limit()
	switch {
	case free && t.index < 0:
		t.index = len(d.free)
		d.free = append(d.free, t)
	case !free && t.index >= 0:
		last := len(d.free) - 1
		d.free[t.index] = d.free[last]
		d.free[t.index].index = t.index
		d.free[last] = nil
		d.free = d.free[:last]
		t.index = -1
	}
}

// AllowRetry returns whether the retry budget of the service allows one more
// attempt, and takes it from the budget if so.
func (d *Dispatcher) AllowRetry() bool {
	allowed := d.retries.Allow()
	d.mu.Lock()
	defer d.mu.Unlock()
	if allowed {
		d.stats.RetriesAllowed++
	} else {
		d.stats.RetriesDenied++
	}
	return allowed
}
