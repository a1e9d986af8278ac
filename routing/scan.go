package routing

import (
	"slices"
	"time"
)

const (
	// probeRoundSize is the number of targets that are probed in parallel in
	// one round. probeRounds is the number of rounds after which the best
	// target so far is used.
	probeRoundSize = 3
	probeRounds    = 3
	// freshReportAge is the age up to which a report is used instead of a
	// probe.
	freshReportAge = 15 * time.Millisecond
)

// scan tries once to acquire a target. The second result is false if there is
// no candidate: every target is unusable, excluded or, according to a recent
// report, without capacity for the request. A late request takes any target
// with capacity, but prefers the local zone.
func (d *Dispatcher) scan(r *Request, late bool) (*Lease, bool) {
	ordered, estimate := d.candidates(r)
	if len(ordered) == 0 {
		return nil, false
	}
	if best := d.recentlyReported(r); best.target != nil {
		if l := d.grant(r, best, estimate, 0); l != nil {
			return l, true
		}
	}
	switch {
	case late:
		ordered = d.preferLocal(ordered)
	case !r.Retry && d.shouldWaitForLocal(r):
		ordered = d.localOnly(ordered)
	}
	best, probes := d.probeForBest(ordered)
	if best.target == nil {
		return nil, true
	}
	if late || d.shouldUse(r, best, estimate) {
		if l := d.grant(r, best, estimate, probes); l != nil {
			return l, true
		}
	}
	best.release()
	return nil, true
}

// probeForBest probes the candidates in rounds. It stops after a round with
// which the best target is good, after a round that begins with a target of a
// remote zone, after probeRounds rounds, or when no candidates are left. It
// returns the best candidate and the number of probes. The candidate has no
// target if none may run the request.
func (d *Dispatcher) probeForBest(ordered []candidate) (best candidate, total int) {
	probedRemote := false
	for range probeRounds {
		round := ordered[:min(probeRoundSize, len(ordered))]
		ordered = ordered[len(round):]
		if len(round) == 0 || probedRemote {
			break
		}
		probedRemote = round[0].target.info.Zone != d.settings.Zone
		found, probes := d.probeRound(round)
		total += probes
		best = d.bestOf(best, found)
		if best.target != nil && d.isGood(best.target) {
			break
		}
	}
	return best, total
}

// recentlyReported returns a good target of the local zone whose report is
// fresh, such as one that has just finished a request.
func (d *Dispatcher) recentlyReported(r *Request) candidate {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	for _, t := range d.recent.targets {
		if t != nil && t.reportedWithin(now, freshReportAge) && t.info.Zone == d.settings.Zone && d.isUsableNow(t, now) && d.isGoodLocked(t, now) && t.admitsSuspicion(r) &&
			!slices.Contains(r.Exclude, t.info.Incarnation()) && d.targets[t.info.Incarnation()] == t && !t.pool.Exhausted() {
			return candidate{target: t}
		}
	}
	return candidate{}
}

// isUsableNow reports whether the target may get a request now.
func (d *Dispatcher) isUsableNow(t *target, now time.Time) bool {
	return t.usable(now) && !t.isFull() && d.admits(t, now)
}

// grant returns a lease for the chosen target, or nil if another request has taken its
// capacity in the meantime or no connection to it is free.
func (d *Dispatcher) grant(r *Request, c candidate, estimate time.Duration, probes int) *Lease {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	t := c.target
	if !d.isUsableNow(t, now) || !t.admitsSuspicion(r) || c.lacksConnection() {
		return nil
	}
	t.statements.share.Take(now)
	t.cold.share.Take(now)
	l := &Lease{
		cold:       d.isCold(t, now) || d.isUnconfirmed(t, now),
		dispatcher: d, target: t, info: t.info, route: r.Route, start: now, conn: c.conn,
		estimate: estimate, slowdown: t.slowdown(now), suspect: r.Suspect,
		Decision: Decision{
			ReportAge: now.Sub(t.loadAt), Running: t.load.Running, Waiting: t.load.Waiting, Slots: t.info.Slots,
			Slowdown: t.load.Slowdown, Probes: probes, Waited: now.Sub(r.Arrival),
			Limit: t.statements.limit, Limited: t.statements.limited,
		},
	}
	if !t.hasLoad {
		l.Decision.ReportAge = -1
	}
	t.inFlight = append(t.inFlight, l)
	t.sentSinceReport++
	d.stats.Acquired++
	if now.Sub(r.Arrival) > rescanInterval {
		d.stats.Waited++
	}
	return l
}
