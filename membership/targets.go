package membership

import (
	"encoding/binary"
	"maps"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rhubarbrelay/config"
)

// targetStates holds the leaving signals of targets per source. A target
// leaves while any source says so.
type targetStates struct {
	listed     map[netip.AddrPort]bool
	configured map[netip.AddrPort]bool
	// announced holds the latest own signal of each target. A ready signal is
	// kept, so that an older draining signal that arrives later has no effect.
	announced map[netip.AddrPort]TargetReport
}

func newTargetStates() targetStates {
	return targetStates{
		listed:     map[netip.AddrPort]bool{},
		configured: map[netip.AddrPort]bool{},
		announced:  map[netip.AddrPort]TargetReport{},
	}
}

func (s *targetStates) leaving(address netip.AddrPort) bool {
	return s.listed[address] || s.configured[address] || s.announced[address].Draining
}

// apply merges a signal and returns whether it replaces the one known. Of two
// signals with the same stamp, draining holds.
func (s *targetStates) apply(t TargetReport) bool {
	if !t.Address.IsValid() {
		return false
	}
	known, ok := s.announced[t.Address]
	if ok && (t.Stamp < known.Stamp || t.Stamp == known.Stamp && (known.Draining || !t.Draining)) {
		return false
	}
	if !ok && len(s.announced) >= maxTargets {
		s.evict()
	}
	s.announced[t.Address] = t
	return true
}

// evict removes the signal with the earliest stamp.
func (s *targetStates) evict() {
	var oldest TargetReport
	for _, t := range s.announced {
		if !oldest.Address.IsValid() || t.Stamp < oldest.Stamp {
			oldest = t
		}
	}
	delete(s.announced, oldest.Address)
}

func (s *targetStates) reports() []TargetReport {
	return slices.Collect(maps.Values(s.announced))
}

// AnnounceTarget notes what a target said of itself to this instance. It
// returns whether this is news, which then goes to all peers.
func (d *Directory) AnnounceTarget(address netip.AddrPort, draining bool) bool {
	// Most responses repeat the state that is known already.
	d.mu.RLock()
	same := d.targets.announced[address].Draining == draining
	d.mu.RUnlock()
	if same {
		return false
	}
	news := false
	d.change(func() bool {
		if d.targets.announced[address].Draining == draining {
			return false
		}
		before := d.targets.leaving(address)
		report := TargetReport{Address: address, Draining: draining, Stamp: d.clock.Now()}
		news = d.targets.apply(report)
		if news {
			d.enqueue(News{Targets: []TargetReport{report}})
		}
		return before != d.targets.leaving(address)
	})
	return news
}

// ApplyFleet replaces what the configuration says of draining targets.
func (d *Directory) ApplyFleet(fleet *config.Fleet) {
	configured := map[netip.AddrPort]bool{}
	for _, service := range fleet.Services {
		for _, t := range service.Targets {
			if t.Drained {
				configured[t.Address] = true
			}
		}
	}
	d.changeAll(func() { d.targets.configured = configured })
}

// TargetLeaving returns whether any source says that the target leaves. A
// target without any signal does not.
func (d *Directory) TargetLeaving(address netip.AddrPort) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.targets.leaving(address)
}

// fingerprint hashes the view that subscribers see. The sum over the entries
// does not depend on the order of iteration. The caller holds the lock.
func (d *Directory) fingerprint() uint64 {
	sum := fingerprintInstance(d.self)
	for _, r := range d.records {
		sum += fingerprintInstance(d.stateWithList(r))
	}
	for _, sources := range []map[netip.AddrPort]bool{d.targets.listed, d.targets.configured} {
		for address := range sources {
			sum += fingerprintTarget(address)
		}
	}
	for address, t := range d.targets.announced {
		if t.Draining {
			sum += fingerprintTarget(address)
		}
	}
	return sum
}

// fingerprintInstance leaves the sequence out: a refutation that changes
// nothing else is no change of the view.
func fingerprintInstance(in Instance) uint64 {
	b := make([]byte, 0, 128)
	b = append(b, in.ID...)
	b = append(b, 0)
	b = append(b, in.Zone...)
	b = append(b, 0)
	b = binary.BigEndian.AppendUint64(b, uint64(in.Incarnation))
	b = append(b, byte(in.State))
	for _, a := range []netip.AddrPort{in.CallerAddress, in.PeerAddress, in.AdminAddress} {
		b = append(a.AppendTo(b), 0)
	}
	return xxhash.Sum64(b)
}

func fingerprintTarget(address netip.AddrPort) uint64 {
	return xxhash.Sum64(address.AppendTo([]byte("target ")))
}
