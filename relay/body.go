package relay

import (
	"errors"
	"io"
	"slices"

	"github.com/valyala/fasthttp"
)

// firstBody is the space, in bytes, for a body of which nothing has arrived.
const firstBody = 4 << 10

// handleHeader makes fasthttp hand bodies over as streams of which it has read
// one byte. It would wait for the first 8 KB of a body, also of one that is
// announced to be too large; such a body is hidden from it and refused by admit.
func (s *Server) handleHeader(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if h.ContentLength() > s.http.MaxRequestBodySize {
		h.SetContentLength(0)
		h.SetConnectionClose()
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: 1}
}

// readBody reads the whole body of a request. Its space grows with the bytes
// that arrive: fasthttp's own reader reserves the announced length at once, so
// that callers who announce large bodies and send none would take all memory.
func (s *Server) readBody(req *fasthttp.Request, c *call) *failure {
	stream := req.BodyStream()
	if stream == nil {
		return nil
	}
	length := req.Header.ContentLength()
	var err error
	c.body, err = readAll(c.body[:0], stream, s.http.MaxRequestBodySize)
	// fasthttp reports the end of the connection like the end of the body.
	if err == nil && length >= 0 && len(c.body) != length {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return failureOfRead(err).hangingUp()
	}
	req.SetBodyRaw(c.body)
	return nil
}

// readAll appends what the reader gives to dst, at most limit bytes.
func readAll(dst []byte, r io.Reader, limit int) ([]byte, error) {
	for {
		if len(dst) == cap(dst) {
			dst = slices.Grow(dst, max(firstBody, len(dst)))
		}
		n, err := r.Read(dst[len(dst):cap(dst)])
		dst = dst[:len(dst)+n]
		switch {
		case len(dst) > limit:
			return dst, fasthttp.ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return dst, nil
		case err != nil:
			return dst, err
		}
	}
}
