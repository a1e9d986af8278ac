package membership

import (
	"net/netip"
	"slices"

	"rhubarbrelay/platform"
)

// listing is what the list says of one instance.
type listing struct {
	leaving bool
	// incarnation is the one known when the list first said leaving, 0 when
	// none was. A later incarnation is not leaving, although the list lags.
	incarnation int64
}

// ApplyList replaces what the platform's list says. An instance that the list
// no longer names is dead unless it was heard directly just now. A list
// without any instance removes none, because it is more likely a fault of the
// list than the end of all instances.
func (d *Directory) ApplyList(list []platform.Instance) {
	d.changeAll(func() {
		listed := map[string]listing{}
		d.targets.listed = map[netip.AddrPort]bool{}
		for _, in := range list {
			switch {
			case in.Role == platform.RoleTarget && in.State == platform.StateLeaving:
				d.targets.listed[in.CallerAddress] = true
			case in.Role == platform.RoleEntry && in.ID != d.self.ID:
				listed[in.ID] = d.list(in)
			}
		}
		if !slices.ContainsFunc(list, func(in platform.Instance) bool { return in.Role == platform.RoleEntry }) {
			return
		}
		for id := range d.listed {
			if _, ok := listed[id]; !ok {
				d.unlist(id)
			}
		}
		d.listed = listed
	})
}

// list adds an instance that the list names. What the instance says itself
// precedes the list, so a known incarnation stays as it is.
func (d *Directory) list(in platform.Instance) listing {
	before, known := d.listed[in.ID]
	r := d.records[in.ID]
	if r == nil && len(d.records) < maxRecords {
		r = &record{}
		d.records[in.ID] = r
	}
	if r == nil {
		return listing{}
	}
	if r.info.Incarnation == 0 {
		if !known {
			*r = record{}
		}
		r.info = instanceFromList(in)
	}
	l := listing{leaving: in.State == platform.StateLeaving}
	if l.leaving {
		l.incarnation = r.info.Incarnation
		if before.leaving && before.incarnation != 0 {
			l.incarnation = before.incarnation
		}
	}
	return l
}

func (d *Directory) unlist(id string) {
	r := d.records[id]
	switch {
	case r == nil:
	case r.info.Incarnation == 0:
		delete(d.records, id)
	case d.now().Sub(r.heardAt) > heardTimeout && r.state() != Dead:
		d.declareDead(r)
	}
}

func instanceFromList(in platform.Instance) Instance {
	return Instance{
		ID: in.ID, Zone: in.Zone, State: Live,
		CallerAddress: in.CallerAddress, PeerAddress: in.PeerAddress, AdminAddress: in.AdminAddress,
	}
}
