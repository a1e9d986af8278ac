package relay

import (
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// brokenResponses are responses that a faulty target makes from its own one. None of them
// may reach a caller.
var brokenResponses = []struct {
	name  string
	spoil func(response string) string
}{
	{"status 000", withStatusLine("HTTP/1.1 000 X")},
	{"status 000 without a reason", withStatusLine("HTTP/1.1 000")},
	{"status 099", withStatusLine("HTTP/1.1 099 X")},
	{"status 600", withStatusLine("HTTP/1.1 600 X")},
	{"status 999", withStatusLine("HTTP/1.1 999 X")},
}

func withStatusLine(line string) func(string) string {
	return func(response string) string { return strings.Replace(response, "HTTP/1.1 200 X", line, 1) }
}

// Guards against a response that is broken and reaches the caller as one of the target,
// and against a request that must not run twice and does after such a response. The
// target may have run the request.
func TestBrokenResponses(t *testing.T) {
	for _, tt := range brokenResponses {
		t.Run(tt.name, func(t *testing.T) {
			spoiled := func(req *fasthttp.Request) (string, bool) {
				response := sealed(req, fasthttp.StatusOK, "spoiled")
				broken := tt.spoil(response)
				assert.Check(t, broken != response)
				return broken, true
			}
			for _, request := range []struct {
				path, body string
				status     int
				second     int // requests that reach the second target
			}{
				{"/once/", "exchange with the target broke\n", fasthttp.StatusBadGateway, 0},
				{"/single/", "exchange with the target broke\n", fasthttp.StatusBadGateway, 0},
				{"/safe/", "body", fasthttp.StatusOK, 1},
			} {
				// The target of zone a is tried first.
				first, second := newScriptedTarget(t, "t-1", "a", spoiled), newScriptedTarget(t, "t-2", "b", echo)
				h := newHarness(t, targetInfos(first, second))
				got := h.call(t, "POST", request.path, "body")
				assert.Equal(t, got.status, request.status)
				assert.Equal(t, got.body, request.body)
				assert.Equal(t, got.seal() != "", request.status == fasthttp.StatusOK)
				assert.Equal(t, len(first.receivedIDs()), 1)
				assert.Equal(t, len(second.receivedIDs()), request.second)
			}
		})
	}
}
