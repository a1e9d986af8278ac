package relay

import (
	"bytes"
	"errors"
	"slices"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/headers"
	"rhubarbrelay/platform"
)

// Errors of malformed headers. fasthttp accepts all of these requests, but a
// target or another proxy may interpret them differently.
var (
	errLengthAndEncoding = errors.New("content length together with a transfer encoding")
	errEncoding          = errors.New("transfer encoding is not chunked")
	errLength            = errors.New("content length is not a number")
	errRepeatedControl   = errors.New("control header occurs more than once")
)

const (
	// inlineRemovals is the number of removed header names that fit without an
	// allocation.
	inlineRemovals = 16
	// inlineFields is the number of header fields that fit without an allocation.
	inlineFields = 32
	// maxKnownName is the maximum length of the header names that are looked up.
	maxKnownName = 32
)

// headerInspection is the result of a single pass over a raw request header.
type headerInspection struct {
	removed             [][]byte // names of the headers that are not forwarded
	removedBuf          [inlineRemovals][]byte
	hasContentLength    bool
	contentLength       int // value of Content-Length
	hasTransferEncoding bool
	controlsSeen        uint // bit set, by index in platform.ControlHeaders
	hasTrailer          bool
	credentials         credentials
	fieldsBuf           [inlineFields]headerField
}

// inspect validates the raw header of a request and collects the headers that
// must not be forwarded: hop-by-hop headers, Expect, headers whose names start
// with Proxy-, and headers that only instances set.
func (in *headerInspection) inspect(raw []byte) error {
	in.removed = in.removedBuf[:0]
	for len(raw) > 0 {
		line, rest, err := headers.CutLine(raw)
		if err != nil {
			return headers.ErrLine
		}
		if len(line) == 0 {
			break
		}
		if err := in.inspectLine(line); err != nil {
			return err
		}
		raw = rest
	}
	if in.hasContentLength && in.hasTransferEncoding {
		return errLengthAndEncoding
	}
	return nil
}

func (in *headerInspection) inspectLine(line []byte) error {
	field, err := headers.ParseField(line)
	if err != nil {
		return err
	}
	name, value := field.Name, field.Value()
	if isProxyHeader(name) {
		in.removed = append(in.removed, name)
		return nil
	}
	if len(name) > maxKnownName {
		return nil
	}
	var buf [maxKnownName]byte
	lower := appendLower(buf[:0], name)
	in.credentials.inspect(string(lower), name, value)
	if isInternalOrHopByHop(lower) {
		in.removed = append(in.removed, name)
	}
	switch string(lower) {
	case "content-length":
		in.hasContentLength = true
		n, err := fasthttp.ParseUint(value)
		if err != nil {
			return errLength
		}
		in.contentLength = n
	case "transfer-encoding":
		in.hasTransferEncoding = true
		if !bytes.EqualFold(value, []byte("chunked")) {
			return errEncoding
		}
	case "trailer":
		in.hasTrailer = true
	case "connection":
		in.collectConnectionOptions(value)
	}
	return in.checkControl(lower)
}

// isBodyHidden reports whether configureBodyRead has hidden the body that the raw header
// announces. It is still to be received then.
func (in *headerInspection) isBodyHidden(req *fasthttp.Request) bool {
	return (in.contentLength > 0 || in.hasTransferEncoding) && req.Header.ContentLength() == 0
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

// isInternalOrHopByHop reports whether a request header, given in lower case, is a
// hop-by-hop header, Expect, or a header that only instances set.
func isInternalOrHopByHop(lower []byte) bool {
	switch string(lower) {
	case "connection", "keep-alive", "te", "upgrade", "expect", keyDigestName:
		return true
	}
	return platform.IsInternalRequestHeader(string(lower))
}

// checkControl rejects a repeated control header. Control headers are the
// platform's headers that a caller may send at most once.
func (in *headerInspection) checkControl(lower []byte) error {
	if i := slices.Index(platform.ControlHeaders, string(lower)); i >= 0 {
		return in.checkRepeat(uint(i))
	}
	return nil
}

// checkRepeat rejects the second occurrence of a control header:
// implementations may differ in which value they use.
func (in *headerInspection) checkRepeat(bit uint) error {
	if in.controlsSeen&(1<<bit) != 0 {
		return errRepeatedControl
	}
	in.controlsSeen |= 1 << bit
	return nil
}

// collectConnectionOptions collects the headers that a Connection header lists,
// except those that frame the message or name its host.
func (in *headerInspection) collectConnectionOptions(value []byte) {
	for len(value) > 0 {
		var token []byte
		token, value, _ = bytes.Cut(value, []byte(","))
		token = bytes.TrimSpace(token)
		if len(token) > 0 && !isFramingOrHost(token) {
			in.removed = append(in.removed, token)
		}
	}
}

func isFramingOrHost(name []byte) bool {
	return bytes.EqualFold(name, []byte(fasthttp.HeaderHost)) ||
		bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)) ||
		bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding))
}

