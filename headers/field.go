// Package headers splits the headers of HTTP/1.1 messages, as they were received, into field
// lines, and rejects those that RFC 9110 and RFC 9112 do not allow. fasthttp accepts some of
// them, and what it reads from them does not show it any more.
package headers

import (
	"bytes"
	"errors"

	"golang.org/x/net/http/httpguts"
)

var (
	// ErrIncomplete means that the bytes contain no whole line.
	ErrIncomplete = errors.New("header line is incomplete")
	// ErrLine means that a line is folded or ends with a bare line feed.
	ErrLine = errors.New("header line is folded or does not end with CR LF")
	// ErrName means that the name of a field is empty or not a token, for example as there
	// is a space before the colon.
	ErrName = errors.New("header name is malformed")
)

// Field is a field line. It shares the memory of the message.
type Field struct {
	Name     []byte
	rawValue []byte // with the whitespace around it
}

// Value returns the value without the whitespace around it.
func (f Field) Value() []byte { return bytes.Trim(f.rawValue, " \t") }

// CutLine returns the first line of raw without its line end, and the bytes behind it. The
// error is ErrIncomplete or ErrLine.
func CutLine(raw []byte) (line, rest []byte, err error) {
	end := bytes.IndexByte(raw, '\n')
	if end < 0 {
		return nil, raw, ErrIncomplete
	}
	if end == 0 || raw[end-1] != '\r' {
		return nil, raw, ErrLine
	}
	return raw[:end-1], raw[end+1:], nil
}

// ParseField parses a field line without its line end. It does not check the value, see
// IsText. The error is ErrLine or ErrName.
func ParseField(line []byte) (Field, error) {
	name, rest := CutToken(line)
	if len(name) > 0 && len(rest) > 0 && rest[0] == ':' {
		return Field{Name: name, rawValue: rest[1:]}, nil
	}
	if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
		return Field{}, ErrLine
	}
	return Field{}, ErrName
}

// CutToken returns the token at the start of the text, which may be empty, and the bytes
// behind it.
func CutToken(text []byte) (token, rest []byte) {
	end := 0
	for end < len(text) && httpguts.IsTokenRune(rune(text[end])) {
		end++
	}
	return text[:end], text[end:]
}

// IsText reports whether the bytes may be the value of a field or the reason in a status
// line: visible characters, spaces, tabs, and bytes above 0x7f.
func IsText(text []byte) bool { return httpguts.ValidHeaderFieldValue(string(text)) }
