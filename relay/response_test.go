package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rhubarbrelay/limits"
	"rhubarbrelay/routing"
)

// respondAlways returns a script that handles all requests in the same way.
func respondAlways(response func(*fasthttp.Request) string, closes bool) targetScript {
	return func(req *fasthttp.Request) (string, bool) { return response(req), closes }
}

// Guards against responses that state more than the target did: that a request
// has not run although it may have, a success that may not be the target's own,
// and an error of the relay that carries a seal.
func TestTargetResponse(t *testing.T) {
	tests := []struct {
		name   string
		script targetScript
		status int
		seal   string
		runs   int
	}{
		{"success", echo, 200, "seal-body", 1},
		{"status 500 of the target", respondAlways(func(r *fasthttp.Request) string { return sealed(r, 500, "sorry") }, false), 500, "seal-sorry", 1},
		{"deadline exceeded at the target", respondAlways(func(r *fasthttp.Request) string { return sealed(r, 504, "late") }, false), 504, "seal-late", 1},
		{"status 503 with Not-Executed", respondAlways(func(r *fasthttp.Request) string { return notRunResponse(r, 503) }, false), 503, "", 1},
		{"status 503 without Not-Executed", respondAlways(func(r *fasthttp.Request) string { return sealed(r, 503, "x") }, false), 502, "", 1},
		{"status 429 without Not-Executed", respondAlways(func(r *fasthttp.Request) string { return sealed(r, 429, "x") }, false), 502, "", 1},
		{"success without a seal", respondAlways(func(r *fasthttp.Request) string {
			return strings.Replace(sealed(r, 200, "x"), "Rhubarbrelay-Response-Seal", "X-Seal", 1)
		}, false), 502, "", 1},
		{"success without the request ID", respondAlways(func(r *fasthttp.Request) string {
			return strings.Replace(sealed(r, 200, "x"), "Rhubarbrelay-Attempt-Id", "X-Id", 1)
		}, false), 502, "", 1},
		{"content encoding", respondAlways(func(r *fasthttp.Request) string { return sealed(r, 200, "x", "Content-Encoding: gzip") }, false), 502, "", 1},
		{"truncated body", respondAlways(func(r *fasthttp.Request) string { return strings.TrimSuffix(sealed(r, 200, "whole"), "le") }, true), 502, "", 1},
		{"truncated header", respondAlways(func(*fasthttp.Request) string { return "HTTP/1.1 200 OK\r\nRhub" }, true), 502, "", 1},
		{"no response", respondAlways(func(*fasthttp.Request) string { return "" }, true), 502, "", 1},
		{"not HTTP", respondAlways(func(*fasthttp.Request) string { return "220 ready\r\n" }, true), 502, "", 1},
		{"not found at the target", respondAlways(func(r *fasthttp.Request) string { return sealed(r, 404, "none") }, false), 404, "seal-none", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			target := newScriptedTarget(t, "t-1", "a", tt.script)
			h := newHarness(t, targetInfos(target))
			got := h.call(t, "POST", "/once/1", "body")
			assert.Equal(t, got.status, tt.status)
			assert.Equal(t, got.seal(), tt.seal)
			assert.Equal(t, len(target.receivedIDs()), tt.runs)
		})
	}
}

// Guards against truncation of a response without a Content-Length header, which
// ends when the target closes the connection.
func TestResponseUntilEOF(t *testing.T) {
	target := newScriptedTarget(t, "t-1", "a", func(r *fasthttp.Request) (string, bool) {
		return strings.Replace(sealed(r, 200, "until the end"), "Content-Length: 13\r\n", "", 1), true
	})
	got := newHarness(t, targetInfos(target)).call(t, "POST", "/once/1", "")
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, "until the end")
}

// Guards against an extra response of a target that is forwarded for the next
// request on the connection, and against failure of that request.
func TestExtraResponse(t *testing.T) {
	calls := 0
	target := newScriptedTarget(t, "t-1", "a", func(r *fasthttp.Request) (string, bool) {
		calls++
		if calls == 1 {
			return sealed(r, 200, "first") + sealed(r, 200, "again"), false
		}
		return sealed(r, 200, "own"), false
	})
	h := newHarness(t, targetInfos(target))
	c := h.connect(t)
	c.send(rawRequest("POST", "/once/1", "", "Rhubarbrelay-Attempt-Id: id-1"))
	assert.Equal(t, c.mustReceive().body, "first")
	c.send(rawRequest("POST", "/once/1", "", "Rhubarbrelay-Attempt-Id: id-2"))
	got := c.mustReceive()
	assert.Equal(t, got.body, "own")
	assert.Equal(t, got.headers["Rhubarbrelay-Attempt-Id"], "id-2")
}

