package routing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"rhubarbrelay/config"
	"rhubarbrelay/limits"
	"rhubarbrelay/platform"
	"rhubarbrelay/reachability"
	"rhubarbrelay/targets"
	"rhubarbrelay/upstream"
)

const (
	// connectionFraction is the fraction of a target's connection limit that
	// all instances use together, as a target lowers its limit while its queue
	// is long.
	connectionFraction = 0.7
	// minConnections is the minimum number of connections from an instance to a
	// target: enough to probe the target while a request is in progress there.
	minConnections = 3
	// defaultConnections is the connection limit of services that configure
	// none.
	defaultConnections = 64
)

// Dispatcher assigns the requests of one service to its targets. It is safe for
// concurrent use. Its lock is never held during a request or a probe.
type Dispatcher struct {
	settings    Settings
	clock       func() time.Time
	retryBudget *limits.RetryBudget
	newPool     func(upstream.Destination, int) *upstream.Pool
	sharing     LimitSharing
	coldSharing ColdSharing
	logger      log.Interface
	// onStatement is told of changed statements of targets, with d.mu held.
	onStatement func(targets.Statement)
	// statementLogs limits the log lines about statements of targets, sharedStatements
	// the calls of onStatement.
	statementLogs, sharedStatements *rate.Limiter
	sharedCold                      *rate.Limiter // those about cold targets

	mu              sync.Mutex
	random          *rand.Rand
	service         *config.Service
	instances       InstanceCounts
	targets         map[targets.Incarnation]*target
	former          formerStatements
	reach           *reachability.Tracker
	lastDialError   error           // the last one of any target
	evacuated       map[string]bool // zones whose targets get no requests
	remoteDependent bool            // whether the local zone depends on targets of other zones
	recent          recentTargets
	// averageFailureRate is the moving average, over all targets, of the fraction
	// of tries with the outcome Failed or Shed among those with the outcome
	// Failed, Shed or Succeeded.
	averageFailureRate float64
	queue              queue
	durations          durationEstimator
	throughput         float64 // successful tries per second, moving average
	throughputAt       time.Time
	stats              Stats
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithClock sets the function that returns the current time.
func WithClock(clock func() time.Time) Option { return func(d *Dispatcher) { d.clock = clock } }

// WithPoolFactory sets the function that creates the connection pool of a
// target with the given connection limit.
func WithPoolFactory(newPool func(upstream.Destination, int) *upstream.Pool) Option {
	return func(d *Dispatcher) { d.newPool = newPool }
}

// WithLimitSharing sets how the limits of targets are shared with the other instances.
// By default there are none.
func WithLimitSharing(sharing LimitSharing) Option {
	return func(d *Dispatcher) { d.sharing = sharing }
}

// WithColdSharing sets how the limits of cold targets are shared with the other instances.
// By default there are none.
func WithColdSharing(sharing ColdSharing) Option {
	return func(d *Dispatcher) { d.coldSharing = sharing }
}

// WithOnStatement sets a function that is called when a target has changed what it
// states, as this instance has heard it. It must not call the dispatcher.
func WithOnStatement(fn func(targets.Statement)) Option {
	return func(d *Dispatcher) { d.onStatement = fn }
}

// WithLogger sets the logger. The default is the global one.
func WithLogger(logger log.Interface) Option { return func(d *Dispatcher) { d.logger = logger } }

// WithRandom sets the source of random numbers.
func WithRandom(random *rand.Rand) Option { return func(d *Dispatcher) { d.random = random } }

// NewDispatcher returns the dispatcher of a service, without targets.
func NewDispatcher(service *config.Service, settings Settings, instances InstanceCounts, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		settings: settings, clock: time.Now, service: service, instances: instances,
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		newPool: func(to upstream.Destination, limit int) *upstream.Pool { return upstream.NewPool(to, limit) },
		targets: map[targets.Incarnation]*target{}, former: formerStatements{}, reach: reachability.NewTracker(), logger: log.Log, sharing: soleInstance{}, coldSharing: soleColdSharer{},
		onStatement:      func(targets.Statement) {},
		sharedStatements: rate.NewLimiter(sharedStatementsPerSecond, sharedStatementsPerSecond),
		sharedCold:       rate.NewLimiter(sharedColdPerSecond, sharedColdPerSecond),
		statementLogs:    rate.NewLimiter(statementLogsPerSecond, statementLogsPerSecond),
	}
	for _, opt := range opts {
		opt(d)
	}
	d.retryBudget = limits.NewRetryBudget(settings.Retries, instances.Known, d.clock)
	return d
}

// Update applies a new version of the service and new instance counts.
func (d *Dispatcher) Update(service *config.Service, instances InstanceCounts) {
	d.mu.Lock()
	defer d.mu.Unlock()
	healthPathChanged := service.HealthPath != d.service.HealthPath
	d.service = service
	d.instances = instances
	d.retryBudget.SetInstances(instances.Known)
	for _, t := range d.targets {
		t.probeBudget.SetRate(d.settings.ProbesPerSecond, d.instances.Active)
		if healthPathChanged {
			t.pool.Close()
			t.pool = d.openPool(t.info)
			t.pool.SetReuse(!t.evacuated)
			continue
		}
		t.pool.SetLimit(d.connectionLimit())
	}
}

// SetSettings replaces the settings of the dispatcher.
func (d *Dispatcher) SetSettings(settings Settings) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settings = settings
	d.retryBudget.SetLimits(settings.Retries)
	for _, t := range d.targets {
		t.probeBudget.SetRate(settings.ProbesPerSecond, d.instances.Active)
	}
}

