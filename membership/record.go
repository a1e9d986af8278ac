package membership

import (
	"cmp"
	"time"
)

// record is the merge of all reports about one instance id. The merge takes
// maxima only, so that the order and the number of copies of the reports do
// not matter.
type record struct {
	// info is the instance's own report with the highest sequence.
	info Instance
	// left is set by any report of leaving and holds for the incarnation.
	left bool
	// suspected and dead are the claims of others. Each holds until the
	// instance reports a higher sequence.
	suspected claim
	dead      claim
	// suspectedAt is the local time at which the suspicion began to hold.
	suspectedAt time.Time
	// heardAt is the local time of the last message from the instance itself.
	heardAt time.Time
	// diedAt is the local time at which the record became dead.
	diedAt time.Time
}

// claim says that an instance did not respond at a sequence.
type claim struct {
	made     bool
	sequence uint64
}

func (c *claim) add(sequence uint64) {
	c.sequence = max(c.sequence, sequence)
	c.made = true
}

func (c *claim) holds(sequence uint64) bool { return c.made && c.sequence >= sequence }

// state returns the state that the reports add up to. Leaving precedes
// suspicion, because a leaving instance is expected to stop responding.
func (r *record) state() State {
	switch {
	case r.dead.holds(r.info.Sequence):
		return Dead
	case r.left:
		return Leaving
	case r.suspected.holds(r.info.Sequence):
		return Suspect
	default:
		return r.info.State
	}
}

func (r *record) instance() Instance {
	in := r.info
	in.State = r.state()
	return in
}

// merge adds a report about the instance.
func (r *record) merge(in Instance, now time.Time) {
	if in.Incarnation < r.info.Incarnation {
		return
	}
	if in.Incarnation > r.info.Incarnation {
		*r = record{info: Instance{ID: in.ID, Incarnation: in.Incarnation}}
	}
	suspected := r.suspected.holds(r.info.Sequence)
	switch in.State {
	case Suspect, Dead:
		// Only the list and the own wait for a refutation declare an instance
		// dead, so another's claim of death counts as a suspicion.
		r.suspected.add(in.Sequence)
		r.fill(in)
	default:
		r.left = r.left || in.State == Leaving
		if compareReports(in, r.info) > 0 {
			r.info = in
		}
	}
	if !suspected && r.suspected.holds(r.info.Sequence) {
		r.suspectedAt = now
	}
}

// fill takes the addresses of a claim when the instance itself was never
// heard, because a claim is then the only source for them.
func (r *record) fill(in Instance) {
	in.State = Starting
	in.Sequence = 0
	if r.info.Sequence == 0 && compareReports(in, r.info) > 0 {
		r.info = in
	}
}

// compareReports orders the reports of one incarnation. Reports with the same
// sequence differ only when the sender is faulty; the order over all fields
// lets every instance choose the same one.
func compareReports(a, b Instance) int {
	return cmp.Or(
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.State, b.State),
		cmp.Compare(a.Zone, b.Zone),
		a.CallerAddress.Compare(b.CallerAddress),
		a.PeerAddress.Compare(b.PeerAddress),
		a.AdminAddress.Compare(b.AdminAddress),
	)
}
