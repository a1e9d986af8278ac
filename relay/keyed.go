package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/header"
	"rhubarbrelay/idempotency"
	"rhubarbrelay/timeline"
)

// The errors that a Forwarder may return. Each leads to the outcome unknown,
// since the owner may have run an earlier request with the same key.
var (
	// ErrOwnerUnreachable means that no session to the owner works.
	ErrOwnerUnreachable = errors.New("owner of the idempotency key cannot be reached")
	// ErrOwnerGone means that the owner is dead or runs in another incarnation.
	ErrOwnerGone = errors.New("owner of the idempotency key is gone")
)

// ErrBadForward means that a forwarded message is not one whole request.
var ErrBadForward = errors.New("forwarded request is malformed")

// headerAllowance is the size that the header of an encoded message usually has.
const headerAllowance = 1 << 10

// serveKeyed serves a non-idempotent request with a key: through the
// deduplication table when this instance owns the key, else through the owner.
func (s *Server) serveKeyed(req *fasthttp.Request, resp *fasthttp.Response, c *call) {
	if s.memory != nil && s.memory.Owns(c.key) {
		s.serveOwned(req, resp, c)
		return
	}
	if c.key.Incarnation == 0 {
		// The prefix came from an entry answer that named an instance known from
		// the platform's list only. No process has this incarnation, so none
		// ever dispatched the key.
		c.mayHaveRun = false
		s.fail(resp, c, notRun(fasthttp.StatusServiceUnavailable, "idempotency key names no owner"))
		return
	}
	if c.forwarded || s.forwarder == nil {
		s.fail(resp, c, unknown(fasthttp.StatusBadGateway, ErrOwnerGone.Error()))
		return
	}
	s.forward(req, resp, c)
}

func (s *Server) serveOwned(req *fasthttp.Request, resp *fasthttp.Response, c *call) {
	fingerprint := idempotency.Fingerprint(
		c.service.Name, string(req.Header.Method()), string(req.Header.RequestURI()), req.Body())
	claim, err := s.memory.Begin(c.key, fingerprint, s.memory.Now())
	if err != nil {
		s.failClaim(resp, c, err)
		return
	}
	if claim.First() {
		s.dispatchClaimed(req, resp, c, claim)
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), c.deadline)
	defer cancel()
	outcome, answer, err := claim.Wait(ctx)
	if err != nil {
		s.fail(resp, c, unknown(fasthttp.StatusGatewayTimeout, "request with this key is still in progress"))
		return
	}
	s.replay(resp, c, outcome, answer)
}

// failClaim answers a request whose key the table does not give out.
func (s *Server) failClaim(resp *fasthttp.Response, c *call, err error) {
	switch {
	case errors.Is(err, idempotency.ErrMismatch):
		c.mayHaveRun = false
		s.fail(resp, c, notRun(fasthttp.StatusUnprocessableEntity, err.Error()))
	case errors.Is(err, idempotency.ErrFull):
		// An earlier copy of the request may still arrive and find room.
		s.fail(resp, c, unknown(fasthttp.StatusServiceUnavailable, err.Error()))
	default:
		s.fail(resp, c, unknown(fasthttp.StatusConflict, err.Error()))
	}
}

// dispatchClaimed runs the first request with a key and records its outcome. A
// panic after the dispatch leaves the outcome unknown.
func (s *Server) dispatchClaimed(req *fasthttp.Request, resp *fasthttp.Response, c *call, claim *idempotency.Claim) {
	outcome := idempotency.Unknown
	var answer []byte
	defer func() {
		if !c.dispatched {
			outcome = idempotency.NotRun
		}
		claim.Finish(outcome, answer)
	}()
	c.mayHaveRun = false
	s.dispatch(req, resp, c)
	switch string(resp.Header.Peek(header.Outcome)) {
	case header.OutcomeNotRun:
		outcome = idempotency.NotRun
	case header.OutcomeRun:
		outcome = idempotency.Run
		if encoded, err := encodeAnswer(resp); err == nil {
			answer = encoded
		}
	}
}

// replay answers a repeat with what the first request got.
func (s *Server) replay(resp *fasthttp.Response, c *call, outcome idempotency.Outcome, answer []byte) {
	if outcome == idempotency.NotRun {
		c.mayHaveRun = false
		s.fail(resp, c, notRun(fasthttp.StatusConflict, "request with this key was refused before; another attempt needs a new key"))
		return
	}
	if outcome != idempotency.Run {
		s.fail(resp, c, unknown(fasthttp.StatusBadGateway, "request with this key may have run"))
		return
	}
	if answer == nil {
		s.fail(resp, c, &failure{
			status: fasthttp.StatusConflict, outcome: header.OutcomeRun, reason: "answer is no longer kept",
		})
		return
	}
	if err := decodeAnswer(resp, answer); err != nil {
		s.fail(resp, c, &failure{status: fasthttp.StatusConflict, outcome: header.OutcomeRun, reason: "answer is not readable"})
		return
	}
	resp.Header.Set(header.RequestID, c.id)
}

