package routing

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"time"

	"rhubarbrelay/platform"
	"rhubarbrelay/reachability"
	"rhubarbrelay/upstream"
)

const (
	// reachCheckTimeout limits the check whether a target can be reached.
	reachCheckTimeout = 250 * time.Millisecond
	// maxReachRounds limits the rounds of checks that follow each other at once, while
	// they find targets that can be reached again.
	maxReachRounds = 8
)

// Reach returns the state of the network links to the targets of the service.
func (d *Dispatcher) Reach() reachability.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reach.State()
}

// LastDialError returns the error of the last connection to a target of the service that
// could not be opened, nil if there is none.
func (d *Dispatcher) LastDialError() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastDialError
}

// CheckReach contacts targets if requests do not show whether they can be reached.
// regular is set if one is due although nothing indicates that they cannot. It returns after
// reachCheckTimeout at the latest, unless it finds targets that can be reached again.
func (d *Dispatcher) CheckReach(regular bool) {
	for range maxReachRounds {
		due := d.dueReachChecks(regular)
		reached := false
		var mu sync.Mutex
		var checks sync.WaitGroup
		for _, t := range due {
			checks.Go(func() {
				ok := d.checkReach(t)
				mu.Lock()
				defer mu.Unlock()
				reached = reached || ok
			})
		}
		checks.Wait()
		if !reached || d.Reach() == reachability.Reachable {
			return
		}
	}
}

// dueReachChecks returns the targets that should be contacted now: those whose last
// contact is the longest ago or, to keep its connection open, the one that was reached
// last if a single one is enough.
func (d *Dispatcher) dueReachChecks(regular bool) []*target {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	var known []*target
	for _, t := range d.targets {
		if t.inService() && !t.statements.silent(now) {
			known = append(known, t)
		}
	}
	d.reach.Update(len(known), now)
	n := min(len(known), d.reach.ChecksDue(regular, now))
	if n == 0 {
		return nil
	}
	slices.SortFunc(known, func(a, b *target) int {
		return cmp.Or(d.contactedAt(a).Compare(d.contactedAt(b)), cmp.Compare(a.info.ID, b.info.ID))
	})
	if last := known[len(known)-1]; n == 1 && d.reach.Reached(last.info.Incarnation()) {
		return []*target{last}
	}
	return known[:n]
}

func (d *Dispatcher) contactedAt(t *target) time.Time {
	return d.reach.ContactedAt(t.info.Incarnation())
}

// checkReach contacts a target and reports whether it was reached.
func (d *Dispatcher) checkReach(t *target) bool {
	if d.Service().HealthPath == "" {
		return d.testPath(t)
	}
	if !d.allowProbe(t) {
		return false
	}
	result := d.probeWithin(t, reachCheckTimeout)
	if result.conn != nil {
		result.conn.Release()
	}
	if result.ok {
		d.endBackoff(t)
	}
	return result.ok
}

// endBackoff makes a target usable that was reached again, so that requests need not wait
// for the rest of the backoff.
func (d *Dispatcher) endBackoff(t *target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.backoffUntil, t.backoff = time.Time{}, 0
	d.queue.wakeScanners()
}

// testPath opens a connection to a target that cannot be probed.
func (d *Dispatcher) testPath(t *target) bool {
	if err := t.pool.TestPath(time.Now().Add(reachCheckTimeout)); err != nil {
		d.recordUnreached(t, err)
		return false
	}
	d.mu.Lock()
	d.recordReached(t, d.clock())
	d.mu.Unlock()
	d.endBackoff(t)
	return true
}

func (d *Dispatcher) recordUnreached(t *target, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordFailedContact(t, err, d.clock())
}

// recordFailedContact records that no connection to the target could be opened, or that
// an exchange on one broke off. The caller must hold d.mu.
func (d *Dispatcher) recordFailedContact(t *target, err error, now time.Time) {
	if !errors.Is(err, upstream.ErrUnreachable) {
		d.reach.RecordDoubt(now)
		return
	}
	d.lastDialError = err
	if d.isCurrent(t) {
		d.reach.RecordUnreached(t.info.Incarnation(), now)
	}
}

// recordReached records a response of the target. The caller must hold d.mu.
func (d *Dispatcher) recordReached(t *target, now time.Time) {
	if d.isCurrent(t) {
		d.reach.RecordReached(t.info.Incarnation(), now)
	}
}

// isCurrent reports whether the target is in service and was not removed.
func (d *Dispatcher) isCurrent(t *target) bool {
	return t.inService() && d.targets[t.info.Incarnation()] == t
}

// recordTryReach records what the outcome of a try shows about the link to its target.
// The caller must hold d.mu.
func (d *Dispatcher) recordTryReach(t *target, outcome Outcome, info platform.ResponseInfo, now time.Time) {
	switch {
	case info.Received:
		d.recordReached(t, now)
	case outcome == Failed, outcome == TimedOut:
		d.reach.RecordDoubt(now)
	}
}
