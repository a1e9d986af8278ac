package relay

import (
	"bufio"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/callers"
	"rhubarbrelay/platform"
)

// refusalTimeout limits the time for reading the request on a refused
// connection and sending the response, and that for reading the rest of a refused
// request.
const refusalTimeout = time.Second

// serve accepts connections until the set shuts down or the listener fails. The response
// with which fasthttp itself refuses connections does not state whether the request has
// run, so that the listener limits their number.
func (s *Server) serve(l net.Listener, limit int, opts ...callers.ListenerOption) error {
	opts = append(opts, callers.WithRefuse(s.refuseConnection), callers.WithWriteTimeout(s.writeTimeout), callers.WithLogger(s.logger))
	limited := callers.NewListener(s.conns, l, limit, opts...)
	defer limited.WaitForRefusals()
	return s.http.Serve(limited)
}

// refuseConnection responds to the first request on a connection in excess of
// the limit and closes the connection.
func (s *Server) refuseConnection(conn *callers.Conn, readRequest bool) {
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(refusalTimeout)); err != nil {
		return
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c := call{arrival: time.Now()}
	defer s.recoverPanic(resp, &c)
	if readRequest && req.Header.Read(bufio.NewReaderSize(conn, maxRequestHeader)) == nil {
		resp.SkipBody = req.Header.IsHead()
		if id := platform.RequestID(&req.Header); len(id) <= maxRequestID {
			c.id = string(id)
		}
	}
	s.fail(resp, &c, unavailableFailure(refusedConnections, "instance has too many connections of callers", notReadyRetryAfter).withConnectionClose())
	if _, err := resp.WriteTo(conn); err == nil && readRequest {
		conn.LingerOnClose()
	}
}
