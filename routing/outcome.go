package routing

import (
	"time"

	"rhubarbrelay/platform"
)

func (d *Dispatcher) release(l *Lease, outcome Outcome, info platform.ResponseInfo) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.released {
		return
	}
	l.released = true
	now := d.clock()
	t := l.target
	t.removeLease(l)
	switch {
	case info.HasLoad:
		d.recordReport(t, info.Load, now)
	case t.sentSinceReport > 0 && !l.start.Before(t.loadAt):
		t.sentSinceReport-- // the request was sent after the latest report and has ended
	}
	if outcome != Replaced {
		d.recordStatements(t, info, l.start, now)
	}
	d.recordOutcome(l, outcome, now)
	d.recordTryReach(t, outcome, info, now)
	d.queue.wakeScanners()
}

// averageFailureWeight is the weight of one try in the average failure rate.
const averageFailureWeight = 0.02

// recentTargets is a ring buffer of the targets that reported their load most
// recently.
type recentTargets struct {
	targets [maxRecentTargets]*target
	next    int
}

// maxRecentTargets is the size of the ring buffer. More targets than this
// rarely report within freshReportAge.
const maxRecentTargets = 16

func (d *Dispatcher) recordReport(t *target, load platform.Load, now time.Time) {
	t.setReport(load, now)
	d.recent.targets[d.recent.next] = t
	d.recent.next = (d.recent.next + 1) % maxRecentTargets
}

func (d *Dispatcher) recordOutcome(l *Lease, outcome Outcome, now time.Time) {
	t := l.target
	switch outcome {
	case Succeeded:
		d.averageFailureRate -= averageFailureWeight * d.averageFailureRate
		duration := now.Sub(l.start)
		t.recordSuccess(now)
		t.recordDuration(l.durationRatio(duration), now)
		d.durations.record(l.route, l.estimate, time.Duration(float64(duration)/l.slowdown))
		d.updateThroughput(now)
	case Failed:
		d.stats.Failures++
		d.recordFailure(t, failureWeight, now)
	case TimedOut:
		d.stats.Failures++
		t.recordFailure(failureWeight, now)
		t.recordDuration(maxSlowdownRatio, now)
	case Shed:
		d.stats.Sheds++
		d.recordFailure(t, shedWeight, now)
	case Unreachable:
		d.stats.Failures++
		t.startBackoff(now)
	case Superseded:
		t.recordDuration(l.durationRatio(now.Sub(l.start)), now)
	case Replaced:
		t.replaced = true
	case Inconclusive:
	}
}

// recordFailure counts a failed try against its target and in the average of the service.
func (d *Dispatcher) recordFailure(t *target, weight float64, now time.Time) {
	d.averageFailureRate += averageFailureWeight * (1 - d.averageFailureRate)
	t.recordFailure(weight, now)
}

// durationRatio returns the ratio of a duration to the one expected at the target.
func (l *Lease) durationRatio(duration time.Duration) float64 {
	return float64(duration) / (float64(l.estimate) * l.slowdown)
}

// updateThroughput counts a successful try in the moving average.
func (d *Dispatcher) updateThroughput(now time.Time) {
	d.throughput = d.throughput*decay(now.Sub(d.throughputAt), throughputTimeConstant) + 1/throughputTimeConstant.Seconds()
	d.throughputAt = now
}
