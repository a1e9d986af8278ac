package responses

import (
	"bytes"
	"fmt"
)

// The range of valid status codes (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// statusDigits is the number of digits of a status code.
const statusDigits = 3

// versionPrefix is the version of a response up to the minor version.
const versionPrefix = "HTTP/1."

// statusLine is the first line of a response (RFC 9112, section 4).
type statusLine struct {
	minorVersion byte
	status       int
}

// parseStatusLine parses a status line without its line end. The space before an empty
// reason may be missing, since recipients may ignore whitespace at the end of the line.
// The error wraps ErrMalformed.
func parseStatusLine(line []byte) (statusLine, error) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	digits, reason, _ := bytes.Cut(rest, []byte(" "))
	if len(version) != len(versionPrefix)+1 || !isDigit(version[len(version)-1]) || len(digits) != statusDigits || !isText(reason) {
		return statusLine{}, fmt.Errorf("%w: %w", ErrMalformed, errStatusLine)
	}
	if !bytes.HasPrefix(version, []byte(versionPrefix)) {
		return statusLine{}, fmt.Errorf("%w: %w", ErrMalformed, errVersion)
	}
	status := 0
	for _, d := range digits {
		if !isDigit(d) {
			return statusLine{}, fmt.Errorf("%w: %w", ErrMalformed, errStatusLine)
		}
		status = 10*status + int(d-'0')
	}
	if status < minStatus || status > maxStatus {
		return statusLine{}, fmt.Errorf("%w: %w", ErrMalformed, errStatus)
	}
	return statusLine{minorVersion: version[len(version)-1], status: status}, nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isText reports whether the bytes may occur in a reason: visible characters, spaces, tabs
// and bytes above 0x7f.
func isText(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
