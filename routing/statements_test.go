package routing

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"rhubarbrelay/platform"
	"rhubarbrelay/standin"
	"rhubarbrelay/targets"
)

// statementsTest is a dispatcher with two targets in virtual time.
type statementsTest struct {
	t   *testing.T
	now time.Time
	d   *Dispatcher
	all []*targets.Target
}

func newStatementsTest(t *testing.T) *statementsTest {
	t.Helper()
	s := &statementsTest{t: t, now: time.Unix(1_700_000_000, 0)}
	s.d = newLimitedDispatcher(t, &s.now, 2)
	for _, target := range s.d.targets {
		s.all = append(s.all, target.info)
	}
	return s
}

// responds makes a target respond to a request.
func (s *statementsTest) responds(target *targets.Target, info platform.ResponseInfo) {
	s.t.Helper()
	info.Received = true
	l, err := s.d.Acquire(context.Background(), s.requestFor(target))
	assert.NilError(s.t, err)
	l.Release(Succeeded, info)
}

// requestFor returns a request that only the target may run.
func (s *statementsTest) requestFor(target *targets.Target) *Request {
	r := &Request{Retry: true, Arrival: s.now, Deadline: s.now.Add(time.Minute)}
	for _, other := range s.all {
		if other != target {
			r.Exclude = append(r.Exclude, other.Incarnation())
		}
	}
	return r
}

// takes reports whether the target gets a request.
func (s *statementsTest) takes(target *targets.Target) bool {
	l, err := s.d.Acquire(context.Background(), s.requestFor(target))
	if err != nil {
		return false
	}
	l.Release(Inconclusive, platform.ResponseInfo{})
	return true
}

var (
	leavingResponse = platform.ResponseInfo{Leaving: true}
	quietResponse   = platform.ResponseInfo{Quiet: platform.Quiet{Duration: 3 * time.Second}}
)

// Guards against a target that gets requests although it has stated that it wants none,
// and against a statement that ends too late, holds for other targets, or is undone by
// a later response, a shorter time, or a response that states nothing.
func TestStatementsOfTargets(t *testing.T) {
	tests := []struct {
		name       string
		statements []platform.ResponseInfo
		after      time.Duration
		want       bool // whether the target takes a request
	}{
		{"nothing", []platform.ResponseInfo{{}}, 0, true},
		{"leaving", []platform.ResponseInfo{leavingResponse}, 0, false},
		{"leaving, later", []platform.ResponseInfo{leavingResponse}, time.Hour, false},
		{"leaving, then nothing", []platform.ResponseInfo{leavingResponse, {}}, 0, false},
		{"quiet", []platform.ResponseInfo{quietResponse}, 2999 * time.Millisecond, false},
		{"quiet, ended", []platform.ResponseInfo{quietResponse}, 3 * time.Second, true},
		{"quiet, then nothing", []platform.ResponseInfo{quietResponse, {}}, time.Second, false},
		{"quiet, then shorter", []platform.ResponseInfo{quietResponse, {Quiet: platform.Quiet{Duration: time.Millisecond}}}, time.Second, false},
		{"quiet, then longer", []platform.ResponseInfo{quietResponse, {Quiet: platform.Quiet{Duration: 9 * time.Second}}}, 5 * time.Second, false},
		{"quiet and malformed", []platform.ResponseInfo{{Quiet: platform.Quiet{Malformed: true}}}, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newStatementsTest(t)
			// The responses arrive one after the other, to requests that were sent before.
			leases := make([]*Lease, len(tt.statements))
			for i := range leases {
				leases[i] = acquire(t, s.d, s.requestFor(s.all[0]))
			}
			for i, info := range tt.statements {
				info.Received = true
				leases[i].Release(Succeeded, info)
			}
			s.now = s.now.Add(tt.after)
			assert.Equal(t, s.takes(s.all[0]), tt.want)
			assert.Assert(t, s.takes(s.all[1]), "another target")
		})
	}
}

// Guards against what a target has stated being forgotten when its registration is lost
// and comes back, as after a restoration of the store, and against a later incarnation
// that inherits it.
func TestStatementsOfTargetThatRegistersAgain(t *testing.T) {
	for _, info := range []platform.ResponseInfo{leavingResponse, quietResponse, {Limit: platform.Limit{Stated: true, PerSecond: 0.1}}} {
		s := newStatementsTest(t)
		s.responds(s.all[0], info)
		s.d.SetTargets(s.all[1:])
		s.now = s.now.Add(time.Second)
		s.d.SetTargets(s.all)
		assert.Assert(t, !s.takes(s.all[0]), "%+v", info)
		next := *s.all[0]
		next.StartedMS++
		s.all[0] = &next
		s.d.SetTargets(s.all)
		assert.Assert(t, s.takes(&next), "%+v", info)
	}
}

// Guards against requests that wait for targets which want none before their wait limit,
// and against a Retry-After other than the time at which the first one does.
func TestRefusalWhileAllTargetsAreQuiet(t *testing.T) {
	s := newStatementsTest(t)
	s.responds(s.all[0], quietResponse)
	s.responds(s.all[1], leavingResponse)
	r := &Request{Arrival: s.now, Deadline: s.now.Add(2 * time.Second), Objective: time.Second}
	_, err := s.d.Acquire(context.Background(), r)
	assert.ErrorIs(t, err, ErrNoCapacity)
	var refusal *RefusalError
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.RetryAfter, 3*time.Second)
	s.now = s.now.Add(3 * time.Second)
	assert.Assert(t, s.takes(s.all[0]))
}

