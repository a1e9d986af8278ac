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

// fixed is a directory that does not change.
type fixed struct {
	self  membership.Instance
	ready []membership.Instance
}

func (f fixed) Self() membership.Instance    { return f.self }
func (f fixed) Ready() []membership.Instance { return f.ready }

func instances(zones ...string) []membership.Instance {
	all := make([]membership.Instance, 0, len(zones))
	for i, zone := range zones {
		all = append(all, membership.Instance{
			ID: fmt.Sprintf("n%02d", i), Zone: zone, State: membership.Ready,
			CallerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	return all
}

// Guards against answers that name instances of the wrong zone, too few, or
// none while there are some.
func TestPlan(t *testing.T) {
	tests := []struct {
		name  string
		zones []string
		state membership.State
		want  []int // the last parts of the addresses
	}{
		{"two of the own zone", []string{"a", "b", "a", "a", "b"}, membership.Ready, []int{0, 2}},
		{"one of the own zone, all others", []string{"a", "b", "b", "c"}, membership.Ready, []int{0, 1, 2, 3}},
		{"none of the own zone", []string{"b", "c"}, membership.Ready, []int{0, 1}},
		{"alone and leaving", nil, membership.Leaving, []int{99}},
		{"alone and starting", nil, membership.Starting, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			self := membership.Instance{State: tt.state, CallerAddress: netip.MustParseAddrPort("10.0.0.99:80")}
			var got []int
			for _, a := range NewSelector(fixed{self, instances(tt.zones...)}).Select("a") {
				got = append(got, int(a.Addr().As4()[3]))
			}
			slices.Sort(got)
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

// Guards against a count of active instances that differs from what the answers
// name, against an instance that takes itself wrongly for one, and against a
// large zone whose load rests on two.
func TestActive(t *testing.T) {
	tests := []struct {
		name string
		all  []membership.Instance
		want int
		ids  string // of those of zone a that are active
	}{
		{"small zones", instances("a", "a", "a", "b", "c", "c", "c"), 5, "n00 n01"},
		{"one instance", instances("a"), 1, "n00"},
		{"a large zone", instances(slices.Repeat([]string{"a"}, 33)...), 3, "n00 n01 n02"},
		{"none", nil, 1, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, NewSelector(fixed{ready: tt.all}).ActiveCount(), tt.want)
			var active []string
			for _, in := range tt.all {
				if in.Zone == "a" && NewSelector(fixed{self: in, ready: tt.all}).IsActive() {
					active = append(active, in.ID)
				}
			}
			assert.Equal(t, strings.Join(active, " "), tt.ids)
			named := NewSelector(fixed{ready: tt.all}).Select("a")
			if len(active) > 1 {
				assert.Equal(t, len(named), len(active))
			}
		})
	}
}
