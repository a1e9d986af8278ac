package limits

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against instances that each keep to their own share but together make
// more retries in some window than the limits allow, however the requests are
// distributed over the instances and over time.
func TestRetryBudgetOverAllInstances(t *testing.T) {
	limits := RetryLimits{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		instances := rapid.IntRange(1, 15).Draw(t, "instances")
		budgets := make([]*RetryBudget, instances)
		for i := range budgets {
			budgets[i] = NewRetryBudget(limits, instances, func() time.Time { return now })
		}
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			if rapid.Bool().Draw(t, "request") {
				b.Deposit()
				requests = append(requests, now)
			}
			for b.Allow() {
				retries = append(retries, now)
			}
			since := now.Add(-limits.Window)
			allowed := limits.Ratio*float64(countAfter(requests, since)) + limits.Slack
			if used := float64(countAfter(retries, since)); used > allowed {
				t.Fatalf("%g retries in a window that allows %g", used, allowed)
			}
		}
	})
}

// budgetModel is a deployment whose instances start, restart and fail while requests
// are retried. An instance that starts knows all others; the others learn of it after
// a delay.
type budgetModel struct {
	limits  RetryLimits
	now     time.Time
	budgets []*RetryBudget // by instance, nil unless it runs
	seen    []bool         // whether the instance has ever run: a failed one stays known for a minute
	// learnAt is when each instance learns of the last start.
	learnAt []time.Time
}

func (m *budgetModel) knownInstances() int {
	n := 0
	for _, seen := range m.seen {
		if seen {
			n++
		}
	}
	return n
}

func (m *budgetModel) start(i int, delays []time.Duration) {
	m.seen[i] = true
	limits := m.limits
	limits.Since = m.now
	m.budgets[i] = NewRetryBudget(limits, m.knownInstances(), func() time.Time { return m.now })
	for j := range m.learnAt {
		m.learnAt[j] = m.now.Add(delays[j])
	}
}

// advance lets time pass, in which instances learn of starts.
func (m *budgetModel) advance(pause time.Duration) {
	m.now = m.now.Add(pause)
	for i, b := range m.budgets {
		if b != nil && !m.now.Before(m.learnAt[i]) {
			b.SetInstances(m.knownInstances())
		}
	}
}

// Guards against instances that together make more retries in some window than the
// limits allow while their number changes: one that restarts must not use its share
// of the slack again, and one that joins must not use a share that the others have
// used already.
func TestRetryBudgetWhileInstancesChange(t *testing.T) {
	const maxInstances = 12
	limits := RetryLimits{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		m := &budgetModel{
			limits: limits, now: time.Unix(1_700_000_000, 0), budgets: make([]*RetryBudget, maxInstances),
			seen: make([]bool, maxInstances), learnAt: make([]time.Time, maxInstances),
		}
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			m.advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, maxInstances-1).Draw(t, "instance")
			if m.budgets[i] == nil {
				delays := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) time.Duration {
					return time.Duration(rapid.IntRange(0, int(maxNoticeDelay.Milliseconds())).Draw(t, "delay")) * time.Millisecond
				}), maxInstances, maxInstances).Draw(t, "delays")
				m.start(i, delays)
				continue
			}
			if rapid.IntRange(0, 9).Draw(t, "failure") == 0 {
				m.budgets[i] = nil
				continue
			}
			if rapid.Bool().Draw(t, "request") {
				m.budgets[i].Deposit()
				requests = append(requests, m.now)
			}
			for m.budgets[i].Allow() {
				retries = append(retries, m.now)
			}
			since := m.now.Add(-limits.Window)
			allowed := limits.Ratio*float64(countAfter(requests, since)) + limits.Slack
			if used := float64(countAfter(retries, since)); used > allowed {
				t.Fatalf("%g retries in a window that allows %g", used, allowed)
			}
		}
	})
}

func countAfter(times []time.Time, since time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(since) {
			n++
		}
	}
	return n
}

// Guards against retries that still count after the window has passed, and
// against a share of the slack that ignores a change of the number of instances.
func TestRetryBudgetRecovers(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	b := NewRetryBudget(RetryLimits{Slack: 10, Window: time.Second}, 1, func() time.Time { return now })
	first := spendAll(b)
	assert.Assert(t, first > 0)
	assert.Equal(t, spendAll(b), 0)
	now = now.Add(1100 * time.Millisecond)
	assert.Equal(t, spendAll(b), first)
	b.SetInstances(10)
	now = now.Add(1100 * time.Millisecond)
	assert.Equal(t, spendAll(b), 0)
}

// Guards against an instance that uses its share of the slack before the others, who
// may have divided it without this one, have learned of its start.
func TestSlackAfterStart(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	now := start
	b := NewRetryBudget(RetryLimits{Slack: 10, Window: time.Second, Since: start}, 1, func() time.Time { return now })
	now = start.Add(time.Second + maxNoticeDelay)
	assert.Assert(t, !b.Allow())
	now = now.Add(time.Millisecond)
	assert.Assert(t, b.Allow(), "control")
}

func spendAll(b *RetryBudget) int {
	n := 0
	for b.Allow() {
		n++
	}
	return n
}

// Guards against instances that together probe a target more often than its
// limit allows, and against shares that leave more than 30 % of the limit
// unused.
func TestProbeBudgetOverAllInstances(t *testing.T) {
	const perSecond, instances, seconds = 60.0, 6, 60
	budgets := make([]*ProbeBudget, instances)
	for i := range budgets {
		budgets[i] = NewProbeBudget(perSecond, instances)
	}
	probes := 0
	start := time.Now()
	for ms := range 1000 * seconds {
		for _, b := range budgets {
			if b.Allow(start.Add(time.Duration(ms) * time.Millisecond)) {
				probes++
			}
		}
	}
	assert.Assert(t, float64(probes) <= perSecond*seconds, "%d probes exceed the limit", probes)
	assert.Assert(t, float64(probes) >= 0.7*perSecond*seconds, "%d probes use less than 70 %% of the limit", probes)
}