// Guards against a request that is refused at once because the only target that could be
// reached now leaves, although another one is tried again in a moment.
func TestUnreachableTargetBesideOneThatLeaves(t *testing.T) {
	s := newStatementsTest(t)
	s.responds(s.all[0], leavingResponse)
	acquire(t, s.d, s.requestFor(s.all[1])).Release(Unreachable, platform.ResponseInfo{})
	assert.NilError(t, s.d.refuseWithoutCandidate(&Request{}, s.now.Add(minBackoff)))
	assert.ErrorIs(t, s.d.refuseWithoutCandidate(&Request{}, s.now.Add(minBackoff-1)), ErrNoCapacity)
}

// Guards against a request that is sent although the target has stated, after it was
// chosen, that it wants none.
func TestStatementAfterGrant(t *testing.T) {
	for _, info := range []platform.ResponseInfo{leavingResponse, quietResponse} {
		s := newStatementsTest(t)
		first, second := acquire(t, s.d, s.requestFor(s.all[0])), acquire(t, s.d, s.requestFor(s.all[0]))
		assert.Assert(t, second.Admitted())
		info.Received = true
		first.Release(Succeeded, info)
		assert.Assert(t, !second.Admitted())
		second.Release(Inconclusive, platform.ResponseInfo{})
	}
}

// Guards against what a target has stated reaching only the instances that it has told,
// and against a limit that another instance has heard the end of.
func TestStatementsOfOtherInstances(t *testing.T) {
	a, b := newStatementsTest(t), newStatementsTest(t)
	b.all = a.all
	b.d.SetTargets(b.all)
	WithOnStatement(b.d.ApplyStatement)(a.d)
	first := acquire(t, a.d, a.requestFor(a.all[0]))
	first.Release(Succeeded, platform.ResponseInfo{Received: true, Limit: platform.Limit{Stated: true, PerSecond: 0.1}})
	assert.Assert(t, !b.takes(b.all[0]))
	assert.Assert(t, b.takes(b.all[1]))
	a.now = a.now.Add(time.Minute)
	a.responds(a.all[0], platform.ResponseInfo{})
	assert.Assert(t, b.takes(b.all[0]))
	a.responds(a.all[0], leavingResponse)
	assert.Assert(t, !b.takes(b.all[0]))
	b.d.ApplyStatement(targets.Statement{Incarnation: b.all[0].Incarnation()}) // an earlier one that arrives late
	assert.Assert(t, !b.takes(b.all[0]))
	b.d.ApplyStatement(targets.Statement{Incarnation: targets.Incarnation{ID: "unknown"}, Leaving: true})
	assert.Assert(t, b.takes(b.all[1]))
}

// Guards against requests to a target that is draining, that another one has replaced at
// its address, or that could not be reached just now, where no probe shows it.
func TestUnusableTargets(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(s *statementsTest)
	}{
		{"draining", func(s *statementsTest) {
			draining := *s.all[0]
			draining.State = targets.Draining
			s.all[0] = &draining
			s.d.SetTargets(s.all)
		}},
		{"replaced", func(s *statementsTest) {
			acquire(s.t, s.d, s.requestFor(s.all[0])).Release(Replaced, platform.ResponseInfo{})
		}},
		{"unreachable", func(s *statementsTest) {
			acquire(s.t, s.d, s.requestFor(s.all[0])).Release(Unreachable, platform.ResponseInfo{})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newStatementsTest(t)
			assert.Assert(t, s.takes(s.all[0]), "control")
			tt.prepare(s)
			assert.Assert(t, !s.takes(s.all[0]))
			assert.Assert(t, s.takes(s.all[1]))
		})
	}
}

// Guards against an instance that never notices the end of a limit which admits none of
// its requests, and against one that sends a request to find out.
func TestLimitIsCheckedByProbes(t *testing.T) {
	target, info := startTarget(t, "t-1", "a", 8)
	target.SetFaults(standin.TargetFaults{Limit: "0"})
	var offset atomic.Int64
	d := NewDispatcher(service, testSettings(), InstanceCounts{Known: 1, Active: 1}, WithLogger(&log.Logger{Handler: discard.Default}),
		WithClock(func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }))
	d.SetTargets([]*targets.Target{info})
	t.Cleanup(d.Close)
	takes := func() bool {
		r := request()
		r.Retry = true
		l, err := d.Acquire(context.Background(), r)
		if err == nil {
			l.Release(Inconclusive, platform.ResponseInfo{})
		}
		return err == nil
	}
	assert.Assert(t, !takes(), "the probe states the limit")
	for range 3 {
		offset.Add(int64(limitRecheckInterval))
		probes := d.Stats().Probes
		assert.Assert(t, !takes())
		assert.Equal(t, d.Stats().Probes, probes+1)
		assert.Assert(t, !takes(), "not checked again at once")
		assert.Equal(t, d.Stats().Probes, probes+1)
	}
	target.SetFaults(standin.TargetFaults{})
	offset.Add(int64(limitRecheckInterval))
	assert.Assert(t, takes())
}

// Guards against a late request that waits behind all others although it may not scan.
func TestLateRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDispatcher(service, testSettings(), InstanceCounts{Known: 1, Active: 1})
		ctx, cancel := context.WithCancel(context.Background())
		var waiting sync.WaitGroup
		for range maxScanners {
			waiting.Go(func() { _, _ = d.Acquire(ctx, request()) })
		}
		synctest.Wait()
		began := time.Now()
		r := &Request{Arrival: began, Deadline: began.Add(time.Minute), Objective: 20 * time.Second}
		r.PriorElapsed = r.Objective
		_, err := d.Acquire(ctx, r)
		assert.ErrorIs(t, err, ErrNoCapacity)
		assert.Equal(t, time.Since(began), time.Duration(0))
		cancel()
		waiting.Wait()
	})
}
