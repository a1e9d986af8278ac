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
	// sharedStatementsPerSecond limits, for the same reason, those that the other instances
	// are told of.
	sharedStatementsPerSecond = 20
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

// statements is what an incarnation of a target has stated about itself in its
// responses.
type statements struct {
	// leaving is set for good once the target has stated that it leaves.
	leaving bool
	// quietUntil is the time until which the target wants no requests of this instance.
	quietUntil time.Time
	limited    bool
	// limit is the number of requests per second from all instances together, if
	// limited. limitStatedAt is when it was last stated.
	limit         float64
	limitStatedAt time.Time
	share         limits.TargetLimit
}

// statementChanges tells which statements a response has changed.
type statementChanges struct{ leaving, quiet, limit bool }

// record takes over what a response states. began is when the request of the response
// began: a response to an earlier request may arrive after one that states a limit, and
// does not end it.
func (s *statements) record(info platform.ResponseInfo, began, now time.Time) statementChanges {
	if !info.Received {
		return statementChanges{}
	}
	changes := statementChanges{leaving: info.Leaving && !s.leaving, limit: s.recordLimit(info.Limit, began, now)}
	s.leaving = s.leaving || info.Leaving
	if until := now.Add(info.Quiet.Duration); info.Quiet.Duration > 0 && until.After(s.quietUntil) {
		changes.quiet = !now.Before(s.quietUntil)
		s.quietUntil = until
	}
	return changes
}

func (s *statements) recordLimit(limit platform.Limit, began, now time.Time) (changed bool) {
	switch {
	case limit.Malformed:
	case limit.Stated:
		changed = !s.limited || s.limit != limit.PerSecond
		s.limited, s.limit, s.limitStatedAt = true, limit.PerSecond, now
	case s.limited && began.After(s.limitStatedAt):
		changed = true
		s.endLimit()
	}
	return changed
}

func (s *statements) endLimit() { s.limited, s.share = false, limits.TargetLimit{} }

// silent reports whether the target wants neither requests nor probes now.
func (s *statements) silent(now time.Time) bool { return s.leaving || now.Before(s.quietUntil) }

// count counts the statements that hold.
func (s *statements) count(stats *Stats, now time.Time) {
	if s.limited {
		stats.Limited++
	}
	if s.leaving {
		stats.Leaving++
	}
	if now.Before(s.quietUntil) {
		stats.Quiet++
	}
}

// opensAt returns the time from which the target takes a request of this instance; ok is
// false if that is not known, or never.
func (s *statements) opensAt() (at time.Time, ok bool) {
	at = s.quietUntil
	if s.leaving || !s.limited {
		return at, !s.leaving
	}
	opens, ok := s.share.OpensAt()
	if opens.After(at) {
		at = opens
	}
	return at, ok
}

// recordStatements takes over what a response of the target states. The caller must
// hold d.mu.
func (d *Dispatcher) recordStatements(t *target, info platform.ResponseInfo, began, now time.Time) {
	s := &t.statements
	changes := s.record(info, began, now)
	if s.limited {
		s.share.Update(s.limit, d.sharing.Sharers(t.info), now)
	}
	if (changes.leaving || changes.limit) && d.sharedStatements.Allow() {
		d.onStatement(targets.Statement{Incarnation: t.info.Incarnation(), Leaving: s.leaving, Limited: s.limited, Limit: s.limit})
	}
	malformed := info.Limit.Malformed || info.Quiet.Malformed || info.Cold.Malformed
	if (malformed || changes != statementChanges{}) && d.statementLogs.Allow() {
		d.logStatements(t, changes, malformed, now)
	}
}

// ApplyStatement takes over what another instance has heard of a target, if the target
// is one of this service.
func (d *Dispatcher) ApplyStatement(statement targets.Statement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets[statement.Incarnation]
	if t == nil {
		return
	}
	now := d.clock()
	if statement.ColdLeft > 0 {
		if d.limitsCold() {
			t.cold.extend(statement.ColdLeft, now)
		}
		return
	}
	s := &t.statements
	s.leaving = s.leaving || statement.Leaving
	switch {
	case statement.Limited:
		s.limited, s.limit, s.limitStatedAt = true, statement.Limit, now
		s.share.Update(s.limit, d.sharing.Sharers(t.info), now)
	case s.limited:
		s.endLimit()
	}
}

// RecordLeaving records that a target has stated that it leaves, in a response that another
// instance has received.
func (d *Dispatcher) RecordLeaving(incarnation targets.Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.targets[incarnation]; t != nil {
		t.statements.leaving = true
	}
}

func (d *Dispatcher) logStatements(t *target, changes statementChanges, malformed bool, now time.Time) {
	s := &t.statements
	logger := d.logger.WithField("target", t.info.ID).WithField("service", d.service.Name)
	if malformed {
		logger.Warn("target names a malformed limit or time, which is ignored")
	}
	if changes.leaving {
		logger.Info("target states that it leaves")
	}
	if changes.quiet {
		logger.WithField("time", s.quietUntil.Sub(now).String()).Info("target wants no requests for a time")
	}
	switch {
	case changes.limit && s.limited:
		logger.WithField("limit", s.limit).Info("target limits its requests")
	case changes.limit:
		logger.Info("target no longer limits its requests")
	}
}

// admits reports whether the target takes a request of this instance now, by what it
// has stated. The caller must hold d.mu.
func (d *Dispatcher) admits(t *target, now time.Time) bool {
	s := &t.statements
	if s.silent(now) || !d.admitsCold(t, now) {
		return false
	}
	if s.limited && d.service.HealthPath == "" && now.Sub(s.limitStatedAt) > unprobedLimitLifetime {
		s.endLimit()
	}
	if !s.limited {
		return true
	}
	s.share.Update(s.limit, d.sharing.Sharers(t.info), now)
	return s.share.Allows(now)
}

// mayRecheck reports whether a target that admits no request may be probed, to find out
// whether its limit has ended. The caller must hold d.mu.
func (d *Dispatcher) mayRecheck(t *target, now time.Time) bool {
	if d.mayRecheckCold(t, now) {
		return true
	}
	s := &t.statements
	return s.limited && !s.silent(now) && d.service.HealthPath != "" && now.Sub(s.limitStatedAt) >= limitRecheckInterval
}

// opensAt returns the time from which some target takes a request of this instance.
// closed is true if targets have stated that they take none now, and no other one does;
// ok is false if it is then not known when one will. A target that could not be reached
// may be tried again after its backoff.
func (d *Dispatcher) opensAt() (at time.Time, ok, closed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	for _, t := range d.targets {
		if !t.inService() {
			continue
		}
		opens, known := t.backoffUntil, true
		if !d.admits(t, now) && !d.mayRecheck(t, now) {
			closed = true
			opens, known = d.opensFor(t, now)
		}
		if known && !now.Before(opens) {
			return time.Time{}, false, false
		}
		if known && (!ok || opens.Before(at)) {
			at, ok = opens, true
		}
	}
	return at, ok, closed
}
