package responses

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// bufferSize is the size of the buffer in bytes into which a header must fit.
const bufferSize = 8 << 10

// headerOf reads the header of a response that arrives at once.
func headerOf(response string) (*fasthttp.ResponseHeader, error) {
	h := &fasthttp.ResponseHeader{}
	return h, readHeader(bufio.NewReaderSize(strings.NewReader(response), bufferSize), h)
}

// Guards against a first line that is no status line, or has no valid status, and that
// fasthttp reads as another one: it takes 000 for 200.
func TestStatusLine(t *testing.T) {
	tests := []struct {
		line   string
		status int // 0 if the line is malformed
	}{
		{"HTTP/1.1 200 OK", 200},
		{"HTTP/1.1 200 ", 200},
		{"HTTP/1.1 200", 200},
		{"HTTP/1.1 200  two  spaces\t\xff\x80", 200},
		{"HTTP/1.0 404 Not Found", 404},
		{"HTTP/1.9 500 X", 500},
		{"HTTP/1.1 599 X", 599},
		{"HTTP/1.1 299 X", 299},
		{"HTTP/1.1 000 X", 0},
		{"HTTP/1.1 000", 0},
		{"HTTP/1.1 001 X", 0},
		{"HTTP/1.1 099 X", 0},
		{"HTTP/1.1 600 X", 0},
		{"HTTP/1.1 999 X", 0},
		{"HTTP/1.1 0200 X", 0},
		{"HTTP/1.1 20 X", 0},
		{"HTTP/1.1 2000 X", 0},
		{"HTTP/1.1 -20 X", 0},
		{"HTTP/1.1 2 0 X", 0},
		{"HTTP/1.1 2x0 X", 0},
		{"HTTP/1.1  200 OK", 0},
		{"HTTP/1.1\t200\tOK", 0},
		{" HTTP/1.1 200 OK", 0},
		{"HTTP/1.1 200 O\x00K", 0},
		{"HTTP/1.1 200 O\rK", 0},
		{"HTTP/1.1 200 O\nK", 0},
		{"HTTP/1.1 200 O\x7fK", 0},
		{"HTTP/1.1 200\tOK", 0},
		{"HTTP/2.0 200 OK", 0},
		{"HTTP/0.9 200 OK", 0},
		{"HTTP/1.10 200 OK", 0},
		{"HTTP/1. 200 OK", 0},
		{"HTTP/1.x 200 OK", 0},
		{"http/1.1 200 OK", 0},
		{"200 OK", 0},
		{"HTTP/1.1", 0},
		{"HTTP/1.1 ", 0},
		{"", 0},
	}
	for _, tt := range tests {
		t.Run(tt.line, func(t *testing.T) {
			h, err := headerOf(tt.line + "\r\nContent-Length: 0\r\n\r\n")
			if tt.status == 0 {
				assert.ErrorIs(t, err, ErrMalformed)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, h.StatusCode(), tt.status)
		})
	}
}

// Guards against a status below 100 that counts as the status of an interim response, so
// that the bytes behind it are read as the response.
func TestInterimResponses(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	tests := []struct {
		name, interim string
		accepted      bool
	}{
		{"none", "", true},
		{"status 100", "HTTP/1.1 100 Continue\r\n\r\n", true},
		{"status 199 with a field", "HTTP/1.1 199 X\r\nLink: a\r\n\r\n", true},
		{"several", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxHeaders-1), true},
		{"too many", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxHeaders), false},
		{"switched protocols", "HTTP/1.1 101 Switching Protocols\r\n\r\n", false},
		{"status 000", "HTTP/1.1 000 X\r\n\r\n", false},
		{"status 099", "HTTP/1.1 099 X\r\n\r\n", false},
		{"an empty line", "\r\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, err := headerOf(tt.interim + final)
			assert.Equal(t, err == nil, tt.accepted, "%v", err)
			if tt.accepted {
				assert.Equal(t, h.StatusCode(), fasthttp.StatusOK)
			}
		})
	}
}

