package routing

import (
	"cmp"
	"slices"
	"time"

	"rhubarbrelay/upstream"
)

const (
	// sampleSize is the maximum number of targets considered in one scan.
	sampleSize = 48
	// maxReportAge is the age up to which a load report affects the slowdown of
	// its target and increases the score of a full one. Targets slow down and
	// recover within a few hundred milliseconds. The occupancy uses the latest
	// report regardless of its age.
	maxReportAge = 200 * time.Millisecond
	// maxGoodSlowdown is the slowdown up to which a target is used without
	// probing others.
	maxGoodSlowdown = 1.5
	// maxExcessFailureRate is the excess failure rate (see excessFailureRate)
	// up to which a target is used without probing others.
	maxExcessFailureRate = 0.2
	// remoteZoneCost is the cost of traffic to another zone, as a fraction of
	// the estimated duration.
	remoteZoneCost = 0.3
	// localWaitFraction is the fraction of its objective for which a request
	// waits for a fast target of the local zone before it uses a remote one.
	localWaitFraction = 0.12
	// remoteCapacityFraction is the fraction of its capacity up to which a
	// target of a remote zone is used.
	remoteCapacityFraction = 0.7
	// localFullPause and remoteFullPause are the times after a report for which
	// a target without capacity, in the local or in a remote zone, is not probed
	// again.
	localFullPause  = 30 * time.Millisecond
	remoteFullPause = 60 * time.Millisecond
	// minZoneFraction is the fraction of an even distribution of targets over
	// zones below which a zone depends on remote targets.
	minZoneFraction = 0.75
	// failureCost is the cost of an excess failure rate of 1, as a multiple of
	// the estimated duration.
	failureCost = 12.0
	// scoreJitter is the maximum of the random part of a score, as a fraction of
	// the estimated duration. The random part keeps instances from choosing the
	// same targets at once. scoreJitter is also the weight of the occupancy.
	scoreJitter = 0.2
)

// candidate is a target that may run the request.
type candidate struct {
	target *target
	score  float64 // see Dispatcher.score; lower is better
	tier   tier
	conn   *upstream.Conn
}

// excessFailureRate returns how far the failure rate of a target is above the
// average of the service. When all targets fail equally often, waiting for
// another one does not help.
func (d *Dispatcher) excessFailureRate(t *target, now time.Time) float64 {
	return max(0, t.failureRate(now)-d.averageFailureRate)
}

// tier is the first sort key of the candidates, before the score.
type tier int

const (
	localTier tier = iota // in the zone of this instance
	remoteTier
	lastResortTier // known to be slow, full or failing
)

// lastResortScore is the score from which a target is probed after all others.
const lastResortScore = 2.5

// lacksConnection reports whether there is no connection for a request to the target.
func (c candidate) lacksConnection() bool { return c.conn == nil && c.target.pool.Exhausted() }

func (c candidate) release() {
	if c.conn != nil {
		c.conn.Release()
	}
}

// candidates returns usable targets, the most promising first, and the estimated
// duration of the request. It considers a random sample of at most sampleSize
// targets, which almost certainly includes good ones.
func (d *Dispatcher) candidates(r *Request) ([]candidate, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	all := make([]candidate, 0, min(sampleSize, len(d.targets)))
	for incarnation, t := range d.targets { // map iteration is in random order
		if len(all) == sampleSize {
			break
		}
		if !t.usable(now) || slices.Contains(r.Exclude, incarnation) || d.recentlyFull(t, now) || t.pool.Exhausted() {
			continue
		}
		if !d.admits(t, now) && !d.mayRecheck(t, now) || !t.admitsSuspicion(r) {
			continue
		}
		score := d.score(t, now) + scoreJitter*d.random.Float64()
		all = append(all, candidate{target: t, score: score, tier: d.tier(t, score)})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.score, b.score))
	})
	return all, d.durations.estimate(r)
}

// recentlyFull reports whether a recent report shows the target without
// capacity for the request, so that another probe would be wasted.
func (d *Dispatcher) recentlyFull(t *target, now time.Time) bool {
	if t.info.Zone == d.settings.Zone {
		return t.isFull() && t.reportedWithin(now, localFullPause)
	}
	return !d.mayUse(t) && t.reportedWithin(now, remoteFullPause)
}

