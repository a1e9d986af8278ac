// Package responses reads HTTP/1.1 responses. It rejects those that RFC 9110 and RFC 9112
// do not allow, of which fasthttp accepts some with another meaning.
package responses

import (
	"errors"
	"fmt"
)

// ErrMalformed means that the received bytes are no response. It is wrapped together with
// the reason.
var ErrMalformed = errors.New("response is malformed")

// Reasons that are wrapped together with ErrMalformed.
var (
	errStatusLine = errors.New("status line is malformed")
	errVersion    = errors.New("version is not HTTP/1")
	errStatus     = errors.New("status is not between 100 and 599")
	errNoLength   = errors.New("body ends with the connection")
	errHeaderEnd  = errors.New("end of the header is ambiguous")
	errRepeated   = errors.New("length or encoding occurs more than once")
	errCoding     = errors.New("transfer coding beside a length or with another version than HTTP/1.1")
	errChunkSize  = errors.New("chunk size is malformed")
	errExtension  = errors.New("chunk extension is malformed")
	errChunkEnd   = errors.New("chunk does not end with CR LF")
	errTrailer    = errors.New("trailer is malformed")
)

// Reasons for which a well-formed response is not accepted.
var (
	errSwitchedProtocols = errors.New("sender switched protocols")
	errHeaderTooLarge    = errors.New("header is too large")
	errOverhead          = errors.New("chunks are too small for their extensions")
	errTrailerTooLarge   = errors.New("trailer is too large")
	errTooManyInterim    = errors.New("too many interim responses")
)

// maxReason limits the text of a reason of fasthttp in bytes: it quotes what it cannot parse.
const maxReason = 256

// parseError is an error of fasthttp with a limited text.
type parseError struct{ cause error }

// Error implements error.
func (e *parseError) Error() string {
	text := e.cause.Error()
	return text[:min(len(text), maxReason)]
}

// Unwrap returns the cause.
func (e *parseError) Unwrap() error { return e.cause }

func malformed(reason error) error { return fmt.Errorf("%w: %w", ErrMalformed, reason) }
