package relay

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/header"
	"rhubarbrelay/idempotency"
	"rhubarbrelay/timeline"
)

const incarnation = 7

// keyLine returns the header line of a key of the instance kt-a-1.
func keyLine(issued time.Time, random string) string {
	return fmt.Sprintf("Idempotency-Key: kt-a-1~%d~%d~%s", incarnation, issued.UnixMilli(), random)
}

// newOwner returns a relay that owns the keys of kt-a-1, and the runs of its
// target.
func newOwner(t *testing.T, handler fasthttp.RequestHandler, opts ...idempotency.Option) (*harness, *atomic.Int64) {
	t.Helper()
	runs := &atomic.Int64{}
	target := newTarget(t, "sk-01", func(ctx *fasthttp.RequestCtx) {
		runs.Add(1)
		handler(ctx)
	})
	memory := idempotency.NewMemory("kt-a-1", incarnation, time.Now().Add(-time.Minute), opts...)
	return newHarness(t, []config.Target{target}, WithMemory(memory)), runs
}

// Guards against a repeat that runs again or gets another answer than the first
// request.
func TestKeyedRepeat(t *testing.T) {
	h, runs := newOwner(t, func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(201)
		ctx.Response.Header.Set("X-Order", "17")
		echo(ctx)
	})
	line := keyLine(time.Now(), "r")
	for i := range 3 {
		id := fmt.Sprintf("id-%d", i)
		a := h.call(t, "POST", "/orders", "three spools", line, "Rhubarbrelay-Request-Id: "+id)
		assert.Equal(t, a.status, 201)
		assert.Equal(t, a.body, "three spools")
		assert.Equal(t, a.outcome, "run")
		assert.Equal(t, a.headers["X-Order"], "17")
		assert.Equal(t, a.headers[header.RequestID], id)
	}
	assert.Equal(t, runs.Load(), int64(1))
	other := []string{message("POST", "/orders", "four spools", line), message("PUT", "/orders", "three spools", line), message("POST", "/orders?x", "three spools", line)}
	for _, raw := range other {
		a := h.raw(t, raw)
		assert.Equal(t, a.status, 422)
		assert.Equal(t, a.outcome, "not_run")
	}
	assert.Equal(t, runs.Load(), int64(1))
	for range 2 {
		assert.Equal(t, h.call(t, "GET", "/orders", "", line).outcome, "run")
	}
	assert.Equal(t, runs.Load(), int64(3), "idempotent requests need no key")
}

// Guards against a caller that is told unknown for a key that no process ever
// owned, from an entry answer over the platform's list alone.
func TestKeyWithoutOwner(t *testing.T) {
	h, runs := newOwner(t, echo)
	a := h.call(t, "POST", "/orders", "", fmt.Sprintf("Idempotency-Key: kt-a-1~0~%d~r", time.Now().UnixMilli()))
	assert.Equal(t, a.status, 503)
	assert.Equal(t, a.outcome, "not_run")
	assert.Equal(t, runs.Load(), int64(0))
}

// Guards against concurrent repeats that both reach the target.
func TestKeyedConcurrentRepeats(t *testing.T) {
	h, runs := newOwner(t, func(ctx *fasthttp.RequestCtx) {
		time.Sleep(5 * time.Millisecond) // the repeats arrive meanwhile
		echo(ctx)
	})
	// A busy machine must not turn a wait for a slot into a refusal.
	h.service.MaxWait = testTimeout
	const keys, repeats = 10, 8
	issued := time.Now()
	var group sync.WaitGroup
	for key := range keys {
		for range repeats {
			c := h.connect(t)
			group.Go(func() {
				c.send(message("POST", "/orders", fmt.Sprint("body ", key), keyLine(issued, fmt.Sprint(key))))
				a, err := c.receive(false)
				assert.Check(t, err)
				assert.Check(t, a.body == fmt.Sprint("body ", key), a.body)
			})
		}
	}
	group.Wait()
	assert.Equal(t, runs.Load(), int64(keys))
}

