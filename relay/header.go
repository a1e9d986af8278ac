package relay

import (
	"bytes"
	"errors"
	"slices"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/platform"
)

// The refusals of malformed headers. fasthttp accepts each of these requests;
// a target or another proxy may read them differently.
var (
	errFraming      = errors.New("content length together with a transfer encoding")
	errEncoding     = errors.New("transfer encoding is not chunked")
	errLength       = errors.New("content length is not a number")
	errHeaderName   = errors.New("header name is malformed")
	errHeaderLine   = errors.New("header line is folded or does not end with CR LF")
	errHeaderRepeat = errors.New("control header occurs more than once")
)

const (
	// usualStrips is the number of removed headers for which no memory is
	// allocated.
	usualStrips = 16
	// usualFields is the same for the fields of a header.
	usualFields = 32
	// longestName is the length of the longest header name that is looked up.
	longestName = 32
)

// inspection is what one pass over a raw header finds.
type inspection struct {
	strip     [][]byte // names of the headers that must not reach a target
	scratch   [usualStrips][]byte
	length    bool
	announced int // bytes of the body, by its content length
	encoding  bool
	controls  uint // bits of the control headers seen
	trailered bool
	fields    [usualFields]field
}

// inspect checks the raw header of a request and finds what must not reach a
// target: hop-by-hop headers and the headers that only instances and targets
// may set.
func (in *inspection) inspect(raw []byte) error {
	in.strip = in.scratch[:0]
	for len(raw) > 0 {
		end := bytes.IndexByte(raw, '\n')
		if end < 1 || raw[end-1] != '\r' || raw[0] == ' ' || raw[0] == '\t' {
			return errHeaderLine
		}
		line := raw[:end-1]
		raw = raw[end+1:]
		if len(line) == 0 {
			break
		}
		if err := in.inspectLine(line); err != nil {
			return err
		}
	}
	if in.length && in.encoding {
		return errFraming
	}
	return nil
}

func (in *inspection) inspectLine(line []byte) error {
	colon := bytes.IndexByte(line, ':')
	if colon < 1 || bytes.ContainsAny(line[:colon], " \t") {
		return errHeaderName
	}
	name, value := line[:colon], bytes.TrimSpace(line[colon+1:])
	if isProxyHeader(name) {
		in.strip = append(in.strip, name)
		return nil
	}
	if len(name) > longestName {
		return nil
	}
	var buf [longestName]byte
	lower := appendLower(buf[:0], name)
	if isRemoved(lower) {
		in.strip = append(in.strip, name)
	}
	switch string(lower) {
	case "content-length":
		in.length = true
		n, err := fasthttp.ParseUint(value)
		if err != nil {
			return errLength
		}
		in.announced = n
	case "transfer-encoding":
		in.encoding = true
		if !bytes.EqualFold(value, []byte("chunked")) {
			return errEncoding
		}
	case "trailer":
		in.trailered = true
	case "connection":
		in.stripListed(value)
	}
	return in.noteControl(lower)
}

func appendLower(dst, name []byte) []byte {
	for _, c := range name {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		dst = append(dst, c)
	}
	return dst
}

func isProxyHeader(name []byte) bool {
	const prefix = "proxy-"
	return len(name) >= len(prefix) && bytes.EqualFold(name[:len(prefix)], []byte(prefix))
}

// isRemoved returns whether a header of a request never reaches a target.
func isRemoved(lower []byte) bool {
	switch string(lower) {
	case "connection", "keep-alive", "te", "upgrade", "expect":
		return true
	}
	return platform.IsInternalRequestHeader(string(lower))
}

// noteControl notes the headers that the relay acts on.
func (in *inspection) noteControl(lower []byte) error {
	if i := slices.Index(platform.ControlHeaders, string(lower)); i >= 0 {
		return in.control(uint(i))
	}
	return nil
}

// control refuses a second value of a control header: readers may disagree on
// which one counts.
func (in *inspection) control(bit uint) error {
	if in.controls&(1<<bit) != 0 {
		return errHeaderRepeat
	}
	in.controls |= 1 << bit
	return nil
}

