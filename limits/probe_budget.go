package limits

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// probeUse is the part of the allowance that is spent.
	probeUse = 0.8
	// probeBurst is the number of probes of one target that a quiet period
	// saves up: the allowance is an average, and requests come in clumps.
	probeBurst = 40
)

// ProbeBudget is one instance's part of the probes of one target. It is safe
// for concurrent use.
type ProbeBudget struct{ limiter *rate.Limiter }

// NewProbeBudget returns the part of one of the given number of instances in
// perSecond probes of a target.
func NewProbeBudget(perSecond float64, instances int) *ProbeBudget {
	return &ProbeBudget{rate.NewLimiter(shareOf(perSecond, instances), probeBurst)}
}

// SetRate changes the number of instances that share the probes.
func (b *ProbeBudget) SetRate(perSecond float64, instances int) {
	b.limiter.SetLimit(shareOf(perSecond, instances))
}

// Allow returns whether the target may be probed now, and spends the probe if
// so.
func (b *ProbeBudget) Allow(now time.Time) bool { return b.limiter.AllowN(now, 1) }

func shareOf(perSecond float64, instances int) rate.Limit {
	return rate.Limit(probeUse * perSecond / float64(max(1, instances)))
}
