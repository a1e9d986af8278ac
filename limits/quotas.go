package limits

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// QuotaTick is the time between two calls of Tick.
	QuotaTick = 50 * time.Millisecond
	// minReportInterval is the least time between two reports.
	minReportInterval = 200 * time.Millisecond
	// aliveInterval is the longest time between two reports of an instance with demand,
	// which are empty if nothing has changed.
	aliveInterval = 250 * time.Millisecond
	// silenceLimit is the time since the last report after which an instance counts as
	// silent: three intervals.
	silenceLimit = 3 * aliveInterval
	// fullInterval is the time between two reports of all demands, and demandExpiry the
	// time after which one that was not reported again has ended.
	fullInterval = 2 * time.Second
	demandExpiry = 3 * fullInterval
	expiryPeriod = time.Second
	// catchUpTime is the time after a pause of this instance in which it reads the reports
	// that have arrived meanwhile.
	catchUpTime = 200 * time.Millisecond
	// awakeTime is how long an instance reports after the last demand, its own or that of
	// another instance: those with demand must know that they reach the others.
	awakeTime = 2 * fullInterval
	// enableTime is the time after the first quota within which others may not know it yet.
	enableTime = 3 * time.Second
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

// QuotaMember is another instance that is ready. Callers are sent to the active ones.
type QuotaMember struct {
	ID          string
	Incarnation int64
	Active      bool
}

// quotaPeer is what is known of another instance.
type quotaPeer struct {
	incarnation   int64
	active, ready bool
	leaving, idle bool
	heardAt       time.Time // zero before the first report
	silentSince   time.Time // zero unless it is silent
}

// Quotas are the shares of one instance of the quotas of all tenants. The load condition
// is one tenant, or several, that send more than their rate, to few instances or to all.
// Each instance measures the demand of each tenant and reports it to the others; all
// determine their shares from the reports. It is safe for concurrent use.
type Quotas struct {
	clock   func() time.Time
	random  func() float64
	tenants atomic.Pointer[map[string]*quota]

	mu                            sync.Mutex // guards the fields below
	startedAt                     time.Time  // when the first tenant got a quota
	limits                        QuotaLimits
	quotas                        []*quota
	byID                          map[uint64]*quota
	peers                         map[string]*quotaPeer
	view                          *quotaView
	cutOffSince                   time.Time // zero while this instance hears most others
	reportedAt, fullAt, expiredAt time.Time
	tickedAt, catchUpUntil        time.Time // the last tick, and the end of catchUpTime after a pause
	demandAt, awakeSince          time.Time // when there was demand last, and since when
}

// NewQuotas returns the shares of an instance that starts.
func NewQuotas(limits QuotaLimits, clock func() time.Time) *Quotas {
	q := &Quotas{clock: clock, random: rand.Float64, startedAt: clock(), limits: limits, peers: map[string]*quotaPeer{}, view: &quotaView{heard: 1}}
	q.tenants.Store(&map[string]*quota{})
	return q
}

// tenantID returns the hash that identifies a tenant in reports.
func tenantID(name string) uint64 { return xxhash.Sum64String(name) }

// Take takes the token of a request of the tenant. If there is none, ok is false and
// retryAfter is the time until there is one. A tenant that is not known has no limit.
func (q *Quotas) Take(tenant string) (retryAfter time.Duration, ok bool) {
	if t := (*q.tenants.Load())[tenant]; t != nil {
		return t.take(q.clock())
	}
	return 0, true
}

// Return returns the token of a request that was not run.
func (q *Quotas) Return(tenant string) {
	if t := (*q.tenants.Load())[tenant]; t != nil {
		t.putBack(q.clock())
	}
}

// SetTenants replaces the quotas. The shares of known tenants keep their tokens.
func (q *Quotas) SetTenants(tenants []TenantQuota) {
	q.mu.Lock()
	defer q.mu.Unlock()
	known := *q.tenants.Load()
	if !slices.ContainsFunc(q.quotas, (*quota).limited) {
		q.startedAt = q.clock() // nobody has reported so far
	}
	byName := make(map[string]*quota, len(tenants))
	q.quotas, q.byID = nil, make(map[uint64]*quota, len(tenants))
	for _, t := range tenants {
		tenant := known[t.Name]
		if tenant == nil {
			tenant = newQuota(t, q.limits, q.view, q.clock(), q.random)
		} else {
			tenant.setTenant(t, q.limits, q.clock())
		}
		byName[t.Name], q.byID[tenant.id] = tenant, tenant
		q.quotas = append(q.quotas, tenant)
	}
	q.tenants.Store(&byName)
}

// SetLimits replaces the limits of all tenants.
func (q *Quotas) SetLimits(limits QuotaLimits) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limits = limits
	for _, t := range q.quotas {
		t.setTenant(t.stats().TenantQuota, limits, q.clock())
	}
}

// Limited reports whether any tenant has a quota.
func (q *Quotas) Limited() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(q.quotas, (*quota).limited)
}

