package targets

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newTarget(id string, startedMS, sequence int64, state State) *Target {
	return &Target{
		ID: id, StartedMS: startedMS, Sequence: sequence, State: state, Service: "s", Slots: 4, Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
}

// testStep is a change and the expected state of the target after it. The change
// follows a wait, and the end of a registry outage if outage is set.
type testStep struct {
	change Change
	wait   time.Duration
	outage bool
	want   string // ready, draining or gone
}

func stateOf(d *Directory) string {
	all := d.ByService("s")
	switch {
	case len(all) == 0:
		return "gone"
	case all[0].State == Draining:
		return "draining"
	}
	return "ready"
}

// Guards against a delayed copy of an old registration making a draining or
// removed target available again, and against a target being removed after an
// outage of the registry, in which its registration expired, before it could
// register again.
func TestDirectory(t *testing.T) {
	readyChange := func(startedMS, sequence int64) Change {
		return Change{ID: "i", Target: newTarget("i", startedMS, sequence, Ready)}
	}
	drainingChange := func(startedMS, sequence int64) Change {
		return Change{ID: "i", Target: newTarget("i", startedMS, sequence, Draining)}
	}
	removalChange, lossChange := Change{ID: "i"}, Change{ID: "i", Lost: true}
	tests := []struct {
		name  string
		steps []testStep
	}{
		{"old registration after draining", []testStep{{change: readyChange(1, 5), want: "ready"}, {change: drainingChange(1, 7), want: "draining"}, {change: readyChange(1, 6), want: "draining"}}},
		{"ready again in the same incarnation", []testStep{{change: drainingChange(1, 7), want: "draining"}, {change: readyChange(1, 8), want: "draining"}}},
		{"new incarnation after draining", []testStep{{change: drainingChange(1, 7), want: "draining"}, {change: readyChange(2, 1), want: "ready"}}},
		{"older incarnation", []testStep{{change: readyChange(2, 1), want: "ready"}, {change: drainingChange(1, 9), want: "ready"}}},
		{"old registration after removal", []testStep{{change: readyChange(1, 5), want: "ready"}, {change: removalChange, want: "gone"}, {change: readyChange(1, 5), want: "gone"}}},
		{"registered again after its registration expired", []testStep{{change: readyChange(1, 5), want: "ready"}, {change: removalChange, want: "gone"}, {change: readyChange(1, 6), want: "ready"}}},
		{"drained, removed, registered again", []testStep{{change: drainingChange(1, 5), want: "draining"}, {change: removalChange, want: "gone"}, {change: readyChange(1, 6), want: "draining"}}},
		{"registration expired during an outage", []testStep{{change: readyChange(1, 5), want: "ready"}, {outage: true, change: removalChange, want: "ready"}, {wait: time.Second, change: readyChange(1, 6), want: "ready"}, {wait: 5 * time.Second, want: "ready"}}},
		{"target gone during an outage", []testStep{{change: readyChange(1, 5), want: "ready"}, {outage: true, change: removalChange, want: "ready"}, {wait: 3 * time.Second, want: "gone"}}},
		{"lost registration written again unchanged", []testStep{{change: readyChange(1, 5), want: "ready"}, {change: lossChange, want: "gone"}, {change: readyChange(1, 5), want: "ready"}}},
		{"lost registration written again after the removal delay", []testStep{{change: readyChange(1, 5), want: "ready"}, {outage: true, change: lossChange, want: "ready"}, {wait: 3 * time.Second, want: "gone"}, {change: readyChange(1, 5), want: "ready"}}},
		{"older registration in the copy", []testStep{{change: readyChange(1, 5), want: "ready"}, {change: lossChange, want: "gone"}, {change: readyChange(1, 4), want: "gone"}}},
		{"lost registration of a draining target", []testStep{{change: drainingChange(1, 5), want: "draining"}, {change: lossChange, want: "gone"}, {change: readyChange(1, 5), want: "draining"}}},
		{"left while its removal is delayed as lost", []testStep{{change: readyChange(1, 5), want: "ready"}, {outage: true, change: lossChange, want: "ready"}, {change: removalChange, want: "ready"}, {wait: 3 * time.Second, want: "gone"}, {change: readyChange(1, 5), want: "gone"}}},
		{"lost while its removal is delayed", []testStep{{change: readyChange(1, 5), want: "ready"}, {outage: true, change: removalChange, want: "ready"}, {change: lossChange, want: "ready"}, {wait: 3 * time.Second, want: "gone"}, {change: readyChange(1, 5), want: "gone"}}},
		{"draining target removed after an outage", []testStep{{change: drainingChange(1, 5), want: "draining"}, {outage: true, change: removalChange, want: "gone"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := NewDirectory()
				for i, s := range tt.steps {
					time.Sleep(s.wait)
					if s.outage {
						d.SetOutageEnd(time.Now())
					}
					if s.change.ID != "" {
						d.Apply([]Change{s.change})
					}
					d.RemoveDue()
					assert.Equal(t, stateOf(d), s.want, "step %d", i)
				}
			})
		})
	}
}

