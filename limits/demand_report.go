package limits

import (
	"maps"
	"slices"
	"time"
)

// TenantDemand is the measured demand of a tenant, identified by a hash of its name, and
// the number of its requests that the instance has admitted since its start.
type TenantDemand struct {
	Tenant    uint64
	PerSecond float64
	Admitted  uint32
}

// DemandReport is what an instance reports to the others: the demands that have changed.
type DemandReport struct {
	Instance    string
	Incarnation int64
	// Leaving is set if the instance shuts down, Idle if it has no demand.
	Leaving, Idle bool
	Demands       []TenantDemand
}

// Record records a report of another instance.
func (q *Quotas) Record(report DemandReport) {
	now := q.clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.peers[report.Instance]
	switch {
	case p == nil && report.Idle:
		return // it takes part once it has demand or is active
	case p == nil:
		p = &quotaPeer{}
		q.peers[report.Instance] = p
	case report.Incarnation < p.incarnation && now.Sub(p.heardAt) < silenceLimit:
		return // an earlier packet that arrives late
	case report.Incarnation != p.incarnation:
		q.forgetDemands(report.Instance)
	}
	missed := now.Sub(p.heardAt) >= silenceLimit
	changed := missed || p.idle != report.Idle
	p.incarnation, p.heardAt, p.idle, p.leaving = report.Incarnation, now, report.Idle, report.Leaving
	q.recordDemands(report, missed || now.Sub(q.tickedAt) >= silenceLimit || now.Before(q.catchUpUntil), now)
	if !report.Idle {
		q.wake(now)
	}
	if changed {
		q.fullAt = time.Time{} // it may have missed reports
		q.updateView(now)
	}
}

// recordDemands records the demands of a report. If recount is set, the requests that the
// instance has admitted since the last one do not count.
func (q *Quotas) recordDemands(report DemandReport, recount bool, now time.Time) {
	for _, t := range q.quotas {
		if recount {
			t.recountOther(report.Instance)
		}
		if report.Idle {
			t.endOther(report.Instance, now)
		}
	}
	// All are new to an instance that has just started.
	countFirst := !recount && now.Sub(q.startedAt) >= enableTime
	for _, d := range report.Demands {
		if t := q.byID[d.Tenant]; t != nil {
			t.setOther(report.Instance, d, countFirst, now)
		}
	}
}

// wake records that there is demand now.
func (q *Quotas) wake(now time.Time) {
	if now.Sub(q.demandAt) > awakeTime {
		q.awakeSince = now
	}
	q.demandAt = now
}

// Tick measures the demands. If a report is due, it returns it and the instances that get
// it.
func (q *Quotas) Tick() (report DemandReport, to []string) {
	now := q.clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.tickedAt) >= silenceLimit {
		q.catchUpUntil = now.Add(catchUpTime)
	}
	q.tickedAt = now
	q.updateView(now)
	q.expireDemands(now)
	busy := q.measure(now)
	if busy {
		q.wake(now)
	}
	if now.Sub(q.demandAt) > awakeTime || now.Sub(q.reportedAt) < minReportInterval {
		return DemandReport{}, nil
	}
	report = DemandReport{Idle: !busy, Demands: q.reportDemands(now)}
	if len(report.Demands) == 0 && now.Sub(q.reportedAt) < aliveInterval {
		return DemandReport{}, nil
	}
	q.reportedAt = now
	return report, slices.Sorted(maps.Keys(q.peers))
}

// measure measures the demands and reports whether there are any.
func (q *Quotas) measure(now time.Time) bool {
	heardAt := now
	for _, p := range q.peers {
		if p.active && p.heardAt.Before(heardAt) && now.Sub(p.heardAt) < silenceLimit {
			heardAt = p.heardAt
		}
	}
	busy := false
	for _, t := range q.quotas {
		busy = t.measure(now, heardAt) || busy
	}
	return busy
}

// reportDemands returns the demands that have changed or, after fullInterval, all.
func (q *Quotas) reportDemands(now time.Time) []TenantDemand {
	all := now.Sub(q.fullAt) >= fullInterval
	if all {
		q.fullAt = now
	}
	var demands []TenantDemand
	for _, t := range q.quotas {
		if d, ok := t.report(now, all); ok {
			demands = append(demands, d)
		}
	}
	return demands
}

// expireDemands ends the demands of other instances that were not reported again.
func (q *Quotas) expireDemands(now time.Time) {
	if now.Sub(q.expiredAt) < expiryPeriod {
		return
	}
	q.expiredAt = now
	for _, t := range q.quotas {
		t.expireOthers(now)
	}
}
