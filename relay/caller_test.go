package relay

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
)

// Guards against work for callers that are gone, also when bytes of a pipelined
// request precede the close.
func TestClosedCallerLeavesQueue(t *testing.T) {
	for _, pipelined := range []string{"", message("POST", "/orders", "next")} {
		var count atomic.Int64
		release := make(chan struct{})
		target := newTarget(t, "sk-01", func(ctx *fasthttp.RequestCtx) {
			count.Add(1)
			<-release
			echo(ctx)
		})
		target.Slots = 1
		h := newHarness(t, []config.Target{target})
		h.service.MaxWait = testTimeout
		h.table.Update(h.fleet)
		dispatcher := h.table.Dispatcher(h.service.Name)
		first := h.connect(t)
		first.send(message("POST", "/orders", "first"))
		waitFor(t, "first request runs", func() bool { return count.Load() == 1 })
		second := h.connect(t)
		second.send(message("POST", "/orders", "second") + pipelined)
		waitFor(t, "second request waits", func() bool { return dispatcher.Stats().Waiting == 1 })
		assert.NilError(t, second.conn.Close())
		waitFor(t, "second request leaves", func() bool { return dispatcher.Stats().Canceled == 1 })
		close(release)
		assert.Equal(t, first.mustReceive().outcome, "run")
		assert.Equal(t, count.Load(), int64(1))
	}
}

// Guards against a cancelled exchange of a request that must not run twice, and
// against an idempotent one that occupies its target for nobody.
func TestClosedCallerCancelsIdempotentExchange(t *testing.T) {
	var running atomic.Int64
	released := make(chan struct{})
	script := func(c net.Conn) {
		buf := make([]byte, 4<<10)
		n, _ := c.Read(buf)
		running.Add(1)
		if string(buf[:min(n, 3)]) == "GET" {
			_, _ = c.Read(buf) // ends when the relay closes the connection
			close(released)
			return
		}
		<-released
		_, _ = c.Write([]byte(okAnswer))
	}
	// Each target takes one request at its slow start.
	h := newHarness(t, []config.Target{newRawTarget(t, "sk-01", script), newRawTarget(t, "sk-02", script)})
	order, query := h.connect(t), h.connect(t)
	// The order runs first, so that a look at its caller would precede the
	// look that cancels the query.
	order.send(message("POST", "/orders", "body"))
	waitFor(t, "order runs", func() bool { return running.Load() == 1 })
	query.send(message("GET", "/spools", ""))
	waitFor(t, "both run", func() bool { return running.Load() == 2 })
	assert.NilError(t, order.conn.Close())
	assert.NilError(t, query.conn.Close())
	dispatcher := h.table.Dispatcher(h.service.Name)
	waitFor(t, "both end", func() bool { return dispatcher.Stats().InFlight == 0 })
	var exchanges, unknown uint64
	for _, s := range h.pools.Stats() {
		exchanges += s.Exchanges
		unknown += s.Unknown
	}
	assert.Equal(t, exchanges, uint64(2), "a cancelled exchange was repeated")
	assert.Equal(t, unknown, uint64(1))
	assert.Equal(t, dispatcher.Stats().Failures, uint64(0))
}

// Guards against taking a connection that cannot be looked at for a closed one.
func TestConnectionWithoutSocketIsOpen(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	assert.Assert(t, !isClosed(&countedConn{Conn: near, open: &atomic.Int64{}}))
}
