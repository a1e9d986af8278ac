package limits

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a target that fails but is never ejected, and against one
// that is ejected for a few failures among successes.
func TestEjectionTriggers(t *testing.T) {
	tests := []struct {
		name    string
		pattern string // f: failure, s: shed, o: success; repeated
		ejected bool
	}{
		{name: "all fail", pattern: "f", ejected: true},
		{name: "all shed", pattern: "s", ejected: true},
		{name: "two in three fail", pattern: "ffo", ejected: true},
		{name: "one in four fails", pattern: "fooo", ejected: false},
		{name: "sheds between successes", pattern: "sssso", ejected: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var e Ejection
			now := time.Unix(1000, 0)
			due := false
			for i := range 200 {
				now = now.Add(5 * time.Millisecond)
				switch tt.pattern[i%len(tt.pattern)] {
				case 'f':
					due = e.Fail(now) || due
				case 's':
					due = e.Shed(now) || due
				default:
					e.Succeed(now)
				}
			}
			assert.Equal(t, due, tt.ejected)
		})
	}
}

// Guards against an ejection without end, a return without trial, and a
// target that keeps failing being tried ever as often.
func TestEjectionGrowsUntilTrialSucceeds(t *testing.T) {
	var e Ejection
	now := time.Unix(1000, 0)
	last := time.Duration(0)
	for range 8 {
		e.Eject(now)
		length := e.Until().Sub(now)
		assert.Assert(t, length > last || length == maxEjection)
		last = length
		assert.Assert(t, !e.Expire(e.Until().Add(-1)))
		now = e.Until()
		assert.Assert(t, e.Expire(now))
		assert.Equal(t, e.State(), Trial)
		assert.Assert(t, e.Fail(now))
	}
	assert.Assert(t, e.Succeed(now))
	assert.Equal(t, e.State(), In)
	now = now.Add(time.Hour)
	e.Eject(now)
	assert.Equal(t, e.Until().Sub(now), firstEjection)
}
