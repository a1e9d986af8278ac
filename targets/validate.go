package targets

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// ErrUnusable means that a registration does not describe a target that can be used, or
// whose figures cannot be passed on to other instances unchanged.
var ErrUnusable = errors.New("registration does not describe a usable target")

const (
	// maxSlots and maxWarmup are far above what any target has. Figures beyond them are
	// those of a faulty writer, and could overflow in calculations.
	maxSlots  = 1 << 20
	maxWarmup = 24 * time.Hour
)

// Validate returns an error, which wraps ErrUnusable, if the target cannot be used.
func (t *Target) Validate() error {
	switch {
	case t.Slots < 1 || t.Slots > maxSlots:
		return fmt.Errorf("%w: %d slots", ErrUnusable, t.Slots)
	case t.WarmupLeft < 0 || t.WarmupLeft > maxWarmup:
		return fmt.Errorf("%w: warm-up of %s", ErrUnusable, t.WarmupLeft)
	}
	return nil
}

// Warmup converts a remaining warm-up time in milliseconds without an overflow. A negative
// one counts as 0.
func Warmup(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
}