// stripRequest removes the headers that inspect collected. It also removes the
// trailers: fasthttp adds them to the parsed header, but inspect reads only the
// raw header, which does not contain them.
func (in *headerInspection) stripRequest(h *fasthttp.RequestHeader) {
	h.ResetConnectionClose()
	if len(in.removed) == 0 && !in.hasTrailer && !in.hasTransferEncoding {
		return
	}
	// fasthttp may already have reordered the parsed headers while reading the body;
	// only the raw header still has the order in which they were received.
	fields := in.parseFields(h.RawHeaders())
	repeats := repeatedFields(fields)
	in.stripTrailers(h, fields)
	h.Del(fasthttp.HeaderTransferEncoding)
	for _, name := range in.removed {
		h.DelBytes(name)
	}
	for _, r := range repeats {
		if len(h.Peek(r.name)) > 0 {
			h.Del(r.name)
			r.addTo(h.Add)
		}
	}
}

// stripTrailers removes the trailers, whether announced or not. fasthttp would take a
// header that is set later for a trailer if it has the name of one, and not send it.
func (in *headerInspection) stripTrailers(h *fasthttp.RequestHeader, fields []headerField) {
	names := h.PeekTrailerKeys()
	if !in.hasTrailer && len(names) == 0 {
		return
	}
	h.Del(fasthttp.HeaderTrailer)
	for _, name := range names {
		h.DelBytes(name)
		for _, f := range fields { // the headers of the same name
			if bytes.EqualFold(f.name, name) {
				h.AddBytesKV(f.name, f.value)
			}
		}
	}
}

// stripResponse removes hop-by-hop headers, proxy headers and trailers.
func (in *headerInspection) stripResponse(h *fasthttp.ResponseHeader) {
	for _, name := range h.PeekTrailerKeys() {
		h.DelBytes(name)
	}
	in.removed = in.removedBuf[:0]
	fields := in.fieldsBuf[:0]
	for name, value := range h.All() {
		switch string(name) {
		case fasthttp.HeaderConnection:
			in.removed = append(in.removed, name)
			in.collectConnectionOptions(value)
		case fasthttp.HeaderKeepAlive, fasthttp.HeaderTrailer, fasthttp.HeaderUpgrade, "Te",
			fasthttp.HeaderTransferEncoding:
			in.removed = append(in.removed, name)
		case fasthttp.HeaderSetCookie: // stored separately and in order by fasthttp
		default:
			if isProxyHeader(name) {
				in.removed = append(in.removed, name)
				continue
			}
			fields = append(fields, headerField{name, value})
		}
	}
	repeats := repeatedFields(fields)
	for _, name := range in.removed {
		h.DelBytes(name)
	}
	for _, r := range repeats {
		if len(h.Peek(r.name)) > 0 {
			h.Del(r.name)
			r.addTo(h.Add)
		}
	}
}

// repeatedField is a header that occurs more than once. fasthttp reorders the
// remaining headers when one is removed, but the order of the values of a
// repeated header is significant.
type repeatedField struct {
	name   string
	values []string
}

func (r repeatedField) addTo(add func(name, value string)) {
	for _, value := range r.values {
		add(r.name, value)
	}
}

// headerField is a header line, split into name and value.
type headerField struct{ name, value []byte }

// repeatedFields returns copies of the fields whose name occurs more than once.
func repeatedFields(fields []headerField) []repeatedField {
	var repeats []repeatedField
	for i, f := range fields {
		if !isFirstOfRepeated(fields, i) {
			continue
		}
		r := repeatedField{name: string(f.name)}
		for _, other := range fields[i:] {
			if bytes.EqualFold(f.name, other.name) {
				r.values = append(r.values, string(other.value))
			}
		}
		repeats = append(repeats, r)
	}
	return repeats
}

func isFirstOfRepeated(fields []headerField, i int) bool {
	same := func(f headerField) bool { return bytes.EqualFold(f.name, fields[i].name) }
	return slices.ContainsFunc(fields[i+1:], same) && !slices.ContainsFunc(fields[:i], same)
}

// parseFields splits a raw header, which inspect has accepted, into fields.
func (in *headerInspection) parseFields(raw []byte) []headerField {
	fields := in.fieldsBuf[:0]
	for line := range bytes.SplitSeq(raw, []byte("\r\n")) {
		if name, value, ok := bytes.Cut(line, []byte(":")); ok {
			fields = append(fields, headerField{name, bytes.TrimSpace(value)})
		}
	}
	return fields
}
