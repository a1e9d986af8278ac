package upstream

import (
	"net/netip"
	"sync"

	"rhubarbrelay/config"
)

// Pools holds the pool of each target of a fleet.
type Pools struct {
	maxInstances int

	mu    sync.RWMutex
	pools map[netip.AddrPort]*Pool
}

// NewPools returns the pools of an instance that shares the connection limits
// of targets with at most maxInstances - 1 others.
func NewPools(maxInstances int) *Pools {
	return &Pools{maxInstances: maxInstances, pools: map[netip.AddrPort]*Pool{}}
}

// Update opens and closes pools so that they match the fleet.
func (p *Pools) Update(fleet *config.Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := map[netip.AddrPort]*Pool{}
	for _, s := range fleet.Services {
		for _, t := range s.Targets {
			next[t.Address] = p.keep(t)
		}
	}
	for address, pool := range p.pools {
		if next[address] != pool {
			pool.Close()
		}
	}
	p.pools = next
}

func (p *Pools) keep(t config.Target) *Pool {
	limit := max(1, t.MaxConnections/p.maxInstances)
	if old, ok := p.pools[t.Address]; ok && old.limit == limit {
		return old
	}
	return NewPool(t, limit)
}

// Pool returns the pool of the target at the address, nil when it left the
// fleet.
func (p *Pools) Pool(address netip.AddrPort) *Pool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.pools[address]
}
