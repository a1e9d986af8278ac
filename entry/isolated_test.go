package entry

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/membership"
	"rhubarbrelay/targets"
)

// isolate returns ready instances in the zones, of which those with the numbers are
// isolated.
func isolate(all []membership.Instance, numbers ...int) []membership.Instance {
	for _, i := range numbers {
		all[i].Isolated, all[i].Unreachable = true, []string{"s", "t"}
	}
	return all
}

// addressNumbers returns the last bytes of addresses, sorted.
func addressNumbers(addresses []netip.AddrPort) []int {
	numbers := make([]int, 0, len(addresses))
	for _, a := range addresses {
		numbers = append(numbers, int(a.Addr().As4()[3]))
	}
	slices.Sort(numbers)
	return numbers
}

// Guards against entry responses that send callers to instances without links to the
// targets although others have them, and against none at all if all have lost them.
func TestIsolatedInstancesAreNotNamed(t *testing.T) {
	zones := []string{"a", "a", "a", "a", "b", "b"}
	tests := []struct {
		name     string
		isolated []int
		want     []int
		active   int
	}{
		{"none", nil, []int{0, 1}, 4},
		{"the active instances of the zone", []int{0, 1}, []int{2, 3}, 4},
		{"all but one of the zone", []int{0, 1, 3}, []int{2, 4, 5}, 3},
		{"the whole zone", []int{0, 1, 2, 3}, []int{4, 5}, 2},
		{"all", []int{0, 1, 2, 3, 4, 5}, []int{0, 1}, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			all := isolate(testInstances(zones...), tt.isolated...)
			selector := NewSelector(staticDirectory{all[0], all})
			assert.DeepEqual(t, addressNumbers(selector.Select("a")), tt.want)
			assert.Equal(t, selector.ActiveCount(), tt.active)
			assert.Equal(t, selector.IsActive(), slices.Contains(tt.want, 0))
		})
	}
}

// Guards against a limit of a target that nobody uses, as instances that cannot reach the
// target share it.
func TestIsolatedInstancesShareNoLimit(t *testing.T) {
	all := isolate(testInstances("a", "a", "a", "a"), 0, 1)
	target := &targets.Target{ID: "t", Zone: "a"}
	for i, in := range all {
		want := 2
		if in.Isolated {
			want = 0
		}
		sharing := NewLimitSharing(staticDirectory{in, all}, time.Now)
		assert.Equal(t, sharing.Sharers(target), want, "instance %d", i)
	}
}

// Guards against requests that are passed on to the instance itself, to one that does not
// reach the targets either, to another zone without need, or to one that has failed.
func TestSelectPeer(t *testing.T) {
	small := []string{"a", "a", "a", "a", "b", "b", "b"}
	tests := []struct {
		name    string
		zones   []string
		lost    []int // that reach no targets of the service
		exclude []int
		want    []int
	}{
		{"active instances of the zone", small, []int{0}, nil, []int{1, 2}},
		{"others have lost the service", small, []int{0, 1}, nil, []int{2, 3}},
		{"one was tried", small, []int{0}, []int{1}, []int{2}},
		{"the whole zone has lost the service", small, []int{0, 1, 2, 3}, nil, []int{4, 5}},
		{"the whole zone has lost the service, a large one has not", slices.Concat(small, slices.Repeat([]string{"c"}, 33)), []int{0, 1, 2, 3, 4, 5, 6}, nil, []int{7, 8, 9, 10, 11}},
		{"all have lost the service", small, []int{0, 1, 2, 3, 4, 5, 6}, nil, []int{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			all := testInstances(tt.zones...)
			for i := range all {
				all[i].PeerAddress = all[i].CallerAddress
			}
			for _, i := range tt.lost {
				all[i].Unreachable = []string{"s"}
			}
			var exclude []netip.AddrPort
			for _, i := range tt.exclude {
				exclude = append(exclude, all[i].PeerAddress)
			}
			selector := NewSelector(staticDirectory{all[0], all})
			selected := map[netip.AddrPort]bool{}
			for range 200 {
				if address, ok := selector.SelectPeer("s", exclude); ok {
					selected[address] = true
				}
			}
			addresses := make([]netip.AddrPort, 0, len(selected))
			for address := range selected {
				addresses = append(addresses, address)
			}
			assert.DeepEqual(t, addressNumbers(addresses), tt.want)
			address, ok := selector.SelectPeer("other", nil)
			assert.Assert(t, ok && address != all[0].PeerAddress) // control
		})
	}
}
