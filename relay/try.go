package relay

import (
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/platform"
	"rhubarbrelay/routing"
	"rhubarbrelay/upstream"
)

// try is one sending of a request to a target. It runs beside the handler and
// has its own copies of the request and the answer, so that it may outlive it.
type try struct {
	lease    *routing.Lease
	req      *fasthttp.Request
	resp     *fasthttp.Response
	deadline time.Time
	started  time.Time
	number   int

	// The result, to be read after the try was received as done.
	err   error
	reply platform.ResponseInfo

	mu       sync.Mutex
	conn     *upstream.Conn
	canceled bool
	outrun   bool
}

// run sends the request and reports the try as done.
func (t *try) run(done chan<- *try) {
	t.err = t.exchange()
	if t.err == nil {
		t.reply = platform.ReadResponseInfo(&t.resp.Header)
	}
	t.lease.Release(t.outcome(), t.reply)
	done <- t
}

func (t *try) exchange() error {
	conn, err := t.lease.Conn(t.deadline)
	if err != nil {
		return err
	}
	defer conn.Release()
	t.mu.Lock()
	t.conn = conn
	canceled := t.canceled
	t.mu.Unlock()
	if canceled {
		return upstream.ErrNotSent
	}
	left := time.Until(t.deadline)
	if left < time.Millisecond {
		return upstream.ErrNotSent
	}
	platform.SetTargetHeaders(&t.req.Header, t.lease.Target().ID, left)
	err = conn.RoundTrip(t.req, t.resp, t.deadline.Add(answerGrace))
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.canceled {
		conn.Cancel()
	}
	t.conn = nil
	return err
}

// cancel ends the try by closing its connection. Outrun means that another try
// answered first.
func (t *try) cancel(outrun bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.canceled, t.outrun = true, outrun
	if t.conn != nil {
		t.conn.Cancel()
	}
}

func (t *try) wasCanceled() (canceled, outrun bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.canceled, t.outrun
}

// outcome says what the try tells of the target.
func (t *try) outcome() routing.Outcome {
	if t.err == nil {
		return t.outcomeOfAnswer()
	}
	canceled, outrun := t.wasCanceled()
	switch {
	case outrun:
		return routing.Superseded
	case canceled:
		return routing.Inconclusive
	case errors.Is(t.err, upstream.ErrPoolExhausted), errors.Is(t.err, upstream.ErrPoolClosed):
		return routing.Inconclusive
	case errors.Is(t.err, upstream.ErrNotSent):
		return routing.Unreachable
	case !time.Now().Before(t.deadline):
		return routing.TimedOut
	}
	return routing.Failed
}

func (t *try) outcomeOfAnswer() routing.Outcome {
	status := t.resp.StatusCode()
	switch {
	case t.reply.NotRun && status == fasthttp.StatusMisdirectedRequest:
		return routing.Replaced
	case t.reply.NotRun:
		return routing.Shed
	case t.reply.Sealed && status < fasthttp.StatusInternalServerError:
		return routing.Succeeded
	}
	return routing.Failed
}

// succeeded returns whether the answer is a target's success.
func (t *try) succeeded() bool {
	return t.err == nil && t.resp.StatusCode() < fasthttp.StatusMultipleChoices && t.reply.Sealed
}

// notRun returns whether the request certainly did not run in this try.
func (t *try) notRun() bool {
	if t.err != nil {
		return errors.Is(t.err, upstream.ErrNotSent)
	}
	return t.reply.NotRun
}

// final returns whether the answer is to be passed on whatever else could be
// tried: a success, or a failure that another target would repeat.
func (t *try) final() bool {
	if t.err != nil || t.reply.NotRun {
		return false
	}
	status := t.resp.StatusCode()
	return t.succeeded() || t.reply.Sealed && status >= fasthttp.StatusMultipleChoices && status < fasthttp.StatusInternalServerError &&
		!promises(status)
}

// promises returns whether a status promises that the request has not run.
func promises(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest,
		fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}
