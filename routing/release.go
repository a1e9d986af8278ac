package routing

import (
	"slices"
	"time"

	"rhubarbrelay/limits"
	"rhubarbrelay/timeline"
)

func (d *Dispatcher) release(s *Slot, result Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.releaseLocked(s, result, d.clock())
}

func (d *Dispatcher) releaseLocked(s *Slot, result Result, now time.Time) {
	if s.released {
		return
	}
	s.released = true
	t := s.target
	t.advance(d.durations.typical, now)
	t.drop(s)
	d.inFlight--
	if s.long {
		d.longHeld--
	}
	d.leave()
	if t.removed && len(t.slots) == 0 && d.byAddress[t.address()] == t {
		delete(d.byAddress, t.address())
	}
	if result.Status != Unused {
		t.lastAnswer = now
		d.learn(t, s, result, now)
	}
	d.refresh(t)
	d.expireEjections(now)
	d.pump(now)
}

// learn updates the estimates and limits of the target from an attempt.
func (d *Dispatcher) learn(t *target, s *Slot, result Result, now time.Time) {
	if result.Reported != NoReport {
		d.noteReport(t, s, result.Reported, now)
	}
	switch result.Status {
	case Succeeded:
		d.learnSuccess(t, s, result, now)
	case Shed:
		d.stats.Sheds++
		t.concurrency.Reject(now)
		d.eject(t, t.ejection.Shed(now), now)
	case Failed, Unreachable, TimedOut:
		d.stats.Failures++
		t.concurrency.Reject(now)
		d.eject(t, t.ejection.Fail(now), now)
	case Unused:
	}
}

// learnSuccess uses the latency of whole answers only: a target that rejects
// quickly must not look fast.
func (d *Dispatcher) learnSuccess(t *target, s *Slot, result Result, now time.Time) {
	long := s.long || result.Long
	if t.ejection.Succeed(now) {
		d.restore(t, now)
	}
	if long {
		t.concurrency.Pass(now)
	} else {
		typical := d.durations.typical
		t.observe(typical, now)
		t.concurrency.Succeed(result.Latency, time.Duration(typical*float64(time.Second)), now)
	}
	d.durations.observe(s.class, long, result.Latency)
}

// eject takes a target that is due out of the choice, unless too many are out.
func (d *Dispatcher) eject(t *target, due bool, now time.Time) {
	if !due {
		return
	}
	trial := t.ejection.State() == limits.Trial
	if !trial && len(d.ejected) >= d.maxEjected() {
		return
	}
	t.ejection.Eject(now)
	if !trial && t.available() {
		d.ejected = append(d.ejected, t)
	}
	d.stats.Ejections++
	d.record(timeline.TargetEjected, t, "until "+t.ejection.Until().Format(time.RFC3339Nano))
}

// maxEjected returns the number of targets that may be out at once. At least
// one may be out as long as another stays.
func (d *Dispatcher) maxEjected() int {
	n := len(d.available)
	if d.service.EjectPercent <= 0 || n < 2 {
		return 0
	}
	return min(n-1, max(1, n*d.service.EjectPercent/100))
}

// restore returns a target after its trial, with a slow start.
func (d *Dispatcher) restore(t *target, now time.Time) {
	d.ejected = slices.DeleteFunc(d.ejected, func(e *target) bool { return e == t })
	t.concurrency.Restart(now)
	d.stats.Returns++
	d.record(timeline.TargetReturned, t, "trial succeeded")
}

func (d *Dispatcher) record(kind timeline.Kind, t *target, detail string) {
	if d.recorder == nil {
		return
	}
	d.recorder.Record(timeline.Event{
		Kind: kind, Service: d.service.Name, Target: t.address().String(), Detail: detail,
	})
}
