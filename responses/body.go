package responses

import (
	"bufio"
	"io"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/bodies"
)

// The values of fasthttp's ContentLength for a body that is sent without a length.
const (
	lengthChunked  = -1
	lengthUntilEnd = -2
)

// Limit limits the body of one response.
type Limit struct {
	// Size is the maximum size in bytes.
	Size int
	// Reservation holds the memory of a large body, see bodies.ReadAll.
	Reservation *bodies.Reservation
}

// Read reads a response. It reads no body if resp.SkipBody is set or the status excludes
// one, and drops a trailer. endsWithConn is set if the body has no end but that of the
// connection: it is whole only if the connection was not reset. The error wraps
// ErrMalformed, or is one of the reader or of the package bodies.
func Read(r *bufio.Reader, resp *fasthttp.Response, limit Limit) (endsWithConn bool, err error) {
	if err := readHeader(r, &resp.Header); err != nil {
		return false, err
	}
	if !hasBody(resp) {
		return false, nil
	}
	length := resp.Header.ContentLength()
	body, err := readBody(r, length, limit)
	if err != nil {
		return false, err
	}
	if length == lengthUntilEnd {
		resp.Header.SetContentLength(len(body))
	}
	resp.SetBodyRaw(body)
	return length == lengthUntilEnd, nil
}

func hasBody(resp *fasthttp.Response) bool {
	status := resp.StatusCode()
	return !resp.SkipBody && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// readBody reads a body with its trailer. It does not use fasthttp's own reading of a whole
// body, which allocates the announced length at once and accepts chunks and trailers that
// the grammar does not allow.
func readBody(r *bufio.Reader, length int, limit Limit) ([]byte, error) {
	source := io.Reader(r)
	switch {
	case length == lengthChunked:
		source = &chunks{r: r}
	case length >= 0:
		source = io.LimitReader(r, int64(length))
	}
	body, err := bodies.ReadAll(nil, source, length, limit.Size, limit.Reservation)
	if err == nil && len(body) < length {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}
