package relay

import (
	"bufio"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
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
