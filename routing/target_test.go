package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrelay/targets"
)

// Guards against targets with few slots of which far more than a fifth stays
// unused.
func TestRoom(t *testing.T) {
	tests := []struct{ slots, room int }{{1, 1}, {2, 2}, {4, 3}, {5, 4}, {6, 5}, {8, 6}, {10, 8}, {100, 80}}
	for _, tt := range tests {
		target := target{info: &targets.Target{Slots: tt.slots}}
		assert.Equal(t, target.room(), tt.room, "%d slots", tt.slots)
	}
}