// Guards against a second run, or a claim of not run, where the first request
// may have run.
func TestKeyedUndecided(t *testing.T) {
	release := make(chan struct{})
	h, runs := newOwner(t, func(*fasthttp.RequestCtx) { <-release })
	line := keyLine(time.Now(), "r")
	first := h.call(t, "POST", "/orders", "", line, "Rhubarbrelay-Deadline: 30ms")
	assert.Equal(t, first.outcome, "unknown")
	close(release)
	a := h.call(t, "POST", "/orders", "", line)
	assert.Equal(t, a.outcome, "unknown")
	assert.Equal(t, a.status, 502)
	refused := []string{
		message("POST", "/orders", "", line, "Rhubarbrelay-Deadline: 0s"),
		message("POST", "/orders", "", line, "Rhubarbrelay-Service: gone"),
		message("POST", "/orders", "", line, "Expect: miracles"),
		"POST /orders HTTP/1.1\r\nHost: spoolkeep\r\n" + line + "\r\nContent-Length: 99999999\r\n\r\n",
	}
	for _, raw := range refused[:2] {
		assert.Equal(t, h.raw(t, raw).outcome, "unknown")
	}
	assert.Equal(t, h.raw(t, refused[3]).outcome, "unknown")
	for _, issued := range []time.Time{time.Now().Add(time.Hour), time.Now().Add(-time.Hour)} {
		a := h.call(t, "POST", "/orders", "", keyLine(issued, "x"))
		assert.Equal(t, a.outcome, "unknown")
		assert.Equal(t, a.status, 409)
	}
	assert.Equal(t, runs.Load(), int64(1))
}

// Guards against a repeat that waits beyond its deadline for the first request.
func TestKeyedInProgress(t *testing.T) {
	release := make(chan struct{})
	h, runs := newOwner(t, func(ctx *fasthttp.RequestCtx) { <-release; echo(ctx) })
	line := keyLine(time.Now(), "r")
	c := h.connect(t)
	c.send(message("POST", "/orders", "body", line))
	waitFor(t, "the first request runs", func() bool { return runs.Load() == 1 })
	a := h.call(t, "POST", "/orders", "body", line, "Rhubarbrelay-Deadline: 20ms")
	assert.Equal(t, a.status, 504)
	assert.Equal(t, a.outcome, "unknown")
	close(release)
	assert.Equal(t, c.mustReceive().body, "body")
	assert.Equal(t, h.call(t, "POST", "/orders", "body", line).body, "body")
	assert.Equal(t, runs.Load(), int64(1))
}

// Guards against a late copy of a request that runs after a caller was told that
// it did not, and against an answer that is made up when it is no longer kept.
func TestKeyedRefusedAndForgotten(t *testing.T) {
	var shed atomic.Bool
	shed.Store(true)
	h, runs := newOwner(t, func(ctx *fasthttp.RequestCtx) {
		if shed.Load() {
			ctx.SetStatusCode(503)
			ctx.Response.Header.Set(header.Outcome, header.OutcomeNotRun)
		}
	}, idempotency.WithMaxAnswerBytes(0))
	line := keyLine(time.Now(), "r")
	assert.Equal(t, h.call(t, "POST", "/orders", "", line).outcome, "not_run")
	shed.Store(false)
	copied := h.call(t, "POST", "/orders", "", line)
	assert.Equal(t, copied.status, 409)
	assert.Equal(t, copied.outcome, "not_run")
	assert.Equal(t, runs.Load(), int64(1))
	line = keyLine(time.Now(), "another")
	assert.Equal(t, h.call(t, "POST", "/orders", "", line).status, 200)
	a := h.call(t, "POST", "/orders", "", line)
	assert.Equal(t, a.status, 409)
	assert.Equal(t, a.outcome, "run")
	assert.Equal(t, a.reason, "answer is no longer kept")
	assert.Equal(t, runs.Load(), int64(2))
}

// peerTo forwards to another relay in the same process.
type peerTo struct {
	owner *Server
	err   error
}

// Forward implements Forwarder.
func (p *peerTo) Forward(ctx context.Context, instance string, number int64, request []byte) ([]byte, error) {
	if p.err != nil {
		return nil, p.err
	}
	if instance != "kt-a-1" || number != incarnation {
		return nil, ErrOwnerGone
	}
	deadline, _ := ctx.Deadline()
	return p.owner.ServeForwarded(ctx, request, time.Until(deadline))
}

