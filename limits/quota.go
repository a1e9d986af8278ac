package limits

import (
	"sync"
	"time"
)

const (
	// maxQuotaRetryAfter limits the delay after which a refused caller may retry, unless
	// the next token takes longer.
	maxQuotaRetryAfter = time.Second
	// maxQuotaWait limits that delay, however low the rate is.
	maxQuotaWait = time.Hour
	// minQuotaRetryAfter is the precision of the Retry-After header.
	minQuotaRetryAfter = 10 * time.Millisecond
	// reportedChange is the fraction of its reported demand, or of an even part of the
	// rate, by which a demand changes before it is reported again.
	reportedChange = 0.15
	// reportRepeats is the number of times that a changed demand is reported, as datagrams
	// are lost.
	reportRepeats = 2
)

// TenantQuota is the quota of a tenant over all instances together. A PerSecond of 0 means
// that there is none.
type TenantQuota struct {
	Name      string
	PerSecond float64
	Burst     float64
}

// maxQuotaRequests limits the rate and the burst of a quota. Larger ones mean the same, as
// no instance admits so many requests, and their sums would not be finite.
const maxQuotaRequests = 1e12

// bounded returns the quota with finite sums.
func (t TenantQuota) bounded() TenantQuota {
	t.PerSecond, t.Burst = min(t.PerSecond, maxQuotaRequests), min(t.Burst, maxQuotaRequests)
	return t
}

// QuotaStats describes a tenant at one instance. Share is in requests per second.
type QuotaStats struct {
	TenantQuota
	Share             float64
	Demand            float64
	Admitted, Refused uint64
}

// quota is the share of one instance of the quota of a tenant: a token bucket.
type quota struct {
	id uint64

	mu         sync.Mutex
	tenant     TenantQuota
	limits     QuotaLimits
	view       *quotaView
	outdated   bool // whether share and size must be determined again
	share      float64
	size       float64
	tokens     float64
	refilledAt time.Time
	// promisedUntil is when the tokens are used up that refused callers were told to come
	// back for.
	promisedUntil time.Time
	meter         demandMeter
	// reported is the demand that the other instances know. agreed is the one that the
	// share is determined with: an increase counts a little after its report, when the
	// others have reduced their shares.
	reported, agreed  float64
	repeats           int // number of further times that reported is sent
	others            map[string]otherDemand
	pooled            pooledBucket
	admitted, refused uint64
}

// otherDemand is the demand that another instance has reported.
type otherDemand struct {
	perSecond float64
	at        time.Time
}

func newQuota(t TenantQuota, limits QuotaLimits, view *quotaView, now time.Time, random func() float64) *quota {
	return &quota{
		id: tenantID(t.Name), tenant: t.bounded(), limits: limits, view: view, outdated: true, size: 1, tokens: 1, refilledAt: now,
		others: map[string]otherDemand{}, pooled: newPooledBucket(random),
	}
}

// take takes a token. If there is none, it returns the time until there is one.
func (q *quota) take(now time.Time) (retryAfter time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.tenant.PerSecond <= 0 {
		q.admitted++
		return 0, true
	}
	q.meter.requests++
	q.refill(now)
	if q.tokens >= 1 || q.pooled.allows() {
		q.tokens = max(0, q.tokens-1)
		q.pooled.take()
		q.admitted++
		return 0, true
	}
	q.refused++
	return q.retryAfter(now), false
}

// refill adds the tokens since the last refill, and determines the share again if needed.
func (q *quota) refill(now time.Time) {
	if elapsed := now.Sub(q.refilledAt).Seconds(); elapsed > 0 {
		q.tokens = min(q.size, q.tokens+elapsed*q.share)
		q.pooled.refill(elapsed)
		q.refilledAt = now
	}
	if q.outdated {
		q.outdated = false
		q.updateShare()
	}
}

func (q *quota) updateShare() {
	n := q.view.instances()
	rate := q.limits.dividedRate(q.tenant, n)
	demands, total := make([]float64, 0, len(q.others)), 0.0
	for id, d := range q.others {
		if !q.view.unheard[id] {
			demands, total = append(demands, d.perSecond), total+d.perSecond
		}
	}
	q.share = fairShare(q.view.pool(rate), q.agreed, demands, q.view.heard)
	q.pooled.update(q.limits, q.tenant, q.view, rate, q.agreed, total)
	burst := q.limits.dividedBurst(q.tenant, n)
	if q.pooled.enabled {
		burst = 0
	}
	q.size = max(1, burst*(evenFraction/float64(n)+(1-evenFraction)*q.share/rate))
	q.tokens = min(q.tokens, q.size)
}

