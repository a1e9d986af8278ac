package entry

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/membership"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fakeDirectory struct {
	instances []membership.Instance
	revision  uint64
	reads     int
}

func (d *fakeDirectory) Instances() []membership.Instance {
	d.reads++
	return d.instances
}

func (d *fakeDirectory) Revision() uint64 { return d.revision }

type fakeFleet struct{ fleet *config.Fleet }

func (f *fakeFleet) Fleet() *config.Fleet { return f.fleet }

func instances(count int) []membership.Instance {
	all := make([]membership.Instance, count)
	for i := range all {
		all[i] = membership.Instance{
			ID: fmt.Sprintf("i%02d", i), Zone: string(rune('a' + i%3)), Incarnation: 9, State: membership.Live,
			CallerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 80),
		}
	}
	return all
}

func planner(all []membership.Instance) (*Planner, *fakeDirectory, *fakeFleet) {
	d := &fakeDirectory{instances: all}
	f := &fakeFleet{fleet: config.NewFleet()}
	return NewPlanner(d, f), d, f
}

func ids(a Answer) []string {
	all := make([]string, 0, len(a.Addresses))
	for _, address := range a.Addresses {
		all = append(all, address.Instance)
	}
	return all
}

// Guards against an answer that is empty while an instance lives, or that
// names an instance that should get no new callers while a better one lives.
func TestUsableInstances(t *testing.T) {
	for _, c := range []struct {
		name    string
		states  []membership.State
		drained string
		want    []string
	}{
		{"live", []membership.State{membership.Live, membership.Live}, "", []string{"i00", "i01"}},
		{"others", []membership.State{membership.Leaving, membership.Live, membership.Suspect, membership.Starting}, "", []string{"i01"}},
		{"drained", []membership.State{membership.Live, membership.Live}, "i00", []string{"i01"}},
		{"only drained", []membership.State{membership.Live, membership.Suspect}, "i00", []string{"i00"}},
		{"only suspect", []membership.State{membership.Suspect, membership.Leaving}, "", []string{"i00"}},
		{"only leaving", []membership.State{membership.Leaving}, "", []string{"i00"}},
	} {
		all := instances(len(c.states))
		for i := range all {
			all[i].State = c.states[i]
		}
		p, _, f := planner(all)
		f.fleet.DrainedInstances[c.drained] = true
		got := ids(p.Plan(config.NewService("s"), "a"))
		slices.Sort(got)
		assert.DeepEqual(t, got, c.want)
	}
}

// Guards against callers who are sent to another zone first, and against a
// zone without instances whose callers overload one instance elsewhere.
func TestZoneOrder(t *testing.T) {
	p, _, _ := planner(instances(15))
	service := config.NewService("s")
	for _, zone := range []string{"a", "b", "c"} {
		answer := p.Plan(service, zone)
		assert.Equal(t, answer.Addresses[0].Zone, zone)
		assert.Equal(t, len(answer.Addresses), 3)
	}
	assert.Equal(t, len(p.Plan(service, "gone").Addresses), 4)
	assert.Equal(t, p.Plan(service, "a").Addresses[0].KeyPrefix, ids(p.Plan(service, "a"))[0]+"~9")
}

// Guards against callers of different zones that see different primaries when
// one primary is asked for.
func TestSinglePrimary(t *testing.T) {
	p, _, _ := planner(instances(15))
	service := config.NewService("s")
	service.SinglePrimary = true
	first := ids(p.Plan(service, "a"))
	for _, zone := range []string{"b", "c", "gone"} {
		other := ids(p.Plan(service, zone))
		assert.Equal(t, other[0], first[0])
		unique := slices.Compact(slices.Sorted(slices.Values(other)))
		assert.Equal(t, len(unique), len(other))
	}
}

// Guards against a change of one instance that moves services between the
// others, which would lose what these know of the targets' load.
func TestStableUnderMembershipChange(t *testing.T) {
	const services = 1000
	for _, single := range []bool{false, true} {
		moved, total := 0, 0
		for gone := range 15 {
			all := instances(15)
			before, _, _ := planner(all)
			lost := all[gone]
			after, _, _ := planner(slices.Delete(slices.Clone(all), gone, gone+1))
			for i := range services {
				service := config.NewService(fmt.Sprint("service-", i))
				service.SinglePrimary = single
				was, is := ids(before.Plan(service, lost.Zone))[0], ids(after.Plan(service, lost.Zone))[0]
				total++
				if was != is {
					moved++
					assert.Equal(t, was, lost.ID)
				}
			}
		}
		t.Logf("single primary %t: primary of callers in the affected zone changed for %.1f %% of services",
			single, 100*float64(moved)/float64(total))
	}
}

// Guards against an answer that outlives a change of the membership or of the
// configuration, and against one that is computed again for each caller.
func TestCache(t *testing.T) {
	p, d, f := planner(instances(15))
	service := config.NewService("s")
	first := ids(p.Plan(service, "a"))
	p.Plan(service, "a")
	for i := range 2 * maxAnswers {
		p.Plan(service, fmt.Sprint("zone-", i))
	}
	assert.Equal(t, d.reads, 1)
	assert.Equal(t, len(p.view.answers), 2)

	d.instances = slices.DeleteFunc(slices.Clone(d.instances), func(in membership.Instance) bool { return in.ID == first[0] })
	d.revision++
	second := ids(p.Plan(service, "a"))
	assert.Assert(t, !slices.Contains(second, first[0]))

	fleet := f.fleet.Clone()
	fleet.DrainedInstances[second[0]] = true
	f.fleet = fleet
	assert.Assert(t, !slices.Contains(ids(p.Plan(service, "a")), second[0]))
}

// BenchmarkPlan measures a cached answer and one after each change.
func BenchmarkPlan(b *testing.B) {
	service := config.NewService("s")
	b.Run("cached", func(b *testing.B) {
		p, _, _ := planner(instances(15))
		b.ReportAllocs()
		for b.Loop() {
			p.Plan(service, "a")
		}
	})
	b.Run("changed", func(b *testing.B) {
		p, d, _ := planner(instances(15))
		b.ReportAllocs()
		for b.Loop() {
			d.revision++
			p.Plan(service, "a")
		}
	})
}
