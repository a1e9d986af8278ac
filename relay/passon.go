package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/bodies"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
	"rhubarbrelay/timeline"
	"rhubarbrelay/upstream"
)

const (
	// maxPeers limits the other instances that are tried for a request, which all but the
	// last one have not got.
	maxPeers = 2
	// maxPeerRetryAfter limits the retry delay that another instance may state.
	maxPeerRetryAfter = 5 * time.Second
	// leavingTargetHeader names, in a response to another instance, the target that has
	// stated in it that it leaves: the time of its start in milliseconds, a space, and its ID.
	leavingTargetHeader = "Relay-Target-Leaving"
	// elapsedHeader states, in a request to another instance, how many milliseconds its
	// caller has waited. The timeout is what the route leaves, and does not tell that.
	elapsedHeader = "Relay-Elapsed-Ms"
)

// PeerSelector selects the other instance that runs a request in place of this one.
type PeerSelector interface {
	// SelectPeer returns the address at which an instance that reaches the targets of the
	// service takes over requests. ok is false if there is none but the excluded ones.
	SelectPeer(service string, exclude []netip.AddrPort) (address netip.AddrPort, ok bool)
}

// mayPassOn reports whether another instance may run the request. One that comes from
// another instance is not passed on again.
func (s *Server) mayPassOn(c *call) bool { return s.peers != nil && !c.fromPeer }

// unreached reports whether the last try could open no connection to its target, and no
// other one may have run the request.
func (c *call) unreached() bool {
	t := c.lastTry
	return c.sentTries == 0 && !c.mayHaveRun && t != nil && errors.Is(t.err, upstream.ErrUnreachable)
}

// passOn sends a request, of which nothing was sent to a target, to another instance and
// responds to the caller. It returns false if no instance has got the request.
func (s *Server) passOn(caller *callerWatch, req *fasthttp.Request, resp *fasthttp.Response, c *call) bool {
	if !s.mayPassOn(c) {
		return false
	}
	var tried []netip.AddrPort
	for range maxPeers {
		left := time.Until(c.deadline)
		address, ok := s.peers.SelectPeer(c.service, tried)
		if !ok || left < minTryTime || caller.Err() != nil || s.sends.isClosed() {
			return false
		}
		tried = append(tried, address)
		conn, err := s.peerPools.pool(address).Acquire(c.deadline)
		if err == nil {
			c.peer = address
			err = s.exchangeWithPeer(caller, conn, req, resp, c)
		}
		if err == nil {
			return true
		}
		s.logger.WithField("request", c.id).WithField("peer", address.String()).WithError(err).Warn("request cannot be passed on")
	}
	return false
}

// exchangeWithPeer sends the request to another instance and responds to the caller. The
// error wraps upstream.ErrNotSent.
func (s *Server) exchangeWithPeer(caller *callerWatch, conn *upstream.Conn, req *fasthttp.Request, resp *fasthttp.Response, c *call) error {
	defer conn.Release()
	platform.SetCallerTimeout(&req.Header, time.Until(c.deadline))
	setElapsed(&req.Header, c.priorElapsed+time.Since(c.arrival))
	setKeyDigest(&req.Header, c)
	answer := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(answer)
	reservation := bodies.NewReservation(s.responseMemory, 1)
	exchanged := make(chan error, 1)
	go func() { exchanged <- conn.RoundTrip(req, answer, c.deadline.Add(responseMargin), reservation) }()
	var err error
	select {
	case err = <-exchanged:
	case <-caller.Done():
		conn.Cancel()
		err = errors.Join(context.Cause(caller), <-exchanged)
	}
	if errors.Is(err, upstream.ErrNotSent) {
		req.Header.Del(elapsedHeader)
		req.Header.Del(keyDigestHeader)
		reservation.Release()
		return err
	}
	s.counters.passedOn.Add(1)
	s.recordPassedOn(c)
	s.answerFromPeer(resp, c, answer, reservation, err)
	return nil
}

