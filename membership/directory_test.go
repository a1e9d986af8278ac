package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbrelay/config"
	"rhubarbrelay/platform"
	"rhubarbrelay/timeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTime is a time that a test moves.
type testTime struct{ now time.Time }

func (c *testTime) add(d time.Duration) { c.now = c.now.Add(d) }

func newTestDirectory() (*Directory, *testTime) {
	c := &testTime{now: time.Unix(1_000_000, 0)}
	d := NewDirectory(Instance{ID: "self", Incarnation: 1, State: Live}, WithNow(func() time.Time { return c.now }))
	return d, c
}

func listOf(ids ...string) []platform.Instance {
	list := make([]platform.Instance, 0, len(ids))
	for _, id := range ids {
		list = append(list, platform.Instance{ID: id, Role: platform.RoleEntry, State: platform.StateLive})
	}
	return list
}

func report(id string, incarnation int64, state State, sequence uint64) Instance {
	return Instance{ID: id, Incarnation: incarnation, State: state, Sequence: sequence}
}

func stateOf(d *Directory, id string) State {
	in, ok := d.Lookup(id)
	if !ok {
		return -1
	}
	return in.State
}

// Guards against views that depend on the path of the news: the same reports
// in any order and number must give the same result.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	instance := rapid.Custom(func(t *rapid.T) Instance {
		port := rapid.Uint16Range(1, 2).Draw(t, "port")
		return Instance{
			ID:            rapid.SampledFrom([]string{"a", "b", "self"}).Draw(t, "id"),
			Zone:          rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone"),
			Incarnation:   rapid.Int64Range(1, 3).Draw(t, "incarnation"),
			CallerAddress: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port),
			State:         State(rapid.IntRange(int(Starting), int(Dead)).Draw(t, "state")),
			Sequence:      rapid.Uint64Range(1, 4).Draw(t, "sequence"),
		}
	})
	target := rapid.Custom(func(t *rapid.T) TargetReport {
		return TargetReport{
			Address:  netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), rapid.Uint16Range(1, 3).Draw(t, "port")),
			Draining: rapid.Bool().Draw(t, "draining"),
			Stamp:    timeline.Stamp(rapid.Uint64Range(1, 4).Draw(t, "stamp")),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.SliceOf(instance).Draw(t, "instances")
		targets := rapid.SliceOf(target).Draw(t, "targets")
		listed := rapid.Bool().Draw(t, "listed")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		views := make([]string, 0, 3)
		for range 3 {
			d, _ := newTestDirectory()
			if listed {
				d.ApplyList(listOf("a", "b"))
			}
			many := append(slices.Clone(instances), instances[:len(instances)/2]...)
			rng.Shuffle(len(many), func(i, j int) { many[i], many[j] = many[j], many[i] })
			for _, in := range many {
				d.ApplyNews(News{Instances: []Instance{in}})
			}
			again := append(slices.Clone(targets), targets[:len(targets)/2]...)
			rng.Shuffle(len(again), func(i, j int) { again[i], again[j] = again[j], again[i] })
			d.ApplyNews(News{Targets: again})
			// The own sequence counts the refutations and may differ.
			others := slices.DeleteFunc(d.Known(), func(in Instance) bool { return in.ID == "self" })
			views = append(views, fmt.Sprint(others, d.targets.announced))
		}
		assert.Equal(t, views[0], views[1])
		assert.Equal(t, views[0], views[2])
	})
}

// Guards against an exchange at the start of a session that loses what the
// sender knows.
func TestReportCarriesTheView(t *testing.T) {
	d, c := newTestDirectory()
	d.ApplyNews(News{Instances: []Instance{
		report("live", 1, Live, 3), report("left", 1, Leaving, 2), report("left", 1, Live, 4),
		report("suspect", 1, Live, 5), report("suspect", 1, Suspect, 5),
	}})
	d.AnnounceTarget(netip.MustParseAddrPort("127.0.0.2:1"), true)
	other := NewDirectory(Instance{ID: "other", Incarnation: 1, State: Live}, WithNow(func() time.Time { return c.now }))
	other.ApplyNews(d.Report())
	for id, want := range map[string]State{"live": Live, "left": Leaving, "suspect": Suspect, "self": Live} {
		assert.Equal(t, stateOf(other, id), want, id)
	}
	assert.Assert(t, other.TargetLeaving(netip.MustParseAddrPort("127.0.0.2:1")))
	assert.Assert(t, other.ApplyNews(d.Report()).Empty())
}

