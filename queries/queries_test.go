package queries

import (
	"bytes"
	"context"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrelay/standin"
)

// startInstance starts an instance that gives the same response to each request.
func startInstance(t *testing.T, response string) netip.AddrPort {
	t.Helper()
	s, err := standin.StartRawServer(response)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, s.Close()) })
	return s.Address()
}

// Guards against a broken response of an instance that operators see as its state.
func TestBrokenResponses(t *testing.T) {
	const body = `{"id":"i-1"}`
	tests := []struct {
		name, response string
		accepted       bool
	}{
		{"control", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n" + body, true},
		{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 12\r\n\r\n" + body, false},
		{"blank before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 12\r\n\r\n" + body, false},
		{"line that continues another", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 12\r\n\r\n" + body, false},
		{"bare line feeds", "HTTP/1.1 200 OK\r\nA: b\n\n" + body + "\r\n\r\n", false},
		{"no length", "HTTP/1.1 200 OK\r\n\r\n" + body, false},
		{"cut body", "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n" + body, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			err := Client{}.Status(context.Background(), []netip.AddrPort{startInstance(t, tt.response)}, &out)
			assert.Equal(t, bytes.Contains(out.Bytes(), []byte("i-1")), tt.accepted, "%s", out.String())
			if tt.accepted {
				assert.NilError(t, err)
				return
			}
			assert.ErrorIs(t, err, ErrUnreachable)
		})
	}
}