// shouldWaitForLocal reports whether the request should wait for a target of
// the local zone: a fast target that is only full has capacity again soon.
func (d *Dispatcher) shouldWaitForLocal(r *Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	if float64(now.Sub(r.Arrival)) >= localWaitFraction*float64(r.Objective) {
		return false
	}
	for _, t := range d.targets {
		if t.info.Zone == d.settings.Zone && t.usable(now) && d.admits(t, now) && d.isGoodLocked(t, now) {
			return true
		}
	}
	return false
}

// preferLocal returns the candidates of the local zone, or all candidates if
// there are none. It is used for late requests, whose responses do not justify
// the traffic to a remote zone.
func (d *Dispatcher) preferLocal(ordered []candidate) []candidate {
	local := d.localOnly(ordered)
	if len(local) == 0 {
		return ordered
	}
	return local
}

func (d *Dispatcher) localOnly(ordered []candidate) []candidate {
	return slices.DeleteFunc(slices.Clone(ordered), func(c candidate) bool { return c.target.info.Zone != d.settings.Zone })
}

func (d *Dispatcher) tier(t *target, score float64) tier {
	switch {
	case score >= lastResortScore:
		return lastResortTier
	case t.info.Zone != d.settings.Zone:
		return remoteTier
	}
	return localTier
}

// score returns the slowdown of a target, increased for failures, occupancy and a
// remote zone. Like the slowdown, it is a multiple of the estimated duration.
func (d *Dispatcher) score(t *target, now time.Time) float64 {
	score := t.slowdown(now) + failureCost*d.excessFailureRate(t, now)
	score += float64(t.occupancy()) / float64(t.info.Slots) * scoreJitter
	if t.isFull() && t.reportedWithin(now, maxReportAge) {
		score += float64(1 + t.occupancy() - t.capacity())
	}
	if t.info.Zone != d.settings.Zone {
		score += remoteZoneCost
	}
	return score
}

// isGood reports whether the target is fast and healthy enough to be used
// without probing others.
func (d *Dispatcher) isGood(t *target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isGoodLocked(t, d.clock())
}

func (d *Dispatcher) isGoodLocked(t *target, now time.Time) bool {
	return t.slowdown(now) <= maxGoodSlowdown && d.excessFailureRate(t, now) <= maxExcessFailureRate
}

// shouldUse reports whether the request should use the target instead of
// waiting for a better one.
func (d *Dispatcher) shouldUse(r *Request, c candidate, estimate time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	if r.Retry || d.isGoodLocked(c.target, now) {
		return true
	}
	finish := now.Add(time.Duration(c.target.slowdown(now) * float64(estimate)))
	return !finish.After(r.due())
}

// bestOf returns the best usable target among the current best and the found
// candidates. It releases the connections of the others.
func (d *Dispatcher) bestOf(best candidate, found []candidate) candidate {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	for _, c := range found {
		c.score = d.score(c.target, now)
		switch {
		case !d.isUsableNow(c.target, now) || !d.mayUse(c.target) || c.lacksConnection():
			c.release()
		case best.target == nil || c.score < best.score:
			best.release()
			best = c
		default:
			c.release()
		}
	}
	return best
}

// mayUse reports whether requests of the local zone may use the target. A
// target of a remote zone is used only while it has capacity to spare;
// otherwise instances of two busy zones would send their requests to each
// other's zone. The limit does not apply to a zone that depends on remote
// targets.
func (d *Dispatcher) mayUse(t *target) bool {
	return t.info.Zone == d.settings.Zone || d.remoteDependent || float64(t.occupancy()) < remoteCapacityFraction*float64(t.capacity())
}

// dependsOnRemoteZones reports whether the local zone has far fewer targets
// than an even distribution over the zones that are not evacuated.
func (d *Dispatcher) dependsOnRemoteZones() bool {
	targetsByZone, count := map[string]int{d.settings.Zone: 0}, 0
	for _, t := range d.targets {
		if !t.evacuated {
			targetsByZone[t.info.Zone]++
			count++
		}
	}
	return float64(targetsByZone[d.settings.Zone]*len(targetsByZone)) < minZoneFraction*float64(count)
}