// Guards against a suspicion that never ends, that ends too early, or that a
// refutation does not end.
func TestSuspicion(t *testing.T) {
	d, c := newTestDirectory()
	d.Heard(report("a", 1, Live, 1))
	d.Suspect("a")
	assert.Equal(t, stateOf(d, "a"), Suspect)
	assert.Equal(t, d.TakePending().Instances[0].State, Suspect)
	c.add(SuspicionTimeout - time.Millisecond)
	d.Expire()
	assert.Equal(t, stateOf(d, "a"), Suspect)
	d.ApplyNews(News{Instances: []Instance{report("a", 1, Live, 2)}})
	assert.Equal(t, stateOf(d, "a"), Live)
	c.add(time.Second)
	d.Expire()
	assert.Equal(t, stateOf(d, "a"), Live)

	d.Suspect("a")
	c.add(SuspicionTimeout)
	d.Expire()
	assert.Equal(t, stateOf(d, "a"), Dead)
	d.Heard(report("a", 1, Live, 2))
	assert.Equal(t, stateOf(d, "a"), Dead)
	d.Heard(report("a", 1, Live, 3))
	assert.Equal(t, stateOf(d, "a"), Live)
}

// Guards against an instance that does not answer a claim about itself, and
// against one that answers claims for its successor.
func TestRefutation(t *testing.T) {
	d, _ := newTestDirectory()
	d.ApplyNews(News{Instances: []Instance{report("self", 1, Suspect, 4)}})
	assert.Equal(t, d.Self().Sequence, uint64(5))
	assert.Equal(t, d.TakePending().Instances[0], d.Self())
	d.ApplyNews(News{Instances: []Instance{report("self", 1, Suspect, 4), report("self", 2, Suspect, 9)}})
	assert.Equal(t, d.Self().Sequence, uint64(5))
	assert.Assert(t, d.TakePending().Empty())
}

// Guards against a list that lags, is frozen or empty and overrules what the
// instances say themselves.
func TestListDoesNotOverruleInstances(t *testing.T) {
	d, c := newTestDirectory()
	d.ApplyList(listOf("a", "b", "c"))
	d.Heard(report("a", 1, Live, 1))
	d.Heard(report("unlisted", 1, Live, 1))
	d.ApplyNews(News{Instances: []Instance{report("a", 1, Leaving, 2)}})
	d.Suspect("b")
	c.add(SuspicionTimeout)
	d.Expire()
	d.ApplyList(listOf("a", "b", "c"))
	assert.Equal(t, stateOf(d, "a"), Leaving)
	assert.Equal(t, stateOf(d, "b"), Dead)
	assert.Equal(t, stateOf(d, "unlisted"), Live)
	d.ApplyList(nil)
	assert.Equal(t, stateOf(d, "c"), Live)
	d.Heard(report("b", 5, Live, 1))
	assert.Equal(t, stateOf(d, "b"), Live)
}

// Guards against instances that stay after the list has removed them, and
// against a removal that outweighs an instance heard just now.
func TestListRemoval(t *testing.T) {
	d, c := newTestDirectory()
	d.ApplyList(listOf("a", "b", "c"))
	d.Heard(report("a", 1, Live, 1))
	d.Heard(report("b", 1, Live, 1))
	c.add(heardTimeout + time.Millisecond)
	d.Heard(report("b", 1, Live, 1))
	d.ApplyList(listOf("x"))
	assert.Equal(t, stateOf(d, "a"), Dead)
	assert.Equal(t, stateOf(d, "b"), Live)
	assert.Equal(t, stateOf(d, "c"), State(-1))
	d.ApplyList(listOf("a", "b"))
	assert.Equal(t, stateOf(d, "a"), Dead)
}

