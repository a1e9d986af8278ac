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

func entryOf(id string, born, sequence int64, state State) *Target {
	return &Target{
		ID: id, StartedMS: born, Sequence: sequence, State: state, Service: "s", Slots: 4, Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
}

// step is a change with what the directory must hold after it.
type step struct {
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

// Guards against targets that come back by old reports after they began to
// leave, and against targets that an outage of the registry takes away.
func TestDirectory(t *testing.T) {
	ready := func(born, sequence int64) Change { return Change{"i", entryOf("i", born, sequence, Ready)} }
	draining := func(born, sequence int64) Change { return Change{"i", entryOf("i", born, sequence, Draining)} }
	gone := Change{ID: "i"}
	tests := []struct {
		name  string
		steps []step
	}{
		{"old report after draining", []step{{change: ready(1, 5), want: "ready"}, {change: draining(1, 7), want: "draining"}, {change: ready(1, 6), want: "draining"}}},
		{"ready again in the same incarnation", []step{{change: draining(1, 7), want: "draining"}, {change: ready(1, 8), want: "draining"}}},
		{"new incarnation after draining", []step{{change: draining(1, 7), want: "draining"}, {change: ready(2, 1), want: "ready"}}},
		{"older incarnation", []step{{change: ready(2, 1), want: "ready"}, {change: draining(1, 9), want: "ready"}}},
		{"old report after removal", []step{{change: ready(1, 5), want: "ready"}, {change: gone, want: "gone"}, {change: ready(1, 5), want: "gone"}}},
		{"registered again after a lapse", []step{{change: ready(1, 5), want: "ready"}, {change: gone, want: "gone"}, {change: ready(1, 6), want: "ready"}}},
		{"drained, removed, registered again", []step{{change: draining(1, 5), want: "draining"}, {change: gone, want: "gone"}, {change: ready(1, 6), want: "draining"}}},
		{"lapse during an outage", []step{{change: ready(1, 5), want: "ready"}, {outage: true, change: gone, want: "ready"}, {wait: time.Second, change: ready(1, 6), want: "ready"}, {wait: 5 * time.Second, want: "ready"}}},
		{"gone during an outage", []step{{change: ready(1, 5), want: "ready"}, {outage: true, change: gone, want: "ready"}, {wait: 3 * time.Second, want: "gone"}}},
		{"draining target removed after an outage", []step{{change: draining(1, 5), want: "draining"}, {outage: true, change: gone, want: "gone"}}},
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
					d.Expire()
					assert.Equal(t, stateOf(d), s.want, "step %d", i)
				}
			})
		})
	}
}

// Guards against changes that are announced although only the sequence of a
// report has grown, and against announcements that are missing.
func TestApplyReturnsEffectiveChanges(t *testing.T) {
	moved := 0
	d := NewDirectory(WithOnChange(func(string) { moved++ }))
	assert.Equal(t, len(d.Apply([]Change{{"i", entryOf("i", 1, 1, Ready)}})), 1)
	assert.Equal(t, len(d.Apply([]Change{{"i", entryOf("i", 1, 2, Ready)}})), 0)
	assert.Equal(t, len(d.Apply([]Change{{"i", entryOf("i", 1, 3, Draining)}, {ID: "unknown"}})), 1)
	assert.Equal(t, moved, 2)
}

// Guards against entries that stay although a complete reading lacks them.
func TestReplace(t *testing.T) {
	d := NewDirectory()
	assert.Assert(t, !d.Loaded())
	d.Replace([]Target{*entryOf("a", 1, 1, Ready), *entryOf("b", 1, 1, Ready)})
	d.Replace([]Target{*entryOf("b", 1, 2, Ready)})
	assert.Assert(t, d.Loaded())
	assert.Equal(t, d.Count(), 1)
	assert.Equal(t, d.ByService("s")[0].ID, "b")
}

// Guards against any order of late and repeated reports that makes an
// incarnation ready after it has said that it leaves.
func TestDrainingNeverEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDirectory()
		leavesAt := rapid.Int64Range(1, 10).Draw(t, "leaves at")
		left := false
		for range rapid.IntRange(1, 40).Draw(t, "reports") {
			sequence := rapid.Int64Range(1, 20).Draw(t, "sequence")
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				d.Apply([]Change{{ID: "i"}})
				continue
			}
			state := Ready
			if sequence >= leavesAt {
				state = Draining
			}
			d.Apply([]Change{{"i", entryOf("i", 1, sequence, state)}})
			left = left || stateOf(d) == "draining"
			if left && stateOf(d) == "ready" {
				t.Fatalf("ready after draining, by the report %d of an incarnation that leaves at %d", sequence, leavesAt)
			}
		}
	})
}
