package relay

import (
	"errors"
	"io"
	"slices"

	"github.com/valyala/fasthttp"
)

// initialBodyBuffer is the initial size of a body buffer in bytes.
const initialBodyBuffer = 4 << 10

// configureBodyRead makes fasthttp pass the body on as a stream after it has
// read one byte. By default fasthttp waits for the first 8 KB of a body, even
// if the declared length is too large. A body whose declared length is too large
// is hidden from fasthttp by a length of 0. admit reads the declared length from
// the raw header and rejects the request.
func (s *Server) configureBodyRead(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if h.ContentLength() > s.http.MaxRequestBodySize {
		h.SetContentLength(0)
		h.SetConnectionClose()
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: 1}
}

// readBody reads the complete body of a request. The buffer grows with the
// bytes received: fasthttp's own reader allocates the declared length at once,
// so callers could exhaust the memory by declaring large bodies and sending
// nothing.
func (s *Server) readBody(req *fasthttp.Request, c *call) *failure {
	stream := req.BodyStream()
	if stream == nil {
		return nil
	}
	length := req.Header.ContentLength()
	var err error
	c.body, err = readAll(c.body[:0], stream, s.http.MaxRequestBodySize)
	// fasthttp returns io.EOF both at the end of the body and when the connection
	// is closed early.
	if err == nil && length >= 0 && len(c.body) != length {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return readFailure(err).withConnectionClose()
	}
	req.SetBodyRaw(c.body)
	return nil
}

// readAll appends all bytes of r to dst. It returns fasthttp.ErrBodyTooLarge if
// the result exceeds limit bytes.
func readAll(dst []byte, r io.Reader, limit int) ([]byte, error) {
	for {
		if len(dst) == cap(dst) {
			dst = slices.Grow(dst, max(initialBodyBuffer, len(dst)))
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
