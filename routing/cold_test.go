package routing

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/limits"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

// The limit of cold targets in tests, and what one may get within any second.
const (
	coldPerSecond = 3.9
	coldOverage   = 1.5
	coldSlack     = 8
	maxColdPeak   = coldPerSecond*coldOverage + coldSlack
)

// newColdDispatcher returns a dispatcher of a service that limits the requests to its
// cold targets. With a health path, its clock stands still but for the returned offset, so
// that the tests do not depend on how long the probes take.
func newColdDispatcher(t *testing.T, healthPath string, all []*targets.Target, opts ...Option) (*Dispatcher, *time.Duration) {
	t.Helper()
	offset, clock := new(time.Duration), time.Now
	if healthPath != "" {
		start := time.Now()
		clock = func() time.Time { return start.Add(*offset) }
	}
	settings := testSettings()
	settings.Cold = ColdLimits{Overage: coldOverage, Slack: coldSlack}
	s := &config.Service{Name: "s", HealthPath: healthPath, MaxConnections: 200, ColdDuration: 20 * time.Second, ColdPerSecond: coldPerSecond}
	d := NewDispatcher(s, settings, InstanceCounts{Known: 1, Active: 1}, append(opts, WithClock(clock))...)
	d.SetTargets(all)
	t.Cleanup(d.Close)
	return d, offset
}

// try acquires a target for a request that does not wait, and reports whether there was
// one.
func try(d *Dispatcher) bool {
	now := d.clock()
	l, err := d.Acquire(context.Background(), &Request{Route: "r", Arrival: now, Deadline: now.Add(time.Second), Objective: time.Second, Retry: true})
	if err != nil {
		return false
	}
	l.Release(Succeeded, platform.ResponseInfo{Received: true, Sealed: true})
	return true
}

// Guards against a target that gets more requests than it tolerates while its
// registration says that it is cold, when it is first seen as well as when it registers
// again, and against one that is limited when it is warm.
func TestRegisteredColdTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		info := modelTargets(1, "a")[0]
		info.WarmupLeft = 2 * time.Second
		d, _ := newColdDispatcher(t, "", []*targets.Target{info})
		sent := func(during time.Duration) []time.Time {
			var at []time.Time
			for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if try(d) {
					at = append(at, time.Now())
				}
			}
			return at
		}
		checkCold := func() {
			t.Helper()
			at := sent(1900 * time.Millisecond)
			assert.Assert(t, len(at) >= 5, "%d requests", len(at))
			assert.Assert(t, float64(mostInWindow(at, time.Second)) <= maxColdPeak)
		}
		checkCold()
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, len(sent(time.Second)), 100)

		d.SetTargets([]*targets.Target{info}) // a change of another target
		assert.Equal(t, len(sent(time.Second)), 100)
		again := *info
		again.Sequence++
		d.SetTargets([]*targets.Target{&again})
		checkCold()
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, len(sent(time.Second)), 100)
	})
}

// Guards against a target that gets requests as a warm one although it has become cold
// without a new registration, and against other instances that do not learn of that.
func TestTargetBecomesCold(t *testing.T) {
	target, info := startTarget(t, "t", "a", 8)
	target.SetCold(0, 0)
	var told []targets.Statement
	d, offset := newColdDispatcher(t, "/healthz", []*targets.Target{info}, WithOnStatement(func(s targets.Statement) { told = append(told, s) }))
	for range 30 {
		assert.Assert(t, try(d))
	}
	target.SetCold(time.Minute, 0)
	*offset += coldFreshness + time.Millisecond
	granted := 0
	for range 30 {
		if try(d) {
			granted++
		}
	}
	assert.Assert(t, granted <= 1, "%d requests", granted)
	assert.Equal(t, d.Stats().Cold, 1)
	assert.Equal(t, len(told), 1)
	assert.Equal(t, told[0].Incarnation, info.Incarnation())
	assert.Assert(t, told[0].ColdLeft > 30*time.Second)

	_, otherInfo := startTarget(t, "t", "a", 8)
	otherInfo.StartedMS = info.StartedMS
	other, _ := newColdDispatcher(t, "/healthz", []*targets.Target{otherInfo})
	lease := acquire(t, other, request())
	assert.Assert(t, lease.Admitted())
	other.ApplyStatement(told[0])
	assert.Equal(t, other.Stats().Cold, 1)
	assert.Assert(t, !lease.Admitted())
	lease.Release(Unreachable, platform.ResponseInfo{})

	target.SetCold(0, 0) // warm again, earlier than stated
	*offset += coldRecheckInterval
	for range 30 {
		try(d)
	}
	assert.Equal(t, d.Stats().Cold, 0)
}

