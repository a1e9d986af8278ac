package loadtest

import (
	"net"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/header"
)

func testProfile() *Profile {
	return &Profile{
		Service: "spoolkeep", Seed: 7, Duration: 20 * time.Second, Rate: 1000,
		WorkMean: 10 * time.Millisecond, LongPercent: 1, LongFactor: 50, WritePercent: 20,
		Phases: []Phase{{Start: 5 * time.Second, Length: 5 * time.Second, Factor: 3}},
	}
}

// Guards against policies being compared on different arrivals.
func TestTraceDependsOnSeedOnly(t *testing.T) {
	p := testProfile()
	a, b := NewTrace(p, "x"), NewTrace(p, "x")
	assert.DeepEqual(t, a, b)
	p.Seed++
	assert.Assert(t, len(NewTrace(p, "x")) != len(a) || NewTrace(p, "x")[0] != a[0])
}

// Guards against a trace whose rate, phases or shares differ from the profile.
func TestTraceFollowsProfile(t *testing.T) {
	p := testProfile()
	var peak, long, writes float64
	trace := NewTrace(p, "x")
	for _, r := range trace {
		if r.At >= 5*time.Second && r.At < 10*time.Second {
			peak++
		}
		if r.Long {
			long++
		}
		if r.Write {
			writes++
		}
	}
	total := float64(len(trace))
	assert.Assert(t, total > 29000 && total < 31000, "requests: %v", total)
	assert.Assert(t, peak > 14500 && peak < 15500, "requests in the peak: %v", peak)
	assert.Assert(t, long/total > 0.008 && long/total < 0.012, "long share: %v", long/total)
	assert.Assert(t, writes/total > 0.19 && writes/total < 0.21, "write share: %v", writes/total)
}

// Guards against a lower bound that is not a queue: a single slot must serve
// one request after the other, and enough slots must not make any wait.
func TestIdealQueue(t *testing.T) {
	ms := time.Millisecond
	trace := []Request{{At: 0, Work: 10 * ms}, {At: 2 * ms, Work: 10 * ms}, {At: 40 * ms, Work: 5 * ms}}
	cases := []struct {
		name  string
		slots int
		want  []time.Duration
	}{
		{"one slot", 1, []time.Duration{10 * ms, 18 * ms, 5 * ms}},
		{"two slots", 2, []time.Duration{10 * ms, 10 * ms, 5 * ms}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.DeepEqual(t, Ideal(&Profile{}, trace, 1, c.slots), c.want)
		})
	}
}

// Guards against a lower bound that ignores slow targets: with every target
// slow nearly always, the service times grow by the factor.
func TestIdealQueueSlowTargets(t *testing.T) {
	p := &Profile{Seed: 1, Noise: Noise{Factor: 5, Length: time.Hour, Share: 0.999}}
	trace := []Request{{At: time.Hour, Work: time.Millisecond}}
	assert.DeepEqual(t, Ideal(p, trace, 1, 1), []time.Duration{5 * time.Millisecond})
}

// Guards against reports that change when they are saved and read again.
func TestReportRoundTrip(t *testing.T) {
	r := NewReport("slots", 2*time.Second)
	r.Add(Request{ID: "a", At: time.Second}, Answer{Outcome: header.OutcomeRun, Status: 200, Tries: 2}, 12*time.Millisecond, true)
	r.Add(Request{ID: "b", Long: true}, Answer{Outcome: header.OutcomeRun, Status: 200}, time.Second, false)
	r.Add(Request{ID: "c"}, Answer{Outcome: header.OutcomeNotRun, Status: 503}, 40*time.Millisecond, true)
	path := filepath.Join(t.TempDir(), "report.json")
	assert.NilError(t, r.Save(path))
	got, err := LoadReport(path)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Outcomes, r.Outcomes)
	assert.Equal(t, got.Repeats, 1)
	assert.Equal(t, got.Wrong, 1)
	assert.Equal(t, got.Short.TotalCount(), int64(1))
	assert.Equal(t, got.Long.TotalCount(), int64(1))
	assert.Equal(t, got.Refused.TotalCount(), int64(1))
	assert.Equal(t, got.Seconds[1].Answered, 1)
}

// Guards against a load report that takes a failed dial for the answer to an
// earlier try, whose request may have run.
func TestFailedDialKeepsUnknown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			_, _ = conn.Read(make([]byte, 1))
			_ = l.Close() // later tries cannot connect
			_ = conn.Close()
		}
	}()
	address := netip.MustParseAddrPort(l.Addr().String())
	c := NewDirectCaller("spoolkeep", []netip.AddrPort{address})
	p := &Profile{Keyed: true, Deadline: time.Second}
	answer := c.Send(p, Request{ID: "order-1", Write: true}, []byte("order-1"))
	assert.Equal(t, answer.Outcome, header.OutcomeUnknown)
	assert.Equal(t, answer.Tries, callerMaxTries)
}
