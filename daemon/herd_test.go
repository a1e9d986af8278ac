package daemon

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"rhubarbrelay/platform"
	"rhubarbrelay/settings"
	"rhubarbrelay/standin"
	"rhubarbrelay/targets"
)

const (
	herdZones            = 3
	herdInstancesPerZone = 20
	herdTargets          = 100
)

// freeNetwork returns the first three bytes of a /24 network in 127.0.0.0/8 and a
// listener on its first address.
func freeNetwork(t *testing.T) (string, net.Listener) {
	t.Helper()
	for i := range 200 {
		network := fmt.Sprintf("127.%d.77", 20+i)
		l, err := net.Listen("tcp", network+".1:7000")
		if err == nil {
			return network, l
		}
	}
	t.Fatal("found no free loopback network")
	return "", nil
}

// startStoreWithTargets starts a stand-in for the store with a configuration and
// registered targets.
func startStoreWithTargets(t *testing.T, l net.Listener, network string) *standin.Store {
	t.Helper()
	store := standin.NewStore()
	store.Put(string(platform.ConfigTopic), platform.ConfigKey, []byte(testConfig))
	for i := range herdTargets {
		target := targets.Target{
			ID: fmt.Sprintf("t-%03d", i), StartedMS: 1, Service: "s", Zone: "z-0", Version: "v1", Slots: 4,
			Address: netip.MustParseAddrPort(fmt.Sprintf("%s.250:%d", network, 20000+i)), Sequence: 1,
		}
		value, err := platform.EncodeTarget(&target)
		assert.NilError(t, err)
		store.Put(string(platform.TargetTopic), target.ID, value)
	}
	served := make(chan error, 1)
	go func() { served <- store.Serve(l) }()
	t.Cleanup(func() {
		assert.NilError(t, store.Close())
		assert.NilError(t, <-served)
	})
	return store
}

func newHerdInstance(t *testing.T, network string, number int) *Daemon {
	t.Helper()
	host := fmt.Sprintf("%s.%d", network, 10+number)
	seeds := make([]string, 0, herdZones)
	for i := range herdZones {
		seeds = append(seeds, fmt.Sprintf("%s.%d:8082", network, 10+i))
	}
	s, err := settings.Parse("test.ini", fmt.Appendf(nil,
		"[instance]\nid = i-%03d\nzone = z-%d\nregion = r\nfirst_start = true\n[callers]\nlisten = %[3]s:8080\nentry = %[3]s:8083\nready = %[3]s:8084\n"+
			"[peers]\nlisten = %[3]s:8081\nseeds = %[4]s\n[admin]\nlisten = %[3]s:8082\n[store]\naddress = %[5]s.1:7000\n[stop]\ngrace = 1s\n",
		number, number%herdZones, host, strings.Join(seeds, ","), network))
	assert.NilError(t, err)
	return New(s, &log.Logger{Handler: discard.New(), Level: log.FatalLevel})
}

// Guards against a start of many instances that costs each of them its own reads of
// the store and packets to every other instance, and against instances that do not
// find all others or start without the targets.
func TestHerdStart(t *testing.T) {
	const instances = herdZones * herdInstancesPerZone
	network, l := freeNetwork(t)
	store := startStoreWithTargets(t, l, network)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	start := time.Now()
	herd := make([]*Daemon, instances)
	for i := range herd {
		herd[i] = newHerdInstance(t, network, i)
		running.Go(func() { assert.Check(t, herd[i].Run(ctx)) })
	}
	eventually(t, "all instances are ready with all targets", func() bool {
		for _, d := range herd {
			if !d.ready() || d.targets.Count() != herdTargets {
				return false
			}
		}
		return true
	})
	eventually(t, "all instances know each other", func() bool {
		for _, d := range herd {
			if d.members.Count() != instances {
				return false
			}
		}
		return true
	})
	calls := 0
	for _, n := range store.Calls() {
		calls += n
	}
	var packets uint64
	for _, d := range herd {
		packets += d.mesh.Stats().PacketsOut
	}
	t.Logf("%d store calls, %d packets", calls, packets)
	assert.Assert(t, calls <= instances, "%d store calls for %d instances", calls, instances)
	// Each instance announces itself to its zone when it is ready, and the forwarders of
	// each zone pass the introductions on. The heartbeats depend on how long all of this
	// takes: until the instances know which are active, each sends them as an active one.
	elapsed := time.Since(start).Seconds()
	heartbeats := uint64(elapsed * (2*herdInstancesPerZone + 0.5*instances))
	bound := instances * (3*herdInstancesPerZone + heartbeats)
	assert.Assert(t, packets <= bound, "%d packets for %d instances in %.1f s, at most %d expected", packets, instances, elapsed, bound)
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "timed out waiting until %s", what)
	}
}
