package responses

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/headers"
)

// maxHeaders limits the headers that readHeader reads for one response, including those of
// the interim responses (1xx) that it skips.
const maxHeaders = 8

// readHeader reads the header of a response. It skips interim responses. The header must
// fit into the buffer of the reader. The error wraps ErrMalformed, or is one of the reader.
func readHeader(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for range maxHeaders {
		status, err := readOneHeader(r, h)
		switch {
		case err != nil:
			return err
		case status == fasthttp.StatusSwitchingProtocols:
			return errSwitchedProtocols
		case status >= fasthttp.StatusOK:
			return nil
		}
	}
	return errTooManyInterim
}

// readOneHeader reads a header, which may be that of an interim response, and returns its
// status. fasthttp parses only a header that was inspected as it was received, and must find
// its end at the same place.
func readOneHeader(r *bufio.Reader, h *fasthttp.ResponseHeader) (status int, err error) {
	var in inspection
	if err := in.inspect(r); err != nil {
		return 0, err
	}
	buffered := r.Buffered()
	if err := h.Read(r); err != nil {
		return 0, malformed(&parseError{err})
	}
	if buffered-r.Buffered() != in.size {
		return 0, malformed(errHeaderEnd)
	}
	return in.statusLine.status, nil
}

// inspection is the result of a single pass over the lines of a header.
type inspection struct {
	// size is the number of bytes that were inspected.
	size       int
	statusLine statusLine
	framing    framing
}

// inspect inspects the lines of a header as they arrive, so that a malformed one is rejected
// at once, and leaves them in the buffer of the reader.
func (in *inspection) inspect(r *bufio.Reader) error {
	for {
		buffered, _ := r.Peek(r.Buffered()) // they are there
		ended, err := in.inspectLines(buffered)
		if ended || err != nil {
			return err
		}
		if _, err := r.Peek(len(buffered) + 1); err != nil {
			return readError(err, len(buffered))
		}
	}
}

// inspectLines inspects the whole lines of a header that were not inspected before. It
// reports whether the last one ends the header.
func (in *inspection) inspectLines(header []byte) (ended bool, err error) {
	for {
		line, rest, err := headers.CutLine(header[in.size:])
		if err != nil {
			return false, lineError(err)
		}
		if len(line) == 0 && in.size > 0 {
			in.size = len(header) - len(rest)
			return true, in.framing.check(in.statusLine)
		}
		if err := in.inspectLine(line); err != nil {
			return false, err
		}
		in.size = len(header) - len(rest)
	}
}

// lineError returns the error of a line that cannot be cut, nil if it is incomplete.
func lineError(err error) error {
	if errors.Is(err, headers.ErrIncomplete) {
		return nil
	}
	return malformed(err)
}

// inspectLine inspects a line other than the empty one that ends the header.
func (in *inspection) inspectLine(line []byte) (err error) {
	if in.size == 0 {
		in.statusLine, err = parseStatusLine(line)
		return err
	}
	field, err := headers.ParseField(line)
	if err != nil {
		return malformed(err)
	}
	return in.framing.add(field.Name)
}

// readError returns the error of a header of which the given number of bytes has arrived.
func readError(err error, received int) error {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return errHeaderTooLarge
	case errors.Is(err, io.EOF) && received > 0:
		return io.ErrUnexpectedEOF
	}
	return fmt.Errorf("read response header: %w", err)
}
