package routing

import (
	"math"
	"time"

	"rhubarbrelay/limits"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
	"rhubarbrelay/upstream"
)

const (
	// nearlyFull is the part of a target's slots, to the nearest whole one, above
	// which its work takes so much longer that it finishes less in all.
	nearlyFull = 0.8
	// slownessMemory is the time constant with which a measured slowness fades.
	slownessMemory = 3 * time.Second
	// slownessWeight is the weight of a new measurement.
	slownessWeight = 0.2
	// maxRatio bounds one measurement: a long request is not a slow target.
	maxRatio = 3.0
	// overdueRatio is the age of a request in flight, as a multiple of its
	// expected duration, from which the target counts as slow.
	overdueRatio = 3.0
	// failureMemory is the time constant with which failures fade.
	failureMemory = 4 * time.Second
	failureWeight = 0.5
	shedWeight    = 0.3
	// firstBackoff is how long an unreachable target is left out. It doubles
	// with each failure up to maxBackoff.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// coldFactor is how much slower a target is that has just started.
	coldFactor = 2.0
)

// target is the state of one target. The dispatcher's lock guards it.
type target struct {
	info   *targets.Target
	pool   *upstream.Pool
	probes *limits.ProbeBudget
	// warmAt is the time at which the target's cold start is over.
	warmAt time.Time
	// gone is set when another target answered at the address.
	gone bool

	flights []*Lease
	// load is the newest report; sent counts the requests sent since.
	load    platform.Load
	loadAt  time.Time
	hasLoad bool
	sent    int

	slowness float64 // measured duration over expected duration, less 1
	slowAt   time.Time
	failure  float64 // 0 to 1
	failedAt time.Time
	// avoidUntil ends the backoff of an unreachable target.
	avoidUntil time.Time
	backoff    time.Duration
}

func (t *target) usable(now time.Time) bool {
	return t.info.State == targets.Ready && !t.gone && !now.Before(t.avoidUntil)
}

// reported returns the newest report if it is younger than the age.
func (t *target) reported(now time.Time, age time.Duration) bool {
	return t.hasLoad && now.Sub(t.loadAt) <= age
}

// occupied returns the estimated number of requests at the target.
func (t *target) occupied() int {
	if !t.hasLoad {
		return len(t.flights)
	}
	return max(len(t.flights), t.load.Running+t.load.Waiting+t.sent)
}

// room returns the number of requests that the target runs without slowing
// down.
func (t *target) room() int {
	return max(1, int(math.Round(nearlyFull*float64(t.info.Slots))))
}

// full returns whether one more request would slow the target down.
func (t *target) full() bool { return t.occupied() >= t.room() }

// slowdown returns how much longer than usual work takes on the target.
func (t *target) slowdown(now time.Time) float64 {
	factor := 1 + t.slowness*fade(now.Sub(t.slowAt), slownessMemory)
	for _, l := range t.flights {
		if l.expected > 0 {
			if ratio := float64(now.Sub(l.start)) / float64(l.expected); ratio > overdueRatio {
				factor = max(factor, min(maxRatio, ratio))
			}
		}
	}
	if t.reported(now, reportUsable) && t.load.Slowdown > 0 {
		factor *= t.load.Slowdown
	}
	if now.Before(t.warmAt) {
		factor *= coldFactor
	}
	return factor
}

func (t *target) failing(now time.Time) float64 {
	return t.failure * fade(now.Sub(t.failedAt), failureMemory)
}

// observe learns from the duration of a whole answer.
func (t *target) observe(ratio float64, now time.Time) {
	ratio = min(ratio, maxRatio)
	before := t.slowness * fade(now.Sub(t.slowAt), slownessMemory)
	t.slowness = max(0, before+slownessWeight*(ratio-1-before))
	t.slowAt = now
}

func (t *target) fail(weight float64, now time.Time) {
	before := t.failing(now)
	t.failure = before + weight*(1-before)
	t.failedAt = now
}

func (t *target) succeed(now time.Time) {
	t.failure = t.failing(now) * (1 - failureWeight)
	t.failedAt = now
	t.backoff = 0
}

// retreat leaves the target out for a while.
func (t *target) retreat(now time.Time) {
	t.backoff = min(maxBackoff, max(firstBackoff, 2*t.backoff))
	t.avoidUntil = now.Add(t.backoff)
}

func (t *target) report(load platform.Load, now time.Time) {
	t.load, t.loadAt, t.hasLoad, t.sent = load, now, true, 0
}

func (t *target) land(l *Lease) {
	for i, f := range t.flights {
		if f == l {
			last := len(t.flights) - 1
			t.flights[i] = t.flights[last]
			t.flights[last] = nil
			t.flights = t.flights[:last]
			return
		}
	}
}

func fade(age, memory time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(memory))
}
