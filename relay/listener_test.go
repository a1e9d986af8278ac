package relay

import (
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
)

// Guards against a refused connection without an outcome, against a claim of
// not run for a key that may have run, and against a limit that leaks.
func TestConnectionLimit(t *testing.T) {
	h := newHarness(t, []config.Target{newTarget(t, "sk-01", echo)}, WithMaxConnections(1))
	first := h.connect(t)
	first.send(message("POST", "/orders", "body"))
	assert.Equal(t, first.mustReceive().outcome, "run")
	refused := h.call(t, "POST", "/orders", "body", "Rhubarbrelay-Request-Id: id-1")
	assert.Equal(t, refused.status, 503)
	assert.Equal(t, refused.outcome, "not_run")
	assert.Equal(t, refused.reason, "instance has too many connections of callers")
	assert.Equal(t, refused.headers["Retry-After"], "1")
	assert.Equal(t, refused.headers["Connection"], "close")
	assert.Equal(t, refused.headers["Rhubarbrelay-Request-Id"], "id-1")
	assert.Equal(t, h.call(t, "POST", "/orders", "body", "Idempotency-Key: a~1~2~3").outcome, "unknown")
	assert.NilError(t, first.conn.Close())
	waitFor(t, "the place is free", func() bool { return h.call(t, "GET", "/", "").outcome == "run" })
}
