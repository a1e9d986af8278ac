package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rhubarbrelay/bodies"
	"rhubarbrelay/crashes"
	"rhubarbrelay/routing"
	"rhubarbrelay/targets"
	"rhubarbrelay/upstream"
)

// mortalTarget is a target that ends when it gets a request to a path with "deadly":
// it closes its listener and all connections.
type mortalTarget struct {
	info     *targets.Target
	listener net.Listener

	mu    sync.Mutex
	conns []net.Conn
	ended bool
}

func newMortalTarget(t *testing.T, id string) *mortalTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	m := &mortalTarget{listener: l, info: &targets.Target{
		ID: id, Service: "spoolkeep", Zone: "a", Slots: 8, Address: netip.MustParseAddrPort(l.Addr().String()),
	}}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			m.mu.Lock()
			m.conns = append(m.conns, c)
			m.mu.Unlock()
			running.Go(func() { m.serve(t, c) })
		}
	})
	t.Cleanup(func() { m.end(false); running.Wait() })
	return m
}

func (m *mortalTarget) serve(t *testing.T, c net.Conn) {
	reader := bufio.NewReaderSize(c, 64<<10)
	for {
		var req fasthttp.Request
		if err := req.Read(reader); err != nil {
			checkClosed(t, err)
			return
		}
		path := string(req.URI().Path())
		response, _ := echo(&req)
		switch {
		case strings.Contains(path, "deadly"):
			m.end(true)
			return
		case path == "/healthz":
			response = "HTTP/1.1 200 OK\r\nRhubarbrelay-Instance-Id: " + m.info.ID + "\r\nRhubarbrelay-Server-Load: 0,0,8,100\r\nContent-Length: 0\r\n\r\n"
		}
		if _, err := c.Write([]byte(response)); err != nil {
			return
		}
	}
}

// end ends the target, by a request or at the end of the test.
func (m *mortalTarget) end(byRequest bool) {
	_ = m.listener.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = m.ended || byRequest
	for _, c := range m.conns {
		_ = c.Close()
	}
}

func (m *mortalTarget) hasEnded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ended
}

func newMortalTargets(t *testing.T, n int) (all []*mortalTarget, infos []*targets.Target) {
	t.Helper()
	for i := range n {
		m := newMortalTarget(t, fmt.Sprintf("t-%d", i))
		all, infos = append(all, m), append(infos, m.info)
	}
	return all, infos
}

func countEnded(all []*mortalTarget) int {
	n := 0
	for _, m := range all {
		if m.hasEnded() {
			n++
		}
	}
	return n
}

// Guards against a request that ends each target that runs it and is sent to one after
// the other, as its caller and others send it again.
func TestRequestThatEndsTargets(t *testing.T) {
	for _, prefix := range []string{"/safe/", "/once/"} {
		t.Run(prefix, func(t *testing.T) {
			all, infos := newMortalTargets(t, 8)
			h := newHarness(t, infos)
			for i := range 12 {
				got := h.call(t, "POST", prefix+"deadly", "body", fmt.Sprintf("Rhubarbrelay-Attempt-Id: id-%d", i))
				assert.Equal(t, got.status, 502, "%d: %s", i, got.body)
				assert.Equal(t, got.seal(), "")
			}
			assert.Assert(t, countEnded(all) <= 3, "%d targets have ended", countEnded(all))
			got := h.call(t, "POST", prefix+"harmless", "body")
			assert.Equal(t, got.status, 200)
		})
	}
}

// Guards against a request that each instance sends to three targets of its own before
// it learns that others have seen it end theirs.
func TestEndedTargetsCountOverAllInstances(t *testing.T) {
	all, infos := newMortalTargets(t, 8)
	ledger := crashes.NewLedger()
	first, second := newHarness(t, infos, WithCrashLedger(ledger)), newHarness(t, infos, WithCrashLedger(ledger))
	for i := range 8 {
		h := []*harness{first, second}[i%2]
		assert.Equal(t, h.call(t, "GET", "/once/deadly", "", fmt.Sprintf("Rhubarbrelay-Attempt-Id: id-%d", i)).status, 502)
	}
	assert.Equal(t, countEnded(all), crashes.MaxCrashes)
	assert.Equal(t, second.relay.Stats().Blocked+first.relay.Stats().Blocked, uint64(8-crashes.MaxCrashes))
}

