package routing

import (
	"math/rand/v2"
	"sync"
	"time"

	"rhubarbrelay/config"
	"rhubarbrelay/limits"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
	"rhubarbrelay/upstream"
)

const (
	// connectionUse is the part of a target's connections that the instances
	// use together: a target lowers its limit while its queue is long.
	connectionUse = 0.7
	// minConnections is the least that an instance needs to ask a target while
	// another request is in progress there.
	minConnections = 3
	// defaultConnections applies where the service states no limit.
	defaultConnections = 64
)

// Dispatcher gives the requests of one service to its targets. It is safe for
// concurrent use; its lock is held for a decision only, never while a request
// or a probe is in progress.
type Dispatcher struct {
	terms   Settings
	clock   func() time.Time
	retries *limits.RetryBudget
	pool    func(upstream.Destination, int) *upstream.Pool

	mu        sync.Mutex
	random    *rand.Rand
	service   *config.Service
	sharing   InstanceCounts
	targets   map[targets.Incarnation]*target
	dependent bool // on the targets of other zones
	recent    recent
	// usualFailing is the share of tries that fail, over all targets.
	usualFailing float64
	queue        queue
	durations    durations
	finished     float64 // requests finished per second, smoothed
	finishAt     time.Time
	stats        Stats
}

// Option changes a Dispatcher under construction.
type Option func(*Dispatcher)

// WithClock sets the source of the time.
func WithClock(clock func() time.Time) Option { return func(d *Dispatcher) { d.clock = clock } }

// WithPoolFactory sets what opens the connections to a target, at most as many as
// given.
func WithPoolFactory(open func(upstream.Destination, int) *upstream.Pool) Option {
	return func(d *Dispatcher) { d.pool = open }
}

// WithRandom sets the source of random draws.
func WithRandom(random *rand.Rand) Option { return func(d *Dispatcher) { d.random = random } }

// NewDispatcher returns the dispatcher of a service without targets.
func NewDispatcher(service *config.Service, terms Settings, sharing InstanceCounts, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		terms: terms, clock: time.Now, service: service, sharing: sharing,
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		pool:    func(to upstream.Destination, limit int) *upstream.Pool { return upstream.NewPool(to, limit) },
		targets: map[targets.Incarnation]*target{},
	}
	for _, opt := range opts {
		opt(d)
	}
	d.retries = limits.NewRetryBudget(terms.Retries, sharing.Known, d.clock)
	return d
}

// Update puts a new version of the service and the division of the budgets into
// force.
func (d *Dispatcher) Update(service *config.Service, sharing InstanceCounts) {
	d.mu.Lock()
	defer d.mu.Unlock()
	moved := service.HealthPath != d.service.HealthPath
	d.service = service
	d.sharing = sharing
	d.retries.SetInstances(sharing.Known)
	for _, t := range d.targets {
		t.probes.SetRate(d.terms.ProbesPerSecond, d.sharing.Active)
		if moved {
			t.pool.Close()
			t.pool = d.open(t.info)
			continue
		}
		t.pool.SetLimit(d.connectionLimit())
	}
}

// SetSettings changes the settings of the dispatcher.
func (d *Dispatcher) SetSettings(terms Settings) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.terms = terms
	d.retries.SetLimits(terms.Retries)
	for _, t := range d.targets {
		t.probes.SetRate(terms.ProbesPerSecond, d.sharing.Active)
	}
}

// SetTargets replaces the targets of the service. Requests in progress at
// targets that are no longer listed go on.
func (d *Dispatcher) SetTargets(all []*targets.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	listed := make(map[targets.Incarnation]bool, len(all))
	for _, info := range all {
		listed[info.Incarnation()] = true
		t := d.targets[info.Incarnation()]
		if t == nil {
			t = &target{
				pool: d.open(info), warmAt: now.Add(info.WarmupLeft),
				probes: limits.NewProbeBudget(d.terms.ProbesPerSecond, d.sharing.Active),
			}
			d.targets[info.Incarnation()] = t
		}
		t.info = info
	}
	for which, t := range d.targets {
		if !listed[which] {
			t.pool.Close()
			delete(d.targets, which)
		}
	}
	d.dependent = d.dependsOnOthers()
	d.queue.wakeFirst()
}