// answerFromPeer responds to the caller with the response of another instance, or after
// the exchange with it has failed.
func (s *Server) answerFromPeer(resp *fasthttp.Response, c *call, answer *fasthttp.Response, reservation *bodies.Reservation, err error) {
	if err == nil && platform.ReadResponseInfo(&answer.Header).Sealed {
		if target, ok := leavingTarget(answer); ok {
			c.dispatcher.RecordLeaving(target)
		}
		held := false
		s.copyResponse(resp, c, answer, func(body []byte) *heldBody {
			held = true
			return newHeldBody(body, reservation)
		})
		if !held {
			reservation.Release()
		}
		if s.forwardLogs.Allow() {
			s.logger.WithFields(s.logFields(c, nil)).WithField("status", resp.StatusCode()).Info("request answered through another instance")
		}
		return
	}
	reservation.Release()
	if err == nil {
		c.peerFailure = describeFailure(answer)
	}
	s.fail(resp, c, peerFailure(answer, err, c.deadline))
}

// maxPeerReason limits the bytes that are logged of the reason in another instance's response.
const maxPeerReason = 100

// describeFailure returns the status and the reason in the response of another instance.
func describeFailure(answer *fasthttp.Response) string {
	reason := bytes.TrimSpace(answer.Body())
	return fmt.Sprintf("%d %s", answer.StatusCode(), reason[:min(len(reason), maxPeerReason)])
}

// peerFailure returns the failure of a request that was passed on. Another instance
// promises by the same statuses as this one that the request has not run. It may have
// another configuration, so that its other refusals need not hold here.
func peerFailure(answer *fasthttp.Response, err error, deadline time.Time) *failure {
	status := answer.StatusCode()
	switch {
	case errors.Is(err, errCallerClosed):
		return callerClosedFailure(true)
	case err != nil && !time.Now().Before(deadline):
		return unknownOutcomeFailure(fasthttp.StatusGatewayTimeout, "no answer of another instance before the deadline")
	case err != nil:
		return unknownOutcomeFailure(fasthttp.StatusBadGateway, "exchange with another instance broke")
	case status == fasthttp.StatusGatewayTimeout:
		return unknownOutcomeFailure(status, "no answer in time through another instance")
	case status >= fasthttp.StatusBadRequest && status < fasthttp.StatusInternalServerError, status == fasthttp.StatusServiceUnavailable:
		return unavailableFailure(refusedByPeer, "another instance did not run the request", peerRetryAfter(answer))
	}
	return unknownOutcomeFailure(fasthttp.StatusBadGateway, "no valid answer through another instance")
}

// peerRetryAfter returns the retry delay that another instance states, or a default.
func peerRetryAfter(answer *fasthttp.Response) time.Duration {
	seconds, err := strconv.ParseFloat(string(answer.Header.Peek(fasthttp.HeaderRetryAfter)), 64)
	if err != nil || !(seconds > 0) {
		return notReadyRetryAfter
	}
	return time.Duration(min(seconds, maxPeerRetryAfter.Seconds()) * float64(time.Second))
}

func (s *Server) recordPassedOn(c *call) {
	if s.recorder != nil {
		s.recorder.Record(timeline.Event{Kind: timeline.RequestPassedOn, Request: c.id, Service: c.service, Peer: c.peer.String()})
	}
}

func setLeavingTarget(resp *fasthttp.Response, target targets.Incarnation) {
	resp.Header.Set(leavingTargetHeader, strconv.FormatInt(target.StartedMS, 10)+" "+target.ID)
}

// leavingTarget returns the target that has stated in the response of another instance that
// it leaves. ok is false if there is none.
func leavingTarget(answer *fasthttp.Response) (target targets.Incarnation, ok bool) {
	started, id, ok := strings.Cut(string(answer.Header.Peek(leavingTargetHeader)), " ")
	startedMS, err := strconv.ParseInt(started, 10, 64)
	return targets.Incarnation{ID: id, StartedMS: startedMS}, ok && err == nil
}

func setElapsed(h *fasthttp.RequestHeader, elapsed time.Duration) {
	h.Set(elapsedHeader, strconv.FormatInt(elapsed.Milliseconds(), 10))
}

// statedElapsed returns how long the caller of a request has waited, as the instance that
// has passed the request on states, 0 if it does not.
func statedElapsed(h *fasthttp.RequestHeader) time.Duration {
	ms, err := strconv.ParseInt(string(h.Peek(elapsedHeader)), 10, 32)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
