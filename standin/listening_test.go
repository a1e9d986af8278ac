package standin

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a stand-in that serves for ever because it was closed before its goroutine
// had begun to serve.
func TestCloseBeforeServe(t *testing.T) {
	store := NewStore()
	target := NewTarget(NewRegistration("t", "s", "a", 1, netip.MustParseAddrPort("127.0.0.1:1")))
	for _, server := range []interface {
		Serve(l net.Listener) error
		Close() error
	}{store, target} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		assert.NilError(t, server.Close())
		served := make(chan error, 1)
		go func() { served <- server.Serve(l) }()
		select {
		case err := <-served:
			assert.NilError(t, err)
		case <-time.After(20 * time.Second):
			t.Fatal("the server does not end")
		}
	}
}
