package limits

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testInstances = 5
	testInterval  = time.Second
	testPeriod    = testInstances * testInterval
)

func testTarget(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 80)
}

func testBudget(seed uint64) *ProbeBudget {
	return NewProbeBudget(testInstances, rand.New(rand.NewPCG(seed, seed)))
}

// spend asks for each target every 100 ms and counts the probes.
func spend(b *ProbeBudget, targets int, from time.Time, length time.Duration) int {
	probes := 0
	for at := from; at.Before(from.Add(length)); at = at.Add(100 * time.Millisecond) {
		for i := range targets {
			if b.Allow(testTarget(i), testInterval, at) {
				probes++
			}
		}
	}
	return probes
}

// Guards against probes above one per interval and target over all instances.
func TestProbesOfAllInstancesStayWithinBudget(t *testing.T) {
	start := time.Unix(1000, 0)
	length := 100 * testPeriod
	probes := 0
	for i := range uint64(testInstances) {
		probes += spend(testBudget(i), 1, start, length)
	}
	most := int(length / testInterval)
	assert.Assert(t, probes <= most, "%d probes, budget %d", probes, most)
	assert.Assert(t, probes > most*8/10, "%d probes, budget %d", probes, most)
}

// Guards against a burst of saved-up probes after a pause: the targets' phases
// must be spread again, and each stays within its share.
func TestNoProbeBurstAfterPause(t *testing.T) {
	const targets = 1000
	b := testBudget(1)
	start := time.Unix(1000, 0)
	spend(b, targets, start, 3*testPeriod)
	resumed := start.Add(time.Hour)
	first := spend(b, targets, resumed, testPeriod/10)
	assert.Assert(t, first < targets*2/10, "%d probes in the first tenth of a period", first)
	rest := spend(b, targets, resumed.Add(testPeriod/10), testPeriod*9/10)
	assert.Assert(t, first+rest <= targets, "%d probes in one period", first+rest)
}

// Guards against an instance that restarts often and starts with probes.
func TestNoProbeSoonAfterRestart(t *testing.T) {
	start := time.Unix(1000, 0)
	for restart := range 100 {
		at := start.Add(time.Duration(restart) * testPeriod)
		assert.Equal(t, spend(testBudget(uint64(restart)), 10, at, testPeriod), 0)
	}
}

// Guards against a shorter interval that releases a probe at once.
func TestChangedIntervalStartsNewPeriod(t *testing.T) {
	b := testBudget(1)
	start := time.Unix(1000, 0)
	b.Allow(testTarget(0), time.Hour, start)
	assert.Assert(t, !b.Allow(testTarget(0), testInterval, start.Add(time.Second)))
}

// Guards against shares that stay after their targets are gone.
func TestRetainForgetsTargets(t *testing.T) {
	b := testBudget(1)
	spend(b, 3, time.Unix(1000, 0), time.Second)
	b.Retain(map[netip.AddrPort]time.Duration{testTarget(1): testInterval})
	assert.Equal(t, len(b.targets), 1)
}
