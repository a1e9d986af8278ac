package relay

import (
	"sync"

	"rhubarbrelay/config"
)

// trafficSplits distributes the requests of each route among its services by
// smooth weighted round-robin. Even over a few requests each service gets its
// weight, which random selection only achieves over many.
type trafficSplits struct {
	mu     sync.Mutex
	routes map[*config.Route][]int
}

// next returns the service for the next request of the route.
func (s *trafficSplits) next(r *config.Route) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.routes[r]
	if current == nil {
		if s.routes == nil {
			s.routes = map[*config.Route][]int{}
		}
		current = make([]int, len(r.Split))
		s.routes[r] = current
	}
	best, total := 0, 0
	for i, ws := range r.Split {
		current[i] += ws.Weight
		total += ws.Weight
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
	s.trafficSplits.routes = nil
}
