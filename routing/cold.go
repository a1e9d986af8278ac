package routing

import (
	"time"

	"rhubarbrelay/limits"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

const (
	// coldFreshness is the age of a health response up to which a target that was warm
	// then is assumed to be. A target may become cold at any time, and gets as many
	// requests as a warm one until that is noticed. An instance's share of the probes
	// allows several within this time, also under load.
	coldFreshness = time.Second
	// coldRecheckInterval is the time between two probes of a target that is known to be
	// cold by an instance that may not send it requests.
	coldRecheckInterval = 2 * time.Second
	// sharedColdMargin is the time by which a target must be cold for longer than known
	// for the other instances to be told.
	sharedColdMargin = 500 * time.Millisecond
	// sharedColdPerSecond limits the statements about the cold time of the targets of one
	// service that others are told of. A whole zone may become cold at once.
	sharedColdPerSecond = 200
)

// ColdSharing tells of which cold targets this instance shares the limit.
type ColdSharing interface {
	Share(target *targets.Target) limits.ColdShare
}

// soleColdSharer is the ColdSharing of an instance without others.
type soleColdSharer struct{}

// Share implements ColdSharing.
func (soleColdSharer) Share(*targets.Target) limits.ColdShare {
	return limits.ColdShare{Sharers: 1, Settled: true}
}

// ColdLimits are the limits for the requests to a cold target within any second, from all
// instances together: PerSecond of the service times Overage, and Slack in addition.
type ColdLimits struct{ Overage, Slack float64 }

// coldState is what is known of the cold time of one incarnation of a target.
type coldState struct {
	// until is the time until which it is cold, as far as it has stated that. statedAt is
	// when the statement was known: a response to an earlier probe does not shorten it.
	until, statedAt time.Time
	// confirmedAt is when the last probe began that the target has responded to.
	confirmedAt time.Time
	// assumed is set if it counts as cold until a health response says otherwise.
	assumed bool
	share   limits.ColdLimit
}

// extend takes over that the target is cold for the given time at least.
func (c *coldState) extend(left time.Duration, now time.Time) {
	if until := now.Add(left); left > 0 && until.After(c.until) {
		c.until, c.statedAt = until, now
	}
}

// limitsCold reports whether the targets of the service must be protected while they are
// cold. The caller must hold d.mu.
func (d *Dispatcher) limitsCold() bool { return d.service.ColdPerSecond > 0 }

// isCold reports whether the target is known or assumed to be cold. The caller must hold
// d.mu.
func (d *Dispatcher) isCold(t *target, now time.Time) bool {
	return d.limitsCold() && (now.Before(t.cold.until) || t.cold.assumed && d.service.HealthPath != "")
}

// isUnconfirmed reports whether the target may have become cold since its last health
// response. The caller must hold d.mu.
func (d *Dispatcher) isUnconfirmed(t *target, now time.Time) bool {
	return d.limitsCold() && d.service.HealthPath != "" && now.Sub(t.cold.confirmedAt) > coldFreshness
}

// admitsCold reports whether the target takes a request of this instance now, as far as
// it may be cold. The caller must hold d.mu.
func (d *Dispatcher) admitsCold(t *target, now time.Time) bool {
	if !d.isCold(t, now) && !d.isUnconfirmed(t, now) {
		return true
	}
	d.updateColdShare(t)
	return t.cold.share.Allows(now)
}

func (d *Dispatcher) updateColdShare(t *target) {
	l := d.settings.Cold
	t.cold.share.Update(d.service.ColdPerSecond*l.Overage, l.Slack, d.coldSharing.Share(t.info))
}

// mayRecheckCold reports whether a target that is not admitted may be probed, to find out
// whether it is cold. The caller must hold d.mu.
func (d *Dispatcher) mayRecheckCold(t *target, now time.Time) bool {
	if t.statements.silent(now) || !d.isUnconfirmed(t, now) {
		return false
	}
	return !now.Before(t.cold.until) || now.Sub(t.cold.confirmedAt) >= coldRecheckInterval
}

// opensFor returns the time from which a target takes a request of this instance; ok is
// false if that is not known, or never. The caller must hold d.mu.
func (d *Dispatcher) opensFor(t *target, now time.Time) (at time.Time, ok bool) {
	at, ok = t.statements.opensAt()
	if !ok || !d.isCold(t, now) && !d.isUnconfirmed(t, now) {
		return at, ok
	}
	opens, ok := t.cold.share.OpensAt()
	if opens.After(at) {
		at = opens
	}
	return at, ok
}

// usableCapacity returns the number of requests that the usable targets run at a time,
// and the requests per second that the cold ones among them take of this instance. The
// caller must hold d.mu.
func (d *Dispatcher) usableCapacity(now time.Time) (capacity int, coldRate float64) {
	for _, t := range d.targets {
		switch {
		case !t.usable(now) || t.statements.limited || t.statements.silent(now):
		case d.isCold(t, now):
			d.updateColdShare(t)
			coldRate += t.cold.share.Rate()
		default:
			capacity += t.capacity()
		}
	}
	return capacity, coldRate
}

// recordRegisteredCold takes over the cold time in a registration. The caller must hold
// d.mu.
func (d *Dispatcher) recordRegisteredCold(t *target, info *targets.Target, now time.Time) {
	if d.limitsCold() && (t.info == nil || t.info.Sequence != info.Sequence) {
		t.cold.extend(info.WarmupLeft, now)
	}
	if t.info == nil {
		// Before its first request as after one: this instance may have sent the target
		// requests before its registration was removed.
		t.cold.share.Take(now)
	}
}

// recordCold takes over what a health response states, whose probe began at the given
// time. A target that states no cold time is as cold as its registration says. The caller
// must hold d.mu.
func (d *Dispatcher) recordCold(t *target, cold platform.Cold, began, now time.Time) {
	c := &t.cold
	if !d.limitsCold() || cold.Malformed || began.Before(c.confirmedAt) {
		return
	}
	c.confirmedAt = began
	if began.Before(c.statedAt) {
		c.extend(cold.Left, now)
		return
	}
	c.assumed = false
	if !cold.Stated {
		return
	}
	until := now.Add(cold.Left)
	longer := cold.Left > 0 && until.Sub(c.until) > sharedColdMargin
	c.until, c.statedAt = until, began
	if longer {
		d.logger.WithField("target", t.info.ID).WithField("service", d.service.Name).WithField("left", cold.Left.String()).Debug("target is cold")
		if d.sharedCold.Allow() {
			s := &t.statements
			d.onStatement(targets.Statement{
				Incarnation: t.info.Incarnation(), Leaving: s.leaving, Limited: s.limited, Limit: s.limit, ColdLeft: cold.Left,
			})
		}
	}
}
