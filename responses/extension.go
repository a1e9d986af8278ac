package responses

import (
	"bytes"

	"rhubarbrelay/headers"
)

// validExtensions reports whether the text behind the size of a chunk is a list of chunk
// extensions (RFC 9112, section 7.1.1), which may be empty.
func validExtensions(text []byte) bool {
	for len(text) > 0 {
		rest, ok := cutExtension(text)
		if !ok {
			return false
		}
		text = rest
	}
	return true
}

// cutExtension returns the bytes behind the extension at the start of the text. ok is false
// if there is none.
func cutExtension(text []byte) (rest []byte, ok bool) {
	text = trimBlanks(text)
	if len(text) == 0 || text[0] != ';' {
		return nil, false
	}
	name, rest := headers.CutToken(trimBlanks(text[1:]))
	if len(name) == 0 {
		return nil, false
	}
	value := trimBlanks(rest)
	if len(value) == 0 || value[0] != '=' {
		return rest, true
	}
	return cutValue(trimBlanks(value[1:]))
}

// cutValue returns the bytes behind the token or the quoted string at the start of the text.
// ok is false if there is neither.
func cutValue(text []byte) (rest []byte, ok bool) {
	token, rest := headers.CutToken(text)
	if len(token) > 0 {
		return rest, true
	}
	if len(text) == 0 || text[0] != '"' {
		return nil, false
	}
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '"':
			return text[i+1:], headers.IsText(text[:i])
		case '\\':
			i++ // the next character is part of the string, also a quotation mark
		}
	}
	return nil, false
}

func trimBlanks(text []byte) []byte { return bytes.TrimLeft(text, " \t") }
