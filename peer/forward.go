package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/yamux"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer/peerpb"
)

// The errors of Forward. All but ErrDeliveryUnknown and the errors that wrap
// it wrap ErrNotDelivered, which promises that the owner did not and will not
// execute the request.
var (
	ErrNotDelivered     = errors.New("request not delivered")
	ErrOwnerUnknown     = fmt.Errorf("%w: owner unknown", ErrNotDelivered)
	ErrOwnerUnreachable = fmt.Errorf("%w: owner unreachable", ErrNotDelivered)
	ErrOtherIncarnation = fmt.Errorf("%w: owner runs in another incarnation", ErrNotDelivered)
	ErrExpired          = fmt.Errorf("%w: no time left", ErrNotDelivered)
	ErrOverloaded       = fmt.Errorf("%w: owner has too many forwarded requests", ErrNotDelivered)
	ErrRequestTooLarge  = fmt.Errorf("%w: request too large", ErrNotDelivered)

	ErrDeliveryUnknown = errors.New("request may have been delivered")
	// ErrAnswerTooLarge reports that the owner handled the request, but its
	// answer does not fit a frame.
	ErrAnswerTooLarge = fmt.Errorf("%w: answer too large", ErrDeliveryUnknown)
)

const (
	// provenHeartbeats is the number of heartbeat periods within which a
	// session must have been heard to carry a request. An older one may be
	// silently dead, and a request on it would end with delivery unknown.
	provenHeartbeats = 2
	// firstFrameTimeout bounds the arrival of the request on a new stream.
	firstFrameTimeout = 2 * time.Second
	// envelopeBytes is the largest size of the fields around a forwarded
	// request or answer.
	envelopeBytes = 64
)

// Forward sends a request to the instance, in that incarnation, and returns
// its answer. The errors tell whether the request was delivered.
func (m *Mesh) Forward(ctx context.Context, instance string, incarnation int64, request []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, m.timings.Forward)
	defer cancel()
	if len(request) > m.answerCap {
		return nil, fmt.Errorf("%w: %d bytes, limit %d", ErrRequestTooLarge, len(request), m.answerCap)
	}
	s, err := m.sessionFor(ctx, instance, incarnation)
	if err != nil {
		return nil, err
	}
	s.used()
	stream, done, err := s.openStream(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrOwnerUnreachable, instance, err)
	}
	defer done()
	deadline, _ := ctx.Deadline()
	if err := stream.SetDeadline(deadline); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrOwnerUnreachable, instance, err)
	}
	timeout := time.Until(deadline)
	if timeout <= 0 || ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %s", ErrExpired, instance)
	}
	return m.exchange(s, stream, &peerpb.ForwardRequest{
		TimeoutUs: timeout.Microseconds(), Request: request,
		OwnerIncarnation: incarnation, WallMs: time.Now().UnixMilli(),
	})
}

// exchange writes the request and reads the answer. Once the write has begun,
// a failure leaves the delivery unknown: yamux may send what it has taken
// even when the write has timed out.
func (m *Mesh) exchange(s *session, stream *yamux.Stream, r *peerpb.ForwardRequest) ([]byte, error) {
	b, err := encodeFrame(&peerpb.Frame{Message: &peerpb.Frame_ForwardRequest{ForwardRequest: r}}, m.answerCap+envelopeBytes)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRequestTooLarge, err)
	}
	m.counters.framesOut.Add(1)
	n, err := stream.Write(b)
	m.counters.forwardBytesOut.Add(uint64(n))
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrDeliveryUnknown, s.peer.ID, err)
	}
	f, err := readFrame(stream, m.answerCap+envelopeBytes)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrDeliveryUnknown, s.peer.ID, err)
	}
	m.counters.framesIn.Add(1)
	answer := f.GetForwardAnswer()
	m.counters.forwardBytesIn.Add(uint64(len(answer.GetResponse())))
	switch answer.GetStatus() {
	case peerpb.ForwardStatus_FORWARD_STATUS_DONE:
		return answer.GetResponse(), nil
	case peerpb.ForwardStatus_FORWARD_STATUS_EXPIRED:
		return nil, fmt.Errorf("%w: %s", ErrExpired, s.peer.ID)
	case peerpb.ForwardStatus_FORWARD_STATUS_OTHER_INCARNATION:
		return nil, fmt.Errorf("%w: %s", ErrOtherIncarnation, s.peer.ID)
	case peerpb.ForwardStatus_FORWARD_STATUS_OVERLOADED:
		return nil, fmt.Errorf("%w: %s", ErrOverloaded, s.peer.ID)
	case peerpb.ForwardStatus_FORWARD_STATUS_ANSWER_TOO_LARGE:
		return nil, fmt.Errorf("%w: %s", ErrAnswerTooLarge, s.peer.ID)
	default:
		return nil, fmt.Errorf("%w: %s: status %s", ErrDeliveryUnknown, s.peer.ID, answer.GetStatus())
	}
}

