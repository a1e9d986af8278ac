package membership

import (
	"net/netip"

	"rhubarbrelay/timeline"
)

// State is the state of an instance.
type State int

// The states of an instance, in the order in which they replace each other
// within one incarnation.
const (
	Starting State = iota
	Live
	Leaving
	Suspect
	Dead
)

// Instance describes one instance of the system. It is also a report about an
// instance: with state Starting, Live or Leaving it is what the instance says
// of itself, with Suspect or Dead it is a claim of another instance.
type Instance struct {
	ID   string
	Zone string
	// Incarnation is the Unix time in milliseconds at which the process
	// started, 0 when only the platform's list knows the instance.
	Incarnation   int64
	CallerAddress netip.AddrPort
	PeerAddress   netip.AddrPort
	AdminAddress  netip.AddrPort
	State         State
	// Sequence orders the reports about one incarnation.
	Sequence uint64
}

// TargetReport is what a target said of itself to some instance.
type TargetReport struct {
	Address  netip.AddrPort
	Draining bool
	// Stamp is the time at which the instance received the signal. The report
	// with the latest stamp holds.
	Stamp timeline.Stamp
}

// News is a set of reports to be merged into the directories of all instances.
type News struct {
	Instances []Instance
	Targets   []TargetReport
}

// Empty returns whether the news holds no report.
func (n News) Empty() bool { return len(n.Instances) == 0 && len(n.Targets) == 0 }
