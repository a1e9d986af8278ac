package targets

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a target in use again, on an instance that started after the target had
// left, because a restored registry lists it.
func TestRemovalsAreHandedOn(t *testing.T) {
	const age = 10 * time.Second
	ready, draining := newTarget("i", 1, 5, Ready), newTarget("i", 1, 5, Draining)
	tests := []struct {
		name         string
		removal      Change
		registration *Target // read after the removals were handed on
		want         string
	}{
		{"older registration", Change{ID: "i"}, newTarget("i", 1, 4, Ready), "gone"},
		{"last registration", Change{ID: "i"}, ready, "gone"},
		{"registered again", Change{ID: "i"}, newTarget("i", 1, 6, Ready), "ready"},
		{"new incarnation", Change{ID: "i"}, newTarget("i", 2, 1, Ready), "ready"},
		{"lost, last registration", Change{ID: "i", Lost: true}, ready, "ready"},
		{"lost, older registration", Change{ID: "i", Lost: true}, newTarget("i", 1, 4, Ready), "gone"},
	}
	for _, tt := range tests {
		for _, last := range []*Target{ready, draining} {
			t.Run(tt.name+", "+map[State]string{Ready: "ready", Draining: "draining"}[last.State], func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					from, d := NewDirectory(), NewDirectory()
					from.Apply([]Change{{ID: "i", Target: last}, tt.removal})
					time.Sleep(age)
					d.AddRemoved(from.Removed())
					assert.Equal(t, d.Removed()[0].Age, age)
					d.Apply([]Change{{ID: "i", Target: tt.registration}})
					want := tt.want
					if want == "ready" && last.State == Draining && tt.registration.StartedMS == last.StartedMS {
						want = "draining"
					}
					assert.Equal(t, stateOf(d), want)
				})
			})
		}
	}
}

// Guards against removals that are lost, or replace newer knowledge, when they are added
// to a directory with entries.
func TestAddRemovedToKnownTargets(t *testing.T) {
	removed := func(startedMS, sequence int64) []Removal {
		return []Removal{{Incarnation: Incarnation{"i", startedMS}, Sequence: sequence}}
	}
	tests := []struct {
		name    string
		removal []Removal
		want    string
	}{
		{"same registration", removed(1, 5), "gone"},
		{"older registration", removed(1, 4), "ready"},
		{"other incarnation", removed(0, 9), "ready"},
		{"too old", []Removal{{Incarnation: Incarnation{"i", 1}, Sequence: 5, Age: removalRetention + time.Second}}, "ready"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			notifications := 0
			d := NewDirectory(WithOnChange(func(string) { notifications++ }))
			d.Apply([]Change{{ID: "i", Target: newTarget("i", 1, 5, Ready)}})
			d.AddRemoved(tt.removal)
			assert.Equal(t, stateOf(d), tt.want)
			assert.Equal(t, notifications == 2, tt.want == "gone")
		})
	}
	d := NewDirectory()
	d.Apply([]Change{{ID: "i", Target: newTarget("i", 1, 5, Draining)}, {ID: "i"}})
	d.AddRemoved(removed(1, 3))
	assert.Equal(t, d.Removed()[0].Sequence, int64(5))
	assert.Equal(t, d.Removed()[0].State, Draining)
}

// Guards against a starting instance that uses a target forever: it got the target by an
// update, and the one that hands its state on delays the removal.
func TestDelayedRemovalIsHandedOn(t *testing.T) {
	from, d := NewDirectory(), NewDirectory()
	from.Apply([]Change{{ID: "i", Target: newTarget("i", 1, 5, Ready)}})
	d.Apply([]Change{{ID: "i", Target: newTarget("i", 1, 5, Ready)}})
	from.SetOutageEnd(time.Now())
	from.Apply([]Change{{ID: "i"}})
	assert.Equal(t, stateOf(from), "ready")
	d.AddRemoved(from.Removed())
	assert.Equal(t, stateOf(d), "gone")
}
