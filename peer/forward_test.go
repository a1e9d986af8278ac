package peer

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/membership"
)

// Guards against a result that claims "not delivered" for a request that ran,
// or that leaves a request unknown although it provably did not arrive.
func TestForwardOutcomes(t *testing.T) {
	n := newNetwork()
	var ran atomic.Int64
	handler := func(ctx context.Context, request []byte, _ time.Duration) ([]byte, error) {
		ran.Add(1)
		switch string(request) {
		case "fail":
			return nil, errors.New("handler fails")
		case "hang":
			<-ctx.Done()
			return nil, ctx.Err()
		case "big":
			return make([]byte, controlFrameLimit+1), nil
		}
		return request, nil
	}
	nodes := startMesh(t, n, 2, WithHandler(handler))
	owner := nodes[1]
	nodes[0].directory.Heard(membership.Instance{
		ID: "gone", Incarnation: 5, State: membership.Live, Sequence: 1,
		PeerAddress: netip.MustParseAddrPort("127.0.0.1:1"),
	})
	for _, c := range []struct {
		name        string
		instance    string
		incarnation int64
		request     string
		want        error
		runs        int64
	}{
		{"answered", owner.id, 1001, "x", nil, 1},
		{"no such owner", "nobody", 1, "x", ErrOwnerUnknown, 0},
		{"owner down", "gone", 5, "x", ErrOwnerUnreachable, 0},
		{"earlier incarnation", owner.id, 1000, "x", ErrOtherIncarnation, 0},
		{"later incarnation", owner.id, 1002, "x", ErrOtherIncarnation, 0},
		{"request too large", owner.id, 1001, string(make([]byte, controlFrameLimit+1)), ErrRequestTooLarge, 0},
		{"handler fails", owner.id, 1001, "fail", ErrDeliveryUnknown, 1},
		{"handler hangs", owner.id, 1001, "hang", ErrDeliveryUnknown, 1},
		{"answer too large", owner.id, 1001, "big", ErrAnswerTooLarge, 1},
	} {
		before := ran.Load()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		answer, err := nodes[0].mesh.Forward(ctx, c.instance, c.incarnation, []byte(c.request))
		cancel()
		assert.ErrorIs(t, err, c.want, c.name)
		assert.Equal(t, ran.Load()-before, c.runs, c.name)
		if c.want == nil {
			assert.Equal(t, string(answer), c.request)
			continue
		}
		assert.Assert(t, errors.Is(err, ErrNotDelivered) != errors.Is(err, ErrDeliveryUnknown), c.name)
	}
}

// Guards against an instance without a session to the owner, as is usual in a
// large mesh, that cannot forward, and against sessions that stay for ever.
func TestForwardDialsOnDemand(t *testing.T) {
	n := newNetwork()
	timings := calmTimings()
	timings.Idle = 200 * time.Millisecond
	nodes := startMesh(t, n, 15, WithHandler(echo), WithTimings(timings))
	for i, owner := range nodes[1:] {
		answer, err := nodes[0].mesh.Forward(context.Background(), owner.id, 1001+int64(i), []byte("x"))
		assert.NilError(t, err)
		assert.Equal(t, string(answer), "x")
	}
	wanted := map[string]bool{}
	for _, in := range neighbours(nodes[0].id, nodes[0].directory.Known()) {
		wanted[in.ID] = true
	}
	await(t, func() error {
		for _, s := range nodes[0].mesh.list() {
			if !s.incoming && !wanted[s.peer.ID] {
				return errors.New("session without use stays")
			}
		}
		return nil
	})
}

