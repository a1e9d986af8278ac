// Package startup makes a starting instance get its state: through another instance
// that has it, or else from the store. It bounds how many of the instances that start
// at the same time read the store, without waiting for particular ones.
package startup

import (
	"math"
	"time"
)

const (
	// firstContactTimeout is how long an instance waits for a response of the seeds, or
	// for a notice of an instance that has started before it.
	firstContactTimeout = 40 * time.Millisecond
	// After that, the probability that an instance has listed the registrations is
	// firstFraction at once and grows by a factor of e in each listTimeConstant, up to
	// earlyFraction. Of hundreds of instances some do so at once, and their notices reach
	// the others before these multiply; of 15, some do so in these 40 ms.
	firstFraction    = 1.0 / 8
	listTimeConstant = 30 * time.Millisecond
	earlyFraction    = 1.0 / 2
	// The others follow within latePeriod, few of them in its first half: if nobody has
	// notified them by then, the store is slow or the deployment very small.
	latePeriod = time.Second
	// signTimeout is how long an instance waits after the last sign of another one that
	// has the state or reads it. Several notices are sent in this time.
	signTimeout = 300 * time.Millisecond
	// maxSignWait limits the time after the start for which signs delay a read, up to
	// twice as long at random. It is longer than hundreds of instances behind links of
	// 10 Mbit/s take to pass the state on.
	maxSignWait = 2 * time.Second
	// contactTimeout is how long an instance waits for the seeds if no instance is
	// registered, up to twice as long at random. It is the first start of a deployment,
	// or the registrations are lost: it could not notify the others.
	contactTimeout = 400 * time.Millisecond
	// At the first start, loadTimeout replaces contactTimeout once another instance is
	// known to run, which reads the state or waits for it like this one.
	loadTimeout = 1200 * time.Millisecond
	// If the registrations cannot be listed, the store fails or is slow, and calls of all
	// would make that worse. The instances then read it between retryDelay and
	// retryDelay+retryPeriod after their start, only a few of many in the first half.
	retryDelay  = 400 * time.Millisecond
	retryPeriod = 4 * time.Second
	// slowListing is the duration of a listing from which on the store counts as slow.
	// Many listings may then end at the same time, and few of the instances are to read
	// their state.
	slowListing = 100 * time.Millisecond
)

// Action is what a starting instance does next in order to get its state.
type Action int

// The actions.
const (
	Wait Action = iota
	// List reads the registrations of the instances.
	List
	// Load reads the state from the store.
	Load
)

// Role is what an instance knows of itself when it starts.
type Role struct {
	// HasSeeds is set if there are seeds, IsSeed if this instance is one of them.
	HasSeeds, IsSeed bool
	// FirstStart is set if all instances start for the first time.
	FirstStart bool
}

// Decision decides when a starting instance reads the store. It handles a start of any
// number of instances within any time, of which each knows only the seeds at first.
//
// Each instance first lists the registrations, by which it can notify the others, at a
// random time whose hazard rate rises. It then reads the state unless it has heard a
// sign of another instance that does so. A sign delays both, so that all read in the end
// if those that have the state fail.
type Decision struct {
	role   Role
	start  time.Time
	random float64 // in [0, 1), the same for all delays: the order of the instances stays
	due    time.Time
	// signedAt is the time of the last sign, listingAt when the listing has begun.
	signedAt, listingAt time.Time
	listed, loading     bool
}

// NewDecision returns the decision of an instance that starts at the given time. random
// is a number in [0, 1).
func NewDecision(role Role, start time.Time, random float64) *Decision {
	d := &Decision{role: role, start: start, random: random}
	switch {
	case !role.HasSeeds:
		d.due, d.listed = start, true // the others are found through the store
	case role.IsSeed:
		d.due, d.listed = start.Add(firstContactTimeout), true
	case role.FirstStart:
		d.due, d.listed = start.Add(d.spread(contactTimeout)), true
	default:
		d.due = start.Add(firstContactTimeout + d.listDelay())
	}
	return d
}

// listDelay returns the random time by which a read is delayed after the first one that
// is possible.
func (d *Decision) listDelay() time.Duration {
	switch {
	case d.random <= firstFraction:
		return 0
	case d.random <= earlyFraction:
		return time.Duration(float64(listTimeConstant) * math.Log(d.random/firstFraction))
	}
	earlyPeriod := time.Duration(float64(listTimeConstant) * math.Log(earlyFraction/firstFraction))
	return earlyPeriod + time.Duration(float64(latePeriod)*math.Cbrt((d.random-earlyFraction)/(1-earlyFraction)))
}

// spread returns a random time between the given one and twice as long.
func (d *Decision) spread(t time.Duration) time.Duration {
	return time.Duration((1 + d.random) * float64(t))
}

// Next returns the action that is due and records it as begun.
func (d *Decision) Next(now time.Time) Action {
	switch {
	case d.loading || now.Before(d.due):
		return Wait
	case d.listed:
		d.loading = true
		return Load
	case !d.listingAt.IsZero():
		return Wait
	}
	d.listingAt = now
	return List
}

// Due returns when Next may return an action other than Wait, unless a sign is recorded
// before. ok is false if that depends on the listing in progress or if the state is being
// read.
func (d *Decision) Due() (due time.Time, ok bool) {
	return d.due, !d.loading && (d.listed || d.listingAt.IsZero())
}

// RecordSign records a sign that another instance has the state or reads it.
func (d *Decision) RecordSign(now time.Time) {
	d.signedAt = now
	limit := d.start.Add(d.spread(maxSignWait))
	due := now.Add(signTimeout + d.listDelay())
	if due.After(limit) {
		due = limit
	}
	if due.After(d.due) {
		d.due = due
	}
	if d.role.FirstStart {
		d.delayUntil(d.spread(loadTimeout))
	}
}

// RecordListing records the result of the listing at the given time: the number of other
// instances that can be notified, or the error.
func (d *Decision) RecordListing(now time.Time, others int, err error) {
	d.listed = true
	switch {
	case err != nil:
		d.delayUntil(retryDelay + time.Duration(float64(retryPeriod)*math.Cbrt(d.random)))
	case d.signedAt.After(d.listingAt): // the sign has set the time
	case others == 0:
		d.delayUntil(d.spread(contactTimeout))
	case now.Sub(d.listingAt) >= slowListing:
		d.delayUntil(now.Sub(d.start) + d.listDelay())
	}
}

// delayUntil delays the next action until the given time after the start.
func (d *Decision) delayUntil(age time.Duration) {
	if due := d.start.Add(age); due.After(d.due) {
		d.due = due
	}
}
