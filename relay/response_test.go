package relay

import (
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// always returns a script that answers every request in the same way.
func always(answer func(*fasthttp.Request) string, closes bool) targetScript {
	return func(req *fasthttp.Request) (string, bool) { return answer(req), closes }
}

// Guards against answers that say more than the target did: a promise that a
// request has not run although it may have, a success that is not certainly the
// target's own, and a failure of the relay that bears a seal.
func TestAnswerOfOneTarget(t *testing.T) {
	tests := []struct {
		name   string
		script targetScript
		status int
		seal   string
		runs   int
	}{
		{"success", echo, 200, "seal-body", 1},
		{"failure of the target", always(func(r *fasthttp.Request) string { return sealed(r, 500, "sorry") }, false), 500, "seal-sorry", 1},
		{"deadline at the target", always(func(r *fasthttp.Request) string { return sealed(r, 504, "late") }, false), 504, "seal-late", 1},
		{"refusal that states it", always(func(r *fasthttp.Request) string { return notExecuted(r, 503) }, false), 503, "", 1},
		{"refusal that states nothing", always(func(r *fasthttp.Request) string { return sealed(r, 503, "x") }, false), 502, "", 1},
		{"status 429 that states nothing", always(func(r *fasthttp.Request) string { return sealed(r, 429, "x") }, false), 502, "", 1},
		{"success without a seal", always(func(r *fasthttp.Request) string {
			return strings.Replace(sealed(r, 200, "x"), "Rhubarbrelay-Response-Seal", "X-Seal", 1)
		}, false), 502, "", 1},
		{"success without the ID", always(func(r *fasthttp.Request) string {
			return strings.Replace(sealed(r, 200, "x"), "Rhubarbrelay-Attempt-Id", "X-Id", 1)
		}, false), 502, "", 1},
		{"content encoding", always(func(r *fasthttp.Request) string { return sealed(r, 200, "x", "Content-Encoding: gzip") }, false), 502, "", 1},
		{"cut body", always(func(r *fasthttp.Request) string { return strings.TrimSuffix(sealed(r, 200, "whole"), "le") }, true), 502, "", 1},
		{"cut header", always(func(*fasthttp.Request) string { return "HTTP/1.1 200 OK\r\nRhub" }, true), 502, "", 1},
		{"no answer", always(func(*fasthttp.Request) string { return "" }, true), 502, "", 1},
		{"no protocol", always(func(*fasthttp.Request) string { return "220 ready\r\n" }, true), 502, "", 1},
		{"not found at the target", always(func(r *fasthttp.Request) string { return sealed(r, 404, "none") }, false), 404, "seal-none", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			target := newScripted(t, "t-1", "a", tt.script)
			h := newHarness(t, infos(target))
			a := h.call(t, "POST", "/once/1", "body")
			assert.Equal(t, a.status, tt.status)
			assert.Equal(t, a.seal(), tt.seal)
			assert.Equal(t, len(target.arrived()), tt.runs)
		})
	}
}

// Guards against an answer of unknown length that is not passed on whole.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	target := newScripted(t, "t-1", "a", func(r *fasthttp.Request) (string, bool) {
		return strings.Replace(sealed(r, 200, "until the end"), "Content-Length: 13\r\n", "", 1), true
	})
	a := newHarness(t, infos(target)).call(t, "POST", "/once/1", "")
	assert.Equal(t, a.status, 200)
	assert.Equal(t, a.body, "until the end")
}

// Guards against a second answer of a target that goes to the next request on
// the connection, and against a request that fails for it.
func TestSecondAnswers(t *testing.T) {
	calls := 0
	target := newScripted(t, "t-1", "a", func(r *fasthttp.Request) (string, bool) {
		calls++
		if calls == 1 {
			return sealed(r, 200, "first") + sealed(r, 200, "again"), false
		}
		return sealed(r, 200, "own"), false
	})
	h := newHarness(t, infos(target))
	c := h.connect(t)
	c.send(message("POST", "/once/1", "", "Rhubarbrelay-Attempt-Id: id-1"))
	assert.Equal(t, c.mustReceive().body, "first")
	c.send(message("POST", "/once/1", "", "Rhubarbrelay-Attempt-Id: id-2"))
	a := c.mustReceive()
	assert.Equal(t, a.body, "own")
	assert.Equal(t, a.headers["Rhubarbrelay-Attempt-Id"], "id-2")
}

// Guards against a late second answer that comes where the answer to the next
// request is due, which is still the target's to give.
func TestLateSecondAnswer(t *testing.T) {
	calls := 0
	target := newScripted(t, "t-1", "a", func(r *fasthttp.Request) (string, bool) {
		calls++
		if calls == 2 {
			other := strings.Replace(sealed(r, 200, "late"), string(r.Header.Peek("Rhubarbrelay-Attempt-Id")), "id-1", 1)
			return other + sealed(r, 200, "own"), false
		}
		return sealed(r, 200, "first"), false
	})
	h := newHarness(t, infos(target))
	assert.Equal(t, h.call(t, "POST", "/once/1", "").body, "first")
	assert.Equal(t, h.call(t, "POST", "/once/1", "", "Rhubarbrelay-Attempt-Id: id-2").body, "own")
}

