package routing

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/limits"
	"rhubarbrelay/platform"
	"rhubarbrelay/reachability"
	"rhubarbrelay/targets"
	"rhubarbrelay/upstream"
)

// reachTest is a dispatcher whose links to its targets can be cut.
type reachTest struct {
	dispatcher *Dispatcher
	cut        atomic.Bool
	dials      atomic.Int64
	now        time.Time

	mu    sync.Mutex
	conns []net.Conn
}

func newReachTest(t *testing.T, service *config.Service, count int) *reachTest {
	t.Helper()
	r := &reachTest{now: time.Now()}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		r.dials.Add(1)
		if r.cut.Load() {
			return nil, syscall.ECONNREFUSED
		}
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err == nil {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.conns = append(r.conns, conn)
		}
		return conn, err
	}
	r.dispatcher = NewDispatcher(service, testSettings(), InstanceCounts{Known: 1, Active: 1}, WithClock(func() time.Time { return r.now }),
		WithPoolFactory(func(to upstream.Destination, limit int) *upstream.Pool {
			return upstream.NewPool(to, limit, upstream.WithDial(dial))
		}))
	t.Cleanup(r.dispatcher.Close)
	infos := make([]*targets.Target, 0, count)
	for i := range count {
		_, info := startTarget(t, fmt.Sprintf("t-%d", i), "a", 4)
		infos = append(infos, info)
	}
	r.dispatcher.SetTargets(infos)
	return r
}

// lose cuts the links and checks the targets until they count as unreachable for long.
func (r *reachTest) lose(t *testing.T) {
	t.Helper()
	r.cut.Store(true)
	r.mu.Lock()
	for _, conn := range r.conns {
		_ = conn.Close()
	}
	r.mu.Unlock()
	for range 50 {
		r.now = r.now.Add(200 * time.Millisecond)
		r.dispatcher.CheckReach(true)
	}
	assert.Equal(t, r.dispatcher.Reach(), reachability.Lost)
}

func (r *reachTest) request() *Request {
	return &Request{Route: "r", Arrival: r.now, Deadline: r.now.Add(5 * time.Second), Objective: 2 * time.Second}
}

// Guards against a lost link that goes unnoticed, or that counts as lost after it works
// again, with and without a health path.
func TestReachIsChecked(t *testing.T) {
	for _, path := range []string{"/healthz", ""} {
		t.Run("path "+path, func(t *testing.T) {
			r := newReachTest(t, &config.Service{Name: "s", HealthPath: path, MaxConnections: 200}, 10)
			r.dispatcher.CheckReach(true)
			assert.Equal(t, r.dispatcher.Reach(), reachability.Reachable) // control
			assert.Equal(t, r.dials.Load(), int64(1))
			if path != "" {
				r.now = r.now.Add(2 * time.Second)
				r.dispatcher.CheckReach(true)
				assert.Equal(t, r.dials.Load(), int64(1)) // on the same connection
			}
			r.lose(t)
			r.cut.Store(false)
			r.dispatcher.CheckReach(false)
			assert.Equal(t, r.dispatcher.Reach(), reachability.Reachable)
		})
	}
}

// Guards against requests that wait for the backoff of targets that are reached again.
func TestTargetsAreUsedOnceReachedAgain(t *testing.T) {
	r := newReachTest(t, service, 4)
	r.lose(t)
	r.cut.Store(false)
	r.dispatcher.CheckReach(false)
	assert.Equal(t, r.dispatcher.Reach(), reachability.Reachable)
	l, available := r.dispatcher.scan(r.request(), false)
	assert.Assert(t, available && l != nil)
	l.Release(Inconclusive, platform.ResponseInfo{})
}

