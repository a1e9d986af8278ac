package routing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"rhubarbrelay/config"
	"rhubarbrelay/limits"
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

// Service returns the current configuration of the service.
func (d *Dispatcher) Service() *config.Service {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.service
}
