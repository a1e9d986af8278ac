// Package soak runs the system as separate processes under random faults. It
// checks, from the results of callers and targets, that the guarantees of the
// system hold.
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"

	"rhubarbrelay/config"
	"rhubarbrelay/platform"
	"rhubarbrelay/standin"
)

const (
	storePort  = 7000
	callerPort = 8080
	peerPort   = 8081
	adminPort  = 8082
	entryPort  = 8083
	readyPort  = 8084
	targetPort = 9000
	service    = "spoolkeep"
	// gracePeriod is the time that an instance has to finish its requests after
	// SIGTERM.
	gracePeriod = 4 * time.Second
	// drainDelay is the time after which a draining target must not receive new
	// requests.
	drainDelay = 2 * time.Second
)

// Options configure a run.
type Options struct {
	// DaemonPath is the path of the rhubarbrelayd executable.
	DaemonPath string
	// Dir holds the settings and logs of the instances, which are kept after a
	// failed run.
	Dir       string
	Instances int
	Targets   int
	Callers   int
	Duration  time.Duration
	Seed      uint64
	// Faults is the number of faults, in their order, that the run selects from. 0 means all.
	Faults int
	// OnlyFault limits the run to the faults whose names contain it.
	OnlyFault string
	// NoFaults disables all faults.
	NoFaults bool
	// Tenants makes callers send API keys, one of which changes with each version.
	Tenants bool
}

// environment is the system under test with stand-ins for the store and the
// targets.
type environment struct {
	opts      Options
	network   string
	store     *standin.Store
	instances []*instance
	// storeOutages are the periods in which the store refused all calls.
	storeOutages outages
	// restoring is held from a restoration of the store until what operators and
	// targets had written is written again. Operators publish nothing meanwhile.
	restoring sync.Mutex
	// readyAt is when all instances were ready. No copy of the store is older, as the
	// first version and the first targets precede all copies.
	readyAt time.Time

	mu      sync.Mutex
	random  *rand.Rand
	version int64 // the newest one that was published
	targets []*target
	closers []func()
	// coldPerSecond is the limit of cold targets, 0 in a run whose faults make none cold.
	coldPerSecond float64
	// violations are those that faults have found.
	violations []string
}

// randomInt returns a random number below n.
func (e *environment) randomInt(n int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.IntN(n)
}

func newEnvironment(opts Options) (*environment, error) {
	env := &environment{opts: opts, random: rand.New(rand.NewPCG(opts.Seed, 1)), store: standin.NewStore(), coldPerSecond: opts.coldPerSecond()}
	l, err := env.listenOnFreeNetwork()
	if err != nil {
		return nil, err
	}
	go func() { _ = env.store.Serve(l) }()
	for i := range opts.Targets {
		if err := env.addTarget(i); err != nil {
			return nil, err
		}
	}
	if err := env.publish(); err != nil {
		return nil, err
	}
	for i := range opts.Instances {
		in := &instance{
			env: env, id: fmt.Sprintf("n-%02d", i), zone: string(rune('a' + i%3)), host: fmt.Sprintf("%s.%d", env.network, 10+i),
			cpuShare: cpuShares[i%len(cpuShares)],
		}
		in.proxy = standin.NewProxy(fmt.Sprintf("%s:%d", in.host, storePort), l.Addr().String())
		if err := errors.Join(in.proxy.SetMode(standin.ProxyPass), in.start()); err != nil {
			return nil, err
		}
		env.instances = append(env.instances, in)
	}
	return env, nil
}

// listenOnFreeNetwork selects a /24 network in 127.0.0.0/8 that no other run
// uses and listens there for the store.
func (e *environment) listenOnFreeNetwork() (net.Listener, error) {
	for range 100 {
		e.network = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(256))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", e.network, storePort)) //nolint:noctx // It lives as long as the run.
		if err == nil {
			return l, nil
		}
	}
	return nil, errors.New("found no free loopback network")
}

func (e *environment) addTarget(i int) error {
	address := netip.MustParseAddrPort(fmt.Sprintf("%s.%d:%d", e.network, 100+i, targetPort))
	l, err := net.Listen("tcp", address.String()) //nolint:noctx // It lives as long as the run.
	if err != nil {
		return err
	}
	t := &target{id: fmt.Sprintf("t-%02d", i), zone: string(rune('a' + i%3))}
	t.Target = standin.NewTarget(standin.NewRegistration(t.id, service, t.zone, 4, address), standin.WithDrainDelay(drainDelay))
	ctx, cancel := context.WithCancel(context.Background())
	t.deregister = cancel
	go func() { _ = t.Serve(l) }()
	go func() { _ = t.Register(ctx, storeRegistry{e.store}, standin.DefaultRegistrationInterval) }()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.targets = append(e.targets, t)
	e.closers = append(e.closers, cancel, func() { _ = t.Close() })
	return nil
}

// storeRegistry registers targets directly in the store, unaffected by faults.
type storeRegistry struct{ store *standin.Store }

// Append implements standin.Appender.
func (r storeRegistry) Append(_ context.Context, topic platform.Topic, key string, value []byte) (platform.Position, error) {
	r.store.Put(string(topic), key, value)
	return platform.Position{}, nil
}

// publish publishes the next configuration version. Each version has a route of
// its own, so that a request shows which version is active.
func (e *environment) publish() error {
	e.restoring.Lock()
	defer e.restoring.Unlock()
	return e.publishNext()
}

// publishNext is publish while e.restoring is held.
func (e *environment) publishNext() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version++
	d := &config.Document{Version: e.version, Services: map[string]*config.Service{service: {Name: service, HealthPath: "/healthz", MaxConnections: 200, ColdPerSecond: e.coldPerSecond}}}
	for _, r := range []struct {
		prefix     string
		idempotent bool
	}{{"/once/", false}, {"/safe/", true}, {fmt.Sprintf("/v%d/", e.version), true}} {
		d.Routes = append(d.Routes, &config.Route{
			Name: strings.Trim(r.prefix, "/"), Host: host, PathPrefix: r.prefix, Idempotent: r.idempotent, MaxTries: 2,
			Objective: 300 * time.Millisecond, Timeout: 2 * time.Second, Split: []config.WeightedService{{Service: service, Weight: 1}},
		})
	}
	var keys config.Keys
	if e.opts.Tenants {
		keys = addTenants(d)
	}
	text, err := platform.EncodeDocument(d, e.version-1, keys)
	if err != nil {
		return err
	}
	e.store.Put(string(platform.ConfigTopic), platform.ConfigKey, text)
	return nil
}

// newestVersion returns the newest version that was published.
func (e *environment) newestVersion() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

func (e *environment) randomTarget() *target {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.targets[e.random.IntN(len(e.targets))]
}

func (e *environment) allTargets() []*target {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*target(nil), e.targets...)
}

// close stops every process and stand-in that this run started.
func (e *environment) close() {
	for _, in := range e.instances {
		in.signal(syscall.SIGKILL)
		in.waitForExit()
		_ = in.proxy.SetMode(standin.ProxyRefuse)
	}
	for _, end := range e.closers {
		end()
	}
	_ = e.store.Close()
}