// Guards against a late extra response that is taken for the response to the
// next request, and against failure of that request: its own response follows.
func TestLateExtraResponse(t *testing.T) {
	calls := 0
	target := newScriptedTarget(t, "t-1", "a", func(r *fasthttp.Request) (string, bool) {
		calls++
		if calls == 2 {
			lateResponse := strings.Replace(sealed(r, 200, "late"), string(r.Header.Peek("Rhubarbrelay-Attempt-Id")), "id-1", 1)
			return lateResponse + sealed(r, 200, "own"), false
		}
		return sealed(r, 200, "first"), false
	})
	h := newHarness(t, targetInfos(target))
	assert.Equal(t, h.call(t, "POST", "/once/1", "").body, "first")
	assert.Equal(t, h.call(t, "POST", "/once/1", "", "Rhubarbrelay-Attempt-Id: id-2").body, "own")
}

// Guards against a non-idempotent request that is retried although it may have
// run, and against one that is not retried although it has not.
func TestRetry(t *testing.T) {
	shed := respondAlways(func(r *fasthttp.Request) string { return notRunResponse(r, 503) }, false)
	misdirected := respondAlways(func(r *fasthttp.Request) string { return notRunResponse(r, 421) }, false)
	disconnect := respondAlways(func(*fasthttp.Request) string { return "" }, true)
	fails := respondAlways(func(r *fasthttp.Request) string { return sealed(r, 500, "sorry") }, false)
	tests := []struct {
		name   string
		path   string
		first  targetScript
		status int
		second int // requests that reach the second target
	}{
		{"shed, not idempotent", "/once/", shed, 200, 1},
		{"another target at the address, not idempotent", "/once/", misdirected, 200, 1},
		{"connection closed, not idempotent", "/once/", disconnect, 502, 0},
		{"status 500, not idempotent", "/once/", fails, 500, 0},
		{"shed, idempotent", "/safe/", shed, 200, 1},
		{"connection closed, idempotent", "/safe/", disconnect, 200, 1},
		{"status 500, idempotent", "/safe/", fails, 200, 1},
		{"connection closed, idempotent, one try", "/single/", disconnect, 502, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, second := newScriptedTarget(t, "t-1", "a", tt.first), newScriptedTarget(t, "t-2", "b", echo)
			h := newHarness(t, targetInfos(first, second))
			got := h.call(t, "POST", tt.path+"1", "body")
			assert.Equal(t, got.status, tt.status)
			assert.Equal(t, len(first.receivedIDs()), 1)
			assert.Equal(t, len(second.receivedIDs()), tt.second)
		})
	}
}

// Guards against an unreachable target that uses up the tries of a request.
func TestUnreachableTarget(t *testing.T) {
	unreachable, second := newScriptedTarget(t, "t-1", "a", echo), newScriptedTarget(t, "t-2", "b", echo)
	unreachable.info.Address = unusedAddress(t)
	h := newHarness(t, targetInfos(unreachable, second))
	assert.Equal(t, h.call(t, "POST", "/once/1", "body").status, 200)
}

// Guards against an idempotent request that waits for an unresponsive target
// until its timeout while another target is free, and against more than one
// hedge.
func TestHedge(t *testing.T) {
	release := make(chan struct{})
	hanging := newScriptedTarget(t, "t-1", "a", func(*fasthttp.Request) (string, bool) {
		<-release
		return "", true
	})
	second := newScriptedTarget(t, "t-2", "b", echo)
	h := newHarness(t, targetInfos(hanging))
	c := h.connect(t)
	c.send(rawRequest("GET", "/safe/1", ""))
	// The second target is added only when the first one has the request, because a
	// slow probe could change the order of the targets.
	waitFor(t, "the unresponsive target has the request", func() bool { return len(hanging.receivedIDs()) == 1 })
	h.targets = targetInfos(hanging, second)
	h.table.RefreshTargets("spoolkeep")
	assert.Equal(t, c.mustReceive().status, 200)
	assert.Equal(t, len(second.receivedIDs()), 1)
	assert.Equal(t, h.relay.Stats().Hedges, uint64(1))
	close(release)
}