// Guards against requests that are suspected without reason: those that a target has
// completed, that it has refused, or whose exchange broke off while the target runs on.
func TestInnocentRequestsAreNotSuspected(t *testing.T) {
	tests := []struct {
		name   string
		script targetScript
		before int // crashes that are known before
		want   int
	}{
		{"connection closed by a running target", func(*fasthttp.Request) (string, bool) { return "", true }, 1, 1},
		{"truncated response", func(*fasthttp.Request) (string, bool) { return "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx", true }, 1, 1},
		{"refused", func(req *fasthttp.Request) (string, bool) { return notRunResponse(req, 503), false }, 1, 1},
		{"completed", echo, 2, 0},
		{"server error", func(req *fasthttp.Request) (string, bool) { return sealed(req, 500, "x"), false }, 2, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			target := newScriptedTarget(t, "t-1", "a", tt.script)
			ledger := crashes.NewLedger()
			h := newHarness(t, targetInfos(target), WithCrashLedger(ledger))
			f := crashes.NewFingerprint([]byte("POST"), []byte("spoolkeep.example"), []byte("/once/x"), []byte("body"))
			for i := range tt.before {
				ledger.Add(f, targets.Incarnation{ID: "ended", StartedMS: int64(i)})
			}
			h.call(t, "POST", "/once/x", "body")
			assert.Equal(t, len(target.receivedIDs()), 1)
			assert.Equal(t, ledger.Crashes(f), tt.want)
		})
	}
}

// Guards against a harmless request that is taken for the cause, since it runs beside
// one that ends targets on each of them, as both are retried on the same target.
func TestSuspectsRunOnDifferentTargets(t *testing.T) {
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	defer release() // also after a failure
	target := newScriptedTarget(t, "t-1", "a", func(req *fasthttp.Request) (string, bool) {
		<-released
		return echo(req)
	})
	ledger := endsTargets("/once/first", 1)
	addCrash(ledger, "/once/second", 0)
	h := newHarness(t, targetInfos(target), WithCrashLedger(ledger))
	var calls sync.WaitGroup
	call := func(path string) {
		calls.Go(func() {
			assert.Check(t, h.call(t, "POST", path, "body", "Rhubarbrelay-Attempt-Id: "+path).status == 200)
		})
	}
	call("/once/first")
	waitFor(t, "the target has the first request", func() bool { return len(target.receivedIDs()) == 1 })
	call("/once/second")
	waitFor(t, "the second request waits", func() bool { return h.table.Stats()["spoolkeep"].Waiting == 1 })
	call("/once/harmless")
	waitFor(t, "the target has the harmless request", func() bool { return len(target.receivedIDs()) == 2 })
	assert.DeepEqual(t, target.receivedIDs(), []string{"/once/first", "/once/harmless"})
	release()
	calls.Wait()
	assert.Equal(t, len(target.receivedIDs()), 3)
}

// endsTargets returns a ledger in which copies of a POST request to the path with the
// body "body" have ended targets.
func endsTargets(path string, count int) *crashes.Ledger {
	ledger := crashes.NewLedger()
	for i := range count {
		addCrash(ledger, path, int64(i))
	}
	return ledger
}

func addCrash(ledger *crashes.Ledger, path string, target int64) {
	f := crashes.NewFingerprint([]byte("POST"), []byte("spoolkeep.example"), []byte(path), []byte("body"))
	ledger.Add(f, targets.Incarnation{ID: "ended", StartedMS: target})
}