// retryAfter returns the time until there is a token for a refused caller, behind those
// refused before it, as long as that is within maxQuotaRetryAfter.
func (q *quota) retryAfter(now time.Time) time.Duration {
	n := q.view.instances()
	rate := max(q.share, q.view.pool(q.limits.dividedRate(q.tenant, n))/float64(n))
	interval := time.Duration(min(1/rate, maxQuotaWait.Seconds()) * float64(time.Second))
	wait := time.Duration((1 - q.tokens) * float64(interval))
	if behind := q.promisedUntil.Sub(now) + interval; behind > wait && behind <= maxQuotaRetryAfter {
		wait = behind
	}
	if until := now.Add(wait); until.After(q.promisedUntil) {
		q.promisedUntil = until
	}
	return max(minQuotaRetryAfter, wait.Truncate(minQuotaRetryAfter)+minQuotaRetryAfter)
}

// putBack returns the token of a request that was not run.
func (q *quota) putBack(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admitted--
	if q.tenant.PerSecond > 0 {
		q.refill(now)
		q.tokens = min(q.size, q.tokens+1)
		q.pooled.putBack()
	}
}

// setTenant replaces the limits. A share of the new rate applies at once.
func (q *quota) setTenant(t TenantQuota, limits QuotaLimits, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refill(now)
	q.tenant, q.limits, q.outdated = t.bounded(), limits, true
}

func (q *quota) setView(view *quotaView, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refill(now)
	q.view, q.outdated = view, true
}

// setOther records the demand of another instance.
func (q *quota) setOther(id string, d TenantDemand, countFirst bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refill(now)
	q.pooled.setOther(id, d.Admitted, countFirst)
	if d.PerSecond > 0 {
		q.others[id] = otherDemand{d.PerSecond, now}
	} else {
		delete(q.others, id)
	}
	q.outdated = true
}

// recountOther makes the next report of another instance the first one that counts what it
// has admitted.
func (q *quota) recountOther(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pooled.others, id)
}

// endOther records that another instance has no demand.
func (q *quota) endOther(id string, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.others[id]; ok {
		q.refill(now)
		delete(q.others, id)
		q.outdated = true
	}
}

// forgetOther removes an instance that is gone or has restarted.
func (q *quota) forgetOther(id string, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refill(now)
	delete(q.others, id)
	delete(q.pooled.others, id)
	q.outdated = true
}

// expireOthers removes the demands that were not reported again.
func (q *quota) expireOthers(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for id, d := range q.others {
		if now.Sub(d.at) > demandExpiry && !q.view.unheard[id] {
			q.refill(now)
			delete(q.others, id)
			q.outdated = true
		}
	}
}

// measure updates the measured demand and reports whether there is any. A reported
// increase counts from now on. All others have been heard since heardAt.
func (q *quota) measure(now, heardAt time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.tenant.PerSecond <= 0 {
		return false
	}
	if q.meter.requests > 0 || q.meter.average > 0 || q.meter.recent > 0 {
		q.meter.update(now, demandTime(q.tenant.PerSecond, q.view.instances()))
	}
	q.agree(now, q.reported)
	q.pooled.settle(now, heardAt)
	return q.meter.average > 0 || q.reported > 0
}

func (q *quota) agree(now time.Time, demand float64) {
	if demand != q.agreed {
		q.refill(now)
		q.agreed, q.outdated = demand, true
	}
}

// report returns the demand to be reported. ok is false if the others know it well
// enough; all asks for it anyway.
func (q *quota) report(now time.Time, all bool) (d TenantDemand, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.tenant.PerSecond <= 0 {
		return TenantDemand{}, false
	}
	demand := q.meter.average
	least := reportedChange * max(q.reported, q.tenant.PerSecond/float64(q.view.instances()))
	switch {
	case demand-q.reported > least, q.reported-demand > least, (demand > 0) != (q.reported > 0):
		q.repeats = reportRepeats
	case q.pooled.changed(), all && (demand > 0 || q.pooled.own != q.pooled.reported):
		q.repeats = max(1, q.repeats)
	case q.repeats == 0:
		return TenantDemand{}, false
	}
	q.repeats--
	q.reported = demand
	q.pooled.report()
	if demand < q.agreed {
		q.agree(now, demand)
	}
	return TenantDemand{Tenant: q.id, PerSecond: demand, Admitted: q.pooled.own}, true
}

// limited reports whether the tenant has a quota.
func (q *quota) limited() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tenant.PerSecond > 0
}

func (q *quota) stats() QuotaStats {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := QuotaStats{TenantQuota: q.tenant, Demand: q.meter.average, Admitted: q.admitted, Refused: q.refused}
	if q.tenant.PerSecond > 0 {
		s.Share = q.share
	}
	return s
}
