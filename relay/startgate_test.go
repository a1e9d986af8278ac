package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startGateFunc is a StartGate.
type startGateFunc func(timeout time.Duration, size int) (time.Duration, bool)

// Await implements StartGate.
func (f startGateFunc) Await(timeout time.Duration, size int) (time.Duration, bool) {
	return f(timeout, size)
}

// Guards against a starting instance that refuses a request which must not run twice
// without having held it, that forwards one before it has its state, or that states a
// delay of its own in place of the estimate.
func TestStartGate(t *testing.T) {
	tests := []struct {
		name       string
		opens      bool
		status     int
		retryAfter string
		runs       int
	}{{"held", true, 200, "", 1}, {"refused", false, 503, "0.35", 0}}
	for _, tt := range tests {
		for _, path := range []string{"/once/", "/safe/"} {
			t.Run(tt.name+path, func(t *testing.T) {
				target := newScriptedTarget(t, "t-1", "a", echo)
				gate := startGateFunc(func(timeout time.Duration, size int) (time.Duration, bool) {
					assert.Check(t, timeout > 0 && timeout <= 700*time.Millisecond, "%s", timeout)
					assert.Check(t, size >= len("body"))
					assert.Check(t, len(target.receivedIDs()) == 0)
					return 350 * time.Millisecond, tt.opens
				})
				h := newHarness(t, targetInfos(target), WithStartGate(gate))
				r := h.call(t, "POST", path, "body", "Rhubarbrelay-Deadline-Ms: 700")
				assert.Equal(t, r.status, tt.status)
				assert.Equal(t, r.headers["Retry-After"], tt.retryAfter)
				assert.Equal(t, len(target.receivedIDs()), tt.runs)
			})
		}
	}
}
