package startup

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer"
)

// Times and sizes in a simulated deployment.
const (
	simulatedDelay     = time.Millisecond // one way, between two instances
	simulatedHeartbeat = 500 * time.Millisecond
	// simulatedLink is the rate of the link of each instance in bytes per second: 10 Mbit/s.
	simulatedLink = 1_250_000
	// A snapshot has simulatedItem bytes, compressed, for each instance and each target, of
	// which there are two for each instance.
	simulatedItem = 60
	// maxConcurrentJoins is the limit of the daemon.
	maxConcurrentJoins = 4
)

// simulatedStore is the store of a simulated deployment.
type simulatedStore struct {
	// listTime and loadTime are the durations of a listing and of reading the state.
	listTime, loadTime time.Duration
	// silentFor is how long the store does not respond, down whether it fails every call.
	silentFor time.Duration
	down      bool
	// refuses reports whether the calls of an instance are refused.
	refuses      func(zone, i int) bool
	unregistered bool
	started      time.Time
	lists, loads atomic.Int64
}

var errStore = errors.New("store refused the call")

// respond waits for the response to a call and reports whether it is a success. A call
// has one second.
func (s *simulatedStore) respond(in *simulatedInstance, took time.Duration) bool {
	if s.down || s.refuses != nil && s.refuses(in.zone, in.index) {
		time.Sleep(2 * simulatedDelay)
		return false
	}
	if silent := s.silentFor - time.Since(s.started); silent > time.Second {
		time.Sleep(time.Second)
		return false
	} else if silent > 0 {
		time.Sleep(silent)
	}
	time.Sleep(took)
	return true
}

// simulatedInstance is an instance whose messages are calls.
type simulatedInstance struct {
	deployment  *simulatedDeployment
	members     *membership.Directory
	joiner      *Joiner
	address     netip.AddrPort
	zone, index int
	isSeed      bool

	running             atomic.Bool
	hasState, hasJoined atomic.Bool
	joining             atomic.Int64
	loadedAt            atomic.Pointer[time.Time]
	fetch               func(membership.Instance) (peer.Snapshot, error) // nil for the simulated one
	restored            func(source string)
}

// simulatedDeployment holds instances that start at about the same time.
type simulatedDeployment struct {
	instances []*simulatedInstance
	byAddress map[netip.AddrPort]*simulatedInstance
	peers     map[string][]netip.AddrPort
	store     simulatedStore
	notices   atomic.Int64
	// seedsDown makes every seed not start. seedDelay is how much later than the others
	// the seeds start, spread the time within which all others do.
	seedsDown         bool
	seedDelay, spread time.Duration
	// loss is the fraction of the notices that is lost.
	loss float64
	// startDelay returns the time after which an instance starts, by default one within
	// spread.
	startDelay func(i int) time.Duration
}

func newSimulatedDeployment(zones, instancesPerZone int, firstStart bool) *simulatedDeployment {
	return newSimulatedDeploymentOf(zones, zones*instancesPerZone, firstStart)
}

// newSimulatedDeploymentOf returns n instances that are distributed evenly over zones.
// The first one of each of the first three zones is a seed.
func newSimulatedDeploymentOf(zones, n int, firstStart bool) *simulatedDeployment {
	d := &simulatedDeployment{
		byAddress: map[netip.AddrPort]*simulatedInstance{}, peers: map[string][]netip.AddrPort{}, spread: 300 * time.Millisecond,
		store: simulatedStore{listTime: 10 * time.Millisecond, loadTime: 80 * time.Millisecond, unregistered: firstStart},
	}
	d.startDelay = func(i int) time.Duration { return time.Duration(i*7919%300) * d.spread / 300 }
	for k := range n {
		z, i := k%zones, k/zones
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), byte(i >> 8), byte(i)}), 80)
		in := &simulatedInstance{deployment: d, address: address, zone: z, index: i, isSeed: z < 3 && i == 0, restored: func(string) {}}
		self := membership.Instance{
			ID: fmt.Sprintf("i-%d-%03d", z, i), Zone: fmt.Sprint("z-", z), Incarnation: 1, PeerAddress: address, CallerAddress: address, AdminAddress: address,
		}
		in.members = membership.NewDirectory(self)
		role := Role{HasSeeds: true, IsSeed: in.isSeed, FirstStart: firstStart}
		in.joiner = NewJoiner(in.members, in, role, &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
		d.instances = append(d.instances, in)
		d.byAddress[address] = in
		d.peers[self.Zone] = append(d.peers[self.Zone], address)
	}
	return d
}

func (in *simulatedInstance) Greet() {
	for _, other := range in.deployment.instances {
		if other.isSeed && other != in && !in.deployment.seedsDown {
			in.exchangePackets(other)
		}
	}
}

// exchangePackets sends a packet to another instance, which responds if it runs.
func (in *simulatedInstance) exchangePackets(other *simulatedInstance) {
	time.AfterFunc(simulatedDelay, func() {
		if !other.running.Load() {
			return
		}
		other.members.RecordPacket(in.members.Self(), simulatedHeartbeat)
		time.AfterFunc(simulatedDelay, func() { in.members.RecordPacket(other.members.Self(), simulatedHeartbeat) })
	})
}

func (in *simulatedInstance) Notify(notice peer.StartNotice, to []netip.AddrPort, wait func(size int) bool) {
	ready := notice.Ready[:min(3, len(notice.Ready))]
	for _, address := range to {
		if !wait(120 + 100*len(ready)) {
			return
		}
		in.deployment.notices.Add(1)
		if rand.Float64() < in.deployment.loss {
			continue
		}
		receiver, self := in.deployment.byAddress[address], in.members.Self()
		time.AfterFunc(simulatedDelay, func() {
			if receiver.running.Load() {
				receiver.members.RecordPacket(self, simulatedHeartbeat)
				receiver.members.AddSightings(ready)
				receiver.joiner.RecordNotice(self, notice)
			}
		})
	}
}

