package membership

import "github.com/cespare/xxhash/v2"

// Summary describes which instances a directory contains.
type Summary struct {
	// Known is the number of instances, this one included.
	Known int
	// ZoneDigest is equal for directories with the same instances of the local zone.
	ZoneDigest uint64
}

// Summary describes the instances that are known now and are not leaving, those considered
// dead included.
func (d *Directory) Summary() Summary {
	d.mu.RLock()
	defer d.mu.RUnlock()
	s := Summary{Known: 1, ZoneDigest: xxhash.Sum64String(d.self.ID)}
	for id, m := range d.members {
		if m.instance.State == Leaving {
			continue
		}
		s.Known++
		if m.instance.Zone == d.self.Zone {
			s.ZoneDigest ^= xxhash.Sum64String(id)
		}
	}
	return s
}
