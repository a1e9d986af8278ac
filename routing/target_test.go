package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrelay/targets"
)

// Guards against a capacity that is rounded down, which leaves far more than a
// fifth of the slots unused on targets with few slots.
func TestCapacity(t *testing.T) {
	tests := []struct{ slots, capacity int }{{1, 1}, {2, 2}, {4, 3}, {5, 4}, {6, 5}, {8, 6}, {10, 8}, {100, 80}}
	for _, tt := range tests {
		target := target{info: &targets.Target{Slots: tt.slots}}
		assert.Equal(t, target.capacity(), tt.capacity, "%d slots", tt.slots)
	}
}
