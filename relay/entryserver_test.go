package relay

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// noAddresses is an AddressSelector without instances.
type noAddresses struct{}

// Select implements AddressSelector.
func (noAddresses) Select(string) []netip.AddrPort { return nil }

// Guards against callers whose entry queries have large bodies, which an instance reads and
// keeps in memory, for each connection.
func TestEntryQueryWithBody(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewEntryServer(noAddresses{}, time.Second, func() bool { return true }, log.Log)
	served := make(chan error, 1)
	go func() { served <- s.Serve(l, 10) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		assert.Check(t, s.Shutdown(ctx, time.Now()))
		assert.Check(t, <-served)
	})
	h := &harness{address: l.Addr().String()}
	tests := []struct {
		name string
		size int
		want int
	}{
		{"none", 0, fasthttp.StatusOK},
		{"small", 100, fasthttp.StatusOK},
		{"large", 1 << 20, fasthttp.StatusBadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := h.connect(t)
			c.send(fmt.Sprintf("GET /-/readyz HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", tt.size))
			if tt.want == fasthttp.StatusOK { // a larger one is refused before it is sent
				c.send(strings.Repeat("x", tt.size))
			}
			sent := time.Now()
			assert.Equal(t, c.mustReceive().status, tt.want)
			assert.Assert(t, time.Since(sent) < DefaultReadTimeout/2, "the body was awaited")
		})
	}
}
