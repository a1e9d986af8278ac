package limits

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testTypical = 5 * time.Millisecond

// settled returns a limit that has reached its slots, and the time.
func settled(slots int) (*Concurrency, time.Time) {
	c := NewConcurrency(slots)
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(testTypical)
		c.Succeed(testTypical, testTypical, now)
	}
	return c, now
}

// Guards against a limit above the slots, or one that stays low when all is
// well.
func TestLimitReachesSlotsAndStops(t *testing.T) {
	c := NewConcurrency(6)
	assert.Equal(t, c.Limit(), 1)
	c, _ = settled(6)
	assert.Equal(t, c.Limit(), 6)
	assert.Assert(t, !c.Ramping())
	c.SetSlots(2)
	assert.Equal(t, c.Limit(), 2)
}

// Guards against sending a target that sheds as much as before, against a
// limit of zero and against one that never comes back.
func TestLimitFallsOnShedAndRises(t *testing.T) {
	c, now := settled(8)
	c.Reject(now)
	c.Reject(now.Add(time.Millisecond)) // sent before the decrease
	assert.Equal(t, c.Limit(), 5)
	for range 100 {
		now = now.Add(time.Second)
		c.Reject(now)
	}
	assert.Equal(t, c.Limit(), 1)
	for range 8 * 8 {
		c.Succeed(testTypical, testTypical, now)
	}
	assert.Equal(t, c.Limit(), 8)
}

// Guards against a target that slows down keeping its limit, and against a
// decrease when the whole service slows down, which is not the target's fault.
func TestLimitFallsOnInflationAgainstPeers(t *testing.T) {
	tests := []struct {
		name    string
		typical time.Duration
		falls   bool
	}{
		{name: "alone", typical: testTypical, falls: true},
		{name: "with its peers", typical: 10 * testTypical, falls: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, now := settled(8)
			for range 100 {
				now = now.Add(10 * testTypical)
				c.Succeed(10*testTypical, tt.typical, now)
			}
			assert.Equal(t, c.Limit() < 8, tt.falls, "limit %d", c.Limit())
		})
	}
}

// Guards against a returned target that gets its full load at once.
func TestRestartRampsOverTime(t *testing.T) {
	c, now := settled(8)
	c.Restart(now)
	assert.Equal(t, c.Limit(), 1)
	for range 100 {
		c.Succeed(testTypical, testTypical, now)
	}
	assert.Equal(t, c.Limit(), 1)
	c.Succeed(testTypical, testTypical, now.Add(rampTime/2))
	assert.Equal(t, c.Limit(), 2)
	for range 10 {
		c.Succeed(testTypical, testTypical, now.Add(rampTime))
	}
	assert.Equal(t, c.Limit(), 8)
}
