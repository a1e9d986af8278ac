package queueing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an estimate that follows a fall or a rise of the capacity only after
// more than a second, or that forgets the capacity between bursts.
func TestThroughputFollowsCapacity(t *testing.T) {
	tests := []struct {
		name          string
		before, after float64 // slots that complete work
		idle          time.Duration
		slots         float64 // that the targets have, as far as is known
		want          float64
	}{
		{"fall", 10, 5, 0, 10, 5},
		{"rise", 5, 10, 0, 10, 10},
		{"fall of the slots", 10, 0, 0, 0, 0},
		{"pause between bursts", 10, 10, 2 * time.Second, 12, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var throughput Throughput
			now := modelStart
			run := func(slots float64, length time.Duration) {
				throughput.SetWaiting(true, now)
				const step = 10 * time.Millisecond
				for end := now.Add(length); now.Before(end); now = now.Add(step) {
					throughput.Record(time.Duration(slots*float64(step)), now)
				}
			}
			run(tt.before, 5*time.Second)
			if tt.idle > 0 {
				throughput.SetWaiting(false, now)
				now = now.Add(tt.idle)
			}
			run(tt.after, time.Second)
			rate := throughput.Rate(tt.slots, now)
			assert.Assert(t, rate > 0.84*tt.want && rate < 1.16*tt.want+1.5, "rate %.2f, want about %.2f", rate, tt.want)
		})
	}
}
