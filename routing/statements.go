package routing

import (
	"time"

	"rhubarbrelay/limits"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

const (
	// statementLogsPerSecond limits the log lines per second about statements of the
	// targets of one service, since a faulty target may change its own in each response.
	statementLogsPerSecond = 5
	// limitRecheckInterval is the time since a target has last stated its limit after
	// which an instance that must not send it requests probes it, as the limit may have
	// ended.
	limitRecheckInterval = 2 * time.Second
	// unprobedLimitLifetime is the time for which a limit holds that is not stated
	// again, if the target cannot be probed.
	unprobedLimitLifetime = time.Minute
)

// LimitSharing tells how many instances share the limit of a target.
type LimitSharing interface {
	// Sharers returns 0 if this instance is not one of them.
	Sharers(target *targets.Target) int
}

// soleInstance is the LimitSharing of an instance without others.
type soleInstance struct{}

// Sharers implements LimitSharing.
func (soleInstance) Sharers(*targets.Target) int { return 1 }

// statements is what a target has stated about itself in its responses.
type statements struct {
	limited bool
	// limit is the number of requests per second from all instances together, if
	// limited. limitStatedAt is when it was last stated.
	limit         float64
	limitStatedAt time.Time
	share         limits.TargetLimit
}

// record takes over what a response states and reports whether it changed. began is
// when the request of the response began: a response to an earlier request may arrive
// after one that states a limit, and does not end it.
func (s *statements) record(info platform.ResponseInfo, began, now time.Time) (changed bool) {
	limit := info.Limit
	switch {
	case !info.Received || limit.Malformed:
		return false
	case limit.Stated:
		changed = !s.limited || s.limit != limit.PerSecond
		s.limited, s.limit, s.limitStatedAt = true, limit.PerSecond, now
	case s.limited && began.After(s.limitStatedAt):
		changed = true
		s.limited, s.share = false, limits.TargetLimit{}
	}
	return changed
}

// recordStatements takes over what a response of the target states. The caller must
// hold d.mu.
func (d *Dispatcher) recordStatements(t *target, info platform.ResponseInfo, began, now time.Time) {
	fields := d.logger.WithField("target", t.info.ID).WithField("service", d.service.Name)
	if info.Limit.Malformed && d.statementLogs.Allow() {
		fields.Warn("target names a malformed limit, which is ignored")
	}
	changed := t.statements.record(info, began, now)
	if t.statements.limited {
		t.statements.share.Update(t.statements.limit, d.sharing.Sharers(t.info), now)
	}
	if !changed || !d.statementLogs.Allow() {
		return
	}
	if t.statements.limited {
		fields.WithField("limit", t.statements.limit).Info("target limits its requests")
		return
	}
	fields.Info("target no longer limits its requests")
}

// admits reports whether the target takes a request of this instance now, by what it
// has stated. The caller must hold d.mu.
func (d *Dispatcher) admits(t *target, now time.Time) bool {
	s := &t.statements
	if s.limited && d.service.HealthPath == "" && now.Sub(s.limitStatedAt) > unprobedLimitLifetime {
		s.limited, s.share = false, limits.TargetLimit{}
	}
	if !s.limited {
		return true
	}
	s.share.Update(s.limit, d.sharing.Sharers(t.info), now)
	return s.share.Allows(now)
}

// mayRecheck reports whether a target that admits no request is worth a probe, since
// its limit may have ended. The caller must hold d.mu.
func (d *Dispatcher) mayRecheck(t *target, now time.Time) bool {
	return d.service.HealthPath != "" && now.Sub(t.statements.limitStatedAt) >= limitRecheckInterval
}

// opensAt returns the time from which some target takes a request of this instance.
// closed is true if targets are usable but none of them admits a request now; ok is
// false if it is then not known when one will.
func (d *Dispatcher) opensAt() (at time.Time, ok, closed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	for _, t := range d.targets {
		if !t.usable(now) {
			continue
		}
		if d.admits(t, now) || d.mayRecheck(t, now) {
			return time.Time{}, false, false
		}
		closed = true
		if opens, known := t.statements.share.OpensAt(); known && (!ok || opens.Before(at)) {
			at, ok = opens, true
		}
	}
	return at, ok, closed
}