func (d *Dispatcher) open(info *targets.Target) *upstream.Pool {
	return d.pool(upstream.Destination{Address: info.Address, HealthPath: d.service.HealthPath}, d.connectionLimit())
}

// connectionLimit returns this instance's part of the connections to a target.
func (d *Dispatcher) connectionLimit() int {
	limit := d.service.MaxConnections
	if limit <= 0 {
		limit = defaultConnections
	}
	return max(minConnections, int(connectionUse*float64(limit)/float64(max(1, d.sharing.Known))))
}

// AllowRetry returns whether the budget of the service allows one more try of
// a request, and spends it if so.
func (d *Dispatcher) AllowRetry() bool {
	if d.retries.Allow() {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stats.RetriesDenied++
	return false
}

// Stats returns the counters of the dispatcher.
func (d *Dispatcher) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stats
	s.Waiting = d.queue.len()
	s.Targets = len(d.targets)
	for _, t := range d.targets {
		s.InFlight += len(t.flights)
	}
	return s
}

// Close closes the connections to the targets after their exchanges.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.targets {
		t.pool.Close()
	}
}

func (d *Dispatcher) release(l *Lease, outcome Outcome, reply platform.ResponseInfo) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.released {
		return
	}
	l.released = true
	now := d.clock()
	t := l.target
	t.land(l)
	switch {
	case reply.HasLoad:
		d.noteReport(t, reply.Load, now)
	case t.sent > 0 && !l.start.Before(t.loadAt):
		t.sent-- // the report that counts it will not come
	}
	d.learn(l, outcome, now)
	d.queue.wakeFirst()
}

// usualWeight is the weight of one try in the usual share of failures.
const usualWeight = 0.02

// recent holds the targets that reported last.
type recent struct {
	targets [recentReports]*target
	next    int
}

// recentReports is the number of targets that recent holds. More do not report
// within the time for which a report is as good as an answer now.
const recentReports = 16

func (d *Dispatcher) noteReport(t *target, load platform.Load, now time.Time) {
	t.report(load, now)
	d.recent.targets[d.recent.next] = t
	d.recent.next = (d.recent.next + 1) % recentReports
}

func (d *Dispatcher) learn(l *Lease, outcome Outcome, now time.Time) {
	t := l.target
	switch outcome {
	case Succeeded:
		d.usualFailing -= usualWeight * d.usualFailing
		duration := now.Sub(l.start)
		t.succeed(now)
		t.observe(float64(duration)/(float64(l.expected)*l.slowdown), now)
		d.durations.observe(l.route, l.expected, time.Duration(float64(duration)/l.slowdown))
		d.countFinish(now)
	case Failed:
		d.stats.Failures++
		d.usualFailing += usualWeight * (1 - d.usualFailing)
		t.fail(failureWeight, now)
	case TimedOut:
		d.stats.Failures++
		t.fail(failureWeight, now)
		t.observe(maxRatio, now)
	case Shed:
		d.stats.Sheds++
		d.usualFailing += usualWeight * (1 - d.usualFailing)
		t.fail(shedWeight, now)
	case Unreachable:
		d.stats.Failures++
		t.retreat(now)
	case Superseded:
		t.observe(float64(now.Sub(l.start))/(float64(l.expected)*l.slowdown), now)
	case Replaced:
		t.gone = true
	case Inconclusive:
	}
}

// countFinish updates the rate of finished requests.
func (d *Dispatcher) countFinish(now time.Time) {
	d.finished = d.finished*fade(now.Sub(d.finishAt), finishWindow) + 1/finishWindow.Seconds()
	d.finishAt = now
}

// Service returns the service in force.
func (d *Dispatcher) Service() *config.Service {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.service
}
