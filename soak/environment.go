// Package soak runs the system as separate processes under random faults and
// checks, from what callers and targets see, that its guarantees hold.
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rhubarbrelay/config"
	"rhubarbrelay/platform"
	"rhubarbrelay/standin"
	"rhubarbrelay/targets"
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
	// grace is the time that a stopped instance has to finish.
	grace = 4 * time.Second
	// drainDelay is the time in which a leaving target must get no new request.
	drainDelay = 2 * time.Second
)

// Options configure a run.
type Options struct {
	// DaemonPath is the program of an instance.
	DaemonPath string
	// Dir holds settings and logs, which stay there after a run that failed.
	Dir       string
	Instances int
	Targets   int
	Callers   int
	Duration  time.Duration
	Seed      uint64
	// NoFaults leaves all faults out.
	NoFaults bool
}

// world is the system under test with its surroundings.
type world struct {
	opts      Options
	network   string
	store     *standin.Store
	instances []*instance

	mu      sync.Mutex
	random  *rand.Rand
	version int64
	targets []*target
	closers []func()
}

// draw returns a random number below n.
func (w *world) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// target is a stand-in of a target in this process.
type target struct {
	*standin.Target
	id    string
	leave context.CancelFunc
}

// instance is a process of the system, which reaches the store through a proxy.
type instance struct {
	world *world
	id    string
	zone  string
	host  string
	proxy *standin.Proxy

	mu      sync.Mutex
	command *exec.Cmd // nil while it is down
	exited  chan struct{}
	planned bool // the process was asked to stop
	paused  bool

	claimed atomic.Bool // by a fault of the process
}

// claim returns whether no other fault of the process is in progress.
func (in *instance) claim() bool { return in.claimed.CompareAndSwap(false, true) }

func newWorld(opts Options) (*world, error) {
	w := &world{opts: opts, random: rand.New(rand.NewPCG(opts.Seed, 1)), store: standin.NewStore()}
	l, err := w.claimNetwork()
	if err != nil {
		return nil, err
	}
	go func() { _ = w.store.Serve(l) }()
	for i := range opts.Targets {
		if err := w.addTarget(i); err != nil {
			return nil, err
		}
	}
	if err := w.publish(); err != nil {
		return nil, err
	}
	for i := range opts.Instances {
		in := &instance{
			world: w, id: fmt.Sprintf("n-%02d", i), zone: string(rune('a' + i%3)), host: fmt.Sprintf("%s.%d", w.network, 10+i),
		}
		in.proxy = standin.NewProxy(fmt.Sprintf("%s:%d", in.host, storePort), l.Addr().String())
		if err := errors.Join(in.proxy.SetMode(standin.ProxyPass), in.start()); err != nil {
			return nil, err
		}
		w.instances = append(w.instances, in)
	}
	return w, nil
}

// claimNetwork finds a part of 127.0.0.0/8 that no other run uses.
func (w *world) claimNetwork() (net.Listener, error) {
	for range 100 {
		w.network = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(256))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", w.network, storePort)) //nolint:noctx // It lives as long as the run.
		if err == nil {
			return l, nil
		}
	}
	return nil, errors.New("no free loopback network")
}

func (w *world) addTarget(i int) error {
	address := netip.MustParseAddrPort(fmt.Sprintf("%s.%d:%d", w.network, 100+i, targetPort))
	l, err := net.Listen("tcp", address.String()) //nolint:noctx // It lives as long as the run.
	if err != nil {
		return err
	}
	t := &target{id: fmt.Sprintf("t-%02d", i)}
	t.Target = standin.NewTarget(standin.TargetInfo(t.id, service, string(rune('a'+i%3)), 4, address), standin.WithDrainDelay(drainDelay))
	ctx, cancel := context.WithCancel(context.Background())
	t.leave = cancel
	go func() { _ = t.Serve(l) }()
	go func() { _ = t.Register(ctx, registrar{w.store}, standin.DefaultHeartbeat) }()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.targets = append(w.targets, t)
	w.closers = append(w.closers, cancel, func() { _ = t.Close() })
	return nil
}

