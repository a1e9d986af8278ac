package relay

import (
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/bodies"
	"rhubarbrelay/platform"
	"rhubarbrelay/routing"
	"rhubarbrelay/upstream"
)

// try is one exchange with a target for a request. It runs in its own goroutine
// and has its own request and response objects, because it may outlive the
// handler.
type try struct {
	lease    *routing.Lease
	req      *fasthttp.Request
	resp     *fasthttp.Response
	deadline time.Time
	started  time.Time
	number   int
	crashes  CrashLedger
	sends    *sendGate
	// reservation is for the body of the response.
	reservation *bodies.Reservation

	// The result. It may be read after run has sent the try to done.
	err  error
	info platform.ResponseInfo
	// targetEnded is set if the exchange broke off because the target ended.
	targetEnded bool

	mu         sync.Mutex
	activeConn *upstream.Conn
	canceled   bool
	superseded bool
	ended      bool // whether run has ended
	abandoned  bool // whether the handler of the request has ended
}

// run sends the request, releases the lease and sends the try to done.
func (t *try) run(done chan<- *try) {
	t.err = t.roundTrip()
	if t.err == nil {
		t.info = platform.ReadResponseInfo(&t.resp.Header)
	}
	t.targetEnded = t.brokeOff() && t.lease.TargetEnded(time.Now().Add(endedTimeout))
	t.recordCrash(t.crashes)
	t.lease.Release(t.outcome(), t.info)
	t.mu.Lock()
	t.ended = true
	if t.abandoned {
		t.reservation.Release()
	}
	t.mu.Unlock()
	done <- t
}

// abandon releases the memory of the try now or, if it is in flight, when it ends.
func (t *try) abandon() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.abandoned = true
	if t.ended {
		t.reservation.Release()
	}
}

func (t *try) roundTrip() error {
	conn, err := t.lease.Conn(t.deadline)
	if err != nil {
		return err
	}
	defer conn.Release()
	t.mu.Lock()
	t.activeConn = conn
	canceled := t.canceled
	t.mu.Unlock()
	if canceled || t.sends.isClosed() || !t.lease.Admitted() {
		return upstream.ErrNotSent
	}
	left := time.Until(t.deadline)
	if left < time.Millisecond {
		return upstream.ErrNotSent
	}
	platform.SetTargetHeaders(&t.req.Header, t.lease.Target().ID, left)
	err = conn.RoundTrip(t.req, t.resp, t.deadline.Add(responseMargin), t.reservation)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.canceled {
		conn.Cancel()
	}
	t.activeConn = nil
	return err
}

// cancel aborts the try by closing its connection. If superseded is set, another
// try of the request has responded first.
func (t *try) cancel(superseded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.canceled, t.superseded = true, superseded
	if t.activeConn != nil {
		t.activeConn.Cancel()
	}
}

func (t *try) cancellation() (canceled, superseded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.canceled, t.superseded
}

// endedTimeout limits the check whether the target of an exchange that broke off has
// ended, which delays the retry. A target that has ended refuses at once.
const endedTimeout = 50 * time.Millisecond

// brokeOff reports whether the exchange ended without a response, and neither by this
// instance nor at its deadline.
func (t *try) brokeOff() bool {
	canceled, _ := t.cancellation()
	return errors.Is(t.err, upstream.ErrOutcomeUnknown) && !canceled && time.Now().Before(t.deadline)
}

// outcome classifies the try by what it shows about the state of the target.
func (t *try) outcome() routing.Outcome {
	if t.err == nil {
		return t.responseOutcome()
	}
	canceled, superseded := t.cancellation()
	switch {
	case superseded:
		return routing.Superseded
	case canceled:
		return routing.Inconclusive
	case errors.Is(t.err, upstream.ErrPoolExhausted), errors.Is(t.err, upstream.ErrPoolClosed), errors.Is(t.err, bodies.ErrNoMemory):
		return routing.Inconclusive
	case errors.Is(t.err, upstream.ErrNotSent):
		return routing.Unreachable
	case !time.Now().Before(t.deadline):
		return routing.TimedOut
	}
	return routing.Failed
}

func (t *try) responseOutcome() routing.Outcome {
	status := t.resp.StatusCode()
	switch {
	case t.info.NotRun && status == fasthttp.StatusMisdirectedRequest:
		return routing.Replaced
	case t.info.NotRun:
		return routing.Shed
	case t.info.Sealed && status < fasthttp.StatusInternalServerError:
		return routing.Succeeded
	}
	return routing.Failed
}

// succeeded reports whether the target sent a success response with a seal
// header.
func (t *try) succeeded() bool {
	return t.err == nil && t.resp.StatusCode() < fasthttp.StatusMultipleChoices && t.info.Sealed
}

// notRun reports whether the try certainly did not run the request.
func (t *try) notRun() bool {
	if t.err != nil {
		return errors.Is(t.err, upstream.ErrNotSent)
	}
	return t.info.NotRun
}

// isFinal reports whether the response is forwarded without further tries: a
// success, or an error that any other target would return as well.
func (t *try) isFinal() bool {
	if t.err != nil || t.info.NotRun {
		return false
	}
	status := t.resp.StatusCode()
	return t.succeeded() || t.info.Sealed && status >= fasthttp.StatusMultipleChoices && status < fasthttp.StatusInternalServerError &&
		!impliesNotRun(status)
}

// impliesNotRun reports whether callers conclude from a status that the request
// has not run.
func impliesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest,
		fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}