// Guards against a list that still calls the replaced incarnation leaving.
func TestListLeavingHoldsForOneIncarnation(t *testing.T) {
	d, _ := newTestDirectory()
	d.Heard(report("a", 1, Live, 1))
	list := listOf("a")
	list[0].State = platform.StateLeaving
	d.ApplyList(list)
	assert.Equal(t, stateOf(d, "a"), Leaving)
	d.Heard(report("a", 2, Live, 1))
	d.ApplyList(list)
	assert.Equal(t, stateOf(d, "a"), Live)
	d.Heard(report("a", 1, Leaving, 9))
	assert.Equal(t, stateOf(d, "a"), Live)
}

// Guards against a target that one source keeps from being used after all
// sources withdrew, or that is used while one source says leaving.
func TestTargetSources(t *testing.T) {
	d, _ := newTestDirectory()
	address := netip.MustParseAddrPort("127.0.0.2:1")
	fleet := config.NewFleet()
	assert.Assert(t, !d.TargetLeaving(address))
	fleet.Services["s"] = &config.Service{Targets: []config.Target{{Address: address, Drained: true}}}
	d.ApplyFleet(fleet)
	list := []platform.Instance{{Role: platform.RoleTarget, State: platform.StateLeaving, CallerAddress: address}}
	d.ApplyList(list)
	assert.Assert(t, d.AnnounceTarget(address, true))
	assert.Assert(t, !d.AnnounceTarget(address, true))
	d.ApplyFleet(config.NewFleet())
	assert.Assert(t, d.TargetLeaving(address))
	d.ApplyList(nil)
	assert.Assert(t, d.TargetLeaving(address))
	draining := d.TakePending().Targets[0]
	assert.Assert(t, d.AnnounceTarget(address, false))
	assert.Assert(t, !d.TargetLeaving(address))
	d.ApplyNews(News{Targets: []TargetReport{draining}})
	assert.Assert(t, !d.TargetLeaving(address))
}

// Guards against reports that fill the memory.
func TestDirectoryIsBounded(t *testing.T) {
	d, _ := newTestDirectory()
	for i := range maxTargets + 10 {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 1)
		d.ApplyNews(News{Targets: []TargetReport{{Address: a, Draining: true, Stamp: timeline.Stamp(i)}}})
	}
	for i := range maxRecords + 10 {
		d.ApplyNews(News{Instances: []Instance{report(fmt.Sprint(i), 1, Live, 1)}})
	}
	assert.Equal(t, len(d.targets.announced), maxTargets)
	assert.Equal(t, len(d.records), maxRecords)
}

// Guards against a lock that is held during the call of a subscriber, and
// against calls without a change.
func TestSubscribers(t *testing.T) {
	d, _ := newTestDirectory()
	calls := 0
	d.Subscribe(func() {
		calls++
		d.Instances()
		d.Subscribe(func() {})
	})
	d.Heard(report("a", 1, Live, 1))
	d.Heard(report("a", 1, Live, 1))
	d.Heard(report("a", 1, Live, 2))
	d.ApplyList(nil)
	assert.Equal(t, calls, 1)
	d.SetSelf(Leaving)
	d.SetSelf(Live)
	assert.Equal(t, calls, 2)
	assert.Equal(t, d.Self().State, Leaving)
	assert.Equal(t, d.LiveCount(), 1)
}

// Guards against local changes that never reach the peers because too many
// were made at once.
func TestPendingOverflow(t *testing.T) {
	d, _ := newTestDirectory()
	const count = 2 * maxPending
	for i := range count {
		d.AnnounceTarget(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 1), true)
	}
	assert.Equal(t, len(d.TakePending().Targets), count)
	assert.Assert(t, d.TakePending().Empty())
}
