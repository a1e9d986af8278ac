package responses

import (
	"bytes"

	"rhubarbrelay/headers"
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
	if len(version) != len(versionPrefix)+1 || !isDigit(version[len(version)-1]) || len(digits) != statusDigits || !headers.IsText(reason) {
		return statusLine{}, malformed(errStatusLine)
	}
	if !bytes.HasPrefix(version, []byte(versionPrefix)) {
		return statusLine{}, malformed(errVersion)
	}
	status := 0
	for _, d := range digits {
		if !isDigit(d) {
			return statusLine{}, malformed(errStatusLine)
		}
		status = 10*status + int(d-'0')
	}
	if status < minStatus || status > maxStatus {
		return statusLine{}, malformed(errStatus)
	}
	return statusLine{minorVersion: version[len(version)-1], status: status}, nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
