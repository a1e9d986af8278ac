package routing

import (
	"cmp"
	"slices"
	"time"

	"rhubarbrelay/upstream"
)

const (
	// sampleSize bounds the targets that one decision looks at.
	sampleSize = 48
	// reportUsable is the age up to which a report says anything: targets slow
	// down and recover within some hundred milliseconds.
	reportUsable = 200 * time.Millisecond
	// goodSlowdown is the slowdown up to which a target is taken without asking
	// others.
	goodSlowdown = 1.5
	// maxFailing is the failure rate up to which a target is taken without
	// asking others.
	maxFailing = 0.2
	// foreignZone is what the bytes to another zone count, as a part of the
	// expected duration.
	foreignZone = 0.3
	// nearWait is the part of its objective for which a request waits for a fast
	// target of the own zone before it goes to another one.
	nearWait = 0.12
	// farRoom is the part of its room up to which a target of another zone takes
	// requests.
	farRoom = 0.7
	// nearPause and farPause are the times for which a target without room, of
	// the own zone or of another, is not asked again.
	nearPause = 30 * time.Millisecond
	farPause  = 60 * time.Millisecond
	// evenShare is the part of an even division of the targets below which a zone
	// depends on the others.
	evenShare = 0.75
	// failingCost is what a certain failure counts, in expected durations.
	failingCost = 12.0
	// jitter keeps instances from choosing the same targets at once, as a part
	// of the expected duration.
	jitter = 0.2
)

// candidate is a target that may get the request.
type candidate struct {
	target *target
	score  float64 // expected duration as a multiple of the usual one
	tier   tier
	conn   *upstream.Conn
}

// excessFailing returns how much more often than the service's targets usually
// do a target fails. Where all fail alike, none is worth waiting for.
func (d *Dispatcher) excessFailing(t *target, now time.Time) float64 {
	return max(0, t.failing(now)-d.usualFailing)
}

// tier orders the candidates before their score does.
type tier int

const (
	nearTier tier = iota // in the zone of this instance
	farTier
	doubtfulTier // known to be slow, full or failing
)

// doubtfulScore is the score from which a target is asked after all others.
const doubtfulScore = 2.5

func (c candidate) release() {
	if c.conn != nil {
		c.conn.Release()
	}
}

// candidates returns usable targets, those that look best first. Of many targets
// it looks at a random sample, which holds good ones almost surely.
func (d *Dispatcher) candidates(r *Request) ([]candidate, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	all := make([]candidate, 0, min(sampleSize, len(d.targets)))
	for which, t := range d.targets { // in random order
		if len(all) == sampleSize {
			break
		}
		if !t.usable(now) || slices.Contains(r.Exclude, which) || d.knownFull(t, now) {
			continue
		}
		score := d.score(t, now) + jitter*d.random.Float64()
		all = append(all, candidate{target: t, score: score, tier: d.tier(t, score)})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.score, b.score))
	})
	return all, d.durations.expect(r)
}

// knownFull returns whether a target had no room a moment ago, so that it is not
// worth a probe to ask it again.
func (d *Dispatcher) knownFull(t *target, now time.Time) bool {
	if t.info.Zone == d.terms.Zone {
		return t.full() && t.reported(now, nearPause)
	}
	return !d.worthCrossing(t) && t.reported(now, farPause)
}

// awaitsNear returns whether the request should wait for a target of the own
// zone: one that is merely full becomes free soon.
func (d *Dispatcher) awaitsNear(r *Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	if float64(now.Sub(r.Arrival)) >= nearWait*float64(r.Objective) {
		return false
	}
	for _, t := range d.targets {
		if t.info.Zone == d.terms.Zone && t.usable(now) && d.fast(t, now) {
			return true
		}
	}
	return false
}

// nearest returns the candidates of the own zone, or all if there are none: an
// answer that comes late is not worth the bytes to another zone.
func (d *Dispatcher) nearest(order []candidate) []candidate {
	near := d.near(order)
	if len(near) == 0 {
		return order
	}
	return near
}

func (d *Dispatcher) near(order []candidate) []candidate {
	return slices.DeleteFunc(slices.Clone(order), func(c candidate) bool { return c.target.info.Zone != d.terms.Zone })
}

func (d *Dispatcher) tier(t *target, score float64) tier {
	switch {
	case score >= doubtfulScore:
		return doubtfulTier
	case t.info.Zone != d.terms.Zone:
		return farTier
	}
	return nearTier
}

// score returns how long the work of a request is expected to take on a target,
// as a multiple of the usual duration, with what else speaks against it.
func (d *Dispatcher) score(t *target, now time.Time) float64 {
	score := t.slowdown(now) + failingCost*d.excessFailing(t, now)
	score += float64(t.occupied()) / float64(t.info.Slots) * jitter
	if t.full() && t.reported(now, reportUsable) {
		score += float64(1 + t.occupied() - t.room())
	}
	if t.info.Zone != d.terms.Zone {
		score += foreignZone
	}
	return score
}

// isGood returns whether no better target is to be expected.
func (d *Dispatcher) isGood(t *target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fast(t, d.clock())
}

func (d *Dispatcher) fast(t *target, now time.Time) bool {
	return t.slowdown(now) <= goodSlowdown && d.excessFailing(t, now) <= maxFailing
}

// worthTaking returns whether the request should go to the target rather than
// wait for a better one.
func (d *Dispatcher) worthTaking(r *Request, c candidate, expected time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	if r.Retry || d.fast(c.target, now) {
		return true
	}
	finish := now.Add(time.Duration(c.target.slowdown(now) * float64(expected)))
	return !finish.After(r.due())
}

// better returns the best of the candidates that may take the request, and
// releases the connections of the others.
func (d *Dispatcher) better(best candidate, found []candidate) candidate {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	for _, c := range found {
		c.score = d.score(c.target, now)
		switch {
		case !c.target.usable(now) || c.target.full() || !d.worthCrossing(c.target):
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

// worthCrossing returns whether a target of another zone has so much room that
// its own zone does not need it. Otherwise instances of two crowded zones would
// send their requests across to each other. A zone with few targets of its own
// depends on the others.
func (d *Dispatcher) worthCrossing(t *target) bool {
	return t.info.Zone == d.terms.Zone || d.dependent || float64(t.occupied()) < farRoom*float64(t.room())
}

// dependsOnOthers returns whether the own zone has far fewer targets than an
// even division over the zones gives it.
func (d *Dispatcher) dependsOnOthers() bool {
	zones := map[string]int{d.terms.Zone: 0}
	for _, t := range d.targets {
		zones[t.info.Zone]++
	}
	return float64(zones[d.terms.Zone]*len(zones)) < evenShare*float64(len(d.targets))
}
