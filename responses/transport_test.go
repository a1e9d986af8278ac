package responses

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// server gives the same response to all requests. It closes the connection behind it if closes
// is set.
type server struct {
	response string
	closes   bool
	conns    atomic.Int64
}

func startServer(t *testing.T, response string, closes bool) (s *server, address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s = &server{response: response, closes: closes}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			running.Go(func() { s.serve(c) })
		}
	})
	t.Cleanup(func() { _ = l.Close(); running.Wait() })
	return s, l.Addr().String()
}

func (s *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	for r := bufio.NewReader(c); ; {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return
		}
		if _, err := io.WriteString(c, s.response); err != nil || s.closes {
			return
		}
	}
}

func get(client *fasthttp.HostClient, timeout time.Duration) (*fasthttp.Response, error) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://" + client.Addr + "/")
	return resp, client.DoTimeout(req, resp, timeout)
}

// Guards against a connection that carries another request although bytes or the end of an
// earlier response are still on it, and against one that is never used again.
func TestTransportReusesConnections(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	tests := []struct {
		name, response string
		conns          int64
	}{
		{"whole response", ok, 1},
		{"chunks", chunkedHeader + "2\r\nok\r\n0\r\nA: b\r\n\r\n", 1},
		{"connection to be closed", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 2},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", 2},
		{"bytes behind the response", ok + "more", 2},
		{"a second response", ok + ok, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, address := startServer(t, tt.response, false)
			client := &fasthttp.HostClient{Addr: address, Transport: NewTransport(), MaxResponseBodySize: maxBody}
			defer client.CloseIdleConnections()
			for range 2 {
				resp, err := get(client, 10*time.Second)
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode(), fasthttp.StatusOK)
				assert.Equal(t, string(resp.Body()), "ok")
			}
			assert.Equal(t, s.conns.Load(), tt.conns)
		})
	}
}

// Guards against a broken response that is accepted, or for which the request is sent again
// without a decision of the caller of the client.
func TestTransportRejectsResponses(t *testing.T) {
	tests := []struct {
		name, response string
		opts           []TransportOption
	}{
		{"malformed", "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok", nil},
		{"no length", "HTTP/1.0 200 OK\r\n\r\n", []TransportOption{WithNeedsLength()}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, address := startServer(t, tt.response, true)
			client := &fasthttp.HostClient{Addr: address, Transport: NewTransport(tt.opts...), MaxResponseBodySize: maxBody}
			_, err := get(client, 10*time.Second)
			assert.ErrorIs(t, err, ErrMalformed)
			assert.Equal(t, s.conns.Load(), int64(1))
		})
	}
}

// Guards against a server that does not respond and holds a call beyond its timeout.
func TestTransportTimeout(t *testing.T) {
	_, address := startServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", false)
	client := &fasthttp.HostClient{Addr: address, Transport: NewTransport(), MaxResponseBodySize: maxBody, MaxIdemponentCallAttempts: 1}
	_, err := get(client, 50*time.Millisecond)
	var timeout net.Error
	assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), "%v", err)
}
