package startup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a first start on a busy machine in which the instances read the store
// themselves although the seeds have responded and read it.
func TestFirstStartWaitsForSeeds(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, random := range []float64{0, 0.5, 0.99} {
		d := NewDecision(Role{HasSeeds: true, FirstStart: true}, start, random)
		d.RecordSign(start.Add(10 * time.Millisecond))
		assert.Equal(t, d.Next(start.Add(loadTimeout-time.Millisecond)), Wait)
		assert.Equal(t, d.Next(start.Add(2*loadTimeout)), Load)
		assert.Equal(t, d.Next(start.Add(time.Hour)), Wait)
	}
}

// Guards against an instance that waits for ever for others that have the state but
// always refuse it, or that reads the state without need when it lists slowly.
func TestSignsDelayReads(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, random := range []float64{0, 0.5, 0.99} {
		d := NewDecision(Role{HasSeeds: true}, start, random)
		listedAt := start.Add(2 * time.Second)
		assert.Equal(t, d.Next(listedAt), List)
		d.RecordSign(listedAt.Add(time.Millisecond))
		d.RecordListing(listedAt.Add(2*time.Millisecond), 10, nil)
		assert.Equal(t, d.Next(listedAt.Add(2*time.Millisecond)) == Load, random == 0)
		now := listedAt
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			d.RecordSign(now)
			d.Next(now)
		}
		assert.Assert(t, d.loading)
	}
}
