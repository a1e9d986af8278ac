package routing

import (
	"testing"
	"testing/synctest"
	"time"

	"rhubarbrelay/config"

	"gotest.tools/v3/assert"
)

// The demand peak of the overload test.
const (
	peakFrom = 2 * time.Second
	peakTo   = 7 * time.Second
	peakEnd  = 10 * time.Second
	peakLoad = 3.0
	restLoad = 0.7
)

func peak(at time.Duration) float64 {
	if at >= peakFrom && at < peakTo {
		return peakLoad
	}
	return restLoad
}

// Guards against collapse in a demand peak: work that is done but comes late,
// refusals after 50 ms, and a queue that outlasts the peak.
func TestDemandPeak(t *testing.T) {
	tests := []struct {
		instances int
		noisy     bool
		goodput   float64
	}{
		{instances: 1, noisy: false, goodput: 0.95},
		{instances: 1, noisy: true, goodput: 0.95},
		{instances: 3, noisy: false, goodput: 0.95},
		{instances: 3, noisy: true, goodput: 0.95},
	}
	for _, tt := range tests {
		tr := newTrace(5, peakEnd, peak, tt.noisy)
		synctest.Test(t, func(t *testing.T) {
			o := simulation{policy: config.PolicySlots, instances: tt.instances, seed: 5}.run(tr)
			goodput := o.peakGoodput(tt.noisy)
			before, after := o.shortP99(time.Second, peakFrom), o.shortP99(peakTo+time.Second, peakEnd)
			during := o.shortP99(peakFrom, peakTo)
			t.Logf("%d instances, noise %v: goodput %.3f of capacity, slowest refusal %s, short p99 %s before, %s during, %s after, ejections %d",
				tt.instances, tt.noisy, goodput, o.lateness, before, during, after, o.stats.Ejections)
			assert.Check(t, goodput >= tt.goodput)
			assert.Check(t, o.lateness <= maxRefusal)
			assert.Check(t, after < before*3/2)
		})
	}
}

// peakGoodput returns the work that was done during the peak and came before
// its deadline, over the capacity. The first 50 ms fill the slots.
func (o *outcome) peakGoodput(noisy bool) float64 {
	work := time.Duration(0)
	for _, f := range o.finished {
		end := f.at + f.latency
		if end >= peakFrom+50*time.Millisecond && end < peakTo && f.latency <= time.Second {
			work += f.work
		}
	}
	capacity := float64(fleetTargets*fleetSlots) * (peakTo - peakFrom - 50*time.Millisecond).Seconds()
	if noisy {
		capacity *= noisyCapacity
	}
	return work.Seconds() / capacity
}

// shortP99 returns the p99 of the short requests that arrived in the period.
func (o *outcome) shortP99(from, to time.Duration) time.Duration {
	h := newHistogram()
	for _, f := range o.finished {
		if !f.long && f.at >= from && f.at < to {
			record(h, f.latency)
		}
	}
	return time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
}