// Guards against a blocked request that waits for a target or takes one, and against one
// that is sent because it was blocked only while it waited.
func TestBlockedRequestsAcquireNoTarget(t *testing.T) {
	release := make(chan struct{})
	target := newScriptedTarget(t, "t-1", "a", func(req *fasthttp.Request) (string, bool) {
		<-release
		return echo(req)
	})
	target.info.Slots = 1
	ledger := endsTargets("/once/blocked", crashes.MaxCrashes)
	h := newHarness(t, targetInfos(target), WithCrashLedger(ledger))
	assert.Equal(t, h.call(t, "POST", "/once/blocked", "body").status, 502)
	assert.Equal(t, h.table.Stats()["spoolkeep"].Acquired, uint64(0))
	var calls sync.WaitGroup
	calls.Go(func() { assert.Check(t, h.call(t, "POST", "/once/other", "body").status == 200) })
	waitFor(t, "the target is busy", func() bool { return len(target.receivedIDs()) == 1 })
	var waited response
	calls.Go(func() { waited = h.call(t, "POST", "/once/waits", "body", "Rhubarbrelay-Attempt-Id: waits") })
	waitFor(t, "the second request waits", func() bool { return h.table.Stats()["spoolkeep"].Waiting == 1 })
	for i := range int64(crashes.MaxCrashes) {
		addCrash(ledger, "/once/waits", i)
	}
	close(release)
	calls.Wait()
	assert.Equal(t, waited.status, 502, waited.body)
	assert.Equal(t, len(target.receivedIDs()), 1)
}

// Guards against a suspected request that is sent to a second target while the first one
// still works on it, and ends both.
func TestSuspectsAreNotHedged(t *testing.T) {
	for _, suspect := range []bool{true, false} {
		release := make(chan struct{})
		slow := func(req *fasthttp.Request) (string, bool) {
			<-release
			return echo(req)
		}
		a, b := newScriptedTarget(t, "t-1", "a", slow), newScriptedTarget(t, "t-2", "a", slow)
		ledger := crashes.NewLedger()
		if suspect {
			ledger = endsTargets("/safe/x", 1)
		}
		h := newHarness(t, targetInfos(a, b), WithCrashLedger(ledger))
		var call sync.WaitGroup
		call.Go(func() { assert.Check(t, h.call(t, "POST", "/safe/x", "body").status == 200) })
		received := func() int { return len(a.receivedIDs()) + len(b.receivedIDs()) }
		waitFor(t, "a target has the request", func() bool { return received() > 0 })
		if suspect {
			time.Sleep(harnessHedgeDelay + harnessHedgeDelay/2)
			assert.Equal(t, received(), 1)
		} else {
			waitFor(t, "the request is hedged", func() bool { return received() == 2 })
		}
		close(release)
		call.Wait()
	}
}

// harnessHedgeDelay is an upper limit of the time after which a request below /safe/ is
// hedged: 2.5 times the initial estimate of 0.35 objectives.
const harnessHedgeDelay = 2500 * time.Millisecond

// Guards against a request that is sent although the target has stated, since it was
// chosen, that it leaves.
func TestNoSendAfterStatement(t *testing.T) {
	target := newScriptedTarget(t, "t-1", "a", echo)
	h := newHarness(t, targetInfos(target))
	d := h.table.Dispatcher("spoolkeep")
	for _, leaving := range []bool{false, true} {
		lease, err := d.Acquire(context.Background(), &routing.Request{Arrival: time.Now(), Deadline: time.Now().Add(testTimeout), Objective: testTimeout})
		assert.NilError(t, err)
		d.ApplyStatement(targets.Statement{Incarnation: target.info.Incarnation(), Leaving: leaving})
		sent := &try{
			lease: lease, req: fasthttp.AcquireRequest(), resp: fasthttp.AcquireResponse(), deadline: time.Now().Add(testTimeout),
			crashes: crashes.NewLedger(), reservation: bodies.NewReservation(nil, 1),
		}
		sent.req.SetRequestURI("/once/x")
		sent.req.Header.SetHost("h")
		sent.req.Header.Set("Rhubarbrelay-Attempt-Id", "own")
		sent.run(make(chan *try, 1))
		assert.Equal(t, errors.Is(sent.err, upstream.ErrNotSent), leaving, "%v", sent.err)
		assert.Equal(t, len(target.receivedIDs()), 1)
	}
}
