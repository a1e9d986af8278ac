package upstream

import (
	"bufio"
	"errors"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rhubarbrelay/bodies"
)

// endlessResponses are responses that go on until the connection is closed: a start
// and a part that is repeated.
var endlessResponses = []struct{ name, start, part string }{
	{"garbage", "", "\x00\xff garbage"},
	{"header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	{"one header line", "HTTP/1.1 200 OK\r\nA: ", "bbbbbbbbbbbbbbbb"},
	{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
	{"responses to other requests", "", "HTTP/1.1 200 OK\r\nRhubarbrelay-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n"},
	{"body until the end of the connection", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "bbbbbbbbbbbbbbbb"},
	{"body of a huge announced length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "bbbbbbbbbbbbbbbb"},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\nbbbbbbbbbbbbbbbb\r\n"},
	{"chunks of one byte", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n"},
	{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1", ";a=b"},
	{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
}

// sendEndlessly returns a script that responds to each request with a start and then
// repeats a part until the connection is closed.
func sendEndlessly(t *testing.T, start, part string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		readRequest(t, r)
		_, err := c.Write([]byte(start))
		for block := []byte(strings.Repeat(part, 4096/len(part)+1)); err == nil; {
			_, err = c.Write(block)
		}
	}
}

// Guards against the two tests below passing because no response of their target is
// accepted: ends of the endless responses are.
func TestEndlessResponsesThatEnd(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nRhubarbrelay-Attempt-Id: own\r\n"
	for _, response := range []string{
		header + "A: b\r\nContent-Length: 1\r\n\r\nb",
		"HTTP/1.1 102 Processing\r\n\r\n" + header + "Content-Length: 1\r\n\r\nb",
		"HTTP/1.1 200 OK\r\nRhubarbrelay-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n" + header + "Content-Length: 1\r\n\r\nb",
		header + "Connection: close\r\n\r\nb",
		header + "Transfer-Encoding: chunked\r\n\r\n1;a=b\r\nb\r\n0\r\nA: b\r\n\r\n",
	} {
		resp, err := exchange(t, sendPart(t, response, false))
		assert.NilError(t, err, "%q", response)
		assert.Equal(t, string(resp.Body()), "b", "%q", response)
	}
}

// allocated returns the bytes that fn allocates on the heap.
func allocated(fn func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	fn()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against a target whose response never ends and that exhausts the memory of
// the instance, or holds a request until its deadline. The target itself sends from
// this process, but allocates little.
func TestEndlessResponse(t *testing.T) {
	const maxBody, memoryLimit, maxAllocated = 1 << 20, 4 << 20, 6 << 20
	for _, tt := range endlessResponses {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPool(startTarget(t, sendEndlessly(t, tt.start, tt.part)), 1, WithMaxResponseBody(maxBody))
			defer p.Close()
			memory := bodies.NewMemory(memoryLimit)
			reservation := bodies.NewReservation(memory, 1)
			c := acquire(t, p)
			start := time.Now()
			n := allocated(func() {
				resp := fasthttp.AcquireResponse()
				err := c.RoundTrip(newRequest("own"), resp, time.Now().Add(testTimeout), reservation)
				assert.ErrorIs(t, err, ErrOutcomeUnknown)
			})
			c.Release() // before the checks: the target sends until the connection is closed
			assert.Assert(t, time.Since(start) < testTimeout/2, "ended only after %s", time.Since(start))
			assert.Assert(t, n < maxAllocated, "%d bytes allocated", n)
			assert.Assert(t, memory.Used() <= memoryLimit)
			assert.Assert(t, c.noReuse)
		})
	}
}

// Guards against a response to a probe that never ends: a request sends several
// probes, so that each may take only little memory. Most of what is allocated is for
// the errors, which quote a malformed header or trailer.
func TestEndlessProbeResponse(t *testing.T) {
	const maxAllocated = 1 << 20
	for _, tt := range endlessResponses {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPool(startTarget(t, sendEndlessly(t, tt.start, tt.part)), 1)
			defer p.Close()
			c := acquire(t, p)
			n := allocated(func() {
				_, _, err := c.Probe(time.Now().Add(testTimeout))
				assert.Assert(t, errors.Is(err, ErrOutcomeUnknown), "%v", err)
			})
			c.Release() // before the check: the target sends until the connection is closed
			assert.Assert(t, n < maxAllocated, "%d bytes allocated", n)
			assert.Assert(t, c.noReuse)
		})
	}
}
