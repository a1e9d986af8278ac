package peer

import "time"

const (
	// windowBits is the number of sequences per origin that are told apart.
	// News that is older than the window counts as seen; the exchange at the
	// start of a session repairs what was missed.
	windowBits = 64
	// maxOrigins bounds the origins that are remembered.
	maxOrigins = 1024
)

// seen remembers which news arrived before. It is not safe for concurrent use.
type seen struct {
	origins map[string]*window
}

// window holds the highest sequence of an origin and, as bits, which of the
// sequences below it arrived.
type window struct {
	incarnation int64
	highest     uint64
	bits        uint64
	usedAt      time.Time
}

func newSeen() *seen { return &seen{origins: map[string]*window{}} }

// add returns whether the news is new, and remembers it.
func (s *seen) add(origin string, incarnation int64, sequence uint64, now time.Time) bool {
	w := s.origins[origin]
	if w == nil {
		if len(s.origins) >= maxOrigins {
			s.evict()
		}
		w = &window{incarnation: incarnation}
		s.origins[origin] = w
	}
	w.usedAt = now
	switch {
	case incarnation < w.incarnation:
		return false
	case incarnation > w.incarnation:
		*w = window{incarnation: incarnation, usedAt: now}
	}
	return w.add(sequence)
}

func (w *window) add(sequence uint64) bool {
	if sequence > w.highest {
		w.bits = w.bits<<(sequence-w.highest) | 1
		w.highest = sequence
		return true
	}
	age := w.highest - sequence
	if age >= windowBits || w.bits&(1<<age) != 0 {
		return false
	}
	w.bits |= 1 << age
	return true
}

// evict forgets the origin that has been silent longest.
func (s *seen) evict() {
	oldest := ""
	for origin, w := range s.origins {
		if oldest == "" || w.usedAt.Before(s.origins[oldest].usedAt) {
			oldest = origin
		}
	}
	delete(s.origins, oldest)
}
