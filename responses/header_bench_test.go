package responses

import (
	"bufio"
	"testing"

	"github.com/valyala/fasthttp"
)

// repeatedHeader is a stream of the same header, a usual one of a target.
type repeatedHeader struct{ next int }

const benchmarkHeader = "HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 01:26:37 GMT\r\nContent-Type: application/json\r\n" +
	"Rhubarbrelay-Attempt-Id: 9c41d07be2a35f68\r\nRhubarbrelay-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
	"Rhubarbrelay-Instance-Id: i-7f3a91c2\r\nRhubarbrelay-Server-Load: 3,0,8,100\r\nContent-Length: 0\r\n\r\n"

func (s *repeatedHeader) Read(p []byte) (int, error) {
	n := copy(p, benchmarkHeader[s.next:])
	s.next = (s.next + n) % len(benchmarkHeader)
	return n, nil
}

// BenchmarkReadHeader measures the reading of a header, and that by fasthttp alone, which
// inspects nothing.
func BenchmarkReadHeader(b *testing.B) {
	readers := []struct {
		name string
		read func(*bufio.Reader, *fasthttp.ResponseHeader) error
	}{
		{"inspected", readHeader},
		{"fasthttp", func(r *bufio.Reader, h *fasthttp.ResponseHeader) error { return h.Read(r) }},
	}
	for _, reader := range readers {
		b.Run(reader.name, func(b *testing.B) {
			r, h := bufio.NewReaderSize(&repeatedHeader{}, bufferSize), &fasthttp.ResponseHeader{}
			b.ReportAllocs()
			for b.Loop() {
				if err := reader.read(r, h); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
