package responses

import "bytes"

// framing is a set of the fields that tell how the body of a response is sent.
type framing uint8

const (
	contentLength framing = 1 << iota
	contentEncoding
	transferEncoding
)

// framingFields are the names of the fields.
var framingFields = []struct {
	name  []byte
	field framing
}{
	{[]byte("Content-Length"), contentLength},
	{[]byte("Content-Encoding"), contentEncoding},
	{[]byte("Transfer-Encoding"), transferEncoding},
}

// framingField returns the field with the name, 0 if it tells nothing of the body.
func framingField(name []byte) framing {
	for i := range framingFields {
		f := &framingFields[i]
		if len(name) == len(f.name) && bytes.EqualFold(name, f.name) {
			return f.field
		}
	}
	return 0
}

// add adds the field with the name. A second field of that name is an error: recipients
// differ in which one they use. The error wraps ErrMalformed.
func (f *framing) add(name []byte) error {
	field := framingField(name)
	if *f&field != 0 {
		return malformed(errRepeated)
	}
	*f |= field
	return nil
}

// check returns an error if it is ambiguous where the body ends (RFC 9112, sections 6.1 and
// 6.3): with a transfer coding and a length, or with a transfer coding of a version that has
// none. The error wraps ErrMalformed.
func (f *framing) check(line statusLine) error {
	if *f&transferEncoding != 0 && (*f&contentLength != 0 || line.minorVersion != '1') {
		return malformed(errCoding)
	}
	return nil
}
