package limits

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const testLimitWindow = 4 * time.Second

// Guards against instances that together send a target more requests in some window
// than one and a half times its limit and five, while twice as many of them as share
// the limit consider themselves to share it, and while they come and go.
func TestLimitSharesWhileViewsDiffer(t *testing.T) {
	tests := []struct {
		name             string
		sharers, present int
	}{{"two, four present", 2, 4}, {"one, two present", 1, 2}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				perSecond := rapid.Float64Range(0, 20).Draw(t, "limit")
				now := time.Unix(1_700_000_000, 0)
				shares := make([]TargetLimit, tt.present)
				var sent []time.Time
				for range rapid.IntRange(1, 400).Draw(t, "steps") {
					now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
					share := &shares[rapid.IntRange(0, tt.present-1).Draw(t, "instance")]
					if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
						share.Update(perSecond, 0, now)
					} else {
						share.Update(perSecond, tt.sharers, now)
					}
					for share.Allows(now) && len(sent) < 10_000 {
						share.Take(now)
						sent = append(sent, now)
					}
					allowed := 1.5*perSecond*testLimitWindow.Seconds() + 5
					if n := countAfter(sent, now.Add(-testLimitWindow-1)); float64(n) > allowed {
						t.Fatalf("%d requests in a window that allows %g", n, allowed)
					}
				}
			})
		})
	}
}

// Guards against a share that leaves most of the limit unused, or that an instance
// which takes over adds to the requests of the one before it.
func TestLimitShareIsUsed(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	var share TargetLimit
	sent := 0
	for at := time.Duration(0); at < 100*time.Second; at += time.Millisecond {
		share.Update(4, 2, start.Add(at))
		if share.Allows(start.Add(at)) {
			share.Take(start.Add(at))
			sent++
		}
	}
	assert.Assert(t, sent >= 148 && sent <= 150, "%d of 150", sent)
	share.Update(4, 0, start.Add(100*time.Second))
	assert.Assert(t, !share.Allows(start.Add(time.Hour)))
	share.Update(4, 2, start.Add(time.Hour))
	assert.Assert(t, !share.Allows(start.Add(time.Hour)))
	assert.Assert(t, share.Allows(start.Add(time.Hour+time.Second)))
}

// Guards against limits for which no interval can be computed: none at all, tiny ones
// and huge ones.
func TestExtremeLimits(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	tests := []struct {
		perSecond float64
		after     time.Duration // until the target takes a request
		ok        bool
	}{{0, 0, false}, {1e-300, time.Hour, true}, {1e300, 0, true}}
	for _, tt := range tests {
		var share TargetLimit
		share.Update(tt.perSecond, 2, now)
		at, ok := share.OpensAt()
		assert.Equal(t, ok, tt.ok)
		if ok {
			assert.Equal(t, at.Sub(now), tt.after)
		}
	}
}
