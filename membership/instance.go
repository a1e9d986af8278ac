package membership

import (
	"cmp"
	"net/netip"
	"slices"
)

// State is the state that an instance reports of itself.
type State int

// The states of an instance.
const (
	Starting State = iota
	Ready
	Leaving
)

// Instance describes one instance.
type Instance struct {
	ID   string
	Zone string
	// Incarnation is the Unix time in milliseconds at which the process started.
	Incarnation   int64
	CallerAddress netip.AddrPort
	PeerAddress   netip.AddrPort
	AdminAddress  netip.AddrPort
	// Millicores is the processor capacity in thousandths of a core, 0 if it is not known.
	Millicores    int
	State         State
	ConfigVersion int64
	// Isolated is set while the instance has lost its network links to the targets of all
	// services. Unreachable are the services to whose targets it has lost them, sorted and
	// empty if these are all. Both change like the state.
	Isolated    bool
	Unreachable []string
}

// Reaches reports whether the instance has not lost its links to the targets of the
// service.
func (in Instance) Reaches(service string) bool {
	return !in.Isolated && !slices.Contains(in.Unreachable, service)
}

// differs reports whether what changes within an incarnation, except for the configuration
// version, differs between two states of an instance.
func (in Instance) differs(other Instance) bool {
	return in.State != other.State || in.Isolated != other.Isolated || !slices.Equal(in.Unreachable, other.Unreachable)
}

// Capacity returns the processor capacity in thousandths of a core. An instance that does
// not state it counts as the smallest one.
func (in Instance) Capacity() int { return max(1, in.Millicores) }

func compareID(a, b Instance) int { return cmp.Compare(a.ID, b.ID) }
