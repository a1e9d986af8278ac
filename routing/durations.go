package routing

import "time"

const (
	// durationWeight is the weight of a new duration in the estimate.
	durationWeight = 0.05
	// durationSpread bounds one duration to this multiple of the estimate, so
	// that few long requests do not move it far.
	durationSpread = 3.0
	// objectiveShare is the part of the objective that work takes as long as
	// nothing was measured.
	objectiveShare = 0.35
	maxRoutes      = 4096
)

// durations estimates how long the work of each route takes on a target that is
// neither slow nor crowded.
type durations struct {
	estimates map[string]time.Duration
}

func (d *durations) expect(r *Request) time.Duration {
	if e, ok := d.estimates[r.Route]; ok {
		return e
	}
	return max(time.Millisecond, time.Duration(objectiveShare*float64(r.Objective)))
}

func (d *durations) observe(route string, expected, duration time.Duration) {
	if d.estimates == nil {
		d.estimates = map[string]time.Duration{}
	}
	if len(d.estimates) >= maxRoutes {
		clear(d.estimates)
	}
	bounded := min(duration, time.Duration(durationSpread*float64(expected)))
	d.estimates[route] = expected + time.Duration(durationWeight*float64(bounded-expected))
}
