package relay

import (
	"bytes"

	"rhubarbrelay/bodies"
)

// heldBody is a large response body while it is sent to the caller. It implements
// io.ReadCloser; Close releases its memory.
type heldBody struct {
	*bytes.Reader
	reservation *bodies.Reservation
}

func newHeldBody(body []byte, reservation *bodies.Reservation) *heldBody {
	return &heldBody{Reader: bytes.NewReader(body), reservation: reservation}
}

// Close implements io.Closer.
func (b *heldBody) Close() error {
	b.reservation.Release()
	return nil
}

// takeBody returns the response body of a try that has ended. It takes over the
// reservation of the try.
func (t *try) takeBody(body []byte) *heldBody {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := newHeldBody(body, t.reservation)
	t.reservation = nil
	return held
}
