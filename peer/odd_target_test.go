package peer

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/peer/peerpb"
	"rhubarbrelay/targets"
)

func usableTarget() targets.Target {
	return targets.Target{
		ID: "t", StartedMS: 5, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "z", Version: "v1",
		Slots: 4, Sequence: 3, WarmupLeft: time.Second,
	}
}

// Guards against a target with figures out of range that another instance passes on and
// that is used, or that keeps the other targets from being taken over.
func TestUnusableTargetOfOtherInstance(t *testing.T) {
	good := usableTarget()
	tests := []struct {
		name   string
		change func(*peerpb.Target)
	}{
		{"no slots", func(m *peerpb.Target) { m.Slots = 0 }},
		{"negative slots", func(m *peerpb.Target) { m.Slots = -4 }},
		{"too many slots", func(m *peerpb.Target) { m.Slots = math.MaxInt32 }},
		{"warm-up that overflows to a small one", func(m *peerpb.Target) { m.ColdMs = 18446744073710 }},
		{"too long a warm-up", func(m *peerpb.Target) { m.ColdMs = math.MaxInt64 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			odd := changeToWire(targets.Change{ID: "odd", Target: &good})
			tt.change(odd)
			update, err := updateFromWire(&peerpb.TargetNews{Changes: []*peerpb.Target{odd, changeToWire(targets.Change{ID: "t", Target: &good})}})
			assert.NilError(t, err)
			assert.Equal(t, len(update.Changes), 2)
			assert.Equal(t, update.Changes[0], targets.Change{ID: "odd"})
			assert.Equal(t, *update.Changes[1].Target, good) // control
		})
	}
}
