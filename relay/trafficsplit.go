package relay

import (
	"sync"

	"rhubarbrelay/config"
)

// splits divides the requests of routes among their services. It gives each
// service its share in any short run of requests, which a random draw would
// only do in the long run.
type splits struct {
	mu     sync.Mutex
	routes map[*config.Route][]int
}

// next returns the service for the next request of the route.
func (s *splits) next(r *config.Route) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credit := s.routes[r]
	if credit == nil {
		if s.routes == nil {
			s.routes = map[*config.Route][]int{}
		}
		credit = make([]int, len(r.Split))
		s.routes[r] = credit
	}
	best, total := 0, 0
	for i, p := range r.Split {
		credit[i] += p.Weight
		total += p.Weight
		if credit[i] > credit[best] {
			best = i
		}
	}
	credit[best] -= total
	return r.Split[best].Service
}

// ResetTrafficSplits forgets the routes of an earlier configuration.
func (s *Server) ResetTrafficSplits() {
	s.splits.mu.Lock()
	defer s.splits.mu.Unlock()
	s.splits.routes = nil
}