// Guards against a request that waits for targets that this instance cannot reach although
// another one can run it, and against one that is refused although no other one can.
func TestRequestForUnreachableTargets(t *testing.T) {
	r := newReachTest(t, service, 4)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	elsewhere := r.request()
	elsewhere.Elsewhere = true
	l, err := r.dispatcher.Acquire(ctx, elsewhere) // control
	assert.NilError(t, err)
	l.Release(Inconclusive, platform.ResponseInfo{})
	r.lose(t)
	elsewhere = r.request()
	elsewhere.Elsewhere = true
	_, err = r.dispatcher.Acquire(ctx, elsewhere)
	assert.ErrorIs(t, err, ErrUnreachable)
	_, err = r.dispatcher.Acquire(ctx, r.request())
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// Guards against targets that are contacted although they want nothing, or beyond the limit
// of probes.
func TestReachChecksKeepLimits(t *testing.T) {
	for _, path := range []string{"/healthz", ""} {
		r := newReachTest(t, &config.Service{Name: "s", HealthPath: path, MaxConnections: 200}, 4)
		for _, target := range r.dispatcher.targets {
			r.dispatcher.RecordLeaving(target.info.Incarnation())
		}
		r.dispatcher.CheckReach(true)
		assert.Equal(t, r.dials.Load(), int64(0))
	}
	r := newReachTest(t, service, 4)
	settings := testSettings()
	settings.ProbesPerSecond = 0
	r.dispatcher.SetSettings(settings)
	r.cut.Store(true)
	for range 500 {
		r.dispatcher.CheckReach(true)
	}
	probes := r.dispatcher.Stats().Probes
	assert.Assert(t, probes > 0 && probes <= 4*40, "%d probes", probes) // what has accumulated
}

// Guards against evidence of requests that is ignored, or counted for targets that are gone.
func TestReachOfRequests(t *testing.T) {
	r := newReachTest(t, service, 4)
	leases := make([]*Lease, 0, 4)
	exclude := make([]targets.Incarnation, 0, 4)
	for range 4 {
		request := r.request()
		request.Exclude = exclude
		leases = append(leases, acquire(t, r.dispatcher, request))
		exclude = append(exclude, leases[len(leases)-1].Target().Incarnation())
	}
	r.lose(t)
	for _, l := range leases {
		l.Release(Succeeded, platform.ResponseInfo{Received: true})
	}
	assert.Equal(t, r.dispatcher.Reach(), reachability.Reachable)
	lost := leases[0].target
	r.dispatcher.recordUnreached(lost, upstream.ErrUnreachable)
	assert.Equal(t, r.dispatcher.Stats().Unreached, 1) // control
	draining := *lost.info
	draining.State = targets.Draining
	r.dispatcher.SetTargets([]*targets.Target{&draining})
	r.dispatcher.recordUnreached(lost, upstream.ErrUnreachable)
	assert.Equal(t, r.dispatcher.Stats().Unreached, 0)
}

// Guards against targets that are gone and still count as unreachable.
func TestReachOfRemovedTargets(t *testing.T) {
	r := newReachTest(t, service, 4)
	r.lose(t)
	r.dispatcher.SetTargets(nil)
	assert.Equal(t, r.dispatcher.Stats().Unreached, 0)
}

// Guards against a link that is not checked after an exchange broke off or timed out.
func TestReachIsCheckedAfterFailure(t *testing.T) {
	for _, outcome := range []Outcome{Failed, TimedOut, Succeeded} {
		r := newReachTest(t, service, 4)
		r.dispatcher.CheckReach(true)
		l := acquire(t, r.dispatcher, r.request())
		r.now = r.now.Add(100 * time.Millisecond)
		l.Release(outcome, platform.ResponseInfo{})
		before := r.dispatcher.Stats().Probes
		r.dispatcher.CheckReach(false)
		assert.Equal(t, r.dispatcher.Stats().Probes > before, outcome != Succeeded, "outcome %d", outcome)
	}
}

// Guards against retries for requests that other instances run and count.
func TestRequestElsewhereAllowsNoRetry(t *testing.T) {
	r := newReachTest(t, service, 4)
	r.dispatcher.SetSettings(Settings{Zone: "a", Retries: limits.RetryLimits{Ratio: 10, Window: time.Second}, ProbesPerSecond: 10_000})
	r.lose(t)
	request := r.request()
	request.Elsewhere = true
	_, err := r.dispatcher.Acquire(context.Background(), request)
	assert.ErrorIs(t, err, ErrUnreachable)
	assert.Assert(t, !r.dispatcher.AllowRetry())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = r.dispatcher.Acquire(ctx, r.request())
	assert.ErrorIs(t, err, context.Canceled)
	assert.Assert(t, r.dispatcher.AllowRetry()) // control
}

// Guards against a request that is refused by the length of the queue although another
// instance can run it.
func TestRequestForUnreachableTargetsBehindOthers(t *testing.T) {
	r := newReachTest(t, service, 4)
	r.lose(t)
	ctx, cancel := context.WithCancel(context.Background())
	var waiting sync.WaitGroup
	for range 10 {
		waiting.Go(func() {
			_, err := r.dispatcher.Acquire(ctx, r.request())
			assert.Check(t, err != nil)
		})
	}
	for r.dispatcher.Stats().Waiting < maxScanners {
		time.Sleep(time.Millisecond)
	}
	request := r.request()
	request.Elsewhere = true
	_, err := r.dispatcher.Acquire(context.Background(), request)
	assert.ErrorIs(t, err, ErrUnreachable)
	cancel()
	waiting.Wait()
}