func (in *simulatedInstance) List(context.Context) (map[string][]netip.AddrPort, error) {
	store := &in.deployment.store
	store.lists.Add(1)
	if !store.respond(in, store.listTime) {
		return nil, errStore
	}
	if store.unregistered {
		return map[string][]netip.AddrPort{}, nil
	}
	for _, other := range in.deployment.instances {
		if other.index < 3 && other != in {
			in.exchangePackets(other)
		}
	}
	return in.deployment.peers, nil
}

// Fetch models the link of the other instance, which all that join through it share.
func (in *simulatedInstance) Fetch(through membership.Instance) (peer.Snapshot, error) {
	if in.fetch != nil {
		return in.fetch(through)
	}
	provider := in.deployment.byAddress[through.AdminAddress]
	time.Sleep(2 * simulatedDelay)
	joining := provider.joining.Add(1)
	defer provider.joining.Add(-1)
	if joining > maxConcurrentJoins || !provider.hasState.Load() {
		in.members.AddSightings(SampleReady(provider.members, in.members.Self()))
		return peer.Snapshot{}, ErrJoinRefused
	}
	provider.hasJoined.Store(true)
	joined := membership.Sighting{Instance: in.members.Self()}
	provider.members.AddSightings([]membership.Sighting{joined})
	for _, s := range provider.members.Sightings() {
		other := in.deployment.byAddress[s.Instance.PeerAddress]
		time.AfterFunc(100*time.Millisecond, func() { other.members.AddSightings([]membership.Sighting{joined}) })
	}
	snapshot := peer.Snapshot{Instances: provider.members.Sightings()}
	size := simulatedItem * (len(snapshot.Instances) + 2*len(in.deployment.instances))
	time.Sleep(time.Duration(joining) * time.Duration(size) * time.Second / simulatedLink)
	return snapshot, nil
}

func (in *simulatedInstance) Restore(snapshot peer.Snapshot, source string, _ time.Time) {
	in.members.AddSightings(snapshot.Instances)
	in.restored(source)
	in.setLoaded()
}

func (in *simulatedInstance) Loaded() bool    { return in.hasState.Load() }
func (in *simulatedInstance) Ready() bool     { return in.hasState.Load() }
func (in *simulatedInstance) HasJoined() bool { return in.hasJoined.Load() }

// setLoaded makes the instance ready and announces that to the known instances of
// its zone.
func (in *simulatedInstance) setLoaded() {
	if !in.hasState.CompareAndSwap(false, true) {
		return
	}
	now := time.Now()
	in.loadedAt.Store(&now)
	in.members.SetState(membership.Ready)
	for _, other := range in.members.Peers() {
		if other.Zone != in.members.Self().Zone {
			continue
		}
		receiver := in.deployment.byAddress[other.PeerAddress]
		time.AfterFunc(simulatedDelay, func() {
			if receiver.running.Load() {
				receiver.members.RecordPacket(in.members.Self(), simulatedHeartbeat)
			}
		})
	}
}

// Load reads the state from the store until that succeeds.
func (in *simulatedInstance) Load() {
	store := &in.deployment.store
	go func() {
		for delay := 50 * time.Millisecond; !in.hasState.Load() && in.running.Load(); delay = min(2*delay, 800*time.Millisecond) {
			store.loads.Add(1)
			if store.respond(in, store.loadTime) {
				in.setLoaded()
				return
			}
			time.Sleep(delay)
		}
	}()
}

// start starts all instances and runs them for the duration.
func (d *simulatedDeployment) start(t *testing.T, duration time.Duration) startResult {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	start := time.Now()
	d.store.started = start
	var first time.Time
	for i, in := range d.instances {
		if in.isSeed && d.seedsDown {
			continue
		}
		delay := d.startDelay(i)
		if in.isSeed {
			delay += d.seedDelay
		}
		if at := start.Add(delay); first.IsZero() || at.Before(first) {
			first = at
		}
		running.Go(func() {
			time.Sleep(delay)
			in.running.Store(true)
			running.Go(func() { in.joiner.Notify(ctx) })
			in.joiner.Run(ctx)
		})
	}
	time.Sleep(duration)
	cancel()
	running.Wait()
	for _, in := range d.instances {
		in.running.Store(false)
	}
	time.Sleep(2 * time.Second) // calls in progress end
	return d.result(start, first)
}

// startResult is the outcome of a simulated start. Times are since the first instance
// started.
type startResult struct {
	loaded                 int
	firstReady, lastReady  time.Duration
	lists, loads, notices  int64
	start, firstInstanceAt time.Time
}

// calls returns the number of calls to the store: a load is two.
func (r startResult) calls() int64 { return r.lists + 2*r.loads }

func (d *simulatedDeployment) result(start, first time.Time) startResult {
	r := startResult{
		lists: d.store.lists.Load(), loads: d.store.loads.Load(), notices: d.notices.Load(), start: start, firstInstanceAt: first,
	}
	for _, in := range d.instances {
		at := in.loadedAt.Load()
		if at == nil {
			continue
		}
		took := at.Sub(first)
		if r.loaded == 0 || took < r.firstReady {
			r.firstReady = took
		}
		r.loaded++
		r.lastReady = max(r.lastReady, took)
	}
	return r
}
