package bodies

import (
	"errors"
	"io"
)

const (
	// SmallBody is the size in bytes up to which a body needs no reservation, so that
	// common requests and responses are served while large ones use all of the memory.
	SmallBody = 64 << 10
	// initialBuffer is the initial size of a buffer in bytes.
	initialBuffer = 4 << 10
	// largeGrowth is the part of its size by which a large buffer for a body of unknown
	// size grows. What is reserved beyond the body is not available to others.
	largeGrowth = 4
	// minReadCost is the number of bytes for which a read of fewer bytes counts. It
	// limits the time for a body that arrives in pieces of single bytes.
	minReadCost = 64
)

// ReadAll appends all bytes of r to dst, of which it expects size, or an unknown
// number if that is negative. The buffer grows with the bytes that arrive: a sender
// could otherwise take the memory by announcing a large body. Buffers of more than
// SmallBody bytes are added to the reservation. The error wraps ErrTooLarge if the
// result exceeds limit bytes, ErrTooFragmented, ErrExceedsMemory, ErrNoMemory, or an
// error of r.
func ReadAll(dst []byte, r io.Reader, size, limit int, reservation *Reservation) ([]byte, error) {
	if size > limit {
		return dst, ErrTooLarge
	}
	cost := 0
	for {
		var err error
		if len(dst) == cap(dst) {
			if dst, err = grow(dst, size, limit, reservation); err != nil {
				return dst, err
			}
		}
		n, err := r.Read(dst[len(dst):cap(dst)])
		dst = dst[:len(dst)+n]
		cost += max(n, minReadCost)
		switch {
		case len(dst) > limit:
			return dst, ErrTooLarge
		case errors.Is(err, io.EOF):
			return dst, nil
		case err != nil:
			return dst, err
		case cost > limit+SmallBody:
			return dst, ErrTooFragmented
		}
	}
}

// grow doubles the capacity of a full buffer, at most to the expected size and one
// byte more, with which the end of the body is read. The first growth beyond SmallBody
// reserves all of the expected size: of several bodies that arrive at the same time,
// some then fit whole, where otherwise none would. A large buffer for a body of unknown
// size grows in smaller steps, at most to the limit and to the size of the memory.
func grow(dst []byte, size, limit int, reservation *Reservation) ([]byte, error) {
	more := max(initialBuffer, len(dst))
	switch {
	case size >= len(dst):
		more = min(more, size+1-len(dst))
	case len(dst) >= SmallBody:
		more = min(len(dst)/largeGrowth, limit+1-len(dst), max(1, reservation.maxSize()-len(dst)))
	}
	needed := reservedBytes(len(dst)+more, size) - reservedBytes(len(dst), size)
	if err := reservation.Add(needed); err != nil {
		return dst, err
	}
	// slices.Grow may allocate more than was reserved.
	grown := make([]byte, len(dst), len(dst)+more)
	copy(grown, dst)
	return grown, nil
}

// reservedBytes returns how much is reserved for a buffer of the given capacity, of a
// body of the expected size.
func reservedBytes(capacity, size int) int {
	if capacity <= SmallBody+1 {
		return 0
	}
	return max(capacity, size+1)
}
