package limits

import "time"

const (
	// overageFraction is the fraction of the overage by which the divided rate exceeds
	// that of the tenant, so that differences between demands and their reports cost it
	// nothing.
	overageFraction = 0.2
	// steadyBurst is the part of the burst that belongs to the divided rate. The rest is for
	// requests that instances admit while their views of each other differ.
	steadyBurst = 0.5
	// transitFraction is the part of the requests of a second that instances may admit
	// together while a report is on its way.
	transitFraction = 0.2
)

// QuotaLimits is how far all instances together may exceed the quotas of tenants: in any
// Window, a tenant gets at most the requests of its rate and its burst, the fraction
// Overage more, and Slack.
type QuotaLimits struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// dividedRate returns the rate that the instances divide. It includes a part of the burst,
// which a tenant may use in each window: one that sends steadily would never get it
// otherwise.
func (l QuotaLimits) dividedRate(t TenantQuota, instances int) float64 {
	perSecond := (t.PerSecond + steadyBurst*t.Burst/l.Window.Seconds()) * (1 + overageFraction*l.Overage)
	return max(t.PerSecond/2, min(perSecond, (l.bound(t)-float64(instances))/l.Window.Seconds()))
}

// dividedBurst returns the tokens that the buckets of the instances hold together. It is
// at least one for each. The bound leaves room for as many more, which instances have at
// their start, and for requests during the transit of reports.
func (l QuotaLimits) dividedBurst(t TenantQuota, instances int) float64 {
	spare := l.bound(t) - l.dividedRate(t, instances)*l.Window.Seconds() - float64(instances) - transitFraction*t.PerSecond
	return max(float64(instances), min(spare, l.maxBurst(t)))
}

// maxBurst returns the most tokens that all instances together hold: the slack, and the
// part of the overage that the divided rate does not use.
func (l QuotaLimits) maxBurst(t TenantQuota) float64 {
	return l.Slack + (1-overageFraction)*l.Overage*(t.PerSecond*l.Window.Seconds()+t.Burst)
}

// bound returns the number of requests in a window that all instances may admit together.
func (l QuotaLimits) bound(t TenantQuota) float64 {
	return (t.PerSecond*l.Window.Seconds()+t.Burst)*(1+l.Overage) + l.Slack
}
