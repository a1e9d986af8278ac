package entry

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrelay/membership"
)

// staticDirectory is a directory that does not change.
type staticDirectory struct {
	self  membership.Instance
	ready []membership.Instance
}

func (d staticDirectory) Self() membership.Instance    { return d.self }
func (d staticDirectory) Ready() []membership.Instance { return d.ready }
func (d staticDirectory) ZoneCapacity(string) int      { return 0 }

// partlyReady is a directory some of whose instances are not ready.
type partlyReady struct {
	staticDirectory
	capacity int // of all instances of the zone
}

func (d partlyReady) ZoneCapacity(string) int { return d.capacity }

func testInstances(zones ...string) []membership.Instance {
	all := make([]membership.Instance, 0, len(zones))
	for i, zone := range zones {
		all = append(all, membership.Instance{
			ID: fmt.Sprintf("n%02d", i), Zone: zone, State: membership.Ready,
			CallerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	return all
}

// Guards against entry responses that name instances of other zones although
// the caller's zone has enough, that omit them although it has too few, or that
// are empty although this instance is not starting.
func TestSelect(t *testing.T) {
	tests := []struct {
		name  string
		zones []string
		state membership.State
		want  []int // the last bytes of the addresses
	}{
		{"two in the local zone", []string{"a", "b", "a", "a", "b"}, membership.Ready, []int{0, 2}},
		{"one in the local zone, all of the others", []string{"a", "b", "b", "c"}, membership.Ready, []int{0, 1, 2, 3}},
		{"none in the local zone", []string{"b", "c"}, membership.Ready, []int{0, 1}},
		{"alone and leaving", nil, membership.Leaving, []int{99}},
		{"alone and starting", nil, membership.Starting, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			self := membership.Instance{State: tt.state, CallerAddress: netip.MustParseAddrPort("10.0.0.99:80")}
			var got []int
			for _, a := range NewSelector(staticDirectory{self, testInstances(tt.zones...)}).Select("a") {
				got = append(got, int(a.Addr().As4()[3]))
			}
			slices.Sort(got)
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

// Guards against an active count that differs from the entry responses, against
// an instance that wrongly considers itself active or inactive, and against a
// large zone with only two active instances.
func TestActive(t *testing.T) {
	tests := []struct {
		name string
		all  []membership.Instance
		want int
		ids  string // of the active instances of zone a
	}{
		{"small zones", testInstances("a", "a", "a", "b", "c", "c", "c"), 5, "n00 n01"},
		{"one instance", testInstances("a"), 1, "n00"},
		{"a large zone", testInstances(slices.Repeat([]string{"a"}, 33)...), 5, "n00 n01 n02 n03 n04"},
		{"none", nil, 1, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, NewSelector(staticDirectory{ready: tt.all}).ActiveCount(), tt.want)
			var active []string
			for _, in := range tt.all {
				if in.Zone == "a" && NewSelector(staticDirectory{self: in, ready: tt.all}).IsActive() {
					active = append(active, in.ID)
				}
			}
			assert.Equal(t, strings.Join(active, " "), tt.ids)
			selected := NewSelector(staticDirectory{ready: tt.all}).Select("a")
			if len(active) > 1 {
				assert.Equal(t, len(selected), len(active))
			}
		})
	}
}

// withCapacities sets the processor capacities of instances.
func withCapacities(all []membership.Instance, millicores ...int) []membership.Instance {
	for i := range millicores {
		all[i].Millicores = millicores[i]
	}
	return all
}

// Guards against callers of a zone that overload a few small instances beside larger ones.
func TestSmallInstancesAreNotOverloaded(t *testing.T) {
	zone := func(n int) []membership.Instance { return testInstances(slices.Repeat([]string{"a"}, n)...) }
	tests := []struct {
		name string
		all  []membership.Instance
		want string
	}{
		{"two large ones suffice", withCapacities(zone(72), append(slices.Repeat([]int{100}, 70), 800, 800)...), "n70 n71"},
		{"a large one does not suffice", withCapacities(zone(72), append(slices.Repeat([]int{100}, 71), 800)...), "n71 n00 n01 n02 n03 n04 n05 n06 n07 n08"},
		{"all alike", withCapacities(zone(33), slices.Repeat([]int{320}, 33)...), "n00 n01 n02 n03 n04"},
		{"unknown counts as the smallest", withCapacities(zone(4), 0, 0, 320, 320), "n02 n03"},
		{"one instance", withCapacities(zone(1), 320), "n00"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var active []string
			for _, in := range NewSelector(staticDirectory{ready: tt.all}).Active() {
				active = append(active, in.ID)
			}
			assert.Equal(t, strings.Join(active, " "), tt.want)
		})
	}
}

// Guards against all callers of a zone coming to the few instances that are ready first.
func TestFewReadyInstancesAreAllActive(t *testing.T) {
	const zoneCapacity = 70*100 + 2*800
	tests := []struct{ ready, want int }{{1, 1}, {5, 5}, {10, 10}, {40, 11}}
	for _, tt := range tests {
		ready := withCapacities(testInstances(slices.Repeat([]string{"a"}, tt.ready)...), slices.Repeat([]int{100}, tt.ready)...)
		directory := partlyReady{staticDirectory{ready: ready}, zoneCapacity}
		assert.Equal(t, len(NewSelector(directory).Select("a")), tt.want, "%d are ready", tt.ready)
		assert.Equal(t, NewSelector(directory).ActiveCount(), tt.want, "%d are ready", tt.ready)
	}
}
