// Package health probes the targets that answers say too little about, within
// the measurement budget.
package health

import (
	"context"
	"errors"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/config"
	"rhubarbrelay/header"
	"rhubarbrelay/limits"
	"rhubarbrelay/routing"
	"rhubarbrelay/upstream"
)

const (
	// defaultTick is the time between two looks at the targets. At 100 ms, looking
	// at 1,000 idle targets took 2 % of a core.
	defaultTick = 500 * time.Millisecond
	// defaultTimeout bounds a probe. A target that takes longer counts as dead.
	defaultTimeout = time.Second
	// defaultParallel bounds the probes in progress, so that a rack that is
	// down does not hold a connection for each of its targets.
	defaultParallel = 16
)

// Fleet gives the configuration in force.
type Fleet interface {
	Fleet() *config.Fleet
}

// Dispatchers gives the dispatcher of a service, nil when there is none.
type Dispatchers interface {
	Dispatcher(service string) *routing.Dispatcher
}

// Pools gives the connections to a target, nil when it left the fleet.
type Pools interface {
	Pool(address netip.AddrPort) *upstream.Pool
}

// Targets takes note of what targets say of themselves.
type Targets interface {
	AnnounceTarget(target config.Target, draining bool)
}

// Freshness tells whether the instance's view is fresh. A process that was
// paused must not send to targets before its view is validated.
type Freshness interface {
	Fresh() bool
}

// Prober probes targets without recent traffic, ejected ones and leaving ones.
type Prober struct {
	fleet       Fleet
	dispatchers Dispatchers
	pools       Pools
	targets     Targets
	budget      *limits.ProbeBudget
	clock       func() time.Time
	tick        time.Duration
	timeout     time.Duration
	parallel    chan struct{}
	freshness   Freshness
	counts      [3]atomic.Uint64 // by State

	mu      sync.Mutex
	probing map[netip.AddrPort]bool
}

// State is what a probe found.
type State int

// The states of a target.
const (
	Ready State = iota
	Draining
	Dead
)

// Counts counts the probes sent, by what they found.
type Counts struct {
	Ready    uint64
	Draining uint64
	Dead     uint64
}

// Option changes a Prober under construction.
type Option func(*Prober)

// WithClock sets the source of the time. The default is time.Now.
func WithClock(clock func() time.Time) Option {
	return func(p *Prober) { p.clock = clock }
}

// WithTick sets the time between two looks at the targets.
func WithTick(tick time.Duration) Option {
	return func(p *Prober) { p.tick = tick }
}

// WithFreshness holds probes back while the view of the instance is not fresh.
func WithFreshness(freshness Freshness) Option {
	return func(p *Prober) { p.freshness = freshness }
}

// WithTimeout bounds a probe.
func WithTimeout(timeout time.Duration) Option {
	return func(p *Prober) { p.timeout = timeout }
}

// NewProber returns a prober that spends the budget.
func NewProber(
	fleet Fleet, dispatchers Dispatchers, pools Pools, targets Targets, budget *limits.ProbeBudget, opts ...Option,
) *Prober {
	p := &Prober{
		fleet:       fleet,
		dispatchers: dispatchers,
		pools:       pools,
		targets:     targets,
		budget:      budget,
		clock:       time.Now,
		tick:        defaultTick,
		timeout:     defaultTimeout,
		parallel:    make(chan struct{}, defaultParallel),
		probing:     map[netip.AddrPort]bool{},
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Run probes until the context ends, then waits for the probes in progress.
func (p *Prober) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.tick)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			p.probeDue(&group)
		}
	}
}

// Counts returns the number of probes sent.
func (p *Prober) Counts() Counts {
	return Counts{
		Ready:    p.counts[Ready].Load(),
		Draining: p.counts[Draining].Load(),
		Dead:     p.counts[Dead].Load(),
	}
}

// probeDue starts the probes that are needed and within the budget.
func (p *Prober) probeDue(group *sync.WaitGroup) {
	if p.freshness != nil && !p.freshness.Fresh() {
		return
	}
	now := p.clock()
	services := p.fleet.Fleet().Services
	intervals := longestIntervals(services)
	for name, service := range services {
		d := p.dispatchers.Dispatcher(name)
		if d == nil {
			continue
		}
		for _, t := range d.ProbeTargets(service.ProbeInterval) {
			if interval, ok := intervals[t.Address]; ok {
				p.start(group, d, t, interval, now)
			}
		}
	}
	p.budget.Retain(intervals)
}

// longestIntervals returns the probe interval of each target. The longest
// counts for a target of several services, which share its budget.
func longestIntervals(services map[string]*config.Service) map[netip.AddrPort]time.Duration {
	intervals := map[netip.AddrPort]time.Duration{}
	for _, service := range services {
		for _, t := range service.Targets {
			intervals[t.Address] = max(intervals[t.Address], service.ProbeInterval)
		}
	}
	return intervals
}

// start probes one target unless a probe of it is in progress. The budget is
// spent last, so that a probe that cannot start costs nothing.
func (p *Prober) start(group *sync.WaitGroup, d *routing.Dispatcher, t config.Target, interval time.Duration, now time.Time) {
	pool := p.pools.Pool(t.Address)
	if pool == nil || !p.claim(t.Address) {
		return
	}
	select {
	case p.parallel <- struct{}{}:
	default:
		p.unclaim(t.Address)
		return
	}
	if !p.budget.Allow(t.Address, interval, now) {
		<-p.parallel
		p.unclaim(t.Address)
		return
	}
	group.Go(func() {
		defer p.unclaim(t.Address)
		defer func() { <-p.parallel }()
		p.probe(d, pool, t)
	})
}

func (p *Prober) claim(address netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.probing[address] {
		return false
	}
	p.probing[address] = true
	return true
}

func (p *Prober) unclaim(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.probing, address)
}

// probe asks the target for its state and reports it.
func (p *Prober) probe(d *routing.Dispatcher, pool *upstream.Pool, t config.Target) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + t.Address.String() + header.HealthPath)
	err := pool.Exchange(req, resp, upstream.Terms{Deadline: p.clock().Add(p.timeout)})
	if errors.Is(err, upstream.ErrNoConnection) {
		return // Says nothing of the target: this instance's connections are in use.
	}
	state, load := Dead, routing.NoReport
	if err == nil {
		state, load = interpret(resp)
	}
	p.counts[state].Add(1)
	d.ReportProbe(t.Address, routing.ProbeReport{Reachable: state != Dead, Reported: load})
	if state != Dead {
		p.targets.AnnounceTarget(t, state == Draining)
	}
}

// interpret reads the answer of the health endpoint. An error status without
// a state counts as dead, since the target then says nothing of itself.
func interpret(resp *fasthttp.Response) (State, int) {
	load, err := strconv.Atoi(string(resp.Header.Peek(header.InFlight)))
	if err != nil || load < 0 {
		load = routing.NoReport
	}
	switch state := string(resp.Header.Peek(header.State)); {
	case state == header.StateDraining:
		return Draining, load
	case resp.StatusCode() >= fasthttp.StatusInternalServerError:
		return Dead, load
	default:
		return Ready, load
	}
}
