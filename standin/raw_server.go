package standin

import (
	"bufio"
	"io"
	"net"
	"net/netip"
	"sync"

	"github.com/valyala/fasthttp"
)

// RawServer responds to the first request on each connection with the same bytes, which need
// not be a response, and closes the connection.
type RawServer struct {
	response string
	listener net.Listener
	running  sync.WaitGroup
}

// StartRawServer starts a server on an address of its own.
func StartRawServer(response string) (*RawServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // It does not wait.
	if err != nil {
		return nil, err
	}
	s := &RawServer{response: response, listener: l}
	s.running.Go(s.serve)
	return s, nil
}

// Address returns the address of the server.
func (s *RawServer) Address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

// Close stops the server. It waits until its connections are closed.
func (s *RawServer) Close() error {
	err := s.listener.Close()
	s.running.Wait()
	return err
}

func (s *RawServer) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.running.Go(func() { s.serveConn(c) })
	}
}

func (s *RawServer) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	var req fasthttp.Request
	if req.Read(bufio.NewReader(c)) == nil {
		_, _ = io.WriteString(c, s.response) // the client may have closed the connection
	}
}
