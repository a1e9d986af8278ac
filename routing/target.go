package routing

import (
	"math"
	"net/netip"
	"time"

	"rhubarbrelay/config"
	"rhubarbrelay/limits"
)

const (
	// evidenceWindow is the time constant, in typical durations, after which
	// finished requests no longer count for a target's speed. 1 sees false
	// slowness, 4 detects late.
	evidenceWindow = 2.0
	// priorRequests is the weight of the expected speed, in finished requests.
	priorRequests = 0.5
	// slowRatio is the speed, relative to the service's typical duration, from
	// which a target counts as slow.
	slowRatio = 2.0
	// slowMemory is the time constant with which a slow target is expected to
	// be normal again. It exceeds the 100 ms for which neighbours disturb a
	// target: with 15 instances, 50 ms gave a p99 higher by a tenth.
	slowMemory = 200 * time.Millisecond
	// slowTrialInterval spaces the single requests that show whether a slow
	// target has recovered.
	slowTrialInterval = 20 * time.Millisecond
	// reportMemory is the time constant, in typical durations, with which a load
	// report ages when targets are compared. A long memory helps an instance
	// that sees few answers of each target. Reports only compare targets; they
	// never make a request wait, since a stale one would hold back free slots.
	reportMemory = 64.0
	// forgottenAfter is the age, in time constants, from which an estimate
	// counts as zero. Exponentials are most of the cost of a decision.
	forgottenAfter = 8
)

// target is the state of one target on this instance.
type target struct {
	config     config.Target
	index      int    // position in Dispatcher.free, or -1
	generation uint64 // of the service version that last named it
	removed    bool
	leaving    bool

	slots []*Slot // in flight
	long  int     // of these, long
	// longCheck is the time from which a short request in flight may have run
	// so long that it counts as long.
	longCheck time.Time

	concurrency *limits.Concurrency
	ejection    limits.Ejection

	others   float64 // at othersAt
	othersAt time.Time

	// finished and exposure estimate the speed: the number of short requests
	// that finished, and the time that short requests spent in flight, both
	// decayed up to evidenceAt.
	finished   float64
	exposure   float64 // typical durations
	evidenceAt time.Time

	slowness    float64 // ratio - 1 when last seen slow, at slowAt
	slowAt      time.Time
	slowTrialAt time.Time
	lastAnswer  time.Time
}

func newTarget(c config.Target) *target {
	return &target{config: c, index: -1, concurrency: limits.NewConcurrency(max(1, c.Slots))}
}

func (t *target) address() netip.AddrPort { return t.config.Address }

// available returns whether the target may get new work at all.
func (t *target) available() bool { return !t.removed && !t.leaving && !t.config.Drained }

// limit returns the number of requests that may be in flight from here.
func (t *target) limit() int {
	switch t.ejection.State() {
	case limits.Ejected:
		return 0
	case limits.Trial:
		return 1
	default:
		return t.concurrency.Limit()
	}
}

// longLimit returns the number of long requests that the target may run.
func (t *target) longLimit() int { return max(1, t.config.Slots/2) }

// othersNow returns the estimate of the requests from other instances, aged
// with the time constant in seconds.
func (t *target) othersNow(now time.Time, memory float64) float64 {
	if t.others == 0 {
		return 0
	}
	age := now.Sub(t.othersAt).Seconds() / memory
	if age > forgottenAfter {
		return 0
	}
	return t.others * math.Exp(-age)
}

// observe counts a finished short request.
func (t *target) observe(typical float64, now time.Time) {
	t.advance(typical, now)
	t.finished++
}

// advance moves the evidence to the time. It must run before the number of
// short requests in flight changes.
func (t *target) advance(typical float64, now time.Time) {
	elapsed := now.Sub(t.evidenceAt).Seconds() / typical
	if elapsed <= 0 {
		return
	}
	factor := 0.0
	if elapsed < forgottenAfter*evidenceWindow {
		factor = math.Exp(-elapsed / evidenceWindow)
	}
	t.finished *= factor
	t.exposure = t.exposure*factor + float64(len(t.slots)-t.long)*evidenceWindow*(1-factor)
	t.evidenceAt = now
}

// ratio returns the estimated duration of a short request on this target over
// the typical one of the service.
//
// It divides the time that short requests spent in flight by the number that
// finished. Requests that have not come back count from their first moment, so
// that a target that has become slow shows before its answers do.
func (t *target) ratio(typical float64, now time.Time) float64 {
	t.advance(typical, now)
	expected := 1.0
	if t.slowness > 0 && now.Sub(t.slowAt) < forgottenAfter*slowMemory {
		expected += t.slowness * math.Exp(-now.Sub(t.slowAt).Seconds()/slowMemory.Seconds())
	}
	observed := (priorRequests + t.exposure) / (priorRequests + t.finished)
	if observed >= slowRatio {
		t.slowness = observed - 1
		t.slowAt = now
	}
	return (priorRequests*expected + t.exposure) / (priorRequests + t.finished)
}

// hold counts a slot that is given out.
func (t *target) hold(s *Slot) {
	s.position = len(t.slots)
	t.slots = append(t.slots, s)
	if s.long {
		t.long++
	}
}

// markLong marks the requests that have been in flight for the age as long and
// returns their number. It marks none while the target finishes nothing else,
// because then the target is slow, not the request long.
func (t *target) markLong(age time.Duration, now time.Time) int {
	if now.Before(t.longCheck) || len(t.slots) == t.long || t.finished < 1 {
		return 0
	}
	marked := 0
	t.longCheck = now.Add(age)
	for _, s := range t.slots {
		switch due := s.start.Add(age); {
		case s.long:
		case !due.After(now):
			s.long = true
			marked++
		case due.Before(t.longCheck):
			t.longCheck = due
		}
	}
	t.long += marked
	return marked
}

// drop takes back a slot.
func (t *target) drop(s *Slot) {
	last := len(t.slots) - 1
	t.slots[s.position] = t.slots[last]
	t.slots[s.position].position = s.position
	t.slots[last] = nil
	t.slots = t.slots[:last]
	if s.long {
		t.long--
	}
}
