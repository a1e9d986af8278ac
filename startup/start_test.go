package startup

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// startCase is a start of all instances after they have lost their power.
type startCase struct {
	name  string
	setup func(d *simulatedDeployment)
	// The calls to the store are at most fixed and perInstance for each instance; the
	// first instance is ready within firstReady and the last one within lastReady.
	fixed                 int
	perInstance           float64
	firstReady, lastReady time.Duration
}

// The bounds are above the most of some hundred runs, so that the test gives the same
// result every time.
var startCases = []startCase{
	{"seeds first", func(d *simulatedDeployment) { d.seedDelay = -300 * time.Millisecond }, 12, 0, 160 * time.Millisecond, 1500 * time.Millisecond},
	{"seeds last", func(d *simulatedDeployment) { d.seedDelay = 300 * time.Millisecond }, 40, 0.1, 700 * time.Millisecond, 1500 * time.Millisecond},
	{"seeds never", func(d *simulatedDeployment) { d.seedsDown = true }, 40, 0.1, 1300 * time.Millisecond, 1500 * time.Millisecond},
	{"slow store", func(d *simulatedDeployment) {
		d.seedDelay = 300 * time.Millisecond
		d.store.listTime, d.store.loadTime = 300*time.Millisecond, 800*time.Millisecond
	}, 40, 0.55, 2 * time.Second, 3 * time.Second},
	{"a third is refused", func(d *simulatedDeployment) {
		d.seedDelay = 300 * time.Millisecond
		d.store.refuses = func(zone, i int) bool { return (zone+i)%3 == 0 }
	}, 50, 0.2, 700 * time.Millisecond, 2500 * time.Millisecond},
	{"silent store", func(d *simulatedDeployment) {
		d.seedDelay = 300 * time.Millisecond
		d.store.silentFor = 2 * time.Second
	}, 60, 2, 2500 * time.Millisecond, 3500 * time.Millisecond},
}

// setRandomDelays makes all instances start within spread, and the seeds at the end of it
// if they start later, or at once if they start earlier.
func (d *simulatedDeployment) setRandomDelays() {
	delays := make([]time.Duration, len(d.instances))
	for i, in := range d.instances {
		switch {
		case !in.isSeed || d.seedDelay == 0:
			delays[i] = rand.N(d.spread + 1)
		case d.seedDelay > 0:
			delays[i] = d.spread
		default:
			delays[i] = -d.seedDelay
		}
	}
	d.startDelay = func(i int) time.Duration { return delays[i] }
}

// Guards against a start after a loss of power in which the instances wait for seeds that
// start last or never, and against one in which each of them reads the store. With -v it
// prints the table of docs/design/startup.md.
func TestStartAfterPowerFailure(t *testing.T) {
	for _, n := range []int{15, 133, 221, 312} {
		for _, tt := range startCases {
			t.Run(fmt.Sprintf("%d/%s", n, tt.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := newSimulatedDeploymentOf(3, n, false)
					tt.setup(d)
					d.setRandomDelays()
					r := d.start(t, 4*time.Second)
					want := n
					if d.seedsDown {
						want -= 3
					}
					t.Logf("%d calls (%d listings, %d reads of the state), first ready after %s, last after %s, %d notices",
						r.calls(), r.lists, r.loads, r.firstReady.Round(time.Millisecond), r.lastReady.Round(time.Millisecond), r.notices)
					assert.Equal(t, r.loaded, want)
					assert.Assert(t, r.calls() <= int64(tt.fixed)+int64(tt.perInstance*float64(n)), "%d calls", r.calls())
					assert.Assert(t, r.firstReady <= tt.firstReady, "first ready after %s", r.firstReady)
					assert.Assert(t, r.lastReady <= tt.lastReady, "last ready after %s", r.lastReady)
				})
			})
		}
	}
}

// Guards against instances that never become ready, or of which each reads the store,
// where the start times, the store, the seeds and lost notices come together in a way that
// no other test has.
func TestStartModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ms := func(name string, values ...int) time.Duration {
			return time.Duration(rapid.SampledFrom(values).Draw(rt, name)) * time.Millisecond
		}
		zones := rapid.IntRange(1, 4).Draw(rt, "zones")
		n := rapid.IntRange(zones, 40).Draw(rt, "instances")
		spread, seedDelay := ms("spread", 0, 100, 300, 1000), ms("seed_delay", -300, 0, 300)
		listTime, loadTime, silent := ms("list_time", 2, 10, 300), ms("load_time", 20, 80, 800), ms("silent", 0, 0, 500, 2000)
		loss := rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(rt, "loss")
		refused := rapid.SliceOfN(rapid.IntRange(0, 9), 0, 5).Draw(rt, "refused")
		// Without registrations nobody knows of an instance that the store refuses.
		unregistered := len(refused) == 0 && rapid.Bool().Draw(rt, "unregistered")
		seedsDown := n > 20 && !unregistered && rapid.Bool().Draw(rt, "seeds_down")
		var r startResult
		want := 0
		synctest.Test(t, func(t *testing.T) {
			d := newSimulatedDeploymentOf(zones, n, false)
			d.spread, d.seedDelay, d.loss, d.seedsDown = spread, seedDelay, loss, seedsDown
			d.store.listTime, d.store.loadTime, d.store.silentFor, d.store.unregistered = listTime, loadTime, silent, unregistered
			d.store.refuses = func(zone, i int) bool { return slices.Contains(refused, (3*zone+i)%10) }
			d.setRandomDelays()
			if !d.allRefused() {
				want = len(d.instances) - d.seedsNotRunning()
			}
			r = d.start(t, 15*time.Second)
		})
		if r.loaded != want {
			rt.Fatalf("%d of %d instances are ready", r.loaded, want)
		}
		// While the store answers at once and the instances do not all start at the same
		// time, few read it.
		if len(refused) == 0 && silent == 0 && listTime <= 10*time.Millisecond && loadTime <= 80*time.Millisecond &&
			spread >= 300*time.Millisecond && !unregistered && r.calls() > 50+int64(n)/5 {
			rt.Fatalf("%d calls to the store by %d instances", r.calls(), n)
		}
	})
}

func (d *simulatedDeployment) seedsNotRunning() int {
	seeds := 0
	for _, in := range d.instances {
		if in.isSeed && d.seedsDown {
			seeds++
		}
	}
	return seeds
}

// allRefused reports whether the store refuses all instances that run.
func (d *simulatedDeployment) allRefused() bool {
	return !slices.ContainsFunc(d.instances, func(in *simulatedInstance) bool {
		return !d.store.refuses(in.zone, in.index) && (!in.isSeed || !d.seedsDown)
	})
}
