// Package reachability concludes, from the outcomes of connections to the targets of a
// service, whether this instance has lost its network links to them. A single target that
// cannot be reached tells nothing about the instance.
package reachability

import (
	"time"

	"rhubarbrelay/targets"
)

// State is what an instance believes of its links to the targets of a service.
type State int

// The states of a tracker.
const (
	// Reachable means that at least half of the targets can be reached, as far as known.
	Reachable State = iota
	// Impaired means that most of the targets cannot be reached.
	Impaired
	// Lost means that none of the targets can be reached.
	Lost
)

// String returns the name of the state for logs.
func (s State) String() string { return [...]string{"reachable", "impaired", "lost"}[s] }

const (
	// minEvidence is the number of targets whose outcomes must be known before a state is
	// concluded, or all targets of a service that has fewer.
	minEvidence = 8
	// lifetime is how long an outcome counts. The reachability may have changed since.
	lifetime = 10 * time.Second
	// recovered is the fraction of the targets that cannot be reached at or below which the
	// links work again. It is less than the one half from which they are impaired, so that
	// the state does not change with each outcome.
	recovered = 1.0 / 3
	// freshness is the time for which an outcome makes a check unnecessary.
	freshness = time.Second
	// recheckSize is the number of targets that are checked at once while the links are in
	// doubt, lostRecheckSize while all are lost: one that is reached is enough to find out.
	recheckSize     = 8
	lostRecheckSize = 2
)

// outcome is the outcome of the last contact with a target.
type outcome struct {
	reached bool
	at      time.Time
}

// Tracker holds the evidence about the targets of one service. It is not safe for
// concurrent use.
type Tracker struct {
	// known is the number of targets that may be contacted.
	known    int
	outcomes map[targets.Incarnation]outcome
	// unreached is the number of outcomes without a contact.
	unreached int
	state     State
	// reachedAt is the time of the last contact, doubtAt that of the last failed one.
	reachedAt, doubtAt time.Time
}

// NewTracker returns a tracker without evidence, whose state is Reachable.
func NewTracker() *Tracker { return &Tracker{outcomes: map[targets.Incarnation]outcome{}} }

// State returns the current state.
func (t *Tracker) State() State { return t.state }

// Unreached returns the number of targets that could not be reached lately.
func (t *Tracker) Unreached() int { return t.unreached }

// RecordReached records a response of a target.
func (t *Tracker) RecordReached(target targets.Incarnation, now time.Time) {
	t.reachedAt = now
	t.record(target, outcome{true, now})
}

// RecordUnreached records that no connection to a target could be opened.
func (t *Tracker) RecordUnreached(target targets.Incarnation, now time.Time) {
	t.doubtAt = now
	t.record(target, outcome{false, now})
}

// RecordDoubt records an exchange that broke off. The target may be the cause as well as
// the link, so it only makes a check due.
func (t *Tracker) RecordDoubt(now time.Time) { t.doubtAt = now }

// Forget removes what is known of a target that is no longer in service.
func (t *Tracker) Forget(target targets.Incarnation) {
	if o, ok := t.outcomes[target]; ok && !o.reached {
		t.unreached--
	}
	delete(t.outcomes, target)
}

func (t *Tracker) record(target targets.Incarnation, o outcome) {
	t.Forget(target)
	t.outcomes[target] = o
	if !o.reached {
		t.unreached++
	}
	t.conclude()
}

// Update sets the number of targets that may be contacted and discards outcomes that are
// too old.
func (t *Tracker) Update(known int, now time.Time) {
	t.known = known
	for target, o := range t.outcomes {
		if now.Sub(o.at) > lifetime {
			t.Forget(target)
		}
	}
	t.conclude()
}

// conclude derives the state from the evidence. Without enough of it, the state remains.
func (t *Tracker) conclude() {
	contacted := len(t.outcomes)
	switch {
	case t.known == 0, contacted > 0 && float64(t.unreached) <= recovered*float64(contacted):
		t.state = Reachable
	case contacted < min(t.known, minEvidence):
	case t.unreached == contacted:
		t.state = Lost
	case 2*t.unreached > contacted, t.state == Lost:
		t.state = Impaired
	}
}

// ContactedAt returns the time of the last outcome of a target, zero without one.
func (t *Tracker) ContactedAt(target targets.Incarnation) time.Time { return t.outcomes[target].at }

// Reached reports whether the last contact with a target succeeded.
func (t *Tracker) Reached(target targets.Incarnation) bool { return t.outcomes[target].reached }

// ChecksDue returns the number of targets that should be contacted now. regular is set if
// one is due although nothing indicates that the targets cannot be reached.
func (t *Tracker) ChecksDue(regular bool, now time.Time) int {
	switch {
	case t.state == Lost:
		return lostRecheckSize
	case t.state != Reachable, t.doubtAt.After(t.reachedAt) && now.Sub(t.doubtAt) <= lifetime:
		return recheckSize
	case regular && now.Sub(t.reachedAt) > freshness:
		return 1
	}
	return 0
}
