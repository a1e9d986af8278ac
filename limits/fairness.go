package limits

import (
	"sync"
	"sync/atomic"
)

// Fairness bounds the requests that all services of an instance hold together,
// waiting and running. It is safe for concurrent use.
//
// At the capacity, a service that holds its fair share is refused; one below
// its share still enters, so the total can exceed the capacity by at most the
// unused shares.
type Fairness struct {
	capacity int64
	total    atomic.Int64
	active   atomic.Int64

	mu     sync.Mutex
	shares map[string]*Share
}

// Share is the part of one service.
type Share struct {
	fairness *Fairness
	held     atomic.Int64
}

// NewFairness returns an object that bounds the requests of an instance.
func NewFairness(capacity int) *Fairness {
	return &Fairness{capacity: int64(capacity), shares: map[string]*Share{}}
}

// Share returns the share of the service.
func (f *Fairness) Share(service string) *Share {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.shares[service]
	if !ok {
		s = &Share{fairness: f}
		f.shares[service] = s
	}
	return s
}

// Total returns the number of requests that all services hold.
func (f *Fairness) Total() int { return int(f.total.Load()) }

// Enter counts a request, or returns false when the service must be refused.
func (s *Share) Enter() bool {
	f := s.fairness
	if f.total.Load() >= f.capacity {
		active := max(1, f.active.Load())
		if s.held.Load() == 0 {
			active++
		}
		if s.held.Load() >= max(1, f.capacity/active) {
			return false
		}
	}
	f.total.Add(1)
	if s.held.Add(1) == 1 {
		f.active.Add(1)
	}
	return true
}

// Leave ends a request that entered.
func (s *Share) Leave() {
	s.fairness.total.Add(-1)
	if s.held.Add(-1) == 0 {
		s.fairness.active.Add(-1)
	}
}
