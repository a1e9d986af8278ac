package queueing

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawLoad draws a load of several kinds and tenants above the capacity. Objectives are
// long enough for a request to wait for a slot that another kind occupies. The callers of
// all kinds retry alike: with more attempts more calls are served.
func drawLoad(t *rapid.T) load {
	slots := rapid.IntRange(4, 16).Draw(t, "slots")
	factor := rapid.Float64Range(1.1, 3).Draw(t, "load")
	kinds := rapid.IntRange(1, 4).Draw(t, "kinds")
	tenants := rapid.IntRange(1, 6).Draw(t, "tenants")
	sources := make([]source, 0, kinds*tenants)
	persistent := rapid.Bool().Draw(t, "persistent")
	ignores := persistent && rapid.Bool().Draw(t, "ignores the retry delay")
	total := 0.0
	for k := range kinds {
		work := time.Duration(rapid.IntRange(50, 200).Draw(t, "work")) * time.Millisecond
		objective := time.Duration(rapid.Float64Range(4, 20).Draw(t, "objective") * float64(work))
		s := source{
			kind: fmt.Sprintf("kind-%d", k), priority: rapid.IntRange(0, 3).Draw(t, "priority"), work: work, objective: objective,
			timeout: time.Duration(rapid.Float64Range(3, 5).Draw(t, "timeout") * float64(objective)),
		}
		s.persistent, s.ignoresRetryTime = persistent, ignores
		for i := range tenants {
			s.tenant = fmt.Sprintf("tenant-%d", i)
			s.perSecond = rapid.Float64Range(0.05, 1).Draw(t, "share") * float64(1+i*i)
			total += s.perSecond * work.Seconds()
			sources = append(sources, s)
		}
	}
	for i := range sources {
		sources[i].perSecond *= factor * float64(slots) / total
	}
	return load{name: "random", sources: sources, slots: constantSlots(slots), length: mixLength, warmup: mixWarmup}
}

const (
	mixLength = 24 * time.Second
	// mixWarmup is the time after which calls are counted: a few times the time constant
	// with which kinds and tenants are compared.
	mixWarmup = 2 * shareTimeConstant
)

// mixes is the number of loads that are drawn. Their seeds are fixed, since a bound on
// fractions of random arrivals holds for nearly all seeds only.
const mixes = 40

// Guards against kinds and tenants that starve under some mix of requests, and against
// urgent kinds that are served less often than others.
func TestNoStarvationUnderAnyMix(t *testing.T) {
	mix := rapid.Custom(drawLoad)
	for seed := range mixes {
		l := mix.Example(seed)
		l.name = fmt.Sprintf("seed %d", seed)
		r := play(l, uint64(seed), newOwnOrder)
		checkShares(t, l, &r)
	}
}

// minCalls is the number of calls from which a kind or tenant is checked.
const minCalls = 50

type failer interface {
	Errorf(format string, args ...any)
	Logf(format string, args ...any)
}

// standardError returns that of the served fraction, as an estimate of a probability.
func (t *tally) standardError() float64 {
	p := t.servedFraction()
	return math.Sqrt(p * (1 - p) / max(1, float64(t.calls)))
}

func checkShares(t failer, l load, r *result) {
	for _, groups := range []map[string]*tally{r.kinds, r.tenant} {
		for name, g := range groups {
			if g.calls >= minCalls && g.servedFraction() < r.all.servedFraction()/4 {
				t.Errorf("%s: %s is served %.3f of the time, all %.3f\n%s", l.name, name, g.servedFraction(), r.all.servedFraction(), r.row("queueing"))
			}
		}
	}
	for _, a := range l.sources {
		for _, b := range l.sources {
			urgent, other := r.kinds[a.kind], r.kinds[b.kind]
			deficit := other.servedFraction() - urgent.servedFraction() - 2*urgent.standardError()
			if a.priority < b.priority && urgent.calls >= minCalls && deficit > 0.05 {
				t.Errorf("%s: %s is served %.3f of the time, less urgent %s %.3f\n%s", l.name, a.kind, urgent.servedFraction(), b.kind, other.servedFraction(), r.row("queueing"))
				return
			}
		}
	}
}