// sessionFor returns a session with the instance in that incarnation. It dials
// when there is none that was heard just now.
func (m *Mesh) sessionFor(ctx context.Context, id string, incarnation int64) (*session, error) {
	in, ok := m.directory.Lookup(id)
	if !ok || !in.PeerAddress.IsValid() {
		return nil, fmt.Errorf("%w: %q", ErrOwnerUnknown, id)
	}
	if in.Incarnation > incarnation {
		return nil, fmt.Errorf("%w: %q runs as %d, not %d", ErrOtherIncarnation, id, in.Incarnation, incarnation)
	}
	if in.State == membership.Dead {
		return nil, fmt.Errorf("%w: %q is dead", ErrOwnerUnreachable, id)
	}
	s := m.sessionWith(id)
	if s == nil || s.silence() > provenHeartbeats*m.timings.Heartbeat || s.peer.Incarnation < incarnation {
		var err error
		if s, err = m.dialOwner(ctx, in); err != nil {
			return nil, err
		}
	}
	if s.peer.Incarnation != incarnation {
		return nil, fmt.Errorf("%w: %q runs as %d, not %d", ErrOtherIncarnation, id, s.peer.Incarnation, incarnation)
	}
	return s, nil
}

func (m *Mesh) dialOwner(ctx context.Context, in membership.Instance) (*session, error) {
	if err := m.dials.Acquire(ctx, 1); err != nil {
		return nil, fmt.Errorf("%w: %q: %w", ErrOwnerUnreachable, in.ID, err)
	}
	defer m.dials.Release(1)
	// Another request may have dialled while this one waited.
	if s := m.sessionWith(in.ID); s != nil && s.silence() <= provenHeartbeats*m.timings.Heartbeat {
		return s, nil
	}
	s, err := m.dial(ctx, in.PeerAddress)
	if err != nil {
		return nil, fmt.Errorf("%w: %q: %w", ErrOwnerUnreachable, in.ID, err)
	}
	m.register(s)
	if s.peer.ID != in.ID {
		return nil, fmt.Errorf("%w: %s belongs to instance %q, not %q", ErrOwnerUnreachable, in.PeerAddress, s.peer.ID, in.ID)
	}
	return s, nil
}

// acceptStreams serves the streams that the peer opens.
func (m *Mesh) acceptStreams(ctx context.Context, s *session) {
	for {
		stream, err := s.mux.AcceptStreamWithContext(ctx)
		if err != nil {
			s.close()
			return
		}
		s.active.Add(1)
		if !m.forwards.TryAcquire(1) {
			m.counters.drops.Add(1)
			m.answer(stream, forwardStatus(peerpb.ForwardStatus_FORWARD_STATUS_OVERLOADED), controlFrameLimit)
			_ = stream.Close()
			s.active.Add(-1)
			continue
		}
		started := m.start(func(ctx context.Context) {
			defer m.forwards.Release(1)
			defer s.active.Add(-1)
			defer func() { _ = stream.Close() }()
			m.serveStream(ctx, s, stream)
		})
		if !started {
			m.forwards.Release(1)
			s.active.Add(-1)
			_ = stream.Close()
		}
	}
}

