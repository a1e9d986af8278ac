package limits

import (
	"math"
	"time"
)

const (
	// failureWeight and shedWeight are added up until a success. Shedding
	// weighs less, since an overloaded target sheds between successes.
	failureWeight = 2
	shedWeight    = 1
	// ejectWeight is the sum that ejects: five failures in a row, or ten sheds.
	ejectWeight = 10
	// shareWindow is the time constant of the failure share.
	shareWindow = time.Second
	// minShareSamples keeps a few failures of a quiet target from ejecting it.
	minShareSamples = 20
	// ejectShare is the failure share that ejects.
	ejectShare = 0.5
	// firstEjection doubles with each ejection up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// rejectingMemory is the time after which a target that rejected is tried
	// like the others. Without an end, one failure would keep it out for as long
	// as the others have free slots.
	rejectingMemory = time.Second
	// forgiveAfter is the time without ejection that halves the next one.
	forgiveAfter = time.Minute
)

// EjectionState says whether a target takes requests.
type EjectionState int

// The states of an Ejection.
const (
	// In means that the target takes requests.
	In EjectionState = iota
	// Ejected means that the target takes no request.
	Ejected
	// Trial means that the target takes one request, which decides.
	Trial
)

// Ejection decides when a target that fails leaves the choice and when it
// returns.
type Ejection struct {
	state    EjectionState
	until    time.Time
	ended    time.Time
	times    int
	row      int
	rejected time.Time
	failures float64
	attempts float64
	updated  time.Time
}

// State returns whether the target takes requests.
func (e *Ejection) State() EjectionState { return e.state }

// Until returns the end of the ejection in progress.
func (e *Ejection) Until() time.Time { return e.until }

// Expire moves an ejection that has ended to the trial.
func (e *Ejection) Expire(now time.Time) bool {
	if e.state != Ejected || now.Before(e.until) {
		return false
	}
	e.state = Trial
	return true
}

// Succeed counts a good answer and returns whether it ended a trial.
func (e *Ejection) Succeed(now time.Time) bool {
	e.count(0, now)
	e.row = 0
	if e.state != Trial {
		return false
	}
	e.state = In
	e.ended = now
	e.failures, e.attempts = 0, 0
	return true
}

// Fail counts a failure and returns whether the target should be ejected.
func (e *Ejection) Fail(now time.Time) bool {
	e.count(1, now)
	e.row += failureWeight
	e.rejected = now
	return e.due()
}

// Shed counts a refusal of the target and returns whether the target should be
// ejected.
func (e *Ejection) Shed(now time.Time) bool {
	e.count(0, now)
	e.row += shedWeight
	e.rejected = now
	return e.due()
}

// Eject begins an ejection.
func (e *Ejection) Eject(now time.Time) {
	if e.state == In && !e.ended.IsZero() {
		e.times = max(0, e.times-int(now.Sub(e.ended)/forgiveAfter))
	}
	e.until = now.Add(min(maxEjection, firstEjection<<min(e.times, 10)))
	e.times++
	e.state = Ejected
	e.row = 0
}

// Rejecting returns whether the target failed or shed a moment ago and has not
// succeeded since.
func (e *Ejection) Rejecting(now time.Time) bool {
	return e.row >= failureWeight && now.Sub(e.rejected) < rejectingMemory
}

func (e *Ejection) due() bool {
	switch e.state {
	case Ejected:
		return false
	case Trial:
		return true
	default:
		share := e.attempts >= minShareSamples && e.failures >= ejectShare*e.attempts
		return e.row >= ejectWeight || share
	}
}

func (e *Ejection) count(failure float64, now time.Time) {
	if !e.updated.IsZero() {
		decay := math.Exp(-now.Sub(e.updated).Seconds() / shareWindow.Seconds())
		e.failures *= decay
		e.attempts *= decay
	}
	e.updated = now
	e.failures += failure
	e.attempts++
}
