package upstream

import (
	"net/netip"
	"sync"

	"rhubarbrelay/config"
)

// Pools holds the pool of each target of a fleet.
type Pools struct {
	maxInstances int
	opts         []Option

	mu    sync.RWMutex
	pools map[netip.AddrPort]*Pool
}

// NewPools returns the pools of an instance that shares the connection limits
// of targets with at most maxInstances - 1 others.
func NewPools(maxInstances int, opts ...Option) *Pools {
	return &Pools{maxInstances: maxInstances, opts: opts, pools: map[netip.AddrPort]*Pool{}}
}

// Update opens, resizes and closes pools so that they match the fleet. A target
// of several services has one pool, with the smallest of the limits.
func (p *Pools) Update(fleet *config.Fleet) {
	limits := map[netip.AddrPort]int{}
	targets := map[netip.AddrPort]config.Target{}
	for _, s := range fleet.Services {
		for _, t := range s.Targets {
			limit := max(1, t.MaxConnections/p.maxInstances)
			if known, ok := limits[t.Address]; ok {
				limit = min(limit, known)
			}
			limits[t.Address] = limit
			targets[t.Address] = t
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[netip.AddrPort]*Pool, len(targets))
	for address, t := range targets {
		if old, ok := p.pools[address]; ok {
			old.Resize(limits[address])
			next[address] = old
			continue
		}
		next[address] = NewPool(t, limits[address], p.opts...)
	}
	for address, pool := range p.pools {
		if next[address] == nil {
			pool.Close()
		}
	}
	p.pools = next
}

// Pool returns the pool of the target at the address, nil when it left the
// fleet.
func (p *Pools) Pool(address netip.AddrPort) *Pool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.pools[address]
}

// Stats returns the counters of each pool by the address of its target.
func (p *Pools) Stats() map[netip.AddrPort]Stats {
	p.mu.RLock()
	defer p.mu.RUnlock()
	stats := make(map[netip.AddrPort]Stats, len(p.pools))
	for address, pool := range p.pools {
		stats[address] = pool.Stats()
	}
	return stats
}

// Close closes every pool.
func (p *Pools) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		pool.Close()
	}
	p.pools = map[netip.AddrPort]*Pool{}
}