// Guards against a header that is read in another way when its bytes arrive one by one.
func TestHeaderInPieces(t *testing.T) {
	const response = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nA: b\r\nContent-Length: 2\r\n\r\nok"
	reader := bufio.NewReaderSize(iotest.OneByteReader(strings.NewReader(response)), bufferSize)
	var h fasthttp.ResponseHeader
	assert.NilError(t, readHeader(reader, &h))
	assert.Equal(t, h.StatusCode(), fasthttp.StatusCreated)
	assert.Equal(t, string(h.Peek("A")), "b")
	rest, err := reader.Peek(2)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "ok")
}

// Guards against a header that fasthttp reads in another way than the sender or the next
// recipient, and against a proper one that is rejected.
func TestFields(t *testing.T) {
	const start, end = "HTTP/1.1 200 OK\r\nSeal: s\r\n", "Content-Length: 0\r\n\r\n"
	tests := []struct {
		name, lines string
		accepted    bool
	}{
		{"none", "", true},
		{"empty value", "A:\r\n", true},
		{"whitespace around a value", "A: \t b \t\r\n", true},
		{"bytes above 0x7f in a value", "A: \x80\xff\r\n", true},
		{"colons and quotes in a value", "A: b: \"c\": d\r\n", true},
		{"all characters of a token", "!#$%&'*+-.^_`|~09AZaz: b\r\n", true},
		{"same name twice", "A: b\r\na: c\r\n", true},
		{"long name", strings.Repeat("a", 1000) + ": b\r\n", true},
		{"blank in a name", "A B: c\r\n", false},
		{"blank before the colon", "A : b\r\n", false},
		{"tab before the colon", "A\t: b\r\n", false},
		{"name of a blank", " : b\r\n", false},
		{"no name", ": b\r\n", false},
		{"no colon", "A\r\n", false},
		{"line that continues another", "A: b\r\n c\r\n", false},
		{"line that continues another with a tab", "A: b\r\n\tc: d\r\n", false},
		{"line of whitespace", "A: b\r\n \r\n", false},
		{"bare line feed", "A: b\nC: d\r\n", false},
		{"bare line feeds", "A: b\n\nC: d\r\n", false},
		{"bare line feed before the end of the line", "A: b\n\r\n", false},
		{"bare carriage return in a value", "A: b\rc\r\n", false},
		{"two carriage returns", "A: b\r\r\n", false},
		{"bare carriage return in a name", "A\rB: c\r\n", false},
		{"NUL in a name", "A\x00B: c\r\n", false},
		{"NUL in a value", "A: b\x00c\r\n", false},
		{"DEL in a value", "A: b\x7fc\r\n", false},
		{"escape in a value", "A: \x1b[31m\r\n", false},
		{"byte above 0x7f in a name", "A\xe9: b\r\n", false},
		{"parentheses in a name", "A(b): c\r\n", false},
		{"larger than the buffer", "A: " + strings.Repeat("b", bufferSize) + "\r\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, err := headerOf(start + tt.lines + end)
			assert.Equal(t, err == nil, tt.accepted, "%v", err)
			if tt.accepted {
				assert.Equal(t, string(h.Peek("Seal")), "s")
			}
		})
	}
}

// Guards against a malformed header whose reader waits for more of it until the deadline.
func TestMalformedHeaderIsRejectedAtOnce(t *testing.T) {
	for _, start := range []string{"220 ready\r\n", "HTTP/1.1 200 OK\n", "HTTP/1.1 200 OK\r\nA : b\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n"} {
		t.Run(start, func(t *testing.T) {
			own, other := net.Pipe()
			defer func() { _ = other.Close() }()
			go func() { _, _ = io.WriteString(other, start) }()
			err := readHeader(bufio.NewReaderSize(own, bufferSize), &fasthttp.ResponseHeader{})
			assert.ErrorIs(t, err, ErrMalformed)
			assert.NilError(t, own.Close())
		})
	}
}

// Guards against a cut header that counts as a whole one, and against an end of the stream
// that cannot be told from one within a response.
func TestCutHeader(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for size := range len(response) {
		_, err := headerOf(response[:size])
		want := io.ErrUnexpectedEOF
		if size == 0 {
			want = io.EOF
		}
		assert.ErrorIs(t, err, want, "cut after %d bytes", size)
	}
}
