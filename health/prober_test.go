package health

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rhubarbrelay/config"
	"rhubarbrelay/header"
	"rhubarbrelay/limits"
	"rhubarbrelay/routing"
	"rhubarbrelay/upstream"
)

const testInterval = 10 * time.Millisecond

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fleet is a fixed configuration with its table and pools.
type fleet struct {
	config *config.Fleet
	table  *routing.Table
	pools  *upstream.Pools
}

func (f *fleet) Fleet() *config.Fleet { return f.config }

func newFleet(targets ...config.Target) *fleet {
	service := config.NewService("spoolkeep")
	service.ProbeInterval = testInterval
	service.Targets = targets
	f := &fleet{config: config.NewFleet(), table: routing.NewTable(), pools: upstream.NewPools(1)}
	f.config.Services[service.Name] = service
	f.table.Update(f.config)
	f.pools.Update(f.config)
	return f
}

// announcements keeps the latest state of each target.
type announcements struct {
	mu       sync.Mutex
	draining map[netip.AddrPort]bool
}

func (a *announcements) AnnounceTarget(t config.Target, draining bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining[t.Address] = draining
}

func (a *announcements) get(address netip.AddrPort) (draining, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	draining, known = a.draining[address]
	return draining, known
}

// serveHealth answers health requests on loopback.
func serveHealth(t *testing.T, state, load string) config.Target {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != header.HealthPath {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Header().Set(header.State, state)
		w.Header().Set(header.InFlight, load)
	}))
	t.Cleanup(server.Close)
	return config.Target{
		Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Slots: 4, MaxConnections: 4,
	}
}

// runProber runs a prober until the test ends.
func runProber(t *testing.T, f *fleet) (*Prober, *announcements) {
	t.Helper()
	a := &announcements{draining: map[netip.AddrPort]bool{}}
	budget := limits.NewProbeBudget(1, rand.New(rand.NewPCG(1, 1)))
	p := NewProber(f, f.table, f.pools, a, budget, WithTick(time.Millisecond))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-done)
		f.pools.Update(config.NewFleet())
	})
	return p, a
}

func wait(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(time.Millisecond))
}

// Guards against a drain signal or a load of an idle target that nobody sees.
func TestProbeReportsStateAndLoad(t *testing.T) {
	tests := []struct {
		state    string
		draining bool
	}{
		{state: header.StateReady, draining: false},
		{state: header.StateDraining, draining: true},
	}
	for _, tt := range tests {
		t.Run(tt.state, func(t *testing.T) {
			target := serveHealth(t, tt.state, "3")
			f := newFleet(target)
			_, a := runProber(t, f)
			wait(t, "the announcement", func() bool {
				draining, known := a.get(target.Address)
				return known && draining == tt.draining
			})
			wait(t, "the load", func() bool { return f.table.Dispatcher("spoolkeep").Views()[0].Others > 0 })
		})
	}
}

// Guards against a dead idle target that stays in the choice.
func TestDeadTargetIsEjected(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	dead := config.Target{Address: netip.MustParseAddrPort(l.Addr().String()), Slots: 4, MaxConnections: 4}
	assert.NilError(t, l.Close())
	f := newFleet(serveHealth(t, header.StateReady, "0"), dead)
	p, a := runProber(t, f)
	wait(t, "the ejection", func() bool { return f.table.Dispatcher("spoolkeep").Views()[1].Ejected })
	_, known := a.get(dead.Address)
	assert.Assert(t, !known)
	assert.Assert(t, p.Counts().Dead >= 5)
}

// Guards against probes of targets whose answers say enough, and of drained
// ones.
func TestBusyAndDrainedTargetsAreNotProbed(t *testing.T) {
	busy, drained := serveHealth(t, header.StateReady, "0"), serveHealth(t, header.StateReady, "0")
	drained.Drained = true
	idle := serveHealth(t, header.StateReady, "0")
	f := newFleet(busy, drained, idle)
	d := f.table.Dispatcher("spoolkeep")
	slot, err := d.Acquire(context.Background(), routing.Call{Exclude: []netip.AddrPort{idle.Address}})
	assert.NilError(t, err)
	assert.Equal(t, slot.Target().Address, busy.Address)
	p, a := runProber(t, f)
	wait(t, "probes of the idle target", func() bool { return p.Counts().Ready >= 5 })
	for _, target := range []config.Target{busy, drained} {
		_, known := a.get(target.Address)
		assert.Assert(t, !known)
	}
	slot.Release(routing.Result{Status: routing.Succeeded, Reported: routing.NoReport})
}

// Guards against a leaving target whose withdrawn signal nobody sees, since it
// gets no requests.
func TestLeavingTargetIsProbedUntilReady(t *testing.T) {
	target := serveHealth(t, header.StateReady, "0")
	f := newFleet(target)
	f.table.Dispatcher("spoolkeep").SetLeaving(target.Address, true)
	_, a := runProber(t, f)
	wait(t, "the announcement", func() bool {
		draining, known := a.get(target.Address)
		return known && !draining
	})
}
