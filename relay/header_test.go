package relay

import (
	"bufio"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// Guards against any spelling of a header line that crashes the relay, passes a
// hop-by-hop or internal header on to a target, or changes the Host header.
func FuzzStripRequest(f *testing.F) {
	for _, lines := range []string{
		"Connection: close, X-Hop\r\nX-Hop: 1\r\nX-List: 1\r\nx-list: 2\r\n",
		"TE: x\r\nte: y\r\nPROXY-Authorization: z\r\nProxy-: 1\r\nUpgrade: a\r\nKeep-Alive: 1\r\n",
		"Rhubarbrelay-Expect-Instance: x\r\nrHUBARBRELAY-expect-instance: y\r\n",
		"Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n",
		"Connection: Connection, , Host,Content-Length\r\nContent-Length: 3\r\nConnection: a\r\nA: b\r\n",
		"Cookie: a=b;c=d\r\nCookie: e\r\nContent-Type: x\r\nContent-Type: x\r\nConnection: cookie\r\n",
	} {
		f.Add(lines)
	}
	f.Fuzz(func(t *testing.T, lines string) {
		var h fasthttp.RequestHeader
		reader := bufio.NewReaderSize(strings.NewReader("POST / HTTP/1.1\r\nHost: s\r\n"+lines+"\r\n"), maxRequestHeader)
		if h.Read(reader) != nil {
			return
		}
		var in headerInspection
		if in.inspect(h.RawHeaders()) != nil {
			return
		}
		in.stripRequest(&h)
		h.SetContentLength(0)
		for line := range strings.SplitSeq(h.String(), "\r\n") {
			name, _, _ := strings.Cut(strings.ToLower(line), ":")
			if isInternalOrHopByHop([]byte(name)) || isProxyHeader([]byte(name)) || name == "trailer" || name == "transfer-encoding" {
				t.Fatalf("%q was forwarded in %q", line, h.String())
			}
		}
		if string(h.Host()) != "s" {
			t.Fatalf("Host header changed to %q", h.Host())
		}
	})
}

// Guards against headers for the target, and those of the caller, that are lost since a
// trailer has the same name.
func TestTrailersNamedLikeHeaders(t *testing.T) {
	var got fasthttp.Request
	target := newScriptedTarget(t, "t-1", "a", func(req *fasthttp.Request) (string, bool) {
		req.CopyTo(&got)
		return echo(req)
	})
	h := newHarness(t, targetInfos(target))
	for _, announced := range []string{"", "Trailer: Rhubarbrelay-Expect-Instance, X-Own, Rhubarbrelay-Deadline-Ms\r\n"} {
		assert.Equal(t, h.raw(t, "POST /once/ HTTP/1.1\r\n"+host+"Rhubarbrelay-Attempt-Id: id-1\r\nX-Own: 1\r\nRhubarbrelay-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n"+announced+
			"\r\n4\r\nbody\r\n0\r\nRhubarbrelay-Expect-Instance: x\r\nX-Own: 2\r\nRhubarbrelay-Deadline-Ms: 1\r\n\r\n").status, 200)
		assert.Equal(t, string(got.Header.Peek("Rhubarbrelay-Expect-Instance")), "t-1")
		assert.Equal(t, string(got.Header.Peek("X-Own")), "1")
		assert.Assert(t, len(got.Header.Peek("Rhubarbrelay-Deadline-Ms")) > 1)
	}
}
