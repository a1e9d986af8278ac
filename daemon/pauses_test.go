package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a grace period that is counted from the end of a pause in which SIGTERM was
// sent: requests would be run that the process cannot answer before it is killed.
func TestSignalAge(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name  string
		ticks []time.Duration // after the start
		now   time.Duration
		want  time.Duration
	}{
		{"no pause", []time.Duration{100 * ms, 200 * ms}, 250 * ms, 0},
		{"late tick", []time.Duration{100 * ms, 350 * ms}, 380 * ms, 0},
		{"signal handled first", []time.Duration{100 * ms}, 3100 * ms, 3000 * ms},
		{"tick handled first", []time.Duration{100 * ms, 3100 * ms}, 3150 * ms, 3050 * ms},
		{"later ticks", []time.Duration{100 * ms, 3100 * ms, 3200 * ms}, 3290 * ms, 3190 * ms},
		{"signal after the pause", []time.Duration{100 * ms, 3100 * ms, 3200 * ms, 3300 * ms}, 3310 * ms, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Hour
			p := newPauses(func() time.Duration { return now })
			for _, tick := range tt.ticks {
				now = time.Hour + tick
				p.tick()
			}
			now = time.Hour + tt.now
			assert.Equal(t, p.signalAge(), tt.want)
		})
	}
}
