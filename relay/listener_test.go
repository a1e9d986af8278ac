package relay

import (
	"net"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// unusedAddress returns an address at which nothing listens.
func unusedAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

// Guards against a refused connection without an answer, and against a limit
// that leaks.
func TestConnectionLimit(t *testing.T) {
	h := newHarness(t, infos(newScripted(t, "t-1", "a", echo)), WithMaxConnections(1))
	first := h.connect(t)
	first.send(message("POST", "/once/", "body"))
	assert.Equal(t, first.mustReceive().status, 200)
	refused := h.call(t, "POST", "/once/", "body", "Rhubarbrelay-Attempt-Id: id-2")
	assert.Equal(t, refused.status, 503)
	assert.Equal(t, refused.body, "instance has too many connections of callers\n")
	assert.Assert(t, refused.headers["Retry-After"] != "")
	assert.Equal(t, refused.headers["Connection"], "close")
	assert.Equal(t, refused.headers["Rhubarbrelay-Attempt-Id"], "id-2")
	assert.NilError(t, first.conn.Close())
	waitFor(t, "the place is free", func() bool { return h.call(t, "GET", "/safe/", "").status == 200 })
}
