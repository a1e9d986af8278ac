package registry

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// peersStableFor is how long the unregistered instances of a zone must have been the
	// same before they are registered. A start of all instances changes them for seconds,
	// and each change would cost a call to the store.
	peersStableFor = 12 * time.Second
	// unregisteredFraction is the fraction of the instances of a zone that need not be
	// registered: replaced instances cost no call each.
	unregisteredFraction = 1.0 / 16
	// listedTTL is how long addresses that were read from the store are registered again
	// although no packet of these instances has arrived. It is how long an instance stays
	// known after its last packet.
	listedTTL = time.Minute
)

// peerList decides when the addresses of the instances of a zone are registered again.
type peerList struct {
	mu         sync.Mutex
	registered []netip.AddrPort
	listed     []netip.AddrPort // as the store had them at listedAt
	listedAt   time.Time
	missing    []netip.AddrPort // known but not registered, since missingAt
	missingAt  time.Time
}

// outdated reports whether known instances have not been registered for peersStableFor.
func (l *peerList) outdated(known []netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	missing := slices.DeleteFunc(slices.Clone(known), func(address netip.AddrPort) bool { return slices.Contains(l.registered, address) })
	if !slices.Equal(missing, l.missing) {
		l.missing, l.missingAt = missing, time.Now()
	}
	return len(missing) > 0 && float64(len(missing)) >= unregisteredFraction*float64(len(known)) && time.Since(l.missingAt) >= peersStableFor
}

// merge returns the known addresses with those that the store had before a restart.
func (l *peerList) merge(known []netip.AddrPort) []netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.listedAt) >= listedTTL {
		return known
	}
	return uniqueAddresses(append(slices.Clone(known), l.listed...), netip.AddrPort{})
}

func (l *peerList) setRegistered(addresses []netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.registered = addresses
}

func (l *peerList) setListed(addresses []netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed, l.listedAt = addresses, time.Now()
}

// uniqueAddresses returns the valid addresses other than the given one, sorted and each
// once.
func uniqueAddresses(addresses []netip.AddrPort, without netip.AddrPort) []netip.AddrPort {
	addresses = slices.DeleteFunc(addresses, func(address netip.AddrPort) bool { return !address.IsValid() || address == without })
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return slices.Compact(addresses)
}
