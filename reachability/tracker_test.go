package reachability

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/targets"
)

func target(i int) targets.Incarnation {
	return targets.Incarnation{ID: fmt.Sprintf("t-%d", i), StartedMS: 1}
}

// record records the outcomes of the first targets: those that are reached, then those
// that are not.
func record(tracker *Tracker, reached, unreached int, now time.Time) {
	for i := range reached + unreached {
		if i < reached {
			tracker.RecordReached(target(i), now)
		} else {
			tracker.RecordUnreached(target(i), now)
		}
	}
}

// Guards against an instance that concludes from a few targets, or from many bad ones,
// that it has lost its links, and against one that does not notice that it has.
func TestState(t *testing.T) {
	tests := []struct {
		name                      string
		known, reached, unreached int
		want                      State
	}{
		{"no evidence", 22, 0, 0, Reachable},
		{"a few of many targets", 22, 0, 7, Reachable},
		{"enough targets, none reached", 22, 0, 8, Lost},
		{"all targets of a small service", 3, 0, 3, Lost},
		{"not all targets of a small service", 3, 0, 2, Reachable},
		{"half of the targets", 22, 11, 11, Reachable},
		{"most of the targets", 22, 10, 12, Impaired},
		{"one target reached", 22, 1, 21, Impaired},
		{"no targets", 0, 0, 5, Reachable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(100, 0)
			tracker := NewTracker()
			tracker.Update(tt.known, now)
			record(tracker, tt.reached, tt.unreached, now)
			assert.Equal(t, tracker.State(), tt.want)
		})
	}
}

// Guards against a state that changes with each outcome, and against one that remains
// after the links work again.
func TestRecovery(t *testing.T) {
	now := time.Unix(100, 0)
	tracker := NewTracker()
	tracker.Update(12, now)
	record(tracker, 0, 12, now)
	assert.Equal(t, tracker.State(), Lost)
	record(tracker, 1, 11, now)
	assert.Equal(t, tracker.State(), Impaired)
	record(tracker, 7, 5, now)
	assert.Equal(t, tracker.State(), Impaired)
	record(tracker, 8, 4, now)
	assert.Equal(t, tracker.State(), Reachable)
	record(tracker, 7, 5, now)
	assert.Equal(t, tracker.State(), Reachable)
}

// Guards against a conclusion from outcomes that are too old or of targets that are gone.
func TestOldEvidence(t *testing.T) {
	now := time.Unix(100, 0)
	tracker := NewTracker()
	tracker.Update(9, now)
	record(tracker, 0, 7, now)
	now = now.Add(lifetime + time.Millisecond)
	tracker.Update(9, now)
	tracker.RecordUnreached(target(8), now)
	assert.Equal(t, tracker.State(), Reachable)
	assert.Equal(t, tracker.Unreached(), 1)
	tracker.Forget(target(8))
	assert.Equal(t, tracker.Unreached(), 0)
	record(tracker, 0, 8, now)
	assert.Equal(t, tracker.State(), Lost) // control
	tracker.Update(0, now)
	assert.Equal(t, tracker.State(), Reachable)
}

// Guards against checks of a service whose requests show that it is reached, and against
// a failure that no check follows.
func TestChecksDue(t *testing.T) {
	now := time.Unix(100, 0)
	later := now.Add(freshness + time.Millisecond)
	tests := []struct {
		name    string
		prepare func(*Tracker)
		regular bool
		want    int
	}{
		{"no evidence", func(*Tracker) {}, true, 1},
		{"no evidence, not its turn", func(*Tracker) {}, false, 0},
		{"reached lately", func(tr *Tracker) { tr.RecordReached(target(0), later) }, true, 0},
		{"reached long ago", func(tr *Tracker) { tr.RecordReached(target(0), now) }, true, 1},
		{"unreached since", func(tr *Tracker) {
			tr.RecordReached(target(0), now)
			tr.RecordUnreached(target(1), later)
		}, false, recheckSize},
		{"doubt since", func(tr *Tracker) {
			tr.RecordReached(target(0), now)
			tr.RecordDoubt(later)
		}, false, recheckSize},
		{"reached since", func(tr *Tracker) {
			tr.RecordDoubt(now)
			tr.RecordReached(target(0), later)
		}, false, 0},
		{"lost", func(tr *Tracker) { record(tr, 0, minEvidence, now) }, false, lostRecheckSize},
		{"impaired", func(tr *Tracker) { record(tr, 1, minEvidence, later) }, false, recheckSize},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := NewTracker()
			tracker.Update(22, now)
			tt.prepare(tracker)
			assert.Equal(t, tracker.ChecksDue(tt.regular, later), tt.want)
		})
	}
}
