package relay

import (
	"sync"

	"rhubarbrelay/config"
)

// trafficSplits distributes the requests of each route among its services by
// smooth weighted round-robin. Each service gets its share of the requests even
// over a short run, which random selection achieves only over many requests.
type trafficSplits struct {
	mu             sync.Mutex
	currentWeights map[*config.Route][]float64 // in the order of Route.Split; no sum of weights overflows
}

// next returns the service for the next request of the route.
func (s *trafficSplits) next(r *config.Route) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.currentWeights[r]
	if current == nil {
		if s.currentWeights == nil {
			s.currentWeights = map[*config.Route][]float64{}
		}
		current = make([]float64, len(r.Split))
		s.currentWeights[r] = current
	}
	best, total := 0, 0.0
	for i, ws := range r.Split {
		weight := float64(ws.Weight)
		current[i] += weight
		total += weight
		if current[i] > current[best] {
			best = i
		}
	}
	current[best] -= total
	return r.Split[best].Service
}

// ResetTrafficSplits drops the state of all routes. It is called when the
// configuration changes, which replaces the routes.
func (s *Server) ResetTrafficSplits() {
	s.trafficSplits.mu.Lock()
	defer s.trafficSplits.mu.Unlock()
	s.trafficSplits.currentWeights = nil
}
