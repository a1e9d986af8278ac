package routing

import (
	"slices"
	"time"
)

const (
	// probeWidth is the number of targets that are asked at a time, and
	// probeRounds the number of times before the best answer so far is taken.
	probeWidth  = 3
	probeRounds = 3
	// reportFresh is the age up to which a report is as good as an answer now.
	reportFresh = 15 * time.Millisecond
)

// scan looks for a target once. The second result is false when the service has
// no target that could be asked. A late request takes any target with room.
func (d *Dispatcher) scan(r *Request, late bool) (*Lease, bool) {
	order, expected := d.candidates(r)
	if len(order) == 0 {
		return nil, false
	}
	if best := d.justReported(r); best.target != nil {
		if l := d.take(r, best, expected, 0); l != nil {
			return l, true
		}
	}
	switch {
	case late:
		order = d.nearest(order)
	case !r.Retry && d.awaitsNear(r):
		order = d.near(order)
	}
	best, asked := d.askForBest(order)
	if best.target == nil {
		return nil, true
	}
	if late || d.worthTaking(r, best, expected) {
		if l := d.take(r, best, expected, asked); l != nil {
			return l, true
		}
	}
	best.release()
	return nil, true
}

// askForBest asks the candidates in rounds until one of them is good. It returns
// the best one, which has no target when none may take the request, and the
// number of probes.
func (d *Dispatcher) askForBest(order []candidate) (best candidate, asked int) {
	askedFar := false
	for range probeRounds {
		round := order[:min(probeWidth, len(order))]
		order = order[len(round):]
		if len(round) == 0 || askedFar {
			break
		}
		askedFar = round[0].target.info.Zone != d.terms.Zone
		found, probes := d.ask(round)
		asked += probes
		best = d.better(best, found)
		if best.target != nil && d.isGood(best.target) {
			break
		}
	}
	return best, asked
}

// justReported returns a near target whose report is as good as an answer now,
// such as one that has just finished a request.
func (d *Dispatcher) justReported(r *Request) candidate {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	for _, t := range d.recent.targets {
		if t != nil && t.reported(now, reportFresh) && t.info.Zone == d.terms.Zone && t.usable(now) && !t.full() && d.fast(t, now) &&
			!slices.Contains(r.Exclude, t.info.Incarnation()) && d.targets[t.info.Incarnation()] == t {
			return candidate{target: t}
		}
	}
	return candidate{}
}

// take gives the lease of the chosen target, nil when another request has taken
// its room meanwhile.
func (d *Dispatcher) take(r *Request, c candidate, expected time.Duration, asked int) *Lease {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	t := c.target
	if t.full() || !t.usable(now) {
		return nil
	}
	l := &Lease{
		dispatcher: d, target: t, route: r.Route, start: now, conn: c.conn,
		expected: expected, slowdown: t.slowdown(now),
		Decision: Decision{
			ReportAge: now.Sub(t.loadAt), Running: t.load.Running, Waiting: t.load.Waiting, Slots: t.info.Slots,
			Slowdown: t.load.Slowdown, Probes: asked, Waited: now.Sub(r.Arrival),
		},
	}
	if !t.hasLoad {
		l.Decision.ReportAge = -1
	}
	t.flights = append(t.flights, l)
	t.sent++
	d.stats.Acquired++
	if now.Sub(r.Arrival) > rescanInterval {
		d.stats.Waited++
	}
	return l
}