// Guards against a request that must not run twice and is sent again after it
// may have run, and against one that is given up although it has not run.
func TestSecondTarget(t *testing.T) {
	shed := always(func(r *fasthttp.Request) string { return notExecuted(r, 503) }, false)
	other := always(func(r *fasthttp.Request) string { return notExecuted(r, 421) }, false)
	cut := always(func(*fasthttp.Request) string { return "" }, true)
	fails := always(func(r *fasthttp.Request) string { return sealed(r, 500, "sorry") }, false)
	tests := []struct {
		name   string
		path   string
		first  targetScript
		status int
		second int // requests that reach the second target
	}{
		{"shed, once", "/once/", shed, 200, 1},
		{"another target at the address, once", "/once/", other, 200, 1},
		{"cut, once", "/once/", cut, 502, 0},
		{"failure, once", "/once/", fails, 500, 0},
		{"shed, safe", "/safe/", shed, 200, 1},
		{"cut, safe", "/safe/", cut, 200, 1},
		{"failure, safe", "/safe/", fails, 200, 1},
		{"cut, safe, one attempt", "/single/", cut, 502, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, second := newScripted(t, "t-1", "a", tt.first), newScripted(t, "t-2", "b", echo)
			h := newHarness(t, infos(first, second))
			a := h.call(t, "POST", tt.path+"1", "body")
			assert.Equal(t, a.status, tt.status)
			assert.Equal(t, len(first.arrived()), 1)
			assert.Equal(t, len(second.arrived()), tt.second)
		})
	}
}

// Guards against an unreachable target that uses up the attempts of a request.
func TestUnreachableTarget(t *testing.T) {
	dead, second := newScripted(t, "t-1", "a", echo), newScripted(t, "t-2", "b", echo)
	dead.info.Address = unusedAddress(t)
	h := newHarness(t, infos(dead, second))
	assert.Equal(t, h.call(t, "POST", "/once/1", "body").status, 200)
}

// Guards against a silent target that holds an idempotent request until its
// timeout while another one is free, and against more targets than attempts.
func TestHedge(t *testing.T) {
	release := make(chan struct{})
	mute := newScripted(t, "t-1", "a", func(*fasthttp.Request) (string, bool) {
		<-release
		return "", true
	})
	second := newScripted(t, "t-2", "b", echo)
	h := newHarness(t, infos(mute))
	c := h.connect(t)
	c.send(message("GET", "/safe/1", ""))
	// The second target comes when the first one has the request, so that a slow
	// probe cannot change their order.
	waitFor(t, "the silent target has the request", func() bool { return len(mute.arrived()) == 1 })
	h.targets = infos(mute, second)
	h.table.RefreshTargets("spoolkeep")
	assert.Equal(t, c.mustReceive().status, 200)
	assert.Equal(t, len(second.arrived()), 1)
	assert.Equal(t, h.relay.Stats().Hedges, uint64(1))
	close(release)
}

// Guards against an answer that comes later than the route's timeout allows,
// and against a refusal that calls a request not run while it may run.
func TestTimeout(t *testing.T) {
	release := make(chan struct{})
	mute := newScripted(t, "t-1", "a", func(*fasthttp.Request) (string, bool) {
		<-release
		return "", true
	})
	h := newHarness(t, infos(mute))
	began := time.Now()
	a := h.call(t, "GET", "/brief/1", "")
	assert.Equal(t, a.status, 504)
	assert.Assert(t, time.Since(began) < testTimeout/2)
	close(release)
}

// Guards against a caller that has left and whose idempotent request goes on at
// the target.
func TestCallerLeaves(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	target := newScripted(t, "t-1", "a", func(*fasthttp.Request) (string, bool) {
		close(arrived)
		<-release
		return "", false
	})
	h := newHarness(t, infos(target))
	c := h.connect(t)
	c.send(message("GET", "/single/1", ""))
	<-arrived
	assert.NilError(t, c.conn.Close())
	waitFor(t, "the request ends", func() bool { return h.relay.InProgress() == 0 })
	close(release)
	<-target.closed
}

// Guards against a queued request of a caller that has left and is still sent.
func TestCallerLeavesWhileItWaits(t *testing.T) {
	h := newHarness(t, nil)
	c := h.connect(t)
	c.send(message("GET", "/safe/1", ""))
	waitFor(t, "the request waits", func() bool { return h.relay.InProgress() == 1 })
	assert.NilError(t, c.conn.Close())
	waitFor(t, "the request ends", func() bool { return h.relay.InProgress() == 0 })
}

// Guards against a request that finds no target and is refused without a time
// to come back, or with a status that promises nothing.
func TestNoTarget(t *testing.T) {
	h := newHarness(t, nil)
	a := h.call(t, "GET", "/brief/1", "")
	assert.Equal(t, a.status, 503)
	assert.Assert(t, a.headers["Retry-After"] != "")
}

// Guards against an instance without a configuration that calls routes unknown.
func TestNoConfiguration(t *testing.T) {
	h := newHarness(t, nil)
	h.document.Store(nil)
	assert.Equal(t, h.call(t, "GET", "/safe/1", "").status, 503)
}

// Guards against a request that is changed on its way to the target, and
// against more time than the caller waits.
func TestForwardedRequest(t *testing.T) {
	var got fasthttp.Request
	target := newScripted(t, "t-1", "a", func(r *fasthttp.Request) (string, bool) {
		r.CopyTo(&got)
		return sealed(r, 200, "x"), false
	})
	h := newHarness(t, infos(target))
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
