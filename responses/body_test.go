package responses

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rhubarbrelay/bodies"
)

// maxBody limits the bodies of the tests in bytes.
const maxBody = 64 << 10

// read reads a response that arrives byte by byte, and returns what follows it as well.
func read(response string) (resp *fasthttp.Response, rest string, err error) {
	r := bufio.NewReaderSize(iotest.OneByteReader(strings.NewReader(response)), bufferSize)
	resp = &fasthttp.Response{}
	if _, err := Read(r, resp, Limit{Size: maxBody}); err != nil {
		return resp, "", err
	}
	behind, err := io.ReadAll(r)
	return resp, string(behind), err
}

const chunkedHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// Guards against chunks and trailers that the grammar does not allow, of which recipients
// differ in where the body ends, and against proper ones that are rejected.
func TestChunkedBody(t *testing.T) {
	const whole = "hello, world"
	tests := []struct {
		name, chunks string
		accepted     bool
	}{
		{"one chunk", "c\r\nhello, world\r\n0\r\n\r\n", true},
		{"several chunks", "5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n", true},
		{"size in capitals", "C\r\nhello, world\r\n0\r\n\r\n", true},
		{"sizes with zeros", "000000000000000000000c\r\nhello, world\r\n000\r\n\r\n", true},
		{"extensions", "c;a;b=c;d=\"e;\\\"\xff\"\r\nhello, world\r\n0;f\r\n\r\n", true},
		{"whitespace around the parts of an extension", "c ; a = b\t;c\r\nhello, world\r\n0\r\n\r\n", true},
		{"trailer", "c\r\nhello, world\r\n0\r\nA: b\r\nA:\x80\r\n\r\n", true},
		{"no size", "\r\nhello, world\r\n0\r\n\r\n", false},
		{"signed size", "+c\r\nhello, world\r\n0\r\n\r\n", false},
		{"negative size", "-c\r\nhello, world\r\n0\r\n\r\n", false},
		{"size with a prefix", "0xc\r\nhello, world\r\n0\r\n\r\n", false},
		{"size beyond all numbers", "fffffffffffffffffc\r\nhello, world\r\n0\r\n\r\n", false},
		{"blank in front of a size", " c\r\nhello, world\r\n0\r\n\r\n", false},
		{"blank behind a size", "c \r\nhello, world\r\n0\r\n\r\n", false},
		{"bare line feed behind a size", "c\nhello, world\r\n0\r\n\r\n", false},
		{"other letter behind a size", "cx\r\nhello, world\r\n0\r\n\r\n", false},
		{"empty extension", "c;\r\nhello, world\r\n0\r\n\r\n", false},
		{"extension without a value", "c;a=\r\nhello, world\r\n0\r\n\r\n", false},
		{"blank behind an extension", "c;a=b \r\nhello, world\r\n0\r\n\r\n", false},
		{"control byte in an extension", "c;a\x00=b\r\nhello, world\r\n0\r\n\r\n", false},
		{"carriage return in an extension", "c;a\r=b\r\nhello, world\r\n0\r\n\r\n", false},
		{"open quotation in an extension", "c;a=\"b\r\nhello, world\r\n0\r\n\r\n", false},
		{"control byte in a quotation", "c;a=\"\x01\"\r\nhello, world\r\n0\r\n\r\n", false},
		{"chunk longer than its size", "b\r\nhello, world\r\n0\r\n\r\n", false},
		{"chunk shorter than its size", "d\r\nhello, world\r\n0\r\n\r\n", false},
		{"bare line feed behind a chunk", "c\r\nhello, world\n0\r\n\r\n", false},
		{"bare line feed at the end", "c\r\nhello, world\r\n0\r\n\n", false},
		{"blank in the name of a trailer", "c\r\nhello, world\r\n0\r\nA B: c\r\n\r\n", false},
		{"blank before the colon of a trailer", "c\r\nhello, world\r\n0\r\nA : b\r\n\r\n", false},
		{"trailer that continues another", "c\r\nhello, world\r\n0\r\nA: b\r\n c\r\n\r\n", false},
		{"control byte in a trailer", "c\r\nhello, world\r\n0\r\nA: \x00\r\n\r\n", false},
		{"bare line feed in a trailer", "c\r\nhello, world\r\n0\r\nA: b\nC: d\r\n\r\n", false},
		{"length in a trailer", "c\r\nhello, world\r\n0\r\nContent-Length: 5\r\n\r\n", false},
		{"transfer coding in a trailer", "c\r\nhello, world\r\n0\r\ntransfer-encoding: chunked\r\n\r\n", false},
		{"trailer that is too large", "c\r\nhello, world\r\n0\r\n" + strings.Repeat("A: "+strings.Repeat("b", 1000)+"\r\n", 10) + "\r\n", false},
		{"extension that is too large", "c;" + strings.Repeat("a", bufferSize) + "\r\nhello, world\r\n0\r\n\r\n", false},
		{"extensions that are too large", strings.Repeat("1;"+strings.Repeat("a", 5000)+"\r\nx\r\n", 5) + "0\r\n\r\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp, rest, err := read(chunkedHeader + tt.chunks + "next")
			assert.Equal(t, err == nil, tt.accepted, "%v", err)
			if tt.accepted {
				assert.Equal(t, string(resp.Body()), whole)
				assert.Equal(t, rest, "next")
			}
		})
	}
}

// Guards against a body that is cut off at some byte, and counts as whole.
func TestCutBody(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		chunkedHeader + "2;a=b\r\nhe\r\n3\r\nllo\r\n0\r\nA: b\r\n\r\n",
	} {
		for size := 1; size < len(response); size++ {
			_, _, err := read(response[:size])
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "%q", response[:size])
		}
		resp, _, err := read(response)
		assert.NilError(t, err)
		assert.Equal(t, string(resp.Body()), "hello")
	}
}

// Guards against a response whose body is read although it has none, and against one whose
// body ends elsewhere than with its length or the connection.
func TestEndOfBody(t *testing.T) {
	tests := []struct {
		name, response string
		skip           bool
		body, rest     string
		endsWithConn   bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok next", false, "ok", " next", false},
		{"no bytes", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nnext", false, "", "next", false},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nok next", false, "ok next", "", true},
		{"no length with HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nok next", false, "ok next", "", true},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\nnext", false, "", "next", false},
		{"not modified", "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\nnext", false, "", "next", false},
		{"HEAD request", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nnext", true, "", "next", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := bufio.NewReaderSize(strings.NewReader(tt.response), bufferSize)
			resp := &fasthttp.Response{SkipBody: tt.skip}
			endsWithConn, err := Read(r, resp, Limit{Size: maxBody})
			assert.NilError(t, err)
			assert.Equal(t, string(resp.Body()), tt.body)
			assert.Equal(t, endsWithConn, tt.endsWithConn)
			rest, err := io.ReadAll(r)
			assert.NilError(t, err)
			assert.Equal(t, string(rest), tt.rest)
		})
	}
}

// Guards against a body beyond the limit.
func TestBodyIsLimited(t *testing.T) {
	large := strings.Repeat("x", maxBody+1)
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + large,
		"HTTP/1.1 200 OK\r\n\r\n" + large,
		chunkedHeader + "10001\r\n" + large + "\r\n0\r\n\r\n",
	} {
		r := bufio.NewReaderSize(strings.NewReader(response), bufferSize)
		_, err := Read(r, &fasthttp.Response{}, Limit{Size: maxBody})
		assert.ErrorIs(t, err, bodies.ErrTooLarge)
	}
}