// Guards against a target that is assumed to be warm although its last health response is
// old, as its other responses do not say whether it is cold.
func TestOldHealthResponse(t *testing.T) {
	target, info := startTarget(t, "t", "a", 8)
	d, offset := newColdDispatcher(t, "/healthz", []*targets.Target{info}, WithColdSharing(noColdShare{}))
	report := platform.ResponseInfo{Received: true, Sealed: true, HasLoad: true, Load: platform.Load{Slots: 8, Slowdown: 1}}
	acquire(t, d, request()).Release(Succeeded, report)
	assert.Equal(t, target.Probes(), int64(1))
	acquire(t, d, request()).Release(Succeeded, report) // the report is fresh
	assert.Equal(t, target.Probes(), int64(1))
	*offset += coldFreshness + time.Millisecond
	d.mu.Lock()
	d.recordReport(d.targets[info.Incarnation()], report.Load, d.clock())
	d.mu.Unlock()
	assert.Assert(t, try(d))
	assert.Equal(t, target.Probes(), int64(2))
}

// Guards against a target that counts as warm after the evacuation of its zone, during
// which nobody has asked it.
func TestColdAfterEvacuation(t *testing.T) {
	target, info := startTarget(t, "t", "a", 8)
	d, offset := newColdDispatcher(t, "/healthz", []*targets.Target{info})
	assert.Assert(t, try(d))
	d.SetEvacuated([]string{"a"})
	target.SetCold(time.Minute, 0)
	d.SetEvacuated(nil)
	assert.Equal(t, d.Stats().Cold, 1)
	*offset += reopenSpread
	granted := 0
	for range 30 {
		if try(d) {
			granted++
		}
	}
	assert.Assert(t, granted <= 1, "%d requests", granted)
	target.SetCold(0, 0)
	*offset += coldRecheckInterval
	assert.Assert(t, try(d))
	assert.Equal(t, d.Stats().Cold, 0)
}

// noColdShare is the ColdSharing of an instance that shares no limit.
type noColdShare struct{}

// Share implements ColdSharing.
func (noColdShare) Share(*targets.Target) limits.ColdShare { return limits.ColdShare{} }

// Guards against an instance that sends requests to cold targets whose limit it does not
// share, and against requests that wait for them in vain.
func TestColdTargetsOfOtherSharers(t *testing.T) {
	target, info := startTarget(t, "t", "a", 8)
	target.SetCold(time.Minute, 0)
	d, _ := newColdDispatcher(t, "/healthz", []*targets.Target{info}, WithColdSharing(noColdShare{}))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r := request()
	r.Retry = true
	_, err := d.Acquire(context.Background(), r) // finds out that the target is cold
	assert.Assert(t, err != nil)
	_, err = d.Acquire(ctx, request())
	var refusal *RefusalError
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	assert.Equal(t, refusal.RetryAfter, timeoutRetryAfter)
}

// Guards against an expected rate of the queue that counts cold targets like warm ones.
func TestExpectedRateOfColdTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := modelTargets(10, "a")
		for _, info := range all[:9] {
			info.WarmupLeft = time.Minute
		}
		d, _ := newColdDispatcher(t, "", all)
		d.durations.estimates = map[string]time.Duration{"r": 100 * time.Millisecond}
		d.mu.Lock()
		rate := d.dequeueRate(request(), time.Now())
		d.mu.Unlock()
		share := 1 / (1.0/3 + 0.001) // three requests in a second
		assert.Assert(t, rate > usableRateFraction*8/0.1+9*share-0.01 && rate < usableRateFraction*8/0.1+9*share+0.01, "%f a second", rate)
	})
}

