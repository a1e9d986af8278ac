package standin

import (
	"time"
)

// WithDelay adds the time to every answer without holding a slot, as a network
// between zones does.
func WithDelay(d time.Duration) TargetOption {
	return func(t *Target) { t.delay = d }
}

// WithStaleReports makes the target report the load that it had at the last
// sample; samples are taken once in the given time.
func WithStaleReports(age time.Duration) TargetOption {
	return func(t *Target) {
		t.staleReports = true
		go func() {
			for t.sleep(age) {
				t.sampled.Store(t.inFlight.Load())
			}
		}()
	}
}

// WithColdStart slows the target down by the factor for the time after its
// start.
func WithColdStart(factor int, length time.Duration) TargetOption {
	return func(t *Target) {
		t.speed.set(factor)
		go func() {
			if t.sleep(length) {
				t.speed.set(1)
			}
		}()
	}
}
