package targets

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"
	"unicode/utf8"
)

// ErrUnusable means that a registration does not describe a target that can be used, or
// whose figures cannot be passed on to other instances unchanged.
var ErrUnusable = errors.New("registration does not describe a usable target")

const (
	// maxSlots and maxWarmup are far above what any target has. Figures beyond them are
	// those of a faulty writer, and could overflow in calculations.
	maxSlots  = 1 << 20
	maxWarmup = 24 * time.Hour
	// maxIDLength is the maximum length of an ID in bytes. It is that of a key in the
	// registry.
	maxIDLength = 255
	// maxNameLength is the maximum length in bytes of the names in a registration. Several
	// targets must fit into one datagram.
	maxNameLength = 255
)

// IsID reports whether the text can be the ID of a target. Messages to other instances hold
// only valid UTF-8.
func IsID(text string) bool {
	return text != "" && len(text) <= maxIDLength && utf8.ValidString(text)
}

// Validate returns an error, which wraps ErrUnusable, if the target cannot be used.
func (t *Target) Validate() error {
	switch {
	case !IsID(t.ID):
		return fmt.Errorf("%w: ID %q", ErrUnusable, t.ID)
	case !isName(t.Service) || t.Service == "":
		return fmt.Errorf("%w: service of %d bytes", ErrUnusable, len(t.Service))
	case !isName(t.Zone) || !isName(t.Version):
		return fmt.Errorf("%w: zone of %d bytes, version of %d bytes", ErrUnusable, len(t.Zone), len(t.Version))
	case !isDestination(t.Address):
		return fmt.Errorf("%w: nothing can be sent to its address", ErrUnusable)
	case t.Slots < 1 || t.Slots > maxSlots:
		return fmt.Errorf("%w: %d slots", ErrUnusable, t.Slots)
	case t.WarmupLeft < 0 || t.WarmupLeft > maxWarmup:
		return fmt.Errorf("%w: warm-up of %s", ErrUnusable, t.WarmupLeft)
	}
	return nil
}

func isName(text string) bool { return len(text) <= maxNameLength && utf8.ValidString(text) }

// isDestination reports whether a connection can be opened to the address.
func isDestination(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast() && a.Addr().Zone() == ""
}

// Warmup converts a remaining warm-up time in milliseconds without an overflow. A negative
// one counts as 0.
func Warmup(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
}