// Guards against a response to a probe from before a target became cold that makes it
// count as warm again, and against a health response without the header that ends the
// cold time in its registration.
func TestColdStatements(t *testing.T) {
	const second = time.Second
	stated := func(left time.Duration) platform.Cold { return platform.Cold{Stated: true, Left: left} }
	tests := []struct {
		name   string
		record func(d *Dispatcher, target *target, now time.Time)
		want   time.Duration
	}{
		{"health response", func(d *Dispatcher, target *target, now time.Time) { d.recordCold(target, stated(9*second), now, now) }, 9 * second},
		{"warm", func(d *Dispatcher, target *target, now time.Time) { d.recordCold(target, stated(0), now, now) }, 0},
		{"no header", func(d *Dispatcher, target *target, now time.Time) { d.recordCold(target, platform.Cold{}, now, now) }, 5 * second},
		{"malformed", func(d *Dispatcher, target *target, now time.Time) {
			d.recordCold(target, platform.Cold{Malformed: true}, now, now)
		}, 5 * second},
		{"probe from before the registration", func(d *Dispatcher, target *target, now time.Time) {
			d.recordCold(target, stated(0), now.Add(-2*second), now)
		}, 5 * second},
		{"other instance", func(d *Dispatcher, target *target, _ time.Time) {
			d.ApplyStatement(targets.Statement{Incarnation: target.info.Incarnation(), ColdLeft: 7 * second})
		}, 7 * second},
		{"shorter time of other instance", func(d *Dispatcher, target *target, _ time.Time) {
			d.ApplyStatement(targets.Statement{Incarnation: target.info.Incarnation(), ColdLeft: second})
		}, 5 * second},
		{"probe from before the statement of another instance", func(d *Dispatcher, target *target, now time.Time) {
			d.ApplyStatement(targets.Statement{Incarnation: target.info.Incarnation(), ColdLeft: 7 * second})
			d.recordCold(target, stated(0), now.Add(-time.Millisecond), now)
		}, 7 * second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				info := modelTargets(1, "a")[0]
				info.WarmupLeft = 6 * second
				d, offset := newColdDispatcher(t, "/healthz", []*targets.Target{info})
				*offset += second
				target := d.targets[info.Incarnation()]
				tt.record(d, target, d.clock())
				assert.Equal(t, max(0, target.cold.until.Sub(d.clock())), tt.want)
			})
		})
	}
}

// Guards against probes or limits for targets that state cold times, or are registered
// with them, in a service without a limit.
func TestColdTargetsWithoutLimit(t *testing.T) {
	target, info := startTarget(t, "t", "a", 8)
	target.SetCold(time.Minute, 0)
	info.WarmupLeft = time.Minute
	d := newDispatcher(t, info)
	report := platform.ResponseInfo{Received: true, Sealed: true, HasLoad: true, Load: platform.Load{Slots: 8, Slowdown: 1}}
	for range 30 {
		acquire(t, d, request()).Release(Succeeded, report)
	}
	assert.Equal(t, d.Stats().Cold, 0)
	assert.Assert(t, d.targets[info.Incarnation()].cold.until.IsZero())
}

// Guards against requests to a cold target whose registration was removed and is back, as
// if this instance had sent it none before.
func TestColdTargetRegistersAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		info := modelTargets(1, "a")[0]
		info.WarmupLeft = time.Minute
		d, _ := newColdDispatcher(t, "", []*targets.Target{info})
		time.Sleep(time.Second)
		assert.Assert(t, try(d))
		for range 10 {
			d.SetTargets(nil)
			d.SetTargets([]*targets.Target{info})
			assert.Assert(t, !try(d))
		}
	})
}
