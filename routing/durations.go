package routing

import "time"

const (
	// durationWeight is the weight of a new duration in the moving average.
	durationWeight = 0.05
	// maxDurationRatio limits a measured duration to this multiple of the
	// estimate, so that a few long requests do not distort it.
	maxDurationRatio = 3.0
	// initialObjectiveFraction is the estimate, as a fraction of the objective,
	// until a duration is measured.
	initialObjectiveFraction = 0.35
	// maxRoutes limits the number of estimates. When it is reached, all are
	// discarded.
	maxRoutes = 4096
)

// durationEstimator holds the estimated duration of each route's requests: the
// duration on a target that is neither slow nor full.
type durationEstimator struct {
	estimates map[string]time.Duration
}

func (d *durationEstimator) estimate(r *Request) time.Duration {
	if e, ok := d.estimates[r.Route]; ok {
		return e
	}
	return max(time.Millisecond, time.Duration(initialObjectiveFraction*float64(r.Objective)))
}

func (d *durationEstimator) record(route string, estimate, duration time.Duration) {
	if d.estimates == nil {
		d.estimates = map[string]time.Duration{}
	}
	if len(d.estimates) >= maxRoutes {
		clear(d.estimates)
	}
	bounded := min(duration, time.Duration(maxDurationRatio*float64(estimate)))
	d.estimates[route] = estimate + time.Duration(durationWeight*float64(bounded-estimate))
}