// Guards against a key that any but its owner dispatches, and against repeats
// through other instances that run again or get another answer.
func TestForward(t *testing.T) {
	owner, runs := newOwner(t, func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.SetBytesV("X-Path", ctx.Request.Header.RequestURI())
		echo(ctx)
	})
	peer := &peerTo{owner: owner.relay}
	memory := idempotency.NewMemory("kt-a-2", 1, time.Now())
	h := newHarness(t, nil, WithForwarder(peer), WithMemory(memory))
	line := keyLine(time.Now(), "r")
	body := strings.Repeat("spool;", 3000)
	for i := range 3 {
		a := []*harness{h, owner, h}[i].call(t, "POST", "/orders//x/../y?a=b", body, line, "Rhubarbrelay-Request-Id: id")
		assert.Equal(t, a.status, 200, a.reason)
		assert.Equal(t, a.body, body)
		assert.Equal(t, a.outcome, "run")
		assert.Equal(t, a.headers["X-Path"], "/orders//x/../y?a=b")
	}
	assert.Equal(t, runs.Load(), int64(1))
	assert.Equal(t, h.events.count(timeline.RequestForwarded), 2)
	assert.DeepEqual(t, h.events.events[0], timeline.Event{
		Kind: timeline.RequestForwarded, Service: "spoolkeep", Request: "id", Peer: "kt-a-1",
	})
	for _, through := range []*harness{h, owner} {
		a := through.raw(t, fmt.Sprintf("POST http://spoolkeep/orders//x/../y?a=b HTTP/1.1\r\nHost: x\r\n%s\r\nContent-Length: %d\r\n\r\n%s", line, len(body), body))
		assert.Assert(t, a.body == body, "the absolute form is the same request: %s", a.reason)
	}
	assert.Equal(t, runs.Load(), int64(1))
	assert.Equal(t, h.call(t, "POST", "/orders", "other", line).status, 422)

	unknowns := []struct {
		name string
		err  error
		line string
	}{
		{"unreachable", ErrOwnerUnreachable, keyLine(time.Now(), "a")},
		{"any error", errors.New("session broke"), keyLine(time.Now(), "b")},
		{"other incarnation", nil, fmt.Sprintf("Idempotency-Key: kt-a-1~8~%d~c", time.Now().UnixMilli())},
	}
	for _, u := range unknowns {
		peer.err = u.err
		a := h.call(t, "POST", "/orders", "body", u.line)
		assert.Equal(t, a.status, 502, u.name)
		assert.Equal(t, a.outcome, "unknown", u.name)
	}
	a := owner.call(t, "POST", "/orders", "body", fmt.Sprintf("Idempotency-Key: kt-a-1~8~%d~c", time.Now().UnixMilli()))
	assert.Equal(t, a.outcome, "unknown", "no forwarder")
	assert.Equal(t, runs.Load(), int64(1))
}

// Guards against foreign or cut messages from a peer that reach a target, and
// against a request that is forwarded in a circle.
func TestServeForwarded(t *testing.T) {
	owner, runs := newOwner(t, echo)
	whole := message("POST", "/orders", "body", keyLine(time.Now(), "r"))
	for cut := range len(whole) {
		_, err := owner.relay.ServeForwarded(t.Context(), []byte(whole[:cut]), time.Second)
		assert.ErrorIs(t, err, ErrBadForward, "cut at %d", cut)
	}
	for _, raw := range []string{whole + "x", message("POST", "/orders", "body")} {
		_, err := owner.relay.ServeForwarded(t.Context(), []byte(raw), time.Second)
		assert.ErrorIs(t, err, ErrBadForward)
	}
	assert.Equal(t, runs.Load(), int64(0))
	foreign := message("POST", "/orders", "body", fmt.Sprintf("Idempotency-Key: kt-a-9~1~%d~r", time.Now().UnixMilli()))
	answer, err := owner.relay.ServeForwarded(t.Context(), []byte(foreign), time.Second)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(answer), "Rhubarbrelay-Outcome: unknown"))
	answer, err = owner.relay.ServeForwarded(t.Context(), []byte(whole), 0)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(answer), "Rhubarbrelay-Outcome: unknown"))
	assert.Equal(t, runs.Load(), int64(0))
	answer, err = owner.relay.ServeForwarded(t.Context(), []byte(whole), testTimeout)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(string(answer), "\r\n\r\nbody"))
	assert.Equal(t, runs.Load(), int64(1))
}
