package standin

import (
	"bufio"
	"io"
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// RawServer responds to the first request on each connection with the same bytes, which need
// not be a response, and closes the connection.
type RawServer struct {
	response string
	running  sync.WaitGroup
}

// NewRawServer returns a server that has not been started.
func NewRawServer(response string) *RawServer { return &RawServer{response: response} }

// Serve serves the connections of the listener until it is closed.
func (s *RawServer) Serve(l net.Listener) {
	defer s.running.Wait()
	for {
		c, err := l.Accept()
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
