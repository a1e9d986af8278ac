package routing

import (
	"math"
	"net/netip"
	"time"

	"rhubarbrelay/config"
	"rhubarbrelay/limits"
)

// Views returns the state of every target.
func (d *Dispatcher) Views() []TargetView {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	views := make([]TargetView, 0, len(d.targets))
	for _, t := range d.targets {
		views = append(views, d.view(t, now))
	}
	return views
}

func (d *Dispatcher) view(t *target, now time.Time) TargetView {
	typical := d.durations.typical
	ratio := t.ratio(typical, now)
	return TargetView{
		Target:   t.config,
		InFlight: len(t.slots),
		Others:   int(math.Round(t.othersNow(now, reportMemory*typical))),
		Limit:    t.limit(),
		Leaving:  t.leaving,
		Ejected:  t.ejection.State() == limits.Ejected,
		Latency:  time.Duration(ratio * typical * float64(time.Second)),
		Reason:   t.reason(ratio, t.othersNow(now, reportMemory*typical)),
	}
}

func (t *target) reason(ratio, others float64) Reason {
	switch {
	case t.config.Drained:
		return ReasonDrained
	case t.leaving:
		return ReasonLeaving
	case t.ejection.State() == limits.Ejected:
		return ReasonEjected
	case t.ejection.State() == limits.Trial:
		return ReasonTrial
	case t.concurrency.Limit() < t.config.Slots && t.concurrency.Ramping():
		return ReasonSlowStart
	case t.concurrency.Limit() < t.config.Slots:
		return ReasonLimited
	case ratio >= slowRatio:
		return ReasonSlow
	case float64(len(t.slots))+others > float64(t.limit())-0.5:
		return ReasonBusy
	default:
		return ReasonNone
	}
}

// Stats returns the counters of the dispatcher.
func (d *Dispatcher) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stats
	s.Waiting = d.queue.len()
	s.InFlight = d.inFlight
	s.LongHeld = d.longHeld
	return s
}

// ProbeReport is what a probe of a target found.
type ProbeReport struct {
	// Reachable is false when no answer came.
	Reachable bool
	// Reported is the number of requests in flight at the target, or NoReport.
	Reported int
}

// ProbeTargets returns the targets that need a probe: those without an answer
// since the quiet time began, ejected ones, and leaving ones, whose signal
// only they themselves can withdraw. Drained ones need none.
func (d *Dispatcher) ProbeTargets(quiet time.Duration) []config.Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	var found []config.Target
	for _, t := range d.targets {
		if t.config.Drained {
			continue
		}
		out := t.leaving || t.ejection.State() != limits.In
		if out || now.Sub(t.lastAnswer) >= quiet && len(t.slots) == 0 {
			found = append(found, t.config)
		}
	}
	return found
}

// ReportProbe takes note of a probe. A good answer does not end an ejection,
// since the health endpoint of a target that rejects all work may still
// answer; a missing one counts as a failed attempt.
func (d *Dispatcher) ReportProbe(address netip.AddrPort, report ProbeReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, ok := d.byAddress[address]
	if !ok {
		return
	}
	now := d.clock()
	if report.Reachable {
		t.lastAnswer = now
		if report.Reported != NoReport {
			t.others = float64(max(0, report.Reported-len(t.slots)))
			t.othersAt = now
		}
	} else if t.ejection.State() == limits.In {
		d.eject(t, t.ejection.Fail(now), now)
	}
	d.refresh(t)
	d.pump(now)
}
