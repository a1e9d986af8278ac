package responses

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a response of which recipients differ in where its body ends, or in how it
// is encoded.
func TestFraming(t *testing.T) {
	tests := []struct {
		name, version, lines string
		accepted             bool
	}{
		{"no length", "HTTP/1.1", "", true},
		{"length", "HTTP/1.1", "Content-Length: 5\r\n", true},
		{"length with HTTP/1.0", "HTTP/1.0", "Content-Length: 5\r\n", true},
		{"length with zeros", "HTTP/1.1", "Content-Length: 005\r\n", true},
		{"chunks", "HTTP/1.1", "Transfer-Encoding: chunked\r\n", true},
		{"chunks in capitals", "HTTP/1.1", "TRANSFER-ENCODING: CHUNKED\r\n", true},
		{"one encoding", "HTTP/1.1", "Content-Encoding: gzip\r\n", true},
		{"two lengths", "HTTP/1.1", "Content-Length: 5\r\nContent-Length: 5\r\n", false},
		{"two lengths, spelled in two ways", "HTTP/1.1", "Content-Length: 5\r\ncontent-length: 6\r\n", false},
		{"list of lengths", "HTTP/1.1", "Content-Length: 5, 5\r\n", false},
		{"empty length", "HTTP/1.1", "Content-Length:\r\n", false},
		{"signed length", "HTTP/1.1", "Content-Length: +5\r\n", false},
		{"negative length", "HTTP/1.1", "Content-Length: -1\r\n", false},
		{"length with a fraction", "HTTP/1.1", "Content-Length: 5.0\r\n", false},
		{"hexadecimal length", "HTTP/1.1", "Content-Length: 0x5\r\n", false},
		{"length beyond all numbers", "HTTP/1.1", "Content-Length: 99999999999999999999999\r\n", false},
		{"length and chunks", "HTTP/1.1", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", false},
		{"chunks and length", "HTTP/1.1", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", false},
		{"chunks with HTTP/1.0", "HTTP/1.0", "Transfer-Encoding: chunked\r\n", false},
		{"chunks with HTTP/1.2", "HTTP/1.2", "Transfer-Encoding: chunked\r\n", false},
		{"two transfer codings", "HTTP/1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", false},
		{"list of transfer codings", "HTTP/1.1", "Transfer-Encoding: gzip, chunked\r\n", false},
		{"identity", "HTTP/1.1", "Transfer-Encoding: identity\r\n", false},
		{"empty transfer coding", "HTTP/1.1", "Transfer-Encoding:\r\n", false},
		{"encoding and an empty one", "HTTP/1.1", "Content-Encoding: gzip\r\nContent-Encoding:\r\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := headerOf(tt.version + " 200 OK\r\n" + tt.lines + "\r\n")
			assert.Equal(t, err == nil, tt.accepted, "%v", err)
		})
	}
}
