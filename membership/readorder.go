package membership

// Rank returns the number of instances presumed alive with a lower ID.
func (d *Directory) Rank() int {
	rank, _ := d.ranks()
	return rank
}

// ZoneRank returns the number of instances of the local zone that are presumed alive
// and have a lower ID.
func (d *Directory) ZoneRank() int {
	_, zoneRank := d.ranks()
	return zoneRank
}

// ZoneCount returns the number of known instances of the local zone, this one
// included. Unlike Count, it does not shrink when remote instances that send no
// heartbeats to this zone are removed.
func (d *Directory) ZoneCount() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	count := 1
	for _, m := range d.members {
		if m.instance.Zone == d.self.Zone {
			count++
		}
	}
	return count
}

// firstReaders is the number of instances at the start of the read order, which
// are the lowest IDs of all zones. The instances of each zone come after them.
const firstReaders = 2

// unknownOrder is the position in the read order of an instance that has not
// listed the others yet.
const unknownOrder = 100

// ReadOrder returns the position of this instance in the order in which the
// instances read the store if they receive no updates: first the lowest IDs of
// all zones, then those of each zone. Instances of different zones may have the
// same position.
func (d *Directory) ReadOrder() int {
	rank, zoneRank := d.ranks()
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.clock().Before(d.listingEnd) {
		return unknownOrder
	}
	return min(rank, firstReaders+zoneRank)
}

// ranks returns the number of instances presumed alive with a lower ID, in all
// zones and in the local zone.
func (d *Directory) ranks() (rank, zoneRank int) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for id, m := range d.members {
		if id < d.self.ID && d.presumedAlive(m) {
			rank++
			if m.instance.Zone == d.self.Zone {
				zoneRank++
			}
		}
	}
	return rank, zoneRank
}
