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
	// capacityFraction is the capacity of a zone divided by that of its active instances.
	capacityFraction = 8
)

// activeOf returns the active instances among the eligible ones of a zone, which are sorted
// by ID. zoneCapacity is the capacity of the zone if it is higher than that of the eligible
// instances: the load does not fall with the number of those that are ready.
func activeOf(eligible []membership.Instance, zoneCapacity int) []membership.Instance {
	sorted := slices.Clone(eligible)
	slices.SortStableFunc(sorted, func(a, b membership.Instance) int { return cmp.Compare(b.Capacity(), a.Capacity()) })
	return sorted[:activeCount(sorted, zoneCapacity)]
}

// activeCount returns the number of active instances among those of a zone, sorted by
// falling capacity. Callers connect to all active ones alike, so that each can use no more
// than the smallest one has.
func activeCount(sorted []membership.Instance, zoneCapacity int) int {
	total := 0
	for _, in := range sorted {
		total += in.Capacity()
	}
	total = max(total, zoneCapacity)
	n := min(minActive, len(sorted))
	for n < len(sorted) && n*sorted[n-1].Capacity()*capacityFraction < total {
		n++
	}
	return n
}

// activeByZone returns the active instances of each zone among the given ones, which are
// sorted by ID. zoneCapacity returns the capacity of a zone, see activeOf.
func activeByZone(instances []membership.Instance, zoneCapacity func(zone string) int) map[string][]membership.Instance {
	active := map[string][]membership.Instance{}
	for _, in := range instances {
		active[in.Zone] = append(active[in.Zone], in)
	}
	for zone, all := range active {
		active[zone] = activeOf(all, zoneCapacity(zone))
	}
	return active
}

// readyCapacity is the zoneCapacity of those that share limits. All instances must agree on
// them, and know the ready instances best. They are the first ones of the active instances.
func readyCapacity(string) int { return 0 }
