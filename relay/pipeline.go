package relay

import (
	"bufio"
	"bytes"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/bodies"
	"rhubarbrelay/callers"
)

// receiveSize is the number of bytes that are read at a time from a caller whose request
// is in progress.
const receiveSize = 4 << 10

// aheadRequest is a request that runs before an earlier one of its connection is answered.
// fasthttp handles the requests of a connection one after the other: the request is handled
// in a goroutine of its own, and its response is taken when fasthttp comes to it.
type aheadRequest struct {
	head  []byte
	req   fasthttp.Request
	resp  fasthttp.Response
	watch *callerWatch
	// done is closed when the response is complete. deadline is that of the request.
	done     chan struct{}
	deadline time.Time
}

// Cancel implements callers.AheadRequest.
func (r *aheadRequest) Cancel() {
	r.watch.cancel(errCallerClosed)
	go r.discard()
}

// discard releases the memory of a response that nobody takes.
func (r *aheadRequest) discard() {
	<-r.done
	_ = r.resp.CloseBodyStream() // the stream is in memory; closing it does not fail
}

// deferClose leaves the close of a connection to the response to the last request that runs
// ahead: targets may work on these requests, so that their callers must get the responses.
// Once a response would have closed the connection, no further request is begun.
func deferClose(ctx *fasthttp.RequestCtx) {
	conn, ok := ctx.Conn().(*callers.Conn)
	if !ok || !ctx.Response.ConnectionClose() && !conn.Ahead().Closed() {
		return
	}
	conn.Ahead().Close()
	if conn.Ahead().Len() > 0 {
		ctx.Response.Header.ResetConnectionClose()
		return
	}
	ctx.Response.SetConnectionClose()
}

// watchConn watches the connection of a request that was read. If others may run beside
// it, further requests of the connection are received and run meanwhile.
func (s *Server) watchConn(ctx *fasthttp.RequestCtx, besideOthers bool) *callerWatch {
	conn, ok := ctx.Conn().(*callers.Conn)
	if !ok {
		return watchCaller(ctx.Conn(), nil, nil)
	}
	if !besideOthers {
		return watchCaller(conn, conn.Ahead(), nil)
	}
	s.runAhead(conn)
	return watchCaller(conn, conn.Ahead(), func(fd int) bool { return s.receiveAhead(conn, fd) })
}

// beginRequest reports whether requests may follow the given one, of which the head was
// read, and whether it is certain where they begin.
func beginRequest(ctx *fasthttp.RequestCtx) bool {
	conn, ok := ctx.Conn().(*callers.Conn)
	if !ok {
		return false
	}
	h := &ctx.Request.Header
	line := len(h.Method()) + len(h.RequestURI()) + len("  HTTP/1.1\r\n")
	return conn.Pipeline().BeginRequest(line+len(h.RawHeaders()), !isBodiless(h)) && !h.ConnectionClose()
}

// isBodiless reports whether a request has no body.
func isBodiless(h *fasthttp.RequestHeader) bool {
	var in headerInspection
	err := in.inspect(h.RawHeaders())
	return err == nil && in.contentLength == 0 && !in.hasTransferEncoding && !in.hasTrailer && len(h.Peek(fasthttp.HeaderExpect)) == 0
}

// receiveAhead reads bytes that have arrived on the socket and runs the requests in them.
// It returns false if it reads no more.
func (s *Server) receiveAhead(conn *callers.Conn, fd int) bool {
	room := min(conn.Pipeline().Room(), receiveSize)
	if room == 0 || !conn.Ahead().HasRoom() {
		return false
	}
	buf := make([]byte, room)
	n, _, err := syscall.Recvfrom(fd, buf, syscall.MSG_DONTWAIT)
	if err != nil || n == 0 {
		return false // the next read of the connection meets it again
	}
	conn.Keep(buf[:n])
	s.runAhead(conn)
	return true
}

// runAhead starts the complete requests that the connection keeps, up to one that has to
// wait until those before it are answered.
func (s *Server) runAhead(conn *callers.Conn) {
	for s.drainEnd.Load() == nil && conn.Ahead().HasRoom() {
		r := &aheadRequest{done: make(chan struct{}), watch: unwatchedCaller(conn.Ahead())}
		if r.head = conn.Pipeline().NextHead(r.accept(s)); r.head == nil || !conn.Ahead().Add(r) {
			return
		}
		s.runningAhead.Add(1)
		go s.relayAhead(conn, r)
	}
}

// accept returns a function that parses a head and reports whether its request may run
// before those that were sent earlier are answered: if it is idempotent and has no body.
func (r *aheadRequest) accept(s *Server) func(head []byte) bool {
	return func(head []byte) bool {
		h := &r.req.Header
		if h.Read(bufio.NewReaderSize(bytes.NewReader(head), len(head))) != nil || !isBodiless(h) || h.ConnectionClose() {
			return false
		}
		document := s.config.Current()
		if document == nil {
			return false
		}
		route := document.Match(string(r.req.Host()), requestPath(h.RequestURI()))
		return route != nil && route.Idempotent
	}
}

func (s *Server) relayAhead(conn *callers.Conn, r *aheadRequest) {
	defer s.runningAhead.Add(-1)
	defer close(r.done)
	// The call does not refer to the connection, whose state is that of an earlier request.
	c := call{arrival: time.Now(), fromPeer: conn.FromPeer(), reservation: bodies.NewReservation(s.requestMemory, requestCopies)}
	defer c.reservation.Release()
	s.relayRequest(&r.req, &r.resp, &c, func() *callerWatch { return r.watch })
	r.deadline = c.deadline
}

// takeAhead responds to a request that has run ahead. It returns false if the request has
// not.
func (s *Server) takeAhead(ctx *fasthttp.RequestCtx, besideOthers bool) bool {
	conn, ok := ctx.Conn().(*callers.Conn)
	if !ok {
		return false
	}
	r, ok := conn.Ahead().Take().(*aheadRequest)
	if !ok {
		return false
	}
	conn.Received()
	watch := s.watchConn(ctx, besideOthers)
	defer watch.stop()
	select {
	case <-r.done:
	case <-watch.Done():
		r.watch.cancel(errCallerClosed)
		<-r.done
	}
	conn.SetSendDeadline(r.deadline)
	moveResponse(&ctx.Response, &r.resp)
	return true
}

// moveResponse moves a response whose body may be a stream.
func moveResponse(to, from *fasthttp.Response) {
	from.Header.CopyTo(&to.Header)
	to.SkipBody = from.SkipBody
	if stream := from.BodyStream(); stream != nil {
		to.SetBodyStream(stream, from.Header.ContentLength())
		return
	}
	to.SetBodyRaw(from.Body())
}
