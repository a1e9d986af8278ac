package limits

import (
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
	// expiryPeriod is the time between two searches for demands that have expired.
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

// Stats returns the state of all tenants by name.
func (q *Quotas) Stats() map[string]QuotaStats {
	stats := map[string]QuotaStats{}
	for name, t := range *q.tenants.Load() {
		stats[name] = t.stats()
	}
	return stats
}