// registrar registers targets in the store without its faults.
type registrar struct{ store *standin.Store }

// Append implements standin.Registrar.
func (r registrar) Append(_ context.Context, topic platform.Topic, key string, value []byte) error {
	r.store.Put(string(topic), key, value)
	return nil
}

// publish publishes the next version. Each has a route of its own, by which a
// request shows the version that is in force.
func (w *world) publish() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	d := &config.Document{Version: w.version, Services: map[string]*config.Service{service: {Name: service, HealthPath: "/healthz", MaxConnections: 200}}}
	for _, r := range []struct {
		prefix     string
		idempotent bool
	}{{"/once/", false}, {"/safe/", true}, {fmt.Sprintf("/v%d/", w.version), true}} {
		d.Routes = append(d.Routes, &config.Route{
			Name: strings.Trim(r.prefix, "/"), Host: host, PathPrefix: r.prefix, Idempotent: r.idempotent, Attempts: 2,
			Objective: 300 * time.Millisecond, Timeout: 2 * time.Second, Split: []config.WeightedService{{Service: service, Weight: 1}},
		})
	}
	text, err := platform.EncodeDocument(d, w.version-1)
	if err != nil {
		return err
	}
	w.store.Put(string(platform.ConfigTopic), platform.ConfigKey, text)
	return nil
}

func (w *world) someTarget() *target {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.targets[w.random.IntN(len(w.targets))]
}

func (w *world) allTargets() []*target {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*target(nil), w.targets...)
}

// close ends every process and every stand-in that this run started.
func (w *world) close() {
	for _, in := range w.instances {
		in.signal(syscall.SIGKILL)
		in.await()
		_ = in.proxy.SetMode(standin.ProxyRefuse)
	}
	for _, end := range w.closers {
		end()
	}
	_ = w.store.Close()
}

func (in *instance) address(port int) string { return fmt.Sprintf("%s:%d", in.host, port) }

// start runs the process.
func (in *instance) start() error {
	path := filepath.Join(in.world.opts.Dir, in.id+".ini")
	text := fmt.Sprintf("[instance]\nid = %s\nzone = %s\nregion = r\n[callers]\nlisten = %s\nentry = %s\nready = %s\n[peers]\nlisten = %s\n"+
		"seeds = %s.10:%d\n[admin]\nlisten = %s\n[store]\naddress = %s\n[stop]\ngrace = %s\n",
		in.id, in.zone, in.address(callerPort), in.address(entryPort), in.address(readyPort), in.address(peerPort),
		in.world.network, adminPort, in.address(adminPort), in.address(storePort), grace)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(in.world.opts.Dir, in.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(in.world.opts.DaemonPath, "--settings", path) //nolint:gosec,noctx // The program under test.
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return errors.Join(err, out.Close())
	}
	exited := make(chan struct{})
	in.mu.Lock()
	in.command, in.exited, in.planned, in.paused = command, exited, false, false
	in.mu.Unlock()
	go func() {
		_ = errors.Join(command.Wait(), out.Close()) // a killed process ends with an error
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process, if it runs.
func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.command == nil {
		return
	}
	in.planned = in.planned || s == syscall.SIGTERM
	in.paused = s == syscall.SIGSTOP || in.paused && s != syscall.SIGCONT
	_ = in.command.Process.Signal(s) // it may have ended already
}

// await returns when the process has ended.
func (in *instance) await() {
	in.mu.Lock()
	exited := in.exited
	in.mu.Unlock()
	<-exited
}

// running returns an identifier of the process, and whether it runs undisturbed.
func (in *instance) running() (pid int, calm bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	select {
	case <-in.exited:
		return 0, false
	default:
		return in.command.Process.Pid, !in.paused
	}
}

func (t *target) setLeaving() { t.SetState(targets.Draining) }
