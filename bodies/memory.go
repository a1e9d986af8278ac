// Package bodies reads the bodies of requests and responses within the memory that
// an instance may use for them.
package bodies

import (
	"errors"
	"math"
	"sync/atomic"
)

var (
	// ErrNoMemory means that the large bodies that are held now leave no memory for
	// another one.
	ErrNoMemory = errors.New("no memory for the body")
	// ErrTooLarge means that a body is larger than the limit for a single one.
	ErrTooLarge = errors.New("body is too large")
	// ErrExceedsMemory means that a body is larger than all of the memory.
	ErrExceedsMemory = errors.New("body is larger than the memory for bodies")
	// ErrTooFragmented means that a body consists of so many small pieces that reading
	// it takes as long as reading one beyond the limit.
	ErrTooFragmented = errors.New("body consists of too many small pieces")
)

// Memory limits the bytes that all large bodies hold together. It is safe for
// concurrent use.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a memory of limit bytes.
func NewMemory(limit int) *Memory { return &Memory{limit: int64(limit)} }

// Used returns the bytes that are reserved now.
func (m *Memory) Used() int64 { return m.used.Load() }

// reserve reserves n more bytes and reports whether they were available.
func (m *Memory) reserve(n int64) bool {
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

// Reservation is the part of a Memory that belongs to one body. The zero value and
// nil have no limit. It is not safe for concurrent use.
type Reservation struct {
	memory *Memory
	copies int
	size   int
}

// NewReservation returns an empty reservation for a body that is held in the given
// number of copies. A nil Memory has no limit.
func NewReservation(memory *Memory, copies int) *Reservation {
	return &Reservation{memory: memory, copies: copies}
}

// Limit returns the size of the memory in bytes.
func (m *Memory) Limit() int { return int(m.limit) }

// Add adds n bytes of each copy to the reservation. The error is ErrExceedsMemory if the
// body would not even fit into an unused memory, else ErrNoMemory.
func (r *Reservation) Add(n int) error {
	if r == nil || r.memory == nil || n <= 0 {
		return nil
	}
	n *= r.copies
	if int64(r.size+n) > r.memory.limit {
		return ErrExceedsMemory
	}
	if !r.memory.reserve(int64(n)) {
		return ErrNoMemory
	}
	r.size += n
	return nil
}

// maxSize returns the size in bytes of the largest body that fits into an unused memory.
func (r *Reservation) maxSize() int {
	if r == nil || r.memory == nil {
		return math.MaxInt
	}
	return int(r.memory.limit) / r.copies
}

// Release gives all reserved bytes back. It may be called more than once.
func (r *Reservation) Release() {
	if r == nil || r.memory == nil {
		return
	}
	r.memory.used.Add(-int64(r.size))
	r.size = 0
}
