package queueing

import (
	"math"
	"time"
)

const (
	// shareTimeConstant is the time constant of the counters by which kinds and tenants
	// are compared. A tenant with few requests is compared by its last ones.
	shareTimeConstant = 4 * time.Second
	// minServedRatio is the lowest fraction of the calls of a kind or tenant that is
	// served, relative to that of all calls. Callers need a quarter; the rest is the
	// margin for the delay of the counters.
	minServedRatio = 0.4
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
	offset     time.Duration
	overtaking float64
	// served counts the served requests, ended the first attempts that were served or
	// refused: a call with several attempts counts once.
	served, ended float64
	// usage is the work of the served requests, demand that of all first attempts.
	usage, demand float64
	// waitingWork is the work of the waiting requests in seconds, without a weight.
	waitingWork float64
	waiting     int
	weight      float64
	// behind is set while the group is served less often than it must be.
	behind bool
}

// servedFraction returns the fraction of the calls that were served, 1 if unknown.
func (g *group) servedFraction() float64 {
	if g.ended <= 0 {
		return 1
	}
	return min(1, g.served/g.ended)
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
			if g.waiting == 0 && g.served+g.ended < minCount {
				delete(groups, name)
			}
		}
	}
	s.epoch = now
	return 1
}

func (g *group) rescale(scale float64) {
	g.served /= scale
	g.ended /= scale
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

// compare determines the weights of the tenants, and which kinds and tenants are behind. An
// urgent kind is behind as soon as it is served less often than a less urgent one: callers
// accept a difference of 0.05, which remains as the margin for the delay of the counters.
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
			if other.priority > k.priority && fraction < other.servedFraction() {
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
