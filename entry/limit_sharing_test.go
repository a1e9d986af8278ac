package entry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/membership"
	"rhubarbrelay/targets"
)

// sharingView is the directory of one instance.
type sharingView struct {
	self  membership.Instance
	ready []membership.Instance
}

// Ready implements Directory.
func (v sharingView) Ready() []membership.Instance { return v.ready }

// Self implements Directory.
func (v sharingView) Self() membership.Instance { return v.self }

// readyInZones returns ready instances, by ID, as many in each zone as listed.
func readyInZones(counts ...int) []membership.Instance {
	var all []membership.Instance
	for i, n := range counts {
		zone := string(rune('a' + i))
		for j := range n {
			all = append(all, membership.Instance{ID: fmt.Sprintf("i-%s-%03d", zone, j), Zone: zone})
		}
	}
	return all
}

// Guards against a limit that is shared by instances of which each considers the number
// of the others another one, by inactive instances, or by none.
func TestSharersOfLimit(t *testing.T) {
	tests := []struct {
		name  string
		ready []membership.Instance
		want  int
		zone  string // of all instances that share the limits, or empty
	}{
		{"zone of the target has instances", readyInZones(5, 5, 5), 2, "b"},
		{"large zones", readyInZones(100, 100, 100), 2, "b"},
		{"one instance in the zone of the target", readyInZones(5, 1, 5), 1, "b"},
		{"no instance in the zone of the target", readyInZones(5, 0, 5), 2, ""},
		{"a sole instance", readyInZones(1), 1, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for i := range 20 {
				target := &targets.Target{ID: fmt.Sprintf("t-%d", i), Zone: "b"}
				var sharers []membership.Instance
				for _, in := range tt.ready {
					sharing := NewLimitSharing(sharingView{in, tt.ready}, time.Now)
					if n := sharing.Sharers(target); n > 0 {
						assert.Equal(t, n, tt.want)
						sharers = append(sharers, in)
					}
				}
				assert.Equal(t, len(sharers), tt.want)
				for _, in := range sharers {
					assert.Assert(t, tt.zone == "" || in.Zone == tt.zone)
				}
			}
		})
	}
}

// Guards against the limits of all targets being shared by the same few instances of a
// large zone.
func TestLimitsAreSpreadOverInstances(t *testing.T) {
	ready := readyInZones(100)
	const limited = 1000
	active := activeByZone(ready, readyCapacity)["a"]
	for _, in := range ready[:len(active)] {
		sharing := NewLimitSharing(sharingView{in, ready}, time.Now)
		own := 0
		for i := range limited {
			if sharing.Sharers(&targets.Target{ID: fmt.Sprintf("t-%d", i), Zone: "a"}) > 0 {
				own++
			}
		}
		even := limited * maxSharers / len(active)
		assert.Assert(t, own > even/2 && own < 2*even, "%s shares %d limits of %d", in.ID, own, limited)
	}
}

// Guards against a failed instance that still counts among those that share a limit.
func TestSharersAfterFailure(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	view := &sharingView{ready: readyInZones(2)}
	view.self = view.ready[0]
	sharing := NewLimitSharing(view, func() time.Time { return now })
	assert.Equal(t, sharing.Sharers(&targets.Target{ID: "t", Zone: "a"}), 2)
	view.ready = view.ready[:1]
	now = now.Add(sharingRefreshInterval)
	assert.Equal(t, sharing.Sharers(&targets.Target{ID: "t", Zone: "a"}), 1)
}
