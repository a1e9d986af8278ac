package routing

import (
	"math"
	"slices"
	"time"

	"rhubarbrelay/limits"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
	"rhubarbrelay/upstream"
)

const (
	// capacityFraction is the fraction of a target's slots, rounded to a whole
	// number, that is used. Above it, each request takes so much longer that
	// the throughput drops.
	capacityFraction = 0.8
	// excessDurationTimeConstant is the time constant of the decay of
	// excessDuration.
	excessDurationTimeConstant = 3 * time.Second
	// excessDurationWeight is the weight of a new measurement in the moving
	// average.
	excessDurationWeight = 0.2
	// maxSlowdownRatio limits the ratio of the measured to the expected duration
	// of one try, since a long request does not prove that the target is slow.
	// It is also the ratio that is recorded for a try that timed out, and limits
	// the slowdown that a request in flight causes, see overdueRatio.
	maxSlowdownRatio = 3.0
	// overdueRatio is the age of a request in flight, as a multiple of its
	// estimated duration, from which the target counts as slow.
	overdueRatio = 3.0
	// failureTimeConstant is the time constant of the decay of the failure rate.
	failureTimeConstant = 4 * time.Second
	// failureWeight is the weight of a failed or successful try in the failure
	// rate, shedWeight that of a shed request or of an unhealthy response to a
	// health probe.
	failureWeight = 0.5
	shedWeight    = 0.3
	// minBackoff is the time for which a target is not used after a try could
	// not reach it or a health probe ended with an error. It doubles with each
	// further such failure up to maxBackoff, until a try succeeds.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// warmupSlowdown is the slowdown of a target during its warm-up after a
	// start.
	warmupSlowdown = 2.0
)

// target is the state of one target, guarded by the lock of the dispatcher.
type target struct {
	info        *targets.Target
	pool        *upstream.Pool
	probeBudget *limits.ProbeBudget
	// warmAt is the time at which the warm-up of the target ends.
	warmAt time.Time
	// replaced is set when another target has responded at the address.
	replaced bool
	// evacuated is set while the zone of the target is evacuated.
	evacuated  bool
	statements statements
	cold       coldState

	inFlight []*Lease
	// load is the latest report. sentSinceReport counts the requests sent since
	// then.
	load            platform.Load
	loadAt          time.Time
	hasLoad         bool
	sentSinceReport int

	excessDuration   float64 // moving average of measured / expected duration, minus 1
	excessDurationAt time.Time
	lastFailureRate  float64 // 0 to 1, as of failureRateAt
	failureRateAt    time.Time
	// backoffUntil is the end of the backoff. backoff is its latest duration, or
	// 0 after a successful try.
	backoffUntil time.Time
	backoff      time.Duration
}

// inService reports whether the target runs requests, as far as its registration and
// the responses at its address tell, and its zone is not evacuated.
func (t *target) inService() bool {
	return t.info.State == targets.Ready && !t.replaced && !t.evacuated
}

func (t *target) usable(now time.Time) bool { return t.inService() && !now.Before(t.backoffUntil) }

// reportedWithin reports whether the latest report is not older than the given
// age.
func (t *target) reportedWithin(now time.Time, age time.Duration) bool {
	return t.hasLoad && now.Sub(t.loadAt) <= age
}

// occupancy returns the estimated number of requests that run or wait at the
// target.
func (t *target) occupancy() int {
	if !t.hasLoad {
		return len(t.inFlight)
	}
	return max(len(t.inFlight), t.load.Running+t.load.Waiting+t.sentSinceReport)
}

// capacity returns the number of requests that the target runs without slowing
// down.
func (t *target) capacity() int {
	return max(1, int(math.Round(capacityFraction*float64(t.info.Slots))))
}

// isFull reports whether one more request would slow the target down.
func (t *target) isFull() bool { return t.occupancy() >= t.capacity() }

// slowdown returns the expected duration of a request on the target as a
// multiple of the estimated duration.
func (t *target) slowdown(now time.Time) float64 {
	factor := 1 + t.excessDuration*decay(now.Sub(t.excessDurationAt), excessDurationTimeConstant)
	for _, l := range t.inFlight {
		if l.estimate > 0 {
			if ratio := float64(now.Sub(l.start)) / float64(l.estimate); ratio > overdueRatio {
				factor = max(factor, min(maxSlowdownRatio, ratio))
			}
		}
	}
	if t.reportedWithin(now, maxReportAge) && t.load.Slowdown > 0 {
		factor *= t.load.Slowdown
	}
	if now.Before(t.warmAt) || now.Before(t.cold.until) {
		factor *= warmupSlowdown
	}
	return factor
}

func (t *target) failureRate(now time.Time) float64 {
	return t.lastFailureRate * decay(now.Sub(t.failureRateAt), failureTimeConstant)
}

// recordDuration updates excessDuration with the ratio of the measured to the
// expected duration of a try.
func (t *target) recordDuration(ratio float64, now time.Time) {
	ratio = min(ratio, maxSlowdownRatio)
	before := t.excessDuration * decay(now.Sub(t.excessDurationAt), excessDurationTimeConstant)
	t.excessDuration = max(0, before+excessDurationWeight*(ratio-1-before))
	t.excessDurationAt = now
}

func (t *target) recordFailure(weight float64, now time.Time) {
	before := t.failureRate(now)
	t.lastFailureRate = before + weight*(1-before)
	t.failureRateAt = now
}

func (t *target) recordSuccess(now time.Time) {
	t.lastFailureRate = t.failureRate(now) * (1 - failureWeight)
	t.failureRateAt = now
	t.backoff = 0
}

// startBackoff excludes the target for the backoff time, after a try that could
// not reach it or a health probe that ended with an error.
func (t *target) startBackoff(now time.Time) {
	t.backoff = min(maxBackoff, max(minBackoff, 2*t.backoff))
	t.backoffUntil = now.Add(t.backoff)
}

func (t *target) setReport(load platform.Load, now time.Time) {
	t.load, t.loadAt, t.hasLoad, t.sentSinceReport = load, now, true, 0
}

// admitsSuspicion reports whether the request may run beside those in flight on the
// target, see Request.Suspect.
func (t *target) admitsSuspicion(r *Request) bool {
	return !r.Suspect || !slices.ContainsFunc(t.inFlight, func(l *Lease) bool { return l.suspect })
}

func (t *target) removeLease(l *Lease) {
	for i, f := range t.inFlight {
		if f == l {
			last := len(t.inFlight) - 1
			t.inFlight[i] = t.inFlight[last]
			t.inFlight[last] = nil
			t.inFlight = t.inFlight[:last]
			return
		}
	}
}

func decay(age, timeConstant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(timeConstant))
}
