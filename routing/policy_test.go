package routing

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
)

var policyTable = flag.Bool("policytable", false, "print the table of policies over a long trace")

// The fleet and the load of the policy benchmark.
const (
	fleetTargets = 20
	fleetSlots   = 4
	meanWork     = 5 * time.Millisecond
	longTimes    = 50
	longShare    = 0.01
	noiseFactor  = 5
	noiseLength  = 100 * time.Millisecond
	noiseShare   = 0.2
	// noisyCapacity is the part of the capacity that noise leaves.
	noisyCapacity = 1 - noiseShare + noiseShare/noiseFactor
	// workPerRequest is the mean of all requests over that of short ones.
	workPerRequest = 1 - longShare + longShare*longTimes
)

// marking says how the dispatcher learns which requests are long.
type marking int

const (
	declared marking = iota
	classed
	unmarked
)

// arrival is one request of a trace.
type arrival struct {
	at   time.Duration
	work time.Duration
	long bool
}

// trace is an arrival process with the slow times of each target.
type trace struct {
	arrivals []arrival
	noise    [][]period
}

// period is a time during which a target is slow.
type period struct{ from, to time.Duration }

// newTrace makes arrivals whose rate is the function's value at each time,
// relative to the capacity that the noise leaves.
func newTrace(seed uint64, length time.Duration, load func(time.Duration) float64, noisy bool) trace {
	random := rand.New(rand.NewPCG(seed, 1))
	tr := trace{noise: make([][]period, fleetTargets)}
	capacity := float64(fleetTargets*fleetSlots) / meanWork.Seconds() / workPerRequest
	if noisy {
		capacity *= noisyCapacity
		for i := range tr.noise {
			tr.noise[i] = newNoise(random, length)
		}
	}
	for at := time.Duration(0); at < length; {
		at += time.Duration(random.ExpFloat64() / (capacity * load(at)) * float64(time.Second))
		a := arrival{at: at, work: time.Duration(random.ExpFloat64() * float64(meanWork))}
		if random.Float64() < longShare {
			a.long = true
			a.work *= longTimes
		}
		tr.arrivals = append(tr.arrivals, a)
	}
	return tr
}

func newNoise(random *rand.Rand, length time.Duration) []period {
	var noise []period
	quiet := float64(noiseLength) * (1 - noiseShare) / noiseShare
	for at := time.Duration(0); at < 2*length; {
		from := at + time.Duration(random.ExpFloat64()*quiet)
		at = from + time.Duration((0.5+random.Float64())*float64(noiseLength))
		noise = append(noise, period{from: from, to: at})
	}
	return noise
}

// finish returns when the work ends on a target on which it starts at a time.
func finish(noise []period, at, work time.Duration) time.Duration {
	i, _ := slices.BinarySearchFunc(noise, at, func(p period, t time.Duration) int {
		if p.to <= t {
			return -1
		}
		return 1
	})
	for ; i < len(noise); i++ {
		p := noise[i]
		if at < p.from {
			if work <= p.from-at {
				break
			}
			work -= p.from - at
			at = p.from
		}
		if work*noiseFactor <= p.to-at {
			return at + work*noiseFactor
		}
		work -= (p.to - at) / noiseFactor
		at = p.to
	}
	return at + work
}

// idealQueue serves the trace from one queue for all slots. Each request takes
// the slot that finishes it first, with knowledge of all running work and of
// the noise to come.
func idealQueue(tr trace) *hdrhistogram.Histogram {
	return serveTrace(tr, func(slot int, start time.Duration, a arrival) time.Duration {
		return finish(tr.noise[slot/fleetSlots], start, a.work)
	})
}

// presentQueue serves the trace from one queue that knows all running work, but
// of the noise only what is present: it expects a slow target to stay slow.
func presentQueue(tr trace) *hdrhistogram.Histogram {
	return serveTrace(tr, func(slot int, start time.Duration, a arrival) time.Duration {
		if slowAt(tr.noise[slot/fleetSlots], a.at) {
			return start + a.work*noiseFactor
		}
		return start + a.work
	})
}

// blindQueue serves the trace from one queue, without knowledge of the noise:
// each request takes the slot that has been free for the longest time.
func blindQueue(tr trace) *hdrhistogram.Histogram {
	return serveTrace(tr, func(slot int, start time.Duration, _ arrival) time.Duration { return start })
}