// Guards against a response after the route's timeout, and against one which
// states that the request has not run although it may have.
func TestTimeout(t *testing.T) {
	release := make(chan struct{})
	hanging := newScriptedTarget(t, "t-1", "a", func(*fasthttp.Request) (string, bool) {
		<-release
		return "", true
	})
	h := newHarness(t, targetInfos(hanging))
	start := time.Now()
	got := h.call(t, "GET", "/brief/1", "")
	assert.Equal(t, got.status, 504)
	assert.Assert(t, time.Since(start) < testTimeout/2)
	close(release)
}

// Guards against an idempotent request that continues at the target after its
// caller has closed the connection, because the relay does not close the
// connection to the target.
func TestCallerCloses(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	target := newScriptedTarget(t, "t-1", "a", func(*fasthttp.Request) (string, bool) {
		close(arrived)
		<-release
		return "", false
	})
	h := newHarness(t, targetInfos(target))
	c := h.connect(t)
	c.send(rawRequest("GET", "/single/1", ""))
	<-arrived
	assert.NilError(t, c.conn.Close())
	waitFor(t, "the request ends", func() bool { return h.relay.InProgress() == 0 })
	close(release)
	<-target.closed
}

// Guards against a request that stays in the queue after its caller has closed the
// connection, and would be sent as soon as a target is free.
func TestCallerClosesWhileQueued(t *testing.T) {
	h := newHarness(t, nil)
	c := h.connect(t)
	c.send(rawRequest("GET", "/safe/1", ""))
	waitFor(t, "the request is in progress", func() bool { return h.relay.InProgress() == 1 })
	assert.NilError(t, c.conn.Close())
	waitFor(t, "the request ends", func() bool { return h.relay.InProgress() == 0 })
}

// Guards against a request that is refused for lack of targets without a
// Retry-After header, or without status 503, from which callers conclude that the
// request has not run.
func TestNoTarget(t *testing.T) {
	h := newHarness(t, nil)
	got := h.call(t, "GET", "/brief/1", "")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.headers["Retry-After"] != "")
}

// Guards against status 404 from an instance that has no configuration yet: it
// cannot determine whether a route matches.
func TestNoConfiguration(t *testing.T) {
	h := newHarness(t, nil)
	h.document.Store(nil)
	assert.Equal(t, h.call(t, "GET", "/safe/1", "").status, 503)
}

// Guards against changes to a forwarded request, headers that must not be
// forwarded, and a target deadline that exceeds the caller's timeout.
func TestForwardedRequest(t *testing.T) {
	var got fasthttp.Request
	target := newScriptedTarget(t, "t-1", "a", func(r *fasthttp.Request) (string, bool) {
		r.CopyTo(&got)
		return sealed(r, 200, "x"), false
	})
	h := newHarness(t, targetInfos(target))
	h.call(t, "PUT", "/once/a%2Fb//c?q=1&q=2", "the body", "X-Own: 1", "Rhubarbrelay-Deadline-Ms: 3000",
		"Rhubarbrelay-Expect-Instance: forged", "Connection: X-Hop", "X-Hop: 1")
	assert.Equal(t, string(got.Header.RequestURI()), "/once/a%2Fb//c?q=1&q=2")
	assert.Equal(t, string(got.Header.Method()), "PUT")
	assert.Equal(t, string(got.Body()), "the body")
	assert.Equal(t, string(got.Header.Peek("X-Own")), "1")
	assert.Equal(t, string(got.Header.Peek("X-Hop")), "")
	assert.Equal(t, string(got.Header.Peek("Rhubarbrelay-Expect-Instance")), "t-1")
	left := got.Header.Peek("Rhubarbrelay-Deadline-Ms")
	assert.Assert(t, len(left) == 4 && string(left) <= "3000" && string(left) > "2000", "%s", left)
}

