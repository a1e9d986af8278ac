package daemon

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer"
)

// Times in a simulated deployment.
const (
	simulatedDelay     = time.Millisecond      // one way, between two instances
	simulatedFetchTime = 30 * time.Millisecond // to send the state
	simulatedLoadTime  = 80 * time.Millisecond // to read the state from the store
	simulatedHeartbeat = 500 * time.Millisecond
)

// simulatedInstance is an instance whose messages are calls.
type simulatedInstance struct {
	deployment *simulatedDeployment
	members    *membership.Directory
	joiner     *joiner
	address    netip.AddrPort
	registered bool

	running             atomic.Bool
	hasState, hasJoined atomic.Bool
	joining             atomic.Int64
	loadedAt            atomic.Pointer[time.Time]
}

// simulatedDeployment holds instances that start at about the same time.
type simulatedDeployment struct {
	instances  []*simulatedInstance
	byAddress  map[netip.AddrPort]*simulatedInstance
	storeLoads atomic.Int64
	// registeredSize is the number of instances that registrations state.
	registeredSize int
	// storeDown makes every read of the store fail, seedsDown every seed not respond.
	storeDown, seedsDown bool
	// seedDelay is how much later than the others the seeds start.
	seedDelay time.Duration
}

func newSimulatedDeployment(zones, instancesPerZone int) *simulatedDeployment {
	d := &simulatedDeployment{byAddress: map[netip.AddrPort]*simulatedInstance{}}
	for z := range zones {
		for i := range instancesPerZone {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), byte(i >> 8), byte(i)}), 80)
			in := &simulatedInstance{deployment: d, address: address, registered: i < 3}
			in.members = membership.NewDirectory(membership.Instance{
				ID: fmt.Sprintf("i-%d-%03d", z, i), Zone: fmt.Sprint("z-", z), Incarnation: 1, PeerAddress: address, CallerAddress: address, AdminAddress: address,
			})
			in.joiner = &joiner{
				members: in.members, greet: in.greet, fetch: in.fetch, restore: in.restore, loaded: in.hasState.Load, hasJoined: in.hasJoined.Load,
				countInstances: in.countInstances, hasSeeds: true, isSeed: z < 3 && i == 0, logger: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
			}
			d.instances = append(d.instances, in)
			d.byAddress[address] = in
		}
	}
	return d
}

// countInstances greets the registered instances, as the daemon does.
func (in *simulatedInstance) countInstances(context.Context) int {
	time.Sleep(2 * simulatedDelay)
	for _, other := range in.deployment.instances {
		if other.registered && other != in {
			in.exchangePackets(other)
		}
	}
	return in.deployment.registeredSize
}

func (in *simulatedInstance) greet() {
	for _, other := range in.deployment.instances {
		if other.joiner.isSeed && other != in && !in.deployment.seedsDown {
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

func (in *simulatedInstance) fetch(through membership.Instance) (peer.Snapshot, error) {
	provider := in.deployment.byAddress[through.AdminAddress]
	time.Sleep(2 * simulatedDelay)
	if provider.joining.Add(1) > maxConcurrentJoins || !provider.hasState.Load() {
		provider.joining.Add(-1)
		return peer.Snapshot{}, errJoinRefused
	}
	defer provider.joining.Add(-1)
	provider.hasJoined.Store(true)
	joined := membership.Sighting{Instance: in.members.Self()}
	provider.members.AddSightings([]membership.Sighting{joined})
	for _, s := range provider.members.Sightings() {
		other := in.deployment.byAddress[s.Instance.PeerAddress]
		time.AfterFunc(100*time.Millisecond, func() { other.members.AddSightings([]membership.Sighting{joined}) })
	}
	snapshot := peer.Snapshot{Instances: provider.members.Sightings()}
	time.Sleep(simulatedFetchTime)
	return snapshot, nil
}

func (in *simulatedInstance) restore(snapshot peer.Snapshot, _ string, _ time.Time) {
	in.members.AddSightings(snapshot.Instances)
	in.setLoaded()
}

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
		time.AfterFunc(simulatedDelay, func() { receiver.members.RecordPacket(in.members.Self(), simulatedHeartbeat) })
	}
}

func (in *simulatedInstance) loadFromStore() {
	in.deployment.storeLoads.Add(1)
	if in.deployment.storeDown {
		return
	}
	time.AfterFunc(simulatedLoadTime, in.setLoaded)
}

// start starts all instances within 0.3 s and runs them for the duration. It returns
// how long the last one took to load its state.
func (d *simulatedDeployment) start(t *testing.T, duration time.Duration) time.Duration {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var slowest time.Duration
	start := time.Now()
	for i, in := range d.instances {
		delay := time.Duration(i*7919%300) * time.Millisecond
		if in.joiner.isSeed {
			delay += d.seedDelay
		}
		running.Go(func() {
			time.Sleep(delay)
			in.running.Store(true)
			in.joiner.run(ctx, in.loadFromStore)
		})
	}
	time.Sleep(duration)
	cancel()
	running.Wait()
	for _, in := range d.instances {
		if at := in.loadedAt.Load(); at != nil {
			slowest = max(slowest, at.Sub(start))
		}
	}
	return slowest
}

func (d *simulatedDeployment) loaded() int {
	n := 0
	for _, in := range d.instances {
		if in.hasState.Load() {
			n++
		}
	}
	return n
}

// Guards against a start of hundreds of instances that reads the store once for each
// of them, and against one that takes many seconds because all read the state from
// the same few instances.
func TestStartOfManyInstances(t *testing.T) {
	for _, perZone := range []int{3, 20, 60} {
		t.Run(fmt.Sprint(5*perZone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newSimulatedDeployment(5, perZone)
				for _, in := range d.instances {
					in.joiner.firstStart = true
				}
				slowest := d.start(t, 10*time.Second)
				assert.Equal(t, d.loaded(), 5*perZone)
				// The seeds, and instances that by chance find no seed in time.
				assert.Assert(t, d.storeLoads.Load() <= int64(6+perZone/20), "%d reads of the store", d.storeLoads.Load())
				assert.Assert(t, slowest < 3*time.Second, "the last instance took %s", slowest)
			})
		})
	}
}