// serveTrace serves the trace from one queue. Each request takes the slot with
// the least cost, which may depend on the start.
func serveTrace(tr trace, cost func(slot int, start time.Duration, a arrival) time.Duration) *hdrhistogram.Histogram {
	h := newHistogram()
	free := make([]time.Duration, fleetTargets*fleetSlots)
	for _, a := range tr.arrivals {
		best, bestCost := 0, time.Duration(math.MaxInt64)
		for i, at := range free {
			if c := cost(i, max(at, a.at), a); c < bestCost || c == bestCost && at < free[best] {
				best, bestCost = i, c
			}
		}
		free[best] = finish(tr.noise[best/fleetSlots], max(free[best], a.at), a.work)
		if !a.long {
			record(h, free[best]-a.at)
		}
	}
	return h
}

func slowAt(noise []period, at time.Duration) bool {
	return slices.ContainsFunc(noise, func(p period) bool { return p.from <= at && at < p.to })
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, d.Microseconds()))
}

// fakeTarget runs as many requests at once as it has slots; others wait.
type fakeTarget struct {
	slots    chan struct{}
	inFlight atomic.Int64
	noise    []period
}

// run serves one request and returns the load that the answer reports and when
// the work began.
func (f *fakeTarget) run(start time.Time, work time.Duration) (reported int, began time.Duration) {
	f.inFlight.Add(1)
	f.slots <- struct{}{}
	began = time.Since(start)
	time.Sleep(finish(f.noise, began, work) - began)
	<-f.slots
	return int(f.inFlight.Add(-1)), began
}

// outcome is what a policy did with a trace.
type outcome struct {
	mu       sync.Mutex
	short    *hdrhistogram.Histogram
	long     *hdrhistogram.Histogram
	refused  int
	lateness time.Duration // of the slowest refusal
	finished []finished
	onSlow   int // short requests that began on a slow target
	stats    Stats
}

// finished is a request that was answered.
type finished struct {
	at, latency time.Duration
	began, work time.Duration
	long        bool
}

// options of a simulation.
type simulation struct {
	policy    config.Policy
	instances int
	marking   marking
	seed      uint64
}

// run sends the trace through the dispatchers. It must run in a bubble.
func (s simulation) run(tr trace) *outcome {
	o := &outcome{short: newHistogram(), long: newHistogram()}
	service := fleetService(fleetTargets, fleetSlots)
	service.Policy = s.policy
	fakes := map[netip.AddrPort]*fakeTarget{}
	for i, t := range service.Targets {
		fakes[t.Address] = &fakeTarget{slots: make(chan struct{}, t.Slots), noise: tr.noise[i]}
	}
	dispatchers := make([]*Dispatcher, s.instances)
	for i := range dispatchers {
		dispatchers[i] = NewDispatcher(service, WithRandom(rand.New(rand.NewPCG(s.seed, uint64(i)))))
	}
	random := rand.New(rand.NewPCG(s.seed, 1<<32))
	start := time.Now()
	var group sync.WaitGroup
	for _, a := range tr.arrivals {
		time.Sleep(a.at - time.Since(start))
		d := dispatchers[random.IntN(len(dispatchers))]
		group.Go(func() { s.serve(d, fakes, a, start, o) })
	}
	group.Wait()
	for _, d := range dispatchers {
		o.stats.Ejections += d.Stats().Ejections
		o.stats.Queued += d.Stats().Queued
	}
	return o
}

func (s simulation) serve(d *Dispatcher, fakes map[netip.AddrPort]*fakeTarget, a arrival, start time.Time, o *outcome) {
	arrived := time.Now()
	call := Call{Arrival: arrived, Deadline: arrived.Add(time.Second)}
	switch {
	case s.marking == declared:
		call.Long = a.long
	case s.marking == classed && a.long:
		call.Class = "report"
	case s.marking == classed:
		call.Class = "lookup"
	}
	slot, err := d.Acquire(context.Background(), call)
	if err != nil {
		o.refuse(time.Since(arrived))
		return
	}
	sent := time.Now()
	fake := fakes[slot.Target().Address]
	at := sent.Sub(start)
	slow := slowAt(fake.noise, at)
	reported, began := fake.run(start, a.work)
	slot.Release(Result{Status: Succeeded, Latency: time.Since(sent), Reported: reported, Long: call.Long})
	o.finish(finished{at: a.at, latency: time.Since(arrived), began: began, work: a.work, long: a.long}, slow)
}

