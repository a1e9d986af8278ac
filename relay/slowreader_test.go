package relay

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// Guards against a response that is truncated because sending it takes longer than the write
// timeout, although its caller reads it and has stated that it waits longer.
func TestResponseToSlowReader(t *testing.T) {
	body := strings.Repeat("x", 12<<20)
	target := newScriptedTarget(t, "t-1", "a", func(r *fasthttp.Request) (string, bool) { return sealedLarge(r, body), false })
	const timeout = 200 * time.Millisecond
	h := newHarness(t, targetInfos(target), WithWriteTimeout(timeout))
	c := h.connectSlowly(t)
	c.send(rawRequest("POST", "/once/", "", "Rhubarbrelay-Deadline-Ms: 20000"))
	started := time.Now()
	received := 0
	for buffer := make([]byte, 256<<10); received < len(body); time.Sleep(timeout / 20) {
		n, err := io.ReadFull(c.reader, buffer[:min(len(buffer), len(body)-received)])
		received += n
		assert.NilError(t, err, "after %d bytes and %s", received, time.Since(started))
	}
	assert.Assert(t, time.Since(started) > 2*timeout)
}
