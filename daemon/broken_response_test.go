package daemon

import (
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rhubarbrelay/standin"
)

// startBrokenPeer starts an instance that gives the same response to each request. It returns
// its address.
func startBrokenPeer(t *testing.T, response string) string {
	t.Helper()
	s, err := standin.StartRawServer(response)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, s.Close()) })
	return s.Address().String()
}

// Guards against a broken or cut response of another instance that is taken for its state or
// its configuration. A part of an encoded state can be decoded.
func TestBrokenResponsesOfPeers(t *testing.T) {
	tests := []struct {
		name, response string
		accepted       bool
	}{
		{"control", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstate", true},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstate\r\n0\r\n\r\n", true},
		{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nstate", false},
		{"blank before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nstate", false},
		{"line that continues another", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 5\r\n\r\nstate", false},
		{"bare line feeds", "HTTP/1.1 200 OK\r\nA: b\n\nstate\r\n\r\n", false},
		{"length beside chunks", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstate\r\n0\r\n\r\n", false},
		{"cut body", "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstate", false},
		{"body without a length", "HTTP/1.1 200 OK\r\n\r\nstate", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &Daemon{peerClient: newPeerClient()}
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.SetRequestURI("http://" + startBrokenPeer(t, tt.response) + "/state")
			body, err := d.callPeer(req, resp, testTimeout)
			assert.Equal(t, err == nil, tt.accepted, "%v", err)
			if tt.accepted {
				assert.Equal(t, string(body), "state")
			}
		})
	}
}
