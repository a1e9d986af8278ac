package relay

import (
	"net/netip"
	"sync"

	"rhubarbrelay/upstream"
)

const (
	// maxPeerConnections limits the connections to one other instance. Each carries one
	// request at a time.
	maxPeerConnections = 256
	// maxPeerPools limits the instances to which connections are kept.
	maxPeerPools = 64
)

// peerPools holds the connections to other instances. It is safe for concurrent use.
type peerPools struct {
	mu    sync.Mutex
	pools map[netip.AddrPort]*upstream.Pool
}

func newPeerPools() *peerPools { return &peerPools{pools: map[netip.AddrPort]*upstream.Pool{}} }

// pool returns the pool of the instance at the address.
func (p *peerPools) pool(address netip.AddrPort) *upstream.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.pools[address]
	if pool == nil {
		p.makeRoom()
		pool = upstream.NewPool(upstream.Destination{Address: address}, maxPeerConnections)
		p.pools[address] = pool
	}
	return pool
}

// makeRoom removes a pool if there are maxPeerPools of them. The caller must hold p.mu.
func (p *peerPools) makeRoom() {
	for address, pool := range p.pools {
		if len(p.pools) < maxPeerPools {
			return
		}
		pool.Close()
		delete(p.pools, address)
	}
}

// close closes the connections, those in use after their requests have finished.
func (p *peerPools) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		pool.Close()
	}
}
