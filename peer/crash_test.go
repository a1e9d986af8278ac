package peer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrelay/crashes"
	"rhubarbrelay/peer/peerpb"
	"rhubarbrelay/targets"
)

// Guards against an instance that sends a request to targets which has ended them
// elsewhere: in its own zone, in another one, or before it started.
func TestCrashRecordsReachAllInstances(t *testing.T) {
	first := startInstance(t, "a-1")
	all := []*testInstance{
		first, startInstance(t, "a-2", first.address), startInstanceInZone(t, "b", "b-1", first.address),
		startInstanceInZone(t, "b", "b-2", first.address), startInstanceInZone(t, "b", "b-3", first.address),
	}
	for _, in := range all {
		waitFor(t, "all know each other", func() bool {
			for _, other := range all {
				if in != other {
					in.mesh.send(in.mesh.heartbeat(activeInterval), other.address)
				}
			}
			return len(in.directory.Peers()) == len(all)-1
		})
	}
	f := crashes.NewFingerprint([]byte("GET"), nil, nil, nil)
	for i := range int64(crashes.MaxCrashes) {
		first.crashes.Add(f, targets.Incarnation{ID: "t", StartedMS: i})
	}
	first.mesh.BroadcastCrash(first.crashes.Blocked(1)[0])
	for _, in := range all {
		waitFor(t, "the record has arrived", func() bool { return in.crashes.Crashes(f) == crashes.MaxCrashes })
	}
	late := startInstance(t, "a-3", first.address)
	waitFor(t, "a later instance has the record", func() bool { return late.crashes.Crashes(f) == crashes.MaxCrashes })
	first.mesh.BroadcastCrash(crashes.Record{Fingerprint: f})
	for _, in := range all[1:] {
		waitFor(t, "the record is removed", func() bool { return in.crashes.IsEmpty() })
	}
}

// Guards against a statement of a target that reaches only the zone of the instance that
// has heard it, or arrives altered.
func TestStatementsReachAllZones(t *testing.T) {
	first := startInstance(t, "a-1")
	second, remote := startInstance(t, "a-2", first.address), startInstanceInZone(t, "b", "b-1", first.address)
	waitFor(t, "the first knows the others", func() bool { return len(first.directory.Peers()) == 2 })
	want := targets.Statement{Incarnation: targets.Incarnation{ID: "t", StartedMS: 7}, Leaving: true, Limited: true, Limit: 1.5}
	first.mesh.BroadcastStatement(want)
	for _, in := range []*testInstance{second, remote} {
		waitFor(t, "the statement has arrived", func() bool { return in.hasStatement(want) })
	}
	assert.ErrorIs(t, first.mesh.handleStatements(&peerpb.Packet{Statements: []*peerpb.TargetStatement{{Id: "t", Limit: -1}}}), ErrMalformed)
	assert.ErrorIs(t, first.mesh.handleStatements(&peerpb.Packet{Statements: []*peerpb.TargetStatement{{Limit: 1}}}), ErrMalformed)
}

// Guards against an update that is too large for a datagram, and against one whose parts
// leave a gap or repeat a change.
func TestLargeUpdateIsSplit(t *testing.T) {
	first := startInstance(t, "a-1")
	second := startInstance(t, "a-2", first.address)
	waitFor(t, "the first knows the second", func() bool { return len(first.directory.Peers()) == 1 })
	const count = 2*MaxUpdateChanges + 3
	changes, offsets := make([]targets.Change, count), make([]int64, count)
	for i := range count {
		changes[i], offsets[i] = targets.Change{ID: fmt.Sprintf("t-%d", i)}, int64(i)
	}
	first.mesh.BroadcastUpdate(TargetUpdate{From: at(0), To: at(count), Changes: changes}, offsets, false)
	waitFor(t, "three updates have arrived", func() bool { return len(second.received()) == 3 })
	next, received := at(0), 0
	for _, update := range second.received() {
		assert.Equal(t, update.From, next)
		assert.Assert(t, len(update.Changes) <= MaxUpdateChanges)
		next, received = update.To, received+len(update.Changes)
	}
	assert.Equal(t, next, at(count))
	assert.Equal(t, received, count)
}
