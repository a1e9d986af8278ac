package daemon

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"rhubarbrelay/admin"
	"rhubarbrelay/config"
	"rhubarbrelay/limits"
	"rhubarbrelay/settings"
)

const (
	// quotaMembersTicks is the number of ticks of the quota shares after which the active
	// instances are determined again.
	quotaMembersTicks = 4
	// quotaLogInterval is the time between two log lines on tenants beyond their quotas.
	quotaLogInterval = 10 * time.Second
)

func quotaLimits(s *settings.Settings) limits.QuotaLimits {
	return limits.QuotaLimits{Window: s.Budgets.QuotaWindow, Overage: s.Budgets.QuotaOverage, Slack: s.Budgets.QuotaSlack}
}

// setQuotas applies the quotas of a configuration.
func (d *Daemon) setQuotas(document *config.Document) {
	tenants := make([]limits.TenantQuota, 0, len(document.Tenants))
	for _, t := range document.Tenants {
		tenants = append(tenants, limits.TenantQuota{Name: t.Name, PerSecond: t.RatePerSecond, Burst: t.Burst})
	}
	d.quotas.SetTenants(tenants)
	select {
	case d.quotasChanged <- struct{}{}:
	default: // a value is pending already
	}
}

// shareQuotas reports the demands of tenants to the other instances until the context
// ends. It does nothing while no tenant has a quota.
func (d *Daemon) shareQuotas(ctx context.Context) error {
	ticker := time.NewTicker(limits.QuotaTick)
	defer ticker.Stop()
	logged := refusalLog{refused: map[string]uint64{}, at: time.Now()}
	for tick := 0; ; tick++ {
		if !d.quotas.Limited() {
			ticker.Stop()
			select {
			case <-ctx.Done():
				return nil
			case <-d.quotasChanged:
			}
			ticker.Reset(limits.QuotaTick)
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if tick%quotaMembersTicks == 0 {
			d.updateQuotaMembers()
		}
		if report, to := d.quotas.Tick(); len(to) > 0 {
			d.mesh.SendDemands(report, to)
		}
		d.logRefusedTenants(&logged)
	}
}

// updateQuotaMembers sets the instances that may share the quotas.
func (d *Daemon) updateQuotaMembers() {
	self, active := d.members.Self().ID, map[string]bool{}
	for _, in := range d.selector.Active() {
		active[in.ID] = true
	}
	ready := d.members.Ready()
	members := make([]limits.QuotaMember, 0, len(ready))
	for _, in := range ready {
		if in.ID != self {
			members = append(members, limits.QuotaMember{ID: in.ID, Incarnation: in.Incarnation, Active: active[in.ID]})
		}
	}
	d.quotas.SetMembers(members)
}

// refusalLog is what was logged of the requests beyond quotas.
type refusalLog struct {
	refused map[string]uint64
	at      time.Time
}

// logRefusedTenants logs the tenants whose requests were refused since the last call that
// did so.
func (d *Daemon) logRefusedTenants(logged *refusalLog) {
	now := time.Now()
	if now.Sub(logged.at) < quotaLogInterval {
		return
	}
	logged.at = now
	for name, s := range d.quotas.Stats() {
		refused := s.Refused - min(s.Refused, logged.refused[name])
		logged.refused[name] = s.Refused
		if refused > 0 {
			d.logger.WithFields(log.Fields{
				"tenant": name, "refused": refused, "rate_per_second": s.PerSecond, "share": s.Share, "demand": s.Demand,
			}).Warn("tenant is beyond its quota")
		}
	}
}

func (d *Daemon) tenantStatus() []admin.TenantStatus {
	stats := d.quotas.Stats()
	tenants := make([]admin.TenantStatus, 0, len(stats))
	for name, s := range stats {
		tenants = append(tenants, admin.TenantStatus{
			Name: name, PerSecond: s.PerSecond, Burst: s.Burst, Share: s.Share, Admitted: s.Admitted, Refused: s.Refused,
		})
	}
	slices.SortFunc(tenants, func(a, b admin.TenantStatus) int { return cmp.Compare(a.Name, b.Name) })
	return tenants
}