// Guards against a removal that is not delayed because another instance reports the end
// of an earlier outage.
func TestEndOfEarlierOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDirectory()
		d.Apply([]Change{{ID: "i", Target: newTarget("i", 1, 5, Ready)}})
		d.SetOutageEnd(time.Now())
		d.SetOutageEnd(time.Now().Add(-removalDelay))
		d.Apply([]Change{{ID: "i"}})
		assert.Equal(t, stateOf(d), "ready")
	})
}

// Guards against a change being returned when only the sequence of a
// registration has increased: targets register repeatedly, and every registration
// would be broadcast to the other instances. Also guards against missing
// notifications.
func TestApplyReturnsEffectiveChanges(t *testing.T) {
	notifications := 0
	d := NewDirectory(WithOnChange(func(string) { notifications++ }))
	assert.Equal(t, len(d.Apply([]Change{{ID: "i", Target: newTarget("i", 1, 1, Ready)}})), 1)
	assert.Equal(t, len(d.Apply([]Change{{ID: "i", Target: newTarget("i", 1, 2, Ready)}})), 0)
	assert.Equal(t, len(d.Apply([]Change{{ID: "i", Target: newTarget("i", 1, 3, Draining)}, {ID: "unknown"}})), 1)
	assert.Equal(t, notifications, 2)
}

// Guards against targets that stay in the directory although a read of all
// registrations no longer lists them. Such a read follows the expiry of the
// history, and the removals may be among the records that the store has dropped.
func TestReplace(t *testing.T) {
	d := NewDirectory()
	assert.Assert(t, !d.Loaded())
	d.Replace([]Target{*newTarget("a", 1, 1, Ready), *newTarget("b", 1, 1, Ready)})
	d.Replace([]Target{*newTarget("b", 1, 2, Ready)})
	assert.Assert(t, d.Loaded())
	assert.Equal(t, d.Count(), 1)
	assert.Equal(t, d.ByService("s")[0].ID, "b")
}

// Guards against any order of delayed and duplicate registrations that makes an
// incarnation ready after it has reported that it drains.
func TestDrainingNeverEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDirectory()
		drainsAt := rapid.Int64Range(1, 10).Draw(t, "drains at")
		draining := false
		for range rapid.IntRange(1, 40).Draw(t, "registrations") {
			sequence := rapid.Int64Range(1, 20).Draw(t, "sequence")
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				d.Apply([]Change{{ID: "i", Lost: rapid.Bool().Draw(t, "lost")}})
				continue
			}
			state := Ready
			if sequence >= drainsAt {
				state = Draining
			}
			d.Apply([]Change{{ID: "i", Target: newTarget("i", 1, sequence, state)}})
			draining = draining || stateOf(d) == "draining"
			if draining && stateOf(d) == "ready" {
				t.Fatalf("registration with sequence %d made an incarnation ready again that drains from sequence %d on", sequence, drainsAt)
			}
		}
	})
}

// Guards against an older registration of the same incarnation that replaces a newer one,
// and against targets of another service.
func TestOlderRegistrationIsIgnored(t *testing.T) {
	d := NewDirectory()
	newer, older := Target{ID: "t", Service: "s", Slots: 4, Sequence: 5}, Target{ID: "t", Service: "s", Slots: 8, Sequence: 4}
	d.Apply([]Change{{ID: "t", Target: &newer}, {ID: "t", Target: &older}, {ID: "u", Target: &Target{ID: "u", Service: "other", Slots: 1}}})
	all := d.ByService("s")
	assert.Equal(t, len(all), 1)
	assert.Equal(t, all[0].Slots, 4)
}

// Guards against removals that are delayed long after the end of an outage, and against
// removed targets that are remembered for ever.
func TestRemovalsLongAfterOutage(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	d := NewDirectory(WithClock(func() time.Time { return now }))
	add := func(id string) { d.Apply([]Change{{ID: id, Target: &Target{ID: id, Service: "s", Slots: 1}}}) }
	add("t")
	add("u")
	d.SetOutageEnd(now)
	d.Apply([]Change{{ID: "t"}})
	assert.Equal(t, len(d.ByService("s")), 2, "control: delayed")
	now = now.Add(removalDelay)
	d.Apply([]Change{{ID: "u"}})
	d.RemoveDue()
	assert.Equal(t, len(d.ByService("s")), 0)
	assert.Equal(t, len(d.Removed()), 2, "control")
	now = now.Add(removalRetention + 1)
	d.RemoveDue()
	assert.Equal(t, len(d.removed), 0)
}
