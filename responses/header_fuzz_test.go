package responses

import (
	"bufio"
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// The grammar of a response header (RFC 9112, sections 4 and 5; RFC 9110, section 5.5), in
// which each byte is a character of Latin-1. The space before an empty reason is optional,
// as recipients may ignore whitespace at the end of a status line.
const (
	textPattern       = `[\t\x20-\x7e\x80-\xff]*`
	statusLinePattern = `HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: ` + textPattern + `)?\r\n`
	fieldPattern      = "[-!#$%&'*+.^_`|~0-9A-Za-z]+:" + textPattern + `\r\n`
)

var headerPattern = regexp.MustCompile(`^` + statusLinePattern + `((?:` + fieldPattern + `)*)\r\n`)

// latin1 returns a text that has a character for each byte.
func latin1(raw []byte) string {
	characters := make([]rune, 0, len(raw))
	for _, b := range raw {
		characters = append(characters, rune(b))
	}
	return string(characters)
}

// grammarHeader returns the size in bytes of the header at the start of a response by the
// grammar. ok is false if there is none.
func grammarHeader(raw []byte) (size int, status string, ok bool) {
	match := headerPattern.FindStringSubmatch(latin1(raw))
	if match == nil || !grammarFraming(match[1], match[3]) {
		return 0, "", false
	}
	return len([]rune(match[0])), match[2], true
}

// maxLengthDigits is the maximum number of digits of a length that fasthttp reads.
const maxLengthDigits = 18

var lengthPattern = regexp.MustCompile(fmt.Sprintf(`^[0-9]{1,%d}$`, maxLengthDigits))

// grammarFraming reports whether the fields of a header tell in one way only how the body is
// sent (RFC 9112, sections 6.1 and 6.3). Chunks are the only transfer coding.
func grammarFraming(minorVersion, fields string) bool {
	values := map[string][]string{}
	for field := range strings.SplitSeq(fields, "\r\n") {
		name, value, _ := strings.Cut(field, ":")
		name = strings.ToLower(name)
		values[name] = append(values[name], strings.Trim(value, " \t"))
	}
	lengths, codings := values["content-length"], values["transfer-encoding"]
	if len(lengths) > 1 || len(codings) > 1 || len(values["content-encoding"]) > 1 {
		return false
	}
	if len(codings) > 0 {
		return len(lengths) == 0 && minorVersion == "1" && strings.EqualFold(codings[0], "chunked")
	}
	return len(lengths) == 0 || lengthPattern.MatchString(lengths[0])
}

// Guards against a header that is accepted although the grammar rejects it, and against one
// that is rejected although the grammar allows it.
func FuzzReadHeader(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0 404 \r\nA:b\r\nA: \t\x80 \r\n\r\nbody",
		"HTTP/1.1 599\r\n\r\n",
		"HTTP/1.1 000 X\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA : b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n",
		"HTTP/1.1 200 OK\nA: b\n\n",
		"HTTP/1.1 200 OK\r\nA: b\n\r\n\r\n",
		"HTTP/1.1 200 OK\r\ncontent-length: 05\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\nhello",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nContent-Encoding: a\r\nContent-Encoding: b\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nTrailer: A\r\nConnection: close\r\nSet-Cookie: a=b\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		size, status, valid := grammarHeader(raw)
		if strings.HasPrefix(status, "1") || hasTrailerField(raw) {
			return
		}
		reader := bufio.NewReaderSize(bytes.NewReader(raw), max(len(raw), bufferSize))
		err := readHeader(reader, &fasthttp.ResponseHeader{})
		if (err == nil) != valid {
			t.Fatalf("allowed by the grammar: %t, error: %v", valid, err)
		}
		if valid && reader.Buffered() != len(raw)-size {
			t.Fatalf("%d bytes are left of a body of %d", reader.Buffered(), len(raw)-size)
		}
	})
}

// hasTrailerField reports whether a header may announce a trailer. fasthttp rejects some
// names there.
func hasTrailerField(header []byte) bool {
	return bytes.Contains(bytes.ToLower(header), []byte("\ntrailer:"))
}
