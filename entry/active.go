package entry

import (
	"cmp"
	"slices"

	"rhubarbrelay/membership"
)

// The active instances of a zone are those that its callers connect to: those with the
// highest processor capacity, and as few as have a fraction of that of the zone, as the load
// grows with the size of the zone, but at least minActive if that many are ready. There are
// no more, because with fewer active instances each has more recent load reports of the
// targets. The fraction leaves room for bursts while the largest instances are missing.
const (
	minActive = 2
	// capacityFraction is the capacity of the ready instances of a zone divided by that of
	// its active ones.
	capacityFraction = 8
)

// capacity returns the processor capacity of an instance in thousandths of a core. Instances
// that do not state theirs count as the smallest ones.
func capacity(in membership.Instance) int { return max(1, in.Millicores) }

// activeOf returns the active instances among the eligible ones of a zone, which are sorted
// by ID.
func activeOf(eligible []membership.Instance) []membership.Instance {
	sorted := slices.Clone(eligible)
	slices.SortStableFunc(sorted, func(a, b membership.Instance) int { return cmp.Compare(capacity(b), capacity(a)) })
	return sorted[:activeCount(sorted)]
}

// activeCount returns the number of active instances among those of a zone, sorted by
// falling capacity. Callers connect to all active ones alike, so that each can use no more
// than the smallest one has.
func activeCount(sorted []membership.Instance) int {
	total := 0
	for _, in := range sorted {
		total += capacity(in)
	}
	n := min(minActive, len(sorted))
	for n < len(sorted) && n*capacity(sorted[n-1])*capacityFraction < total {
		n++
	}
	return n
}

// activeByZone returns the active instances of each zone among the given ones, which are
// sorted by ID.
func activeByZone(instances []membership.Instance) map[string][]membership.Instance {
	active := map[string][]membership.Instance{}
	for _, in := range instances {
		active[in.Zone] = append(active[in.Zone], in)
	}
	for zone, all := range active {
		active[zone] = activeOf(all)
	}
	return active
}
