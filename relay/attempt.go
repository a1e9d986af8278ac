package relay

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/config"
	"rhubarbrelay/header"
	"rhubarbrelay/routing"
	"rhubarbrelay/timeline"
	"rhubarbrelay/upstream"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 3
	// freshInterval is the time between two looks at the freshness of a paused
	// instance.
	freshInterval = time.Millisecond
)

var (
	// errNotFresh means that the instance's view did not become fresh in time.
	errNotFresh = errors.New("instance was paused and has not revalidated its view")
	// errLate means that the deadline passed while the request waited, which
	// says nothing about the target.
	errLate = fmt.Errorf("%w: deadline passed in the queue", upstream.ErrNotSent)
)

// dispatch sends the request to a target, and to another one as long as that
// is safe and allowed.
func (s *Server) dispatch(req *fasthttp.Request, resp *fasthttp.Response, c *call) {
	var last error // of the attempt before
	for c.attempt = 1; ; c.attempt++ {
		slot, err := s.acquire(c)
		if err != nil && last != nil {
			s.giveUp(resp, c, last)
			return
		}
		if err != nil {
			s.fail(resp, c, failureOfAcquire(err))
			return
		}
		target := slot.Target()
		err = s.try(req, resp, c, slot)
		if err == nil {
			finishAnswer(resp, c, header.OutcomeRun)
			return
		}
		if !c.mayRetry(err) || !s.allowRetry(c.dispatcher) {
			s.giveUp(resp, c, err)
			return
		}
		last = err
		c.tried = append(c.tried, target.Address)
		s.counters.retries.Add(1)
		s.record(timeline.RequestRetried, c, target.Name, err.Error())
	}
}

// mayRetry returns whether another attempt is safe and in time. It notes
// whether the failed attempt may have run.
func (c *call) mayRetry(err error) bool {
	safe := errors.Is(err, upstream.ErrNotSent) || errors.Is(err, upstream.ErrNotRun)
	if !safe {
		c.mayHaveRun = true
	}
	if errors.Is(err, upstream.ErrCancelled) {
		return false
	}
	return (safe || c.idempotent) && c.attempt < maxAttempts && time.Now().Before(c.deadline)
}

// acquire waits for a target while the instance's view is fresh.
func (s *Server) acquire(c *call) (*routing.Slot, error) {
	for {
		if !s.awaitFresh(c) {
			return nil, errNotFresh
		}
		slot, err := c.dispatcher.Acquire(&c.caller, routing.Call{
			Arrival: c.arrival, Deadline: c.deadline, Long: c.long, Class: c.class, Exclude: c.tried,
		})
		closed := c.caller.endWait()
		if err != nil {
			return nil, err
		}
		c.slot = slot
		// The instance may have been paused during the wait.
		if closed == nil && (s.freshness == nil || s.freshness.Fresh()) {
			return slot, nil
		}
		slot.Release(routing.Result{Status: routing.Unused, Reported: routing.NoReport})
		if closed != nil {
			return nil, closed
		}
	}
}

// awaitFresh waits until the view is fresh, at most for the wait that the
// service allows.
func (s *Server) awaitFresh(c *call) bool {
	if s.freshness == nil || s.freshness.Fresh() {
		return true
	}
	limit := c.arrival.Add(c.service.MaxWait)
	if c.deadline.Before(limit) {
		limit = c.deadline
	}
	ticker := time.NewTicker(freshInterval)
	defer ticker.Stop()
	for time.Now().Before(limit) {
		<-ticker.C
		if s.freshness.Fresh() {
			return true
		}
	}
	return false
}

// prepare removes what must not leave the relay and sets what all attempts and
// the owner of a key get to see.
func prepare(req *fasthttp.Request, c *call) {
	h := &req.Header
	c.found.stripRequest(h)
	h.SetProtocol("HTTP/1.1")
	h.SetNoDefaultContentType(true)
	h.Set(header.RequestID, c.id)
	if uri := h.RequestURI(); len(uri) == 0 || uri[0] != '/' && uri[0] != '*' {
		h.SetRequestURIBytes(originForm(uri))
	}
	if len(h.Host()) == 0 {
		h.SetHost(c.service.Name)
	}
	if body := req.Body(); len(body) > 0 || h.ContentLength() != 0 && !h.IsGet() && !h.IsHead() {
		h.SetContentLength(len(body))
	}
}

// originForm returns the path and query of a request target in absolute form as
// they are, which fasthttp's URI would normalise.
func originForm(uri []byte) []byte {
	_, rest, _ := bytes.Cut(uri, []byte("://"))
	start := bytes.IndexAny(rest, "/?")
	if start < 0 {
		return []byte("/")
	}
	if rest[start] == '/' {
		return rest[start:]
	}
	return append([]byte("/"), rest[start:]...)
}