// SetTargets replaces the targets of the service. Requests in progress at
// removed targets continue.
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
				statements: d.former.take(info.Incarnation()),
				pool:       d.openPool(info), warmAt: now.Add(info.WarmupLeft),
				probeBudget: limits.NewProbeBudget(d.settings.ProbesPerSecond, d.instances.Active),
			}
			d.targets[info.Incarnation()] = t
		}
		d.recordRegisteredCold(t, info, now)
		t.info = info
		if !t.inService() {
			d.reach.Forget(info.Incarnation())
		}
	}
	for incarnation, t := range d.targets {
		if !listed[incarnation] {
			t.pool.Close()
			d.reach.Forget(incarnation)
			d.former.add(incarnation, t.statements, now)
			delete(d.targets, incarnation)
		}
	}
	d.applyEvacuations()
	d.queue.wakeScanners()
}

func (d *Dispatcher) openPool(info *targets.Target) *upstream.Pool {
	return d.newPool(upstream.Destination{Address: info.Address, HealthPath: d.service.HealthPath}, d.connectionLimit())
}

// connectionLimit returns this instance's share of the connections to a target.
func (d *Dispatcher) connectionLimit() int {
	limit := d.service.MaxConnections
	if limit <= 0 {
		limit = defaultConnections
	}
	return max(minConnections, int(connectionFraction*float64(limit)/float64(max(1, d.instances.Known))))
}

// AllowRetry reports whether the retry budget of the service allows one more
// retry, and withdraws the retry from the budget if so.
func (d *Dispatcher) AllowRetry() bool {
	if d.retryBudget.Allow() {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stats.RetriesDenied++
	return false
}

// Stats returns the counters and current values of the dispatcher.
func (d *Dispatcher) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stats
	s.Waiting = d.queue.len()
	s.Targets = len(d.targets)
	s.Unreached, s.Reach = d.reach.Unreached(), d.reach.State().String()
	for _, t := range d.targets {
		s.InFlight += len(t.inFlight)
		if d.isCold(t, d.clock()) {
			s.Cold++
		}
		if t.evacuated {
			s.Evacuated++
		}
		t.statements.count(&s, d.clock())
	}
	return s
}

// Close closes the connections to the targets, those in use after their
// requests have finished.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.targets {
		t.pool.Close()
	}
}

func (d *Dispatcher) release(l *Lease, outcome Outcome, info platform.ResponseInfo) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.released {
		return
	}
	l.released = true
	now := d.clock()
	t := l.target
	t.removeLease(l)
	switch {
	case info.HasLoad:
		d.recordReport(t, info.Load, now)
	case t.sentSinceReport > 0 && !l.start.Before(t.loadAt):
		t.sentSinceReport-- // the request was sent after the latest report and has ended
	}
	if outcome != Replaced {
		d.recordStatements(t, info, l.start, now)
	}
	d.recordOutcome(l, outcome, now)
	d.recordTryReach(t, outcome, info, now)
	d.queue.wakeScanners()
}

// averageFailureWeight is the weight of one try in the average failure rate.
const averageFailureWeight = 0.02

// recentTargets is a ring buffer of the targets that reported their load most
// recently.
type recentTargets struct {
	targets [maxRecentTargets]*target
	next    int
}

// maxRecentTargets is the size of the ring buffer. More targets than this
// rarely report within freshReportAge.
const maxRecentTargets = 16

func (d *Dispatcher) recordReport(t *target, load platform.Load, now time.Time) {
	t.setReport(load, now)
	d.recent.targets[d.recent.next] = t
	d.recent.next = (d.recent.next + 1) % maxRecentTargets
}

func (d *Dispatcher) recordOutcome(l *Lease, outcome Outcome, now time.Time) {
	t := l.target
	switch outcome {
	case Succeeded:
		d.averageFailureRate -= averageFailureWeight * d.averageFailureRate
		duration := now.Sub(l.start)
		t.recordSuccess(now)
		t.recordDuration(float64(duration)/(float64(l.estimate)*l.slowdown), now)
		d.durations.record(l.route, l.estimate, time.Duration(float64(duration)/l.slowdown))
		d.updateThroughput(now)
	case Failed:
		d.stats.Failures++
		d.averageFailureRate += averageFailureWeight * (1 - d.averageFailureRate)
		t.recordFailure(failureWeight, now)
	case TimedOut:
		d.stats.Failures++
		t.recordFailure(failureWeight, now)
		t.recordDuration(maxSlowdownRatio, now)
	case Shed:
		d.stats.Sheds++
		d.averageFailureRate += averageFailureWeight * (1 - d.averageFailureRate)
		t.recordFailure(shedWeight, now)
	case Unreachable:
		d.stats.Failures++
		t.startBackoff(now)
	case Superseded:
		t.recordDuration(float64(now.Sub(l.start))/(float64(l.estimate)*l.slowdown), now)
	case Replaced:
		t.replaced = true
	case Inconclusive:
	}
}

// updateThroughput counts a successful try in the moving average.
func (d *Dispatcher) updateThroughput(now time.Time) {
	d.throughput = d.throughput*decay(now.Sub(d.throughputAt), throughputTimeConstant) + 1/throughputTimeConstant.Seconds()
	d.throughputAt = now
}

// Service returns the current configuration of the service.
func (d *Dispatcher) Service() *config.Service {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.service
}