func (o *outcome) refuse(after time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refused++
	o.lateness = max(o.lateness, after)
}

func (o *outcome) finish(f finished, slow bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.finished = append(o.finished, f)
	if f.long {
		record(o.long, f.latency)
		return
	}
	if slow {
		o.onSlow++
	}
	record(o.short, f.latency)
}

func fleetService(targets, slots int) *config.Service {
	s := config.NewService("spoolkeep")
	for i := range targets {
		s.Targets = append(s.Targets, config.Target{
			Name:           fmt.Sprintf("t%d", i),
			Address:        address(i),
			Slots:          slots,
			MaxConnections: config.DefaultMaxConnections,
		})
	}
	return s
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 80)
}

func constant(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

func quantiles(h *hdrhistogram.Histogram) string {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return fmt.Sprintf("%7.2f %7.2f %8.2f", ms(50), ms(99), ms(99.9))
}

// TestPolicyTable prints the latencies of short requests under each policy.
// The figures are for reading; TestSlotsNearIdeal checks the order.
func TestPolicyTable(t *testing.T) {
	if !*policyTable {
		t.Skip("run with -policytable")
	}
	const seed = 7
	for _, noisy := range []bool{true, false} {
		tr := newTrace(seed, 30*time.Second, constant(0.8), noisy)
		ideal := idealQueue(tr)
		t.Logf("noise %v, %d requests; latency of short requests in ms: p50 p99 p99.9", noisy, len(tr.arrivals))
		t.Logf("%-24s %s", "ideal, clairvoyant", quantiles(ideal))
		t.Logf("%-24s %s", "ideal, present noise", quantiles(presentQueue(tr)))
		t.Logf("%-24s %s", "ideal, blind to noise", quantiles(blindQueue(tr)))
		for _, instances := range []int{1, 3, 15} {
			for _, policy := range policies() {
				synctest.Test(t, func(t *testing.T) {
					o := simulation{policy: policy, instances: instances, seed: seed}.run(tr)
					ratio := float64(o.short.ValueAtQuantile(99)) / float64(ideal.ValueAtQuantile(99))
					t.Logf("%-16s x%-6d %s  p99/ideal %.2f  long p99 %.0f  on slow %.1f %%  queued %d refused %d",
						policy, instances, quantiles(o.short), ratio, float64(o.long.ValueAtQuantile(99))/1000,
						100*float64(o.onSlow)/float64(o.short.TotalCount()), o.stats.Queued, o.refused)
				})
			}
		}
	}
	for _, m := range []marking{declared, classed, unmarked} {
		tr := newTrace(seed, 30*time.Second, constant(0.8), true)
		synctest.Test(t, func(t *testing.T) {
			o := simulation{policy: config.PolicySlots, instances: 1, seed: seed, marking: m}.run(tr)
			t.Logf("slots x1 marking %d %s refused %d", m, quantiles(o.short), o.refused)
		})
	}
}

func policies() []config.Policy {
	return []config.Policy{
		config.PolicySlots, config.PolicyLeastInFlight, config.PolicyPowerOfTwo, config.PolicyRoundRobin, config.PolicyRandom,
	}
}

// Guards against a change of the choice among targets that loses to a baseline
// or strays from the ideal queue.
func TestSlotsNearIdeal(t *testing.T) {
	const seed = 11
	tr := newTrace(seed, 3*time.Second, constant(0.8), true)
	ideal := idealQueue(tr).ValueAtQuantile(99)
	p99 := map[config.Policy]int64{}
	for _, policy := range policies() {
		synctest.Test(t, func(*testing.T) {
			p99[policy] = simulation{policy: policy, instances: 1, seed: seed}.run(tr).short.ValueAtQuantile(99)
		})
	}
	for _, policy := range policies()[1:] {
		assert.Assert(t, p99[config.PolicySlots] < p99[policy], "%s: %d us, slots: %d us", policy, p99[policy], p99[config.PolicySlots])
	}
	t.Logf("p99 in us: ideal %d, %v", ideal, p99)
	assert.Assert(t, float64(p99[config.PolicySlots]) < 1.5*float64(ideal), "slots: %d us, ideal: %d us", p99[config.PolicySlots], ideal)
}
