package routing

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"rhubarbrelay/config"
)

// chooser is a baseline policy: it dispatches at once, whatever the load. It
// returns nil when every target is excluded.
type chooser interface {
	choose(targets []*target, random *rand.Rand, exclude []netip.AddrPort) *target
}

// newChooser returns the baseline of that name, nil for PolicySlots.
func newChooser(policy config.Policy) chooser {
	switch policy {
	case config.PolicyRandom:
		return randomChoice{}
	case config.PolicyRoundRobin:
		return &roundRobin{}
	case config.PolicyLeastInFlight:
		return leastInFlight{}
	case config.PolicyPowerOfTwo:
		return powerOfTwo{}
	default:
		return nil
	}
}

type randomChoice struct{}

func (randomChoice) choose(targets []*target, random *rand.Rand, exclude []netip.AddrPort) *target {
	return from(targets, random.IntN(len(targets)), exclude)
}

type roundRobin struct{ next int }

func (r *roundRobin) choose(targets []*target, _ *rand.Rand, exclude []netip.AddrPort) *target {
	t := from(targets, r.next%len(targets), exclude)
	r.next = (r.next + 1) % len(targets)
	return t
}

type leastInFlight struct{}

func (leastInFlight) choose(targets []*target, random *rand.Rand, exclude []netip.AddrPort) *target {
	var best *target
	offset := random.IntN(len(targets))
	for i := range targets {
		t := targets[(offset+i)%len(targets)]
		if slices.Contains(exclude, t.address()) {
			continue
		}
		if best == nil || len(t.slots) < len(best.slots) {
			best = t
		}
	}
	return best
}

type powerOfTwo struct{}

func (powerOfTwo) choose(targets []*target, random *rand.Rand, exclude []netip.AddrPort) *target {
	a := from(targets, random.IntN(len(targets)), exclude)
	b := from(targets, random.IntN(len(targets)), exclude)
	if a != nil && len(b.slots) < len(a.slots) {
		return b
	}
	return a
}

// from returns the first target at or after the offset that is not excluded.
func from(targets []*target, offset int, exclude []netip.AddrPort) *target {
	for i := range targets {
		t := targets[(offset+i)%len(targets)]
		if !slices.Contains(exclude, t.address()) {
			return t
		}
	}
	return nil
}
