// Package callers holds the state of the connections of callers.
package callers

import (
	"bytes"
	"sync"
)

// maxPending limits the bytes that are kept of what a caller sends before its earlier
// requests were answered. Further bytes stay in the buffers of the connection, so that the
// caller has to wait.
const maxPending = 16 << 10

// headEnd ends the head of a request.
var headEnd = []byte("\r\n\r\n")

// Pipeline separates the requests that a caller sends on one connection without waiting
// for the responses. It gives the server one request at a time and keeps those that follow,
// which can be handled meanwhile. It separates only requests without a body, and only as
// long as it is certain where a request ends. It is safe for concurrent use.
type Pipeline struct {
	mu sync.Mutex
	// handed is the number of bytes given to the server since the last known end of a
	// request.
	handed int
	// unknown is set once the end of a request is not known. It stays set, as all later
	// ends depend on that one.
	unknown bool
	pending []byte
	// listed is the number of bytes of pending that NextHead has returned.
	listed int
}

// Receive takes over bytes that were read into the buffer of the server. It keeps those
// behind the first head and returns the number of the others, which are for the server.
func (p *Pipeline) Receive(received []byte) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(received)
	if !p.unknown && mayLackBody(received) {
		if end := bytes.Index(received, headEnd); end >= 0 {
			n = end + len(headEnd)
			p.pending = append(p.pending, received[n:]...)
		}
	}
	p.handed += n
	return n
}

// Take copies kept bytes for the server, up to the end of the first head, and returns their
// number.
func (p *Pipeline) Take(buf []byte) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending) == 0 {
		return 0
	}
	n := copy(buf, p.pending[:p.firstEnd()])
	p.handed += n
	p.pending = p.pending[n:]
	p.listed = max(0, p.listed-n)
	if len(p.pending) == 0 {
		p.pending = nil // idle connections hold no memory
	}
	return n
}

// firstEnd returns the end of the first head in pending, or of pending if it has none.
func (p *Pipeline) firstEnd() int {
	if p.unknown {
		return len(p.pending)
	}
	if end := bytes.Index(p.pending, headEnd); end >= 0 {
		return end + len(headEnd)
	}
	return len(p.pending)
}

// BeginRequest records that the server has read the head of a request, of the given size in
// bytes. It reports whether the kept bytes are the beginning of the next request.
func (p *Pipeline) BeginRequest(headSize int, hasBody bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	// If the server was given exactly the head, it has read no byte of a further request.
	if hasBody || p.handed != headSize {
		p.unknown = true
	}
	p.handed = 0
	return !p.unknown
}

// Room returns the number of further bytes that may be kept while a request is handled.
func (p *Pipeline) Room() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unknown {
		return 0
	}
	return max(0, maxPending-len(p.pending))
}

// Keep keeps bytes that have arrived while a request is handled.
func (p *Pipeline) Keep(received []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = append(p.pending, received...)
}

// NextHead returns a copy of the next complete head if it is accepted, or nil. accept must
// reject a request with a body. A request that is not accepted ends the list until the
// server has read it.
func (p *Pipeline) NextHead(accept func(head []byte) bool) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	rest := p.pending[p.listed:]
	if p.unknown || !mayLackBody(rest) {
		return nil
	}
	end := bytes.Index(rest, headEnd)
	if end < 0 {
		return nil
	}
	head := bytes.Clone(rest[:end+len(headEnd)])
	if !accept(head) {
		return nil
	}
	p.listed += len(head)
	return head
}

// mayLackBody reports whether the bytes begin a request that normally has no body.
func mayLackBody(request []byte) bool {
	return bytes.HasPrefix(request, []byte("GET ")) || bytes.HasPrefix(request, []byte("HEAD "))
}
