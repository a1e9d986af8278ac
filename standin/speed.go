package standin

import (
	"sync"
	"time"
)

// speed is how many times slower than usual a target works at present. A
// change takes effect on the work in progress. The zero value is the usual
// speed.
type speed struct {
	mu      sync.Mutex
	factor  int
	changed chan struct{}
}

// set changes the factor; values below 1 count as 1.
func (s *speed) set(factor int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.factor = factor
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func (s *speed) now() (factor int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return max(1, s.factor), s.changed
}

// work returns when work that takes the given time at the usual speed is done.
func (s *speed) work(left time.Duration) {
	for left > 0 {
		factor, changed := s.now()
		started := time.Now()
		timer := time.NewTimer(left * time.Duration(factor))
		select {
		case <-timer.C:
			return
		case <-changed:
			timer.Stop()
		}
		left -= time.Since(started) / time.Duration(factor)
	}
}
