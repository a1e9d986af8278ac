package queueing

import (
	"math"
	"time"
)

const (
	// shareTimeConstant is the time constant of the counters by which kinds and tenants
	// are compared. A tenant with few requests is compared by its last ones.
	shareTimeConstant = 4 * time.Second
	// minServedRatio is the lowest fraction of the requests of a kind or tenant that is
	// served, relative to that of all requests. Callers need a quarter; the rest is the
	// margin for the delay of the counters.
	minServedRatio = 0.4
	// maxUrgencyDeficit is how far the served fraction of a kind may be below that of a
	// less urgent one. Callers need 0.05.
	maxUrgencyDeficit = 0.0
	// proportionalShare is the part of a tenant's weight that follows its demand, as a
	// multiple of the part that all tenants have alike. A tenant that sends much is
	// served at least a third as often as all: proportionalShare / (1 + proportionalShare).
	proportionalShare = 0.5
	// shareInterval is the interval at which kinds and tenants are compared.
	shareInterval = 20 * time.Millisecond
	// maxScale limits the weight of new events; the counters are then divided by it.
	maxScale = 1e12
	// minCount is the count below which a group without waiting requests is forgotten.
	minCount = 1e-3
)

// group is a kind or a tenant. The counters decay with shareTimeConstant: new events have
// an exponentially growing weight, see shares.scale.
type group struct {
	priority int // of a kind
	// offset is the time from the arrival of a request of the kind to its place, see
	// Request.place. overtaking is the rate, in slots, at which requests of other kinds
	// are served that are placed before it although they arrive later.
	offset          time.Duration
	overtaking      float64
	served, refused float64
	// usage is the work of the served requests, demand that of all first attempts.
	usage, demand float64
	// waitingWork is the work of the waiting requests in seconds, without a weight.
	waitingWork float64
	waiting     int
	weight      float64
	// behind is set while the group is served less often than it must be.
	behind bool
}

// servedFraction returns the fraction of the requests that were served, 1 if unknown.
func (g *group) servedFraction() float64 {
	if g.served+g.refused <= 0 {
		return 1
	}
	return g.served / (g.served + g.refused)
}

// overuse returns how much of the service the tenant uses, relative to its weight.
func (g *group) overuse(scale float64) float64 {
	return (g.usage + g.waitingWork*scale) / g.weight
}

// shares compares the kinds and tenants of a service by how often they are served.
type shares struct {
	kinds, tenants map[string]*group
	all            group
	epoch          time.Time
	comparedAt     time.Time
}

func newShares() *shares {
	return &shares{kinds: map[string]*group{}, tenants: map[string]*group{}}
}

// scale returns the weight of an event at the given time.
func (s *shares) scale(now time.Time) float64 {
	if s.epoch.IsZero() {
		s.epoch = now
	}
	scale := math.Exp(now.Sub(s.epoch).Seconds() / shareTimeConstant.Seconds())
	if scale < maxScale {
		return scale
	}
	s.all.rescale(scale)
	for _, groups := range []map[string]*group{s.kinds, s.tenants} {
		for name, g := range groups {
			g.rescale(scale)
			if g.waiting == 0 && g.served+g.refused < minCount {
				delete(groups, name)
			}
		}
	}
	s.epoch = now
	return 1
}

func (g *group) rescale(scale float64) {
	g.served /= scale
	g.refused /= scale
	g.usage /= scale
	g.demand /= scale
}

func groupOf(groups map[string]*group, name string) *group {
	g := groups[name]
	if g == nil {
		g = &group{weight: 1}
		groups[name] = g
	}
	return g
}

// compare determines the weights of the tenants, and which kinds and tenants are behind.
func (s *shares) compare(now time.Time) {
	if now.Sub(s.comparedAt) < shareInterval {
		return
	}
	s.comparedAt = now
	perSecond := 1 / (s.scale(now) * shareTimeConstant.Seconds())
	least := minServedRatio * s.all.servedFraction()
	for _, k := range s.kinds {
		fraction := k.servedFraction()
		k.behind = fraction < least
		k.overtaking = 0
		for _, other := range s.kinds {
			if other.priority > k.priority && fraction < other.servedFraction()-maxUrgencyDeficit {
				k.behind = true
			}
			if other.offset < k.offset {
				k.overtaking += other.usage * perSecond
			}
		}
	}
	total := 0.0
	for _, t := range s.tenants {
		total += t.demand
	}
	mean := max(minCount, total/float64(max(1, len(s.tenants))))
	for _, t := range s.tenants {
		t.weight = 1 + proportionalShare*t.demand/mean
		t.behind = t.servedFraction() < least
	}
}
