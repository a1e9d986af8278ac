package reachability

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a count or a state that does not follow from the outcomes, after any
// sequence of contacts, removals and changes of the number of targets.
func TestTrackerModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		tracker := NewTracker()
		known := 0
		model := map[int]outcome{}
		update := func() {
			tracker.Update(known, now)
			for i, o := range model {
				if now.Sub(o.at) > lifetime {
					delete(model, i)
				}
			}
		}
		number := rapid.IntRange(0, 19)
		t.Repeat(map[string]func(*rapid.T){
			"reached": func(t *rapid.T) {
				i := number.Draw(t, "target")
				model[i] = outcome{true, now}
				tracker.RecordReached(target(i), now)
			},
			"unreached": func(t *rapid.T) {
				i := number.Draw(t, "target")
				model[i] = outcome{false, now}
				tracker.RecordUnreached(target(i), now)
			},
			"removed": func(t *rapid.T) {
				i := number.Draw(t, "target")
				delete(model, i)
				tracker.Forget(target(i))
			},
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(lifetime)).Draw(t, "time")))
				update()
			},
			"number of targets changes": func(t *rapid.T) {
				known = number.Draw(t, "known")
				update()
			},
			"all answer": func(*rapid.T) {
				for i := range max(known, 1) {
					model[i] = outcome{true, now}
					tracker.RecordReached(target(i), now)
				}
			},
			"": func(t *rapid.T) { checkModel(t, tracker, model, known) },
		})
	})
}

// checkModel checks what holds whatever led to the outcomes.
func checkModel(t *rapid.T, tracker *Tracker, model map[int]outcome, known int) {
	unreached := 0
	for _, o := range model {
		if !o.reached {
			unreached++
		}
	}
	assert.Equal(t, tracker.Unreached(), unreached)
	enough := len(model) >= min(known, minEvidence)
	switch {
	case enough && known > 0 && len(model) > 0 && unreached == len(model):
		if tracker.state != Lost {
			// Forget draws no conclusion; the next contact does.
			tracker.Update(known, time.Unix(1000, 0))
		}
		assert.Equal(t, tracker.State(), Lost)
	case len(model) > 0 && unreached == 0:
		if tracker.state != Reachable {
			tracker.Update(known, time.Unix(1000, 0))
		}
		assert.Equal(t, tracker.State(), Reachable)
	}
}
