// Package targets keeps the targets of all services, as they register and
// report themselves.
package targets

import (
	"net/netip"
	"time"
)

// State is what a target says of itself.
type State int

// The states of a target.
const (
	Ready State = iota
	// Draining targets finish what they have and get no new requests.
	Draining
)

// Target is a target as it describes itself. Values are immutable.
type Target struct {
	// ID names the target. It may be used again after a restart.
	ID string
	// StartedMS is the Unix time of its start in milliseconds. ID and StartedMS together
	// name one incarnation.
	StartedMS int64
	Service   string
	Address   netip.AddrPort
	Zone      string
	// Version is the version of the target's software.
	Version string
	// Slots is the number of requests that the target runs at once.
	Slots int
	State State
	// Sequence orders the reports of one incarnation.
	Sequence int64
	// WarmupLeft is how much longer the target stays slow after its start.
	WarmupLeft time.Duration
}

// Incarnation names one run of a target.
type Incarnation struct {
	ID        string
	StartedMS int64
}

// Incarnation returns the name of this run of the target.
func (t *Target) Incarnation() Incarnation { return Incarnation{t.ID, t.StartedMS} }

// sameReport returns whether two reports differ in their sequence at most.
func (t *Target) sameReport(o *Target) bool {
	a, b := *t, *o
	a.Sequence, b.Sequence = 0, 0
	return a == b
}
