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
	// finished requests no longer count for a target's speed.
	evidenceWindow = 2
	// priorRequests is the weight of the expected speed, in finished requests.
	priorRequests = 2
	// ageCap bounds, in typical durations, what one unfinished request adds, so
	// that a single long one does not make its target look slow.
	ageCap = 6
	// slowRatio is the speed, relative to the service's typical duration, from
	// which a target counts as slow.
	slowRatio = 2.0
	// slowMemory is the time constant with which a slow target is expected to
	// be normal again. Neighbours disturb a target for some 100 ms.
	slowMemory = 50 * time.Millisecond
	// slowTrialInterval spaces the single requests that show whether a slow
	// target has recovered.
	slowTrialInterval = 20 * time.Millisecond
	// othersMemory is the time constant with which a load report ages, in
	// typical durations: the requests it counted finish at that pace.
	othersMemory = 2
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

	concurrency *limits.Concurrency
	ejection    limits.Ejection

	others   float64 // at othersAt
	othersAt time.Time

	// finished and exposure estimate the speed: finished requests and the time
	// they took together, decayed since evidenceAt.
	finished   float64
	exposure   float64 // seconds
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

// othersNow returns the aged estimate of the requests from other instances.
func (t *target) othersNow(now time.Time, typical float64) float64 {
	if t.others == 0 {
		return 0
	}
	return t.others * math.Exp(-now.Sub(t.othersAt).Seconds()/(othersMemory*typical))
}

// observe counts a finished short request.
func (t *target) observe(latency, typical float64, now time.Time) {
	t.decay(typical, now)
	t.finished++
	t.exposure += min(latency, 2*ageCap*typical)
}

func (t *target) decay(typical float64, now time.Time) {
	factor := math.Exp(-now.Sub(t.evidenceAt).Seconds() / (evidenceWindow * typical))
	t.finished *= factor
	t.exposure *= factor
	t.evidenceAt = now
}

// ratio returns the estimated duration of a short request on this target over
// the typical one of the service.
//
// It is the mean of finished requests and the age of unfinished ones, as for
// durations that are observed only in part, so that a target whose requests do
// not come back counts as slow before the first answer.
func (t *target) ratio(typical float64, now time.Time) float64 {
	t.decay(typical, now)
	exposure := t.exposure
	for _, s := range t.slots {
		if !s.long {
			exposure += min(now.Sub(s.start).Seconds(), ageCap*typical)
		}
	}
	expected := 1.0
	if t.slowness > 0 {
		expected += t.slowness * math.Exp(-now.Sub(t.slowAt).Seconds()/slowMemory.Seconds())
	}
	r := (priorRequests*expected + exposure/typical) / (priorRequests + t.finished)
	if r >= slowRatio && exposure > 0 && t.finished < exposure/typical/slowRatio {
		t.slowness = r - 1
		t.slowAt = now
	}
	return r
}

// hold counts a slot that is given out.
func (t *target) hold(s *Slot) {
	s.position = len(t.slots)
	t.slots = append(t.slots, s)
	if s.long {
		t.long++
	}
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
