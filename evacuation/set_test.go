package evacuation

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbrelay/platform"
)

func at(era, offset int64) platform.Position { return platform.Position{Era: era, Offset: offset} }

func zones(s *Set) string { return strings.Join(s.State().Names(), ",") }

func state(position platform.Position, names ...string) State {
	s := State{At: position}
	for _, name := range names {
		s.Zones = append(s.Zones, Zone{Name: name})
	}
	return s
}

// Guards against an evacuation that an older copy, a restored or an expired log undoes or
// brings back.
func TestHigherPositionWins(t *testing.T) {
	tests := []struct {
		name   string
		change func(s *Set)
		want   string
	}{
		{"newest records", func(s *Set) { s.Replace(at(1, 9), []string{"c", "b"}) }, "b,c"},
		{"newest records without the key", func(s *Set) { s.Replace(at(1, 9), nil) }, ""},
		{"older newest records", func(s *Set) { s.Replace(at(1, 4), nil) }, "a"},
		{"restored log without the key", func(s *Set) { s.Replace(at(2, 1), nil) }, ""},
		{"log of an earlier era", func(s *Set) { s.Replace(at(0, 90), nil) }, "a"},
		{"evacuated", func(s *Set) { s.Apply(at(1, 5), at(1, 6), []Record{{"b", true, 5}}) }, "a,b"},
		{"ended", func(s *Set) { s.Apply(at(1, 5), at(1, 6), []Record{{"a", false, 5}}) }, ""},
		{"ended and evacuated again", func(s *Set) { s.Apply(at(1, 5), at(1, 7), []Record{{"a", false, 5}, {"a", true, 6}}) }, "a"},
		{"record that is contained", func(s *Set) { s.Apply(at(1, 3), at(1, 6), []Record{{"a", false, 4}, {"b", true, 5}}) }, "a,b"},
		{"records after a gap", func(s *Set) { s.Apply(at(1, 6), at(1, 7), []Record{{"a", false, 6}}) }, "a"},
		{"records of an earlier era", func(s *Set) { s.Apply(at(0, 5), at(0, 7), []Record{{"a", false, 6}}) }, "a"},
		{"later set of another instance", func(s *Set) { s.Merge(state(at(1, 6), "b")) }, "b"},
		{"later empty set of another instance", func(s *Set) { s.Merge(state(at(1, 6))) }, ""},
		{"earlier set of another instance", func(s *Set) { s.Merge(state(at(1, 4), "b")) }, "a"},
		{"set of an instance that knows nothing", func(s *Set) { s.Merge(State{}) }, "a"},
		{"read after a set of another instance", func(s *Set) {
			s.Merge(state(at(1, 8), "b"))
			s.Apply(at(1, 5), at(1, 8), []Record{{"b", true, 5}, {"c", true, 6}, {"c", false, 7}})
			s.Apply(at(1, 8), at(1, 9), []Record{{"c", true, 8}})
		}, "b,c"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewSet()
			s.Replace(at(1, 5), []string{"a"})
			tt.change(s)
			assert.Equal(t, zones(s), tt.want)
		})
	}
}

// Guards against instances that keep different sets although all have heard of the
// newest one, in whatever order they read the log and hear of each other.
func TestInstancesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		log := make([]Record, rapid.IntRange(1, 12).Draw(t, "records"))
		for i := range log {
			log[i] = Record{rapid.SampledFrom(names).Draw(t, "zone"), rapid.Bool().Draw(t, "evacuated"), int64(i)}
		}
		upTo := func(end int) []string {
			newest := map[string]bool{}
			for _, r := range log[:end] {
				newest[r.Zone] = r.Evacuated
			}
			return slices.DeleteFunc(slices.Clone(names), func(zone string) bool { return !newest[zone] })
		}
		instances := []*Set{NewSet(), NewSet(), NewSet()}
		read := make([]int, len(instances))
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(instances)-1).Draw(t, "instance")
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				end := rapid.IntRange(read[i], len(log)).Draw(t, "end")
				instances[i].Replace(at(1, int64(end)), upTo(end))
				read[i] = end
			case 1:
				end := rapid.IntRange(read[i], len(log)).Draw(t, "end")
				instances[i].Apply(at(1, int64(read[i])), at(1, int64(end)), log[read[i]:end])
				if read[i] > 0 {
					read[i] = end
				}
			default:
				instances[i].Merge(instances[rapid.IntRange(0, len(instances)-1).Draw(t, "other")].State())
			}
			s := instances[i].State()
			assert.DeepEqual(t, s.Names(), append([]string{}, upTo(int(s.At.Offset))...))
		}
	})
}

// Guards against a set that heartbeats omit while others may not know of it, and against
// heartbeats that contain one although no zone was ever evacuated.
func TestAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var changes []Change
		s := NewSet(WithOnChange(func(c Change) { changes = append(changes, c) }))
		announced := func() bool { _, ok := s.Announced(); return ok }
		s.Replace(at(1, 5), nil)
		assert.Assert(t, !announced())
		began := time.Now()
		s.Apply(at(1, 5), at(1, 6), []Record{{"a", true, 5}})
		time.Sleep(time.Hour)
		assert.Assert(t, announced())
		s.Merge(State{At: at(1, 7), Zones: []Zone{{"a", time.Now()}}})
		assert.Equal(t, s.State().Zones[0].Since, began)
		s.Apply(at(1, 7), at(1, 8), []Record{{"a", false, 7}})
		time.Sleep(recentChange - time.Second)
		assert.Assert(t, announced())
		time.Sleep(time.Second)
		assert.Assert(t, !announced())
		assert.Equal(t, len(changes), 2)
		assert.DeepEqual(t, changes[0].Added, []string{"a"})
		assert.DeepEqual(t, changes[1].Ended, []string{"a"})
	})
}

// Guards against an instance that was disconnected while an evacuation ended and keeps
// the zone evacuated, as no heartbeat mentions it any more.
func TestCorrects(t *testing.T) {
	s := NewSet()
	s.Replace(at(1, 8), nil)
	assert.Assert(t, s.Corrects(state(at(1, 6), "a")))
	assert.Assert(t, !s.Corrects(state(at(1, 6))))
	assert.Assert(t, !s.Corrects(state(at(1, 9), "a")))
}
