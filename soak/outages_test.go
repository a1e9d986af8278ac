package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a check of drains that excuses late requests by more than the time
// in which no instance could read the store.
func TestOutagesBetween(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	var o outages
	for _, change := range []struct {
		second     int
		inProgress bool
	}{{2, true}, {3, true}, {5, false}, {6, false}, {10, true}} {
		o.set(change.inProgress, at(change.second))
	}
	tests := []struct {
		name     string
		from, to int
		want     time.Duration
	}{
		{"before all outages", 0, 2, 0},
		{"between two outages", 5, 10, 0},
		{"during an outage", 3, 4, time.Second},
		{"across an outage", 0, 9, 3 * time.Second},
		{"into an outage that has not ended", 4, 12, 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, o.between(at(tt.from), at(tt.to)), tt.want)
		})
	}
}
