package routing

import "time"

const (
	// reportWeight is the weight of a report in the share of contradicted ones.
	reportWeight = 0.005
	// contradictionFactor is how much faster than the share of contradicted reports the
	// trust in all of them falls: reports count for nothing when one in a hundred
	// is contradicted.
	contradictionFactor = 100.0
)

// reportTrust judges the load reports of a service's targets. A report that is
// fresh counts at least the requests of this instance that were sent before
// the answered one and are still in flight; a stale or misleading one misses
// some of them now and then.
type reportTrust struct {
	contradicted float64 // share of the latest reports
}

// observe counts a report.
func (r *reportTrust) observe(contradicted bool) {
	value := 0.0
	if contradicted {
		value = 1
	}
	r.contradicted += reportWeight * (value - r.contradicted)
}

// weight returns how much reports count, between 0 and 1.
func (r *reportTrust) weight() float64 { return max(0, 1-contradictionFactor*r.contradicted) }

// noteReport takes the load report on the answer to a request of this instance.
func (d *Dispatcher) noteReport(t *target, s *Slot, reported int, now time.Time) {
	earlier := 0
	for _, other := range t.slots {
		if other.start.Before(s.start) {
			earlier++
		}
	}
	d.reports.observe(reported < earlier)
	t.others = float64(max(0, reported-len(t.slots)))
	t.othersAt = now
}
