// Package targets holds the registered targets of all services, as the targets
// report them.
package targets

import (
	"net/netip"
	"time"
)

// State is the state that a target reports.
type State int

// The states of a target.
const (
	Ready State = iota
	// Draining targets finish the requests in progress and get no new ones.
	Draining
)

// Target is a target as it is registered. Values are immutable.
type Target struct {
	// ID identifies the target. It may be used again after a restart.
	ID string
	// StartedMS is the Unix time of its start in milliseconds. ID and StartedMS
	// together identify one incarnation.
	StartedMS int64
	Service   string
	Address   netip.AddrPort
	Zone      string
	// Version is the version of the target's software.
	Version string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	State State
	// Sequence orders the registrations of one incarnation.
	Sequence int64
	// WarmupLeft is the remaining warm-up time, during which the target is slower.
	WarmupLeft time.Duration
}

// Incarnation identifies one run of a target.
type Incarnation struct {
	ID        string
	StartedMS int64
}

// Incarnation returns the identity of this run of the target.
func (t *Target) Incarnation() Incarnation { return Incarnation{t.ID, t.StartedMS} }

// equalIgnoringSequence reports whether two registrations are equal apart from
// their sequence.
func (t *Target) equalIgnoringSequence(other *Target) bool {
	a, b := *t, *other
	a.Sequence, b.Sequence = 0, 0
	return a == b
}
