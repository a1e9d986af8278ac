package relay

import (
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"github.com/apex/log"

	"rhubarbrelay/callers"
)

// The parts of a request.
const (
	stageHeader = "header"
	stageBody   = "body"
)

const (
	// maxLoggedPath, maxLoggedHost and maxLoggedError limit the length in bytes of
	// what a caller can add to a log line.
	maxLoggedPath  = 128
	maxLoggedHost  = 64
	maxLoggedError = 192
)

// input describes how far a request was read and which limit applied, for the log
// line of its failure.
type input struct {
	conn    *callers.Conn // nil if no callers.Listener has accepted the connection
	number  uint64        // of the request on its connection
	endedIn string        // the part in which reading ended early
	err     error         // why reading ended early
	limit   int           // bytes, 0 if none applied
	// declared is the content length of the request, -1 if it has none. declared and
	// read are in bytes of the body.
	declared, read int
	host, path     string // set if no route matches
}

func newInput(conn net.Conn, number uint64) input {
	accepted, _ := conn.(*callers.Conn)
	return input{conn: accepted, number: number}
}

// fromPeer reports whether another instance has sent the request.
func (in *input) fromPeer() bool { return in.conn.FromPeer() }

func (in *input) endIn(stage string, err error) { in.endedIn, in.err = stage, err }

// stageOf returns the part of the request in which fasthttp met an error. It reads the
// first byte of a body as well, the errors of which it does not wrap.
func (in *input) stageOf(err error) string {
	if in.conn == nil || in.conn.BytesReceived() == 0 {
		return stageHeader
	}
	if err == in.conn.ReadErr() || errors.Is(err, io.ErrUnexpectedEOF) { //nolint:errorlint // A wrapped error is one of the header.
		return stageBody
	}
	return stageHeader
}

// addFields adds the log fields of a request that was refused because of its input.
func (in *input) addFields(fields log.Fields) {
	fields["connection_request"] = in.number
	if in.conn != nil {
		fields["connection_bytes"] = in.conn.BytesReceived()
		if err := in.conn.ReadErr(); err != nil {
			fields["connection_error"] = truncate(err.Error(), maxLoggedError)
		}
	}
	if in.limit > 0 {
		fields["limit"], fields["declared"], fields["read"] = in.limit, in.declared, in.read
	}
	if in.err != nil {
		fields["ended_in"], fields["read_error"] = in.endedIn, truncate(withoutQuotes(in.err), maxLoggedError)
	}
	if in.path != "" || in.host != "" {
		fields["host"], fields["path"] = truncate(in.host, maxLoggedHost), truncate(in.path, maxLoggedPath)
	}
}

// addConfigFields adds the version of the active configuration and the time for which
// it has been active.
func (s *Server) addConfigFields(fields log.Fields) {
	if document := s.config.Current(); document != nil {
		fields["config_version"] = document.Version
		fields["config_age"] = time.Since(s.config.ActivatedAt()).Round(time.Millisecond).String()
	}
}

// withoutQuotes returns the text of an error up to the first quotation mark. fasthttp quotes
// the header lines that it cannot parse, which may hold an API key.
func withoutQuotes(err error) string {
	text, _, _ := strings.Cut(err.Error(), `"`)
	return text
}

func truncate(text string, size int) string {
	if len(text) <= size {
		return text
	}
	return text[:size] + "..."
}

// isInputCause reports whether a request was refused because of what its caller sent.
func isInputCause(cause refusalCause) bool {
	switch cause { //nolint:exhaustive // All other causes are those of the instance and the targets.
	case refusedMalformed, refusedIncomplete, refusedTooLarge, refusedInstanceLimit, refusedNoRoute, refusedUnsupported, refusedMemory,
		refusedUnauthorized:
		return true
	}
	return false
}