// Guards against a refusal that reaches the caller although an earlier try may have run
// the request, against an error without a seal that counts as the target's own, and
// against headers for instances that reach callers.
func TestOutcomeOverSeveralTries(t *testing.T) {
	disconnect := respondAlways(func(*fasthttp.Request) string { return "" }, true)
	shed := respondAlways(func(r *fasthttp.Request) string { return notRunResponse(r, 503) }, false)
	unsealed := respondAlways(func(r *fasthttp.Request) string {
		return fmt.Sprintf("HTTP/1.1 404 X\r\nRhubarbrelay-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Peek("Rhubarbrelay-Attempt-Id"))
	}, false)
	tests := []struct {
		name          string
		first, second targetScript
		status        int
	}{
		{"control: refused twice", shed, shed, 503},
		{"refused after a try that may have run", disconnect, shed, 502},
		{"error without a seal", unsealed, echo, 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, targetInfos(newScriptedTarget(t, "t-1", "a", tt.first), newScriptedTarget(t, "t-2", "b", tt.second)))
			assert.Equal(t, h.call(t, "POST", "/safe/1", "body").status, tt.status)
		})
	}
	headers := []string{"Rhubarbrelay-Server-Load: 0,0,8,100", "Rhubarbrelay-Instance-Id: t-1", "Server-Limit: 5", "Server-Leaving: 1"}
	target := newScriptedTarget(t, "t-1", "a", func(r *fasthttp.Request) (string, bool) { return sealed(r, 200, "x", headers...), false })
	got := newHarness(t, targetInfos(target)).call(t, "POST", "/safe/1", "body")
	assert.Equal(t, got.status, 200)
	for _, line := range headers {
		name, _, _ := strings.Cut(line, ":")
		assert.Equal(t, got.headers[name], "")
	}
}

// Guards against retries beyond the retry budget of the service.
func TestRetriesKeepToBudget(t *testing.T) {
	for _, slack := range []float64{0, 100} {
		disconnect := respondAlways(func(*fasthttp.Request) string { return "" }, true)
		first, second := newScriptedTarget(t, "t-1", "a", disconnect), newScriptedTarget(t, "t-2", "b", echo)
		h := newHarness(t, targetInfos(first, second))
		h.table.SetSettings(routing.Settings{Zone: "a", Retries: limits.RetryLimits{Slack: slack, Window: time.Second}, ProbesPerSecond: 10_000})
		got := h.call(t, "POST", "/safe/1", "body")
		if slack == 0 {
			assert.Equal(t, got.status, 502)
			assert.Equal(t, len(second.receivedIDs()), 0)
		} else {
			assert.Equal(t, got.status, 200, "control")
		}
	}
}

// leastConnections is the number of connections that an instance opens to a target at least.
const leastConnections = 3

// newConnectionHarness returns a harness without targets that may open leastConnections to
// each target and probes none.
func newConnectionHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, nil)
	d := harnessDocument()
	d.Services["spoolkeep"].MaxConnections, d.Services["spoolkeep"].HealthPath = 1, ""
	h.document.Store(d)
	h.table.Update(d.Services)
	return h
}

// setTargets replaces the targets.
func (h *harness) setTargets(all ...*scriptedTarget) {
	h.targets = targetInfos(all...)
	h.table.RefreshTargets("spoolkeep")
}

// Guards against a request that is refused although a target has capacity for it soon: all
// connections that this instance may open to the target are in use.
func TestRequestWaitsForConnection(t *testing.T) {
	gates := newGates(leastConnections + 1)
	defer openGates(gates)
	target := gatedTarget(t, gates)
	h := newConnectionHarness(t)
	h.setTargets(target)
	callers := make([]*caller, 0, leastConnections+1)
	for i := range leastConnections + 1 {
		c := h.connect(t)
		c.send(rawRequest("POST", "/once/", "", fmt.Sprintf("Rhubarbrelay-Attempt-Id: id-%d", i)))
		callers = append(callers, c)
		if i < leastConnections {
			target.awaitRequests(t, i+1)
		}
	}
	waitFor(t, "the last request waits", func() bool { return h.table.Dispatcher("spoolkeep").Stats().Waiting == 1 })
	openGates(gates)
	for _, c := range callers {
		assert.Equal(t, c.mustReceive().status, fasthttp.StatusOK)
	}
	assert.Equal(t, h.relay.counters.retries.Load(), uint64(0))
}

// Guards against a request that waits for a connection to a preferred target although
// another one has capacity and free connections.
func TestRequestUsesTargetWithFreeConnection(t *testing.T) {
	gates := newGates(leastConnections)
	defer openGates(gates)
	preferred, other := gatedTarget(t, gates), newScriptedTarget(t, "t-2", "b", echo)
	h := newConnectionHarness(t)
	h.setTargets(preferred)
	for i := range leastConnections {
		h.connect(t).send(rawRequest("POST", "/once/", "", fmt.Sprintf("Rhubarbrelay-Attempt-Id: id-%d", i)))
		preferred.awaitRequests(t, i+1)
	}
	h.setTargets(preferred, other)
	assert.Equal(t, h.call(t, "POST", "/once/", "body").status, fasthttp.StatusOK)
	assert.Equal(t, len(other.receivedIDs()), 1)
}
