package upstream

import (
	"errors"
	"fmt"
	"syscall"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/responses"
	"rhubarbrelay/sockets"
)

// concurrentBodySize is the request body size, in bytes, from which the response is read
// while the request is still being written: a target may respond before it has read the
// whole body.
const concurrentBodySize = 8 << 10

// upload is a request that is being written.
type upload struct {
	ended chan struct{}
	err   error // may be read when ended is closed
}

func (c *Conn) startUpload(req *fasthttp.Request) *upload {
	u := &upload{ended: make(chan struct{})}
	go func() {
		defer close(u.ended)
		u.err = c.writeRequest(req)
	}()
	return u
}

// complete reports whether the whole request has been written.
func (u *upload) complete() bool {
	select {
	case <-u.ended:
		return u.err == nil
	default:
		return false
	}
}

// roundTripConcurrently reads the response while the request is being written. If the
// response is complete first, the connection is closed: the target would read the next
// request as the rest of this body.
func (c *Conn) roundTripConcurrently(req *fasthttp.Request, resp *fasthttp.Response, limit responses.Limit) error {
	u := c.startUpload(req)
	err := c.readResponse(req, resp, limit)
	if err == nil && c.endsWithConn && !c.closedInOrder(u) {
		err = fmt.Errorf("%w: %w", ErrOutcomeUnknown, errCutOff)
	}
	if !u.complete() {
		c.noReuse = true
		c.Cancel()
		<-u.ended
	}
	return err
}

// closedInOrder reports whether it is certain that the target has closed the connection, of
// which the end was read, and has not reset it before. The kernel reports a reset to one
// call only: if the write of the request gets it, the read sees the end of the stream.
//
// A socket that waits for its own close has received the close of the target, and no reset.
// A socket that is closed has received a reset, too, so that an unfinished write fails at
// once: with EPIPE if the close came first. Of a socket in an unknown state, only the write
// tells that there was no reset.
func (c *Conn) closedInOrder(u *upload) bool {
	switch sockets.State(c.rawConn) {
	case sockets.StateCloseWait:
		return true
	case sockets.StateClose:
		<-u.ended
		return u.err == nil || errors.Is(u.err, syscall.EPIPE)
	default:
		return u.complete()
	}
}