// try makes one attempt and releases its slot.
func (s *Server) try(req *fasthttp.Request, resp *fasthttp.Response, c *call, slot *routing.Slot) error {
	result := routing.Result{Status: routing.Unused, Reported: routing.NoReport, Long: c.long}
	defer func() { slot.Release(result) }()
	target := slot.Target()
	pool := s.pools.Pool(target.Address)
	if pool == nil {
		return upstream.ErrClosed
	}
	var buf [24]byte
	start := time.Now()
	if !start.Before(c.deadline) {
		return errLate
	}
	req.Header.SetBytesV(header.Deadline, appendDuration(buf[:0], c.deadline.Sub(start)))
	req.Header.SetBytesV(header.Attempt, strconv.AppendInt(buf[:0], int64(c.attempt), 10))
	terms := upstream.Terms{Deadline: c.deadline, Proven: !c.idempotent}
	// Any other exchange runs to its end, so that its outcome is known.
	if c.idempotent {
		terms.Canceler = &c.caller
	}
	c.dispatched = true
	err := pool.Exchange(req, resp, terms)
	result.Latency = time.Since(start)
	result.Status = statusOf(resp, err, c.deadline)
	if err == nil || errors.Is(err, upstream.ErrNotRun) {
		result.Reported = reported(resp)
		s.announce(target, resp)
	}
	return err
}

// appendDuration appends the duration in a unit that keeps it above zero.
func appendDuration(dst []byte, d time.Duration) []byte {
	if d < 10*time.Millisecond {
		return append(strconv.AppendInt(dst, max(1, d.Microseconds()), 10), "us"...)
	}
	return append(strconv.AppendInt(dst, d.Milliseconds(), 10), "ms"...)
}

func statusOf(resp *fasthttp.Response, err error, deadline time.Time) routing.Status {
	switch {
	case err == nil && resp.StatusCode() < fasthttp.StatusInternalServerError:
		return routing.Succeeded
	case err == nil:
		return routing.Failed
	case errors.Is(err, upstream.ErrNotRun):
		return routing.Shed
	case errors.Is(err, upstream.ErrNoConnection), errors.Is(err, upstream.ErrCancelled), errors.Is(err, upstream.ErrClosed):
		return routing.Unused
	case errors.Is(err, upstream.ErrNotSent):
		return routing.Unreachable
	case !time.Now().Before(deadline):
		return routing.TimedOut
	}
	return routing.Failed
}

func reported(resp *fasthttp.Response) int {
	text := resp.Header.Peek(header.InFlight)
	if len(text) == 0 {
		return routing.NoReport
	}
	n, err := fasthttp.ParseUint(text)
	if err != nil {
		return routing.NoReport
	}
	return n
}

// announce passes on what the target says of itself. An answer without the
// header says nothing.
func (s *Server) announce(target config.Target, resp *fasthttp.Response) {
	switch string(resp.Header.Peek(header.State)) {
	case header.StateDraining:
		s.targets.AnnounceTarget(target, true)
	case header.StateReady:
		s.targets.AnnounceTarget(target, false)
	}
}

// finishAnswer makes a target's answer ready for the caller.
func finishAnswer(resp *fasthttp.Response, c *call, outcome string) {
	c.found.stripResponse(&resp.Header)
	resp.Header.SetProtocol([]byte("HTTP/1.1"))
	resp.Header.SetNoDefaultContentType(true)
	resp.Header.Set(header.Outcome, outcome)
	resp.Header.Set(header.RequestID, c.id)
}

// giveUp answers after the last attempt. A target's own refusal is passed on
// with its body, unless an earlier attempt may have run.
func (s *Server) giveUp(resp *fasthttp.Response, c *call, err error) {
	f := failureOfExchange(err, c.deadline)
	if !errors.Is(err, upstream.ErrNotRun) || c.mayHaveRun || resp.StatusCode() < fasthttp.StatusBadRequest {
		s.fail(resp, c, f)
		return
	}
	finishAnswer(resp, c, header.OutcomeNotRun)
	resp.Header.Set(header.Reason, f.reason)
	s.counters.refuse(f, header.OutcomeNotRun)
	if len(resp.Header.Peek(fasthttp.HeaderRetryAfter)) == 0 {
		resp.Header.Set(fasthttp.HeaderRetryAfter, retryAfter)
	}
	if s.recorder != nil && s.refusals.Allow() {
		s.record(timeline.RequestRefused, c, "", f.reason)
	}
}