// stripListed removes the headers that Connection names, except those that
// frame and address the request.
func (in *inspection) stripListed(value []byte) {
	for len(value) > 0 {
		var token []byte
		token, value, _ = bytes.Cut(value, []byte(","))
		token = bytes.TrimSpace(token)
		if len(token) > 0 && !isFraming(token) {
			in.strip = append(in.strip, token)
		}
	}
}

func isFraming(name []byte) bool {
	return bytes.EqualFold(name, []byte(fasthttp.HeaderHost)) ||
		bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)) ||
		bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding))
}

// stripRequest removes what inspect found, and the trailers: fasthttp turns
// them into headers, which the inspection has not seen.
func (in *inspection) stripRequest(h *fasthttp.RequestHeader) {
	h.ResetConnectionClose()
	if len(in.strip) == 0 && !in.trailered && !in.encoding {
		return
	}
	// fasthttp may have reordered the headers already while it read the body.
	repeats := repeatsOf(in.fieldsOf(h.RawHeaders()))
	if in.trailered {
		names := h.PeekTrailerKeys()
		h.Del(fasthttp.HeaderTrailer)
		for _, name := range names {
			h.DelBytes(name)
		}
	}
	h.Del(fasthttp.HeaderTransferEncoding)
	for _, name := range in.strip {
		h.DelBytes(name)
	}
	for _, r := range repeats {
		if len(h.Peek(r.name)) > 0 {
			h.Del(r.name)
			r.addTo(h.Add)
		}
	}
}

// stripResponse removes hop-by-hop headers and the target's internal headers.
func (in *inspection) stripResponse(h *fasthttp.ResponseHeader) {
	for _, name := range h.PeekTrailerKeys() {
		h.DelBytes(name)
	}
	in.strip = in.scratch[:0]
	fields := in.fields[:0]
	for name, value := range h.All() {
		switch string(name) {
		case fasthttp.HeaderConnection:
			in.strip = append(in.strip, name)
			in.stripListed(value)
		case fasthttp.HeaderKeepAlive, fasthttp.HeaderTrailer, fasthttp.HeaderUpgrade, "Te",
			fasthttp.HeaderTransferEncoding:
			in.strip = append(in.strip, name)
		case fasthttp.HeaderSetCookie: // kept apart and in order by fasthttp
		default:
			if isProxyHeader(name) {
				in.strip = append(in.strip, name)
				continue
			}
			fields = append(fields, field{name, value})
		}
	}
	repeats := repeatsOf(fields)
	for _, name := range in.strip {
		h.DelBytes(name)
	}
	for _, r := range repeats {
		if len(h.Peek(r.name)) > 0 {
			h.Del(r.name)
			r.addTo(h.Add)
		}
	}
}

// repeat is a header that occurs more than once. Removing another header makes
// fasthttp reorder the rest, but the order of one name's values has a meaning.
type repeat struct {
	name   string
	values []string
}

func (r repeat) addTo(add func(name, value string)) {
	for _, value := range r.values {
		add(r.name, value)
	}
}

// field is one line of a header.
type field struct{ name, value []byte }

// repeatsOf copies the values of the names that occur more than once.
func repeatsOf(fields []field) []repeat {
	var repeats []repeat
	for i, f := range fields {
		if !isFirstOfSeveral(fields, i) {
			continue
		}
		r := repeat{name: string(f.name)}
		for _, other := range fields[i:] {
			if bytes.EqualFold(f.name, other.name) {
				r.values = append(r.values, string(other.value))
			}
		}
		repeats = append(repeats, r)
	}
	return repeats
}

func isFirstOfSeveral(fields []field, i int) bool {
	same := func(f field) bool { return bytes.EqualFold(f.name, fields[i].name) }
	return slices.ContainsFunc(fields[i+1:], same) && !slices.ContainsFunc(fields[:i], same)
}

// fieldsOf returns the fields of a raw header that inspect accepted.
func (in *inspection) fieldsOf(raw []byte) []field {
	fields := in.fields[:0]
	for line := range bytes.SplitSeq(raw, []byte("\r\n")) {
		if name, value, ok := bytes.Cut(line, []byte(":")); ok {
			fields = append(fields, field{name, bytes.TrimSpace(value)})
		}
	}
	return fields
}
