package callers

import "sync"

// maxAhead limits the requests of one connection that run before the ones that were sent
// earlier are answered.
const maxAhead = 8

// AheadRequest is a request that runs before an earlier one of its connection is answered.
type AheadRequest interface {
	// Cancel ends the request, whose caller gets no response.
	Cancel()
}

// Ahead holds the requests of one connection that run ahead, in the order in which they
// were sent. It is safe for concurrent use.
type Ahead struct {
	mu       sync.Mutex
	requests []AheadRequest
	closed   bool
}

// Add adds a request. It returns false if the connection takes no more.
func (a *Ahead) Add(r AheadRequest) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || len(a.requests) >= maxAhead {
		return false
	}
	a.requests = append(a.requests, r)
	return true
}

// HasRoom reports whether Add takes a request.
func (a *Ahead) HasRoom() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.closed && len(a.requests) < maxAhead
}

// Take removes and returns the first request, or nil if there is none.
func (a *Ahead) Take() AheadRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.requests) == 0 {
		return nil
	}
	first := a.requests[0]
	a.requests = a.requests[1:]
	return first
}

// Len returns the number of requests.
func (a *Ahead) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.requests)
}

// Close makes Add take no more requests. Those that it has taken run on.
func (a *Ahead) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
}

// Closed reports whether Close or Cancel was called.
func (a *Ahead) Closed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.closed
}

// Cancel cancels all requests and takes no more.
func (a *Ahead) Cancel() {
	a.mu.Lock()
	requests := a.requests
	a.requests, a.closed = nil, true
	a.mu.Unlock()
	for _, r := range requests {
		r.Cancel()
	}
}