// Guards against a small deployment that is not available after all its instances
// were killed, because they wait for seeds that start later, and against a large one
// in which each instance then reads the store.
func TestRestartOfAllWithLateSeeds(t *testing.T) {
	const startSpread = 300 * time.Millisecond
	tests := []struct {
		perZone  int
		maxLoads int64
		within   time.Duration // for all but the seeds
	}{
		{3, 15, startSpread + 200*time.Millisecond},
		{60, 30, startSpread + 3*time.Second},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(5*tt.perZone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newSimulatedDeployment(5, tt.perZone)
				d.registeredSize = 5 * tt.perZone
				d.seedDelay = 500 * time.Millisecond
				start := time.Now()
				d.start(t, 10*time.Second)
				assert.Equal(t, d.loaded(), 5*tt.perZone)
				assert.Assert(t, d.storeLoads.Load() <= tt.maxLoads, "%d reads of the store", d.storeLoads.Load())
				for _, in := range d.instances {
					took := in.loadedAt.Load().Sub(start)
					assert.Assert(t, in.joiner.isSeed || took < tt.within, "%s took %s", in.members.Self().ID, took)
				}
			})
		})
	}
}

// Guards against instances that never become ready because the seeds are down or
// stale: each then reads the store itself, within a second.
func TestStartWithoutSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSimulatedDeployment(3, 5)
		d.seedsDown = true
		slowest := d.start(t, 10*time.Second)
		assert.Equal(t, d.loaded(), 15)
		assert.Assert(t, slowest < 1500*time.Millisecond, "the last instance took %s", slowest)
	})
}

// Guards against an instance that cannot start while the store is unavailable
// although others have the state.
func TestJoinDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSimulatedDeployment(2, 5)
		d.storeDown = true
		d.instances[0].setLoaded()
		d.start(t, 5*time.Second)
		assert.Equal(t, d.loaded(), 10)
	})
}

// Guards against an instance that serves with targets that were read long ago, by an
// instance that has lost contact with the store, although the store can be read.
func TestOldStateIsNotAccepted(t *testing.T) {
	tests := []struct {
		name      string
		age       time.Duration
		storeDown bool
		joined    bool
	}{
		{"recent", time.Second, false, true},
		{"old", time.Minute, false, false},
		{"old, store down", time.Minute, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newSimulatedDeployment(1, 2)
				d.storeDown = tt.storeDown
				d.instances[0].running.Store(true)
				d.instances[0].setLoaded()
				in := d.instances[1]
				in.joiner.fetch = func(through membership.Instance) (peer.Snapshot, error) {
					return peer.Snapshot{Targets: peer.TargetState{Age: tt.age}}, nil
				}
				var source string
				in.joiner.restore = func(_ peer.Snapshot, from string, _ time.Time) {
					if !in.hasState.Load() {
						source = from
					}
					in.setLoaded()
				}
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				in.joiner.run(ctx, in.loadFromStore)
				assert.Equal(t, source != "", tt.joined)
				assert.Assert(t, in.hasState.Load())
			})
		})
	}
}
