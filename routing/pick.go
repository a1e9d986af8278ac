package routing

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleSize bounds the targets that one decision looks at. A random sample
	// of this size holds a good target almost surely.
	sampleSize = 32
	// slownessWeight is the weight of a target's speed against its occupancy.
	slownessWeight = 0.5
	// equalRatio is the speed up to which targets count as equally fast. A
	// smaller one would let traces of an old measurement decide between idle
	// targets, and so never try the slower one again.
	equalRatio = 1.1
	// rejectingPenalty makes a target that has just rejected the last choice
	// among the free ones: its quick answers would make it the emptiest one.
	rejectingPenalty = 10.0
)

// pick returns the best target with a free slot for the call, nil when it must
// wait.
func (d *Dispatcher) pick(call Call, long bool, now time.Time) *target {
	if len(d.free) == 0 || long && d.longHeld >= d.longLimit() {
		return nil
	}
	var best *target
	bestScore := math.Inf(1)
	offset := d.random.IntN(len(d.free))
	for i := range min(sampleSize, len(d.free)) {
		t := d.free[(offset+i)%len(d.free)]
		if long && t.long >= t.longLimit() || slices.Contains(call.Exclude, t.address()) {
			continue
		}
		if score, ok := d.score(t, bestScore, now); ok {
			best, bestScore = t, score
		}
	}
	if best != nil && best.slow(now) {
		best.slowTrialAt = now
	}
	return best
}

// longLimit returns the number of slots that long work may hold.
func (d *Dispatcher) longLimit() int { return max(1, d.slots*d.service.LongPercent/100) }

// score rates a free target, lower is better. The result is false when the
// score is not below the bound, or when waiting for another target is better.
// It checks the cheap parts first, since the rest is most of the cost of a
// decision.
func (d *Dispatcher) score(t *target, bound float64, now time.Time) (float64, bool) {
	typical := d.durations.typical
	limit := float64(t.limit())
	score := float64(len(t.slots)) / limit
	if t.ejection.Rejecting(now) {
		score += rejectingPenalty
	}
	if score >= bound {
		return 0, false
	}
	score += d.reports.weight() * t.othersNow(now, reportMemory*typical) / limit
	if score >= bound {
		return 0, false
	}
	ratio := t.ratio(typical, now)
	d.longHeld += t.markLong(d.durations.longAge(), now)
	if ratio >= slowRatio && !d.worthSlow(t, ratio) && !t.trialDue(now) {
		return 0, false
	}
	score += slownessWeight * max(0, ratio-equalRatio)
	return score, score < bound
}

// worthSlow returns whether a slow target finishes a request earlier than it
// would get a slot elsewhere: the others release one slot each typical duration
// over their requests in flight, and the whole queue is ahead.
func (d *Dispatcher) worthSlow(t *target, ratio float64) bool {
	elsewhere := d.inFlight - len(t.slots)
	return float64(d.queue.len()) >= (ratio-1)*float64(elsewhere)
}

// slow returns whether the target counts as slow, by its latest ratio.
func (t *target) slow(now time.Time) bool {
	return t.slowness > 0 && now.Sub(t.slowAt) < slowMemory
}

// trialDue returns whether a slow target may get a single request that shows
// whether it has recovered.
func (t *target) trialDue(now time.Time) bool {
	return len(t.slots) == t.long && now.Sub(t.slowTrialAt) >= slowTrialInterval
}
