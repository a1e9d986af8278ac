package limits

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// probeFraction is the fraction of the limit that is used.
	probeFraction = 0.8
	// probeBurst is the number of probes of one target that can accumulate
	// during an idle period. The limit is an average, while requests come in
	// bursts.
	probeBurst = 40
)

// ProbeBudget is one instance's share of the probes of one target. It is safe
// for concurrent use.
type ProbeBudget struct{ limiter *rate.Limiter }

// NewProbeBudget returns the budget of one instance. The limit is divided by the
// number of active instances. If only these send probes, they send the target at
// most perSecond probes per second on average.
func NewProbeBudget(perSecond float64, activeInstances int) *ProbeBudget {
	return &ProbeBudget{rate.NewLimiter(rateShare(perSecond, activeInstances), probeBurst)}
}

// SetRate changes the limit and the number of active instances that share
// it.
func (b *ProbeBudget) SetRate(perSecond float64, activeInstances int) {
	b.limiter.SetLimit(rateShare(perSecond, activeInstances))
}

// Allow reports whether the target may be probed now, and withdraws the probe
// from the budget if so.
func (b *ProbeBudget) Allow(now time.Time) bool { return b.limiter.AllowN(now, 1) }

func rateShare(perSecond float64, activeInstances int) rate.Limit {
	return rate.Limit(probeFraction * perSecond / float64(max(1, activeInstances)))
}
