package startup

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// expectedStart is the time from the start until an instance usually has its state.
	expectedStart = 300 * time.Millisecond
	// minEstimate limits the estimated remaining time while it is nearly over. A start
	// that takes longer than expected is expected to take half as long again as it has
	// taken, maxEstimate at most.
	minEstimate = 50 * time.Millisecond
	maxEstimate = 2 * time.Second
	// holdFraction is the fraction of a request's timeout for which it is held: the rest
	// is for running it. maxHold limits the hold in any case, as the objective of a
	// request is not known without a configuration.
	holdFraction = 0.5
	maxHold      = 500 * time.Millisecond
	// maxHeld and maxHeldBytes limit the requests that are held at the same time. The
	// bytes are a small part of the 136 MB that the smallest instances have.
	maxHeld      = 512
	maxHeldBytes = 8 << 20
	// Held requests are released one after the other, releaseInterval apart or, if there
	// are many, within releasePeriod, so that the targets get no burst of connections and
	// probes from many instances that start at the same time.
	releaseInterval = 2 * time.Millisecond
	releasePeriod   = 100 * time.Millisecond
)

// Gate holds the requests that arrive at an instance without state. It handles the load of
// all callers, whose other instances are starting as well: it holds those that it expects
// to be served in time and refuses the others at once. Nothing of a held request was sent.
type Gate struct {
	start time.Time

	mu    sync.Mutex // guards the fields below
	open  bool
	held  []*heldRequest
	bytes int
}

type heldRequest struct {
	timeout  time.Duration
	size     int
	released chan struct{} // closed when it may go on
}

// NewGate returns the gate of an instance that starts now.
func NewGate() *Gate { return &Gate{start: time.Now()} }

// Await waits until a request of the given size in bytes may be served. timeout is the
// time that its caller still waits, 0 if that is not known. If ok is false, the request
// must be refused, and retryAfter is the estimated time until the instance has its state.
func (g *Gate) Await(timeout time.Duration, size int) (retryAfter time.Duration, ok bool) {
	limit := maxHold
	if timeout > 0 {
		limit = min(limit, time.Duration(holdFraction*float64(timeout)))
	}
	request, ok := g.admit(timeout, size, limit)
	if request == nil {
		return g.estimate(), ok
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-request.released:
		return 0, true
	case <-timer.C:
	}
	if g.remove(request) {
		return g.estimate(), false
	}
	return 0, true // the instance has its state
}

// admit adds a request that is expected to be served within the limit. Without one, ok
// reports whether it may go on at once.
func (g *Gate) admit(timeout time.Duration, size int, limit time.Duration) (request *heldRequest, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open {
		return nil, true
	}
	if g.estimate() > limit || len(g.held) >= maxHeld || g.bytes+size > maxHeldBytes {
		return nil, false
	}
	request = &heldRequest{timeout: timeout, size: size, released: make(chan struct{})}
	g.held, g.bytes = append(g.held, request), g.bytes+size
	return request, true
}

// remove removes a held request and reports whether it must be refused: the instance has
// no state yet.
func (g *Gate) remove(request *heldRequest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.held, request); i >= 0 {
		g.held, g.bytes = slices.Delete(g.held, i, i+1), g.bytes-request.size
	}
	return !g.open
}

// estimate returns the estimated time until the instance has its state.
func (g *Gate) estimate() time.Duration {
	elapsed := time.Since(g.start)
	if elapsed < expectedStart {
		return max(minEstimate, expectedStart-elapsed)
	}
	return min(maxEstimate, max(minEstimate, elapsed/2))
}

// Open releases the held requests and lets all further ones pass. Those whose callers
// wait longest go first: of the requests of a route, these are the first tries, as a caller
// states a shorter timeout when it tries again, and the relay recognizes the others by
// them.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open {
		return
	}
	g.open = true
	if len(g.held) == 0 {
		return
	}
	slices.SortStableFunc(g.held, func(a, b *heldRequest) int { return cmp.Compare(b.timeout, a.timeout) })
	interval := min(releaseInterval, releasePeriod/time.Duration(len(g.held)))
	go g.release(interval)
}

// release releases the held requests in order.
func (g *Gate) release(interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for g.releaseNext() {
		<-ticker.C
	}
}

// releaseNext releases the first held request and reports whether there was one.
func (g *Gate) releaseNext() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.held) == 0 {
		return false
	}
	close(g.held[0].released)
	g.bytes -= g.held[0].size
	g.held = g.held[1:]
	return true
}