// serveStream reads one request from the stream and answers it.
func (m *Mesh) serveStream(ctx context.Context, s *session, stream *yamux.Stream) {
	if err := stream.SetReadDeadline(time.Now().Add(firstFrameTimeout)); err != nil {
		return
	}
	f, err := readFrame(stream, m.answerCap+envelopeBytes)
	if err != nil {
		if isProtocolError(err) {
			m.logger.WithField("peer", s.peer.ID).WithError(err).Warn("peer session closed")
			s.close()
		}
		return
	}
	m.counters.framesIn.Add(1)
	s.used()
	switch message := f.GetMessage().(type) {
	case *peerpb.Frame_ForwardRequest:
		m.answer(stream, m.execute(ctx, s, message.ForwardRequest), m.answerCap+envelopeBytes)
	case *peerpb.Frame_ConfigRequest:
		answer, err := m.answerConfig(message.ConfigRequest)
		if err != nil {
			m.logger.WithError(err).Warn("configuration snapshot not made")
			return
		}
		m.answer(stream, answer, configFrameLimit)
	default:
		m.logger.WithField("peer", s.peer.ID).Warnf("peer session closed: unexpected %T on a new stream", message)
		s.close()
	}
}

func (m *Mesh) answer(stream *yamux.Stream, f *peerpb.Frame, limit int) {
	b, err := encodeFrame(f, limit)
	if errors.Is(err, ErrFrameTooLarge) {
		b, err = encodeFrame(forwardStatus(peerpb.ForwardStatus_FORWARD_STATUS_ANSWER_TOO_LARGE), limit)
	}
	if err != nil {
		m.logger.WithError(err).Error("answer to a peer not encoded")
		return
	}
	if err := stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return
	}
	m.counters.framesOut.Add(1)
	n, err := stream.Write(b)
	if f.GetForwardAnswer() != nil {
		m.counters.forwardBytesOut.Add(uint64(n))
	}
	if err != nil {
		m.logger.WithError(err).Debug("answer to a peer not sent")
	}
}

// execute calls the handler unless the request is late or for another
// incarnation.
func (m *Mesh) execute(ctx context.Context, s *session, r *peerpb.ForwardRequest) *peerpb.Frame {
	m.counters.forwardBytesIn.Add(uint64(len(r.GetRequest())))
	if r.GetOwnerIncarnation() != m.directory.Self().Incarnation {
		return forwardStatus(peerpb.ForwardStatus_FORWARD_STATUS_OTHER_INCARNATION)
	}
	if m.handler == nil {
		return forwardStatus(peerpb.ForwardStatus_FORWARD_STATUS_OVERLOADED)
	}
	// The request may have waited in a buffer, for example while this process
	// was paused.
	timeout := time.Duration(r.GetTimeoutUs())*time.Microsecond - s.delays.of(r.GetWallMs(), time.Now())
	if timeout <= 0 {
		return forwardStatus(peerpb.ForwardStatus_FORWARD_STATUS_EXPIRED)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := m.handler(ctx, r.GetRequest(), timeout)
	if err != nil {
		m.logger.WithField("peer", s.peer.ID).WithError(err).Debug("forwarded request failed")
		return forwardStatus(peerpb.ForwardStatus_FORWARD_STATUS_FAILED)
	}
	if len(response) > m.answerCap {
		return forwardStatus(peerpb.ForwardStatus_FORWARD_STATUS_ANSWER_TOO_LARGE)
	}
	return &peerpb.Frame{Message: &peerpb.Frame_ForwardAnswer{ForwardAnswer: &peerpb.ForwardAnswer{
		Response: response, Status: peerpb.ForwardStatus_FORWARD_STATUS_DONE,
	}}}
}

func forwardStatus(status peerpb.ForwardStatus) *peerpb.Frame {
	return &peerpb.Frame{Message: &peerpb.Frame_ForwardAnswer{ForwardAnswer: &peerpb.ForwardAnswer{Status: status}}}
}
