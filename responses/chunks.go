package responses

import (
	"bufio"
	"errors"
	"io"
	"math"

	"rhubarbrelay/headers"
)

const (
	// maxOverhead limits the bytes of the lines between chunks, beyond those that are usual
	// for chunks of their size. A sender could otherwise send endless extensions.
	maxOverhead = 16 << 10
	// usualOverhead is the usual size in bytes of the line in front of a chunk.
	usualOverhead = 16
	// maxTrailer limits the size of a trailer in bytes.
	maxTrailer = 8 << 10
)

// chunks reads the content of a chunked body (RFC 9112, section 7.1). It ends behind the
// trailer, which it drops. Its errors wrap ErrMalformed, or are of the reader.
type chunks struct {
	r        *bufio.Reader
	left     int // bytes of the current chunk
	overhead int
	ended    bool
}

// Read implements io.Reader.
func (c *chunks) Read(p []byte) (int, error) {
	if c.left == 0 && !c.ended {
		if err := c.next(); err != nil {
			return 0, cutOff(err)
		}
	}
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.r.Read(p[:min(len(p), c.left)])
	c.left -= n
	if err == nil && c.left == 0 {
		err = c.readChunkEnd()
	}
	return n, cutOff(err)
}

// next reads the line in front of a chunk, and behind the last one the trailer.
func (c *chunks) next() error {
	size, err := c.readSize()
	if err != nil {
		return err
	}
	extensions, err := readLine(c.r)
	if err != nil {
		return err
	}
	if !validExtensions(extensions) {
		return malformed(errExtension)
	}
	if err := c.addOverhead(len(extensions) - usualOverhead - size); err != nil {
		return err
	}
	if size == 0 {
		c.ended = true
		return readTrailer(c.r)
	}
	c.left = size
	return nil
}

// readSize reads the hexadecimal digits of a size.
func (c *chunks) readSize() (int, error) {
	size := 0
	for digits := 0; ; digits++ {
		b, err := c.r.ReadByte()
		if err != nil {
			return 0, err
		}
		digit, ok := hexDigit(b)
		if !ok && digits > 0 {
			return size, c.r.UnreadByte()
		}
		if !ok || size > math.MaxInt>>4 {
			return 0, malformed(errChunkSize)
		}
		if err := c.addOverhead(1); err != nil {
			return 0, err
		}
		size = size<<4 | digit
	}
}

func hexDigit(c byte) (digit int, ok bool) {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0'), true
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10, true
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10, true
	}
	return 0, false
}

func (c *chunks) addOverhead(size int) error {
	c.overhead = max(0, c.overhead+size)
	if c.overhead > maxOverhead {
		return errOverhead
	}
	return nil
}

func (c *chunks) readChunkEnd() error {
	for _, want := range []byte("\r\n") {
		got, err := c.r.ReadByte()
		if err != nil {
			return err
		}
		if got != want {
			return malformed(errChunkEnd)
		}
	}
	return nil
}

// readTrailer reads the fields behind the last chunk, which must not tell how the body was
// sent (RFC 9110, section 6.5.1).
func readTrailer(r *bufio.Reader) error {
	for size := 0; size <= maxTrailer; {
		line, err := readLine(r)
		if err != nil || len(line) == 0 {
			return err
		}
		field, err := headers.ParseField(line)
		if err != nil || framingField(field.Name) != 0 || !headers.IsText(field.Value()) {
			return malformed(errTrailer)
		}
		size += len(line)
	}
	return errTrailerTooLarge
}

// readLine reads a line without its line end. It is valid until the next use of the reader.
func readLine(r *bufio.Reader) ([]byte, error) {
	raw, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, errOverhead
	}
	if err != nil {
		return nil, err
	}
	line, _, err := headers.CutLine(raw)
	if err != nil {
		return nil, malformed(err)
	}
	return line, nil
}

// cutOff returns io.ErrUnexpectedEOF for the end of the stream within a body.
func cutOff(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
