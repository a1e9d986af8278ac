package limits

import "time"

const (
	// shedFactor is the decrease on shedding. A target that sheds has already
	// reached its limit, so the decrease is strong.
	shedFactor = 0.7
	// inflationFactor is the decrease on inflated latency.
	inflationFactor = 0.85
	// inflationRatio is the latency, relative to the target's own minimum and
	// to its peers, at which the limit decreases. Below 2, exponential service
	// times alone trigger it.
	inflationRatio = 3
	// decreaseInterval spaces decreases, because answers that were sent before
	// a decrease do not show its effect.
	decreaseInterval = 50 * time.Millisecond
	// latencySamples is the length of the moving average of the latency.
	latencySamples = 16
	// minimumWindow is the time after which an old minimum is forgotten, so
	// that a target whose work became heavier is not held down for ever.
	minimumWindow = 30 * time.Second
	// rampTime is the shortest time in which a target that was added or that
	// returns gets all its slots.
	rampTime = time.Second
)

// Concurrency is the adaptive limit of the requests in flight at one target:
// additive increase, multiplicative decrease, and a slow start.
type Concurrency struct {
	slots        int
	limit        float64
	rampStart    time.Time
	ramping      bool
	lastDecrease time.Time
	latency      float64 // moving average, seconds
	samples      int
	minimum      float64 // of the average, this window
	oldMinimum   float64 // of the average, previous window
	windowStart  time.Time
}

// NewConcurrency returns the limit of a target that nothing is known of. It
// starts at a quarter of the slots and grows by one with each good answer.
func NewConcurrency(slots int) *Concurrency {
	return &Concurrency{slots: slots, limit: max(1, float64(slots)/4), ramping: true}
}

// SetSlots changes the upper bound.
func (c *Concurrency) SetSlots(slots int) {
	if slots > c.slots {
		c.ramping = true
	}
	c.slots = slots
	c.limit = max(1, min(c.limit, float64(slots)))
}

// Restart begins a slow start from one request, for a target that was added
// to a running service or returns after an ejection.
func (c *Concurrency) Restart(now time.Time) {
	c.limit = 1
	c.ramping = true
	c.rampStart = now
}

// Limit returns the number of requests that may be in flight.
func (c *Concurrency) Limit() int { return int(c.limit) }

// Ramping returns whether the slow start is in progress.
func (c *Concurrency) Ramping() bool { return c.ramping }

// Succeed counts an answer. The typical latency is that of the target's peers.
func (c *Concurrency) Succeed(latency, typical time.Duration, now time.Time) {
	c.observe(latency.Seconds(), now)
	if c.inflated(typical.Seconds()) {
		c.decrease(inflationFactor, now)
		return
	}
	c.increase(now)
}

// Pass counts an answer whose latency says nothing, such as that of long work.
func (c *Concurrency) Pass(now time.Time) { c.increase(now) }

// Reject counts an attempt that the target shed or failed.
func (c *Concurrency) Reject(now time.Time) { c.decrease(shedFactor, now) }

func (c *Concurrency) observe(latency float64, now time.Time) {
	c.samples++
	weight := 1 / float64(min(c.samples, latencySamples))
	c.latency += weight * (latency - c.latency)
	if c.samples < latencySamples {
		return
	}
	if c.windowStart.IsZero() || now.Sub(c.windowStart) >= minimumWindow {
		c.oldMinimum = c.minimum
		c.minimum = c.latency
		c.windowStart = now
	}
	c.minimum = min(c.minimum, c.latency)
}

func (c *Concurrency) inflated(typical float64) bool {
	if c.samples < latencySamples {
		return false
	}
	floor := c.minimum
	if c.oldMinimum > 0 {
		floor = min(floor, c.oldMinimum)
	}
	return c.latency > inflationRatio*floor && c.latency > inflationRatio*typical
}

func (c *Concurrency) increase(now time.Time) {
	step := 1 / c.limit
	if c.ramping {
		step = 1
	}
	c.limit = min(c.limit+step, c.ceiling(now))
	if c.limit >= float64(c.slots) {
		c.ramping = false
	}
}

// ceiling returns the limit that the slow start allows at the time.
func (c *Concurrency) ceiling(now time.Time) float64 {
	slots := float64(c.slots)
	if !c.ramping || c.rampStart.IsZero() {
		return slots
	}
	share := now.Sub(c.rampStart).Seconds() / rampTime.Seconds()
	return max(1, min(slots, 1+(slots-1)*share))
}

func (c *Concurrency) decrease(factor float64, now time.Time) {
	if now.Sub(c.lastDecrease) < decreaseInterval {
		return
	}
	c.lastDecrease = now
	c.limit = max(1, c.limit*factor)
}