// Guards against a request that waits in a buffer past its deadline and is
// executed nevertheless.
func TestLateRequestIsNotExecuted(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	var d delays
	// The sender's clock is an hour ahead.
	skewed := func(sent time.Time) int64 { return sent.Add(time.Hour).UnixMilli() }
	for i := range 3 {
		sent := now.Add(time.Duration(i) * time.Second)
		d.add(skewed(sent), sent.Add(2*time.Millisecond))
	}
	sent := now.Add(4 * time.Second)
	assert.Equal(t, d.of(skewed(sent), sent.Add(2*time.Millisecond)), time.Duration(0))
	assert.Equal(t, d.of(skewed(sent), sent.Add(502*time.Millisecond)), 500*time.Millisecond)

	n := newNetwork()
	var ran atomic.Bool
	nodes := startMesh(t, n, 2, WithHandler(func(context.Context, []byte, time.Duration) ([]byte, error) {
		ran.Store(true)
		return nil, nil
	}))
	// The owner takes every message of this session as late by an hour.
	s := nodes[1].mesh.sessionWith(nodes[0].id)
	s.delays.add(time.Now().Add(time.Hour).UnixMilli(), time.Now())
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := nodes[0].mesh.Forward(ctx, nodes[1].id, 1001, []byte("x"))
	assert.ErrorIs(t, err, ErrExpired)
	assert.Assert(t, !ran.Load())
}

// Guards against a request on a connection that drops all bytes: its outcome
// must be unknown, never "not delivered", and come within the deadline.
func TestForwardOnSilentSession(t *testing.T) {
	n := newNetwork()
	timings := testTimings()
	// Neither a re-dial nor a late heartbeat may replace the session.
	timings.Silence = time.Minute
	timings.Heartbeat = 10 * time.Second
	nodes := startMesh(t, n, 2, WithHandler(echo), WithTimings(timings))
	n.silence(nodes[0].id, nodes[1].id)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := nodes[0].mesh.Forward(ctx, nodes[1].id, 1001, []byte("x"))
	assert.ErrorIs(t, err, ErrDeliveryUnknown)
}

// Guards against a stop of the owner that interrupts a forwarded request in
// progress, or that executes one that arrives later.
func TestStopFinishesForwardedRequests(t *testing.T) {
	n := newNetwork()
	begun, finish := make(chan struct{}), make(chan struct{})
	nodes := startMesh(t, n, 2, WithHandler(func(_ context.Context, request []byte, _ time.Duration) ([]byte, error) {
		close(begun)
		<-finish
		return request, nil
	}))
	forward := func() error {
		_, err := nodes[0].mesh.Forward(context.Background(), nodes[1].id, 1001, []byte("x"))
		return err
	}
	first := make(chan error)
	go func() { first <- forward() }()
	<-begun
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		nodes[1].stop()
	}()
	await(t, func() error {
		if nodes[1].mesh.forwards.TryAcquire(1) {
			nodes[1].mesh.forwards.Release(1)
			return errors.New("not stopping yet")
		}
		return nil
	})
	assert.ErrorIs(t, forward(), ErrOverloaded)
	close(finish)
	assert.NilError(t, <-first)
	<-stopped
	// Until the end of the session is noticed, the outcome is unknown.
	await(t, func() error {
		if nodes[0].mesh.sessionWith(nodes[1].id) != nil {
			return errors.New("session with the stopped instance")
		}
		return nil
	})
	assert.ErrorIs(t, forward(), ErrNotDelivered)
}

// Guards against a session that is closed as not needed, or replaced, while it
// carries a request.
func TestGoodbyeWaitsForRequests(t *testing.T) {
	n := newNetwork()
	begun, finish := make(chan struct{}), make(chan struct{})
	nodes := startMesh(t, n, 2, WithHandler(func(_ context.Context, request []byte, _ time.Duration) ([]byte, error) {
		close(begun)
		<-finish
		return request, nil
	}))
	first := make(chan error)
	go func() {
		_, err := nodes[0].mesh.Forward(context.Background(), nodes[1].id, 1001, []byte("x"))
		first <- err
	}()
	<-begun
	s := nodes[1].mesh.sessionWith(nodes[0].id)
	s.goodbye("test", false)
	await(t, func() error {
		if other := nodes[0].mesh.sessionWith(nodes[1].id); other == nil {
			return errors.New("no new session")
		}
		return nil
	})
	close(finish)
	assert.NilError(t, <-first)
	<-s.ended
	await(t, func() error { return allLive(nodes) })
}
