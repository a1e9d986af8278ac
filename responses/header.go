package responses

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

// maxHeaders limits the headers that ReadHeader reads for one response, including those of
// the interim responses (1xx) that it skips.
const maxHeaders = 8

// ReadHeader reads the header of a response. It skips interim responses. The header must
// fit into the buffer of the reader. The error wraps ErrMalformed, or is one of the reader
// or of fasthttp.
func ReadHeader(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for range maxHeaders {
		line, err := peekLine(r)
		if err != nil {
			return err
		}
		parsed, err := parseStatusLine(line)
		if err != nil {
			return err
		}
		if err := h.Read(r); err != nil {
			return err
		}
		if parsed.status == fasthttp.StatusSwitchingProtocols {
			return errSwitchedProtocols
		}
		if parsed.status >= fasthttp.StatusOK {
			return nil
		}
	}
	return errTooManyInterim
}

// peekLine returns the next line without its line end, and leaves it in the buffer.
func peekLine(r *bufio.Reader) ([]byte, error) {
	for size := 1; ; size = r.Buffered() + 1 {
		if _, err := r.Peek(size); err != nil {
			return nil, lineError(err, r.Buffered())
		}
		buffered, _ := r.Peek(r.Buffered()) // all of these bytes are there
		if line, _, ok := bytes.Cut(buffered, []byte("\r\n")); ok {
			return line, nil
		}
	}
}

// lineError returns the error of a line of which the buffer has some bytes.
func lineError(err error, buffered int) error {
	if errors.Is(err, io.EOF) && buffered > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}