// SetMembers sets the other instances that are ready.
func (q *Quotas) SetMembers(members []QuotaMember) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, p := range q.peers {
		p.active, p.ready = false, false
	}
	for _, m := range members {
		p := q.peers[m.ID]
		if p == nil && !m.Active {
			continue
		}
		if p == nil || p.incarnation < m.Incarnation {
			p = &quotaPeer{incarnation: m.Incarnation}
			q.forgetDemands(m.ID)
			q.peers[m.ID] = p
			q.fullAt = time.Time{} // it knows none of the demands
		}
		p.active, p.ready = m.Active, true
	}
	q.updateView(q.clock())
}

// Record records a report of another instance.
func (q *Quotas) Record(report DemandReport) {
	now := q.clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.peers[report.Instance]
	switch {
	case p == nil:
		p = &quotaPeer{}
		q.peers[report.Instance] = p
	case report.Incarnation < p.incarnation && now.Sub(p.heardAt) < silenceLimit:
		return // an earlier packet that arrives late
	case report.Incarnation != p.incarnation:
		q.forgetDemands(report.Instance)
	}
	if now.Sub(p.heardAt) >= silenceLimit || now.Sub(q.tickedAt) >= silenceLimit || now.Before(q.catchUpUntil) {
		for _, t := range q.quotas {
			t.recountOther(report.Instance)
		}
	}
	changed := p.heardAt.IsZero() || p.idle != report.Idle || now.Sub(p.heardAt) >= silenceLimit
	p.incarnation, p.heardAt, p.idle, p.leaving = report.Incarnation, now, report.Idle, report.Leaving
	if report.Idle {
		for _, t := range q.quotas {
			t.endOther(report.Instance, now)
		}
	} else {
		q.wake(now)
	}
	for _, d := range report.Demands {
		if t := q.byID[d.Tenant]; t != nil {
			t.setOther(report.Instance, d.PerSecond, d.Admitted, now)
		}
	}
	if changed {
		q.fullAt = time.Time{} // it may have missed reports
		q.updateView(now)
	}
}

// wake records that there is demand now.
func (q *Quotas) wake(now time.Time) {
	if now.Sub(q.demandAt) > awakeTime {
		q.awakeSince = now
	}
	q.demandAt = now
}

func (q *Quotas) forgetDemands(id string) {
	for _, t := range q.quotas {
		t.forgetOther(id, q.clock())
	}
}

// updateView determines which instances are heard, and tells the quotas of a change.
func (q *Quotas) updateView(now time.Time) {
	view := &quotaView{heard: 1, cutOff: cutOffFraction, unheard: map[string]bool{}}
	for id, p := range q.peers {
		switch q.state(p, now) {
		case peerHeard:
			p.silentSince = time.Time{}
			view.heard++
		case peerUnknown:
			view.unknown++
			view.unheard[id] = true
		case peerSilent:
			if p.silentSince.IsZero() {
				p.silentSince = now
			}
			view.silent++
			view.unheard[id] = true
		case peerGone:
			q.forgetDemands(id)
			delete(q.peers, id)
		}
	}
	switch {
	case view.hearsMost():
		q.cutOffSince = time.Time{}
		q.endReservations(view, now)
	case q.cutOffSince.IsZero():
		q.cutOffSince = now
	case now.Sub(q.cutOffSince) > cutOffLateAge:
		view.cutOff = lateCutOffFraction
	}
	old := q.view
	if view.heard == old.heard && view.cutOff == old.cutOff && maps.Equal(view.unheard, old.unheard) && view.silent == old.silent {
		return
	}
	q.view = view
	for _, t := range q.quotas {
		t.setView(view, now)
	}
}

// endReservations removes the silent instances whose last report is too old. Only one
// that hears most others may do so: the silent ones may be cut off and serve as well.
func (q *Quotas) endReservations(view *quotaView, now time.Time) {
	for id, p := range q.peers {
		if !p.silentSince.IsZero() && !p.ready && now.Sub(p.silentSince) >= reservedFor {
			q.forgetDemands(id)
			delete(q.peers, id)
			delete(view.unheard, id)
			view.silent--
		}
	}
}

type peerState int

const (
	peerHeard peerState = iota
	peerUnknown
	peerSilent
	peerGone
)

// state returns the state of another instance. All that callers are sent to report while
// any of them has demand. When the first demand comes, they are unknown until they do.
func (q *Quotas) state(p *quotaPeer, now time.Time) peerState {
	quiet := p.idle || p.heardAt.IsZero()
	switch recent := !p.heardAt.IsZero() && now.Sub(p.heardAt) < silenceLimit; {
	case p.leaving && !recent, quiet && p.ready && !p.active, p.heardAt.IsZero() && !p.ready:
		return peerGone
	case recent:
		return peerHeard
	case now.Sub(q.demandAt) > awakeTime, now.Sub(q.awakeSince) < silenceLimit, now.Sub(q.startedAt) < enableTime && p.heardAt.IsZero():
		return peerUnknown
	}
	return peerSilent
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

// Stats returns the state of all tenants by name.
func (q *Quotas) Stats() map[string]QuotaStats {
	stats := map[string]QuotaStats{}
	for name, t := range *q.tenants.Load() {
		stats[name] = t.stats()
	}
	return stats
}