// forward passes the request to the owner of its key.
func (s *Server) forward(req *fasthttp.Request, resp *fasthttp.Response, c *call) {
	req.Header.Set(header.Service, c.service.Name)
	req.Header.Set(header.IdempotencyKey, c.key.String())
	req.Header.SetBytesV(header.Deadline, appendDuration(nil, time.Until(c.deadline)))
	ctx, cancel := context.WithDeadline(context.Background(), c.deadline)
	defer cancel()
	s.recordEvent(c, timeline.Event{Kind: timeline.RequestForwarded, Peer: c.key.Instance})
	c.dispatched = true
	s.counters.forwarded.Add(1)
	answer, err := s.forwarder.Forward(ctx, c.key.Instance, c.key.Incarnation, encodeRequest(req))
	if err == nil {
		err = decodeAnswer(resp, answer)
	}
	switch {
	case err == nil:
		resp.Header.Del(fasthttp.HeaderConnection)
		resp.Header.Set(header.RequestID, c.id)
	case ctx.Err() != nil:
		s.fail(resp, c, unknown(fasthttp.StatusGatewayTimeout, "no answer of the key's owner before the deadline"))
	default:
		s.fail(resp, c, unknown(fasthttp.StatusBadGateway, err.Error()))
	}
}

// ServeForwarded serves a request that another instance passed on because this
// one owns its idempotency key. Request and answer are HTTP/1.1 messages. The
// error wraps ErrBadForward; the request was then not dispatched.
func (s *Server) ServeForwarded(ctx context.Context, request []byte, timeout time.Duration) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	reader := bufio.NewReaderSize(bytes.NewReader(request), 2*maxRequestHeader)
	if err := readRequest(req, reader, s.http.MaxRequestBodySize); err != nil {
		return nil, err
	}
	if len(req.Header.Peek(header.IdempotencyKey)) == 0 {
		return nil, fmt.Errorf("%w: no idempotency key", ErrBadForward)
	}
	if timeout < deadlineOf(req) {
		req.Header.Set(header.Deadline, timeout.String())
	}
	s.serve(req, resp, &call{forwarded: true})
	s.counters.answered(resp)
	return encodeAnswer(resp)
}

func deadlineOf(req *fasthttp.Request) time.Duration {
	d, err := time.ParseDuration(string(req.Header.Peek(header.Deadline)))
	if err != nil {
		return 1<<63 - 1
	}
	return d
}

func readRequest(req *fasthttp.Request, reader *bufio.Reader, maxBody int) error {
	if err := req.Header.Read(reader); err != nil {
		return fmt.Errorf("%w: %w", ErrBadForward, err)
	}
	if err := req.ContinueReadBody(reader, maxBody, false); err != nil {
		return fmt.Errorf("%w: %w", ErrBadForward, err)
	}
	if reader.Buffered() > 0 {
		return fmt.Errorf("%w: bytes follow the request", ErrBadForward)
	}
	return nil
}

// encodeRequest bypasses Request.Write, which rewrites the path.
func encodeRequest(req *fasthttp.Request) []byte {
	body := req.Body()
	head := req.Header.Header()
	message := make([]byte, 0, len(head)+len(body))
	return append(append(message, head...), body...)
}

func encodeAnswer(resp *fasthttp.Response) ([]byte, error) {
	var message bytes.Buffer
	message.Grow(len(resp.Body()) + headerAllowance)
	_, err := resp.WriteTo(&message)
	return message.Bytes(), err
}

// decodeAnswer reads one whole answer with a proven end.
func decodeAnswer(resp *fasthttp.Response, message []byte) error {
	head := resp.SkipBody
	resp.Reset()
	resp.SkipBody = head
	reader := bufio.NewReaderSize(bytes.NewReader(message), 2*maxRequestHeader)
	if err := resp.Read(reader); err != nil {
		return fmt.Errorf("answer of the key's owner: %w", err)
	}
	if reader.Buffered() > 0 || len(resp.Header.Peek(header.Outcome)) == 0 {
		return errors.New("answer of the key's owner is malformed")
	}
	resp.Header.SetNoDefaultContentType(true)
	return nil
}
