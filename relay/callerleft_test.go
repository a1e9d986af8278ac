package relay

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// unreadRequest is the beginning of a request that does not fit into the buffers of the relay.
var unreadRequest = "GET /safe/9 HTTP/1.1\r\nX-Filler: " + strings.Repeat("x", 100<<10)

// callerLeftTimeout is far below the timeouts of the routes.
const callerLeftTimeout = 2 * time.Second

// Guards against a close that is not seen behind unread bytes of a further request.
func TestCallerLeavesWithRequestsUnread(t *testing.T) {
	post := func(path string, id int) string {
		return rawRequest("POST", path, "body", fmt.Sprintf("Rhubarbrelay-Attempt-Id: id-%d", id))
	}
	tests := []struct{ name, before, watched, behind string }{
		{"behind a body", "", post("/safe/0", 0), pipelined("/safe/1", 1)},
		{"body behind", "", pipelined("/safe/0", 0), post("/safe/1", 1)},
		{"incomplete request behind", "", pipelined("/safe/0", 0), unreadRequest},
		{"after a body on the connection", post("/once/2", 2), pipelined("/safe/0", 0), pipelined("/safe/1", 1)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			gates := newGates(3)
			defer openGates(gates)
			close(gates[2])
			target := gatedTarget(t, gates)
			h := newHarness(t, targetInfos(target))
			c := h.connect(t)
			sent := 1
			if tt.before != "" {
				c.send(tt.before)
				c.mustReceive()
				sent++
			}
			c.send(tt.watched)
			target.awaitRequests(t, sent)
			c.send(tt.behind)
			time.Sleep(20 * time.Millisecond) // the bytes arrive before the close
			left := time.Now()
			assert.NilError(t, c.conn.Close())
			waitFor(t, "no request is in progress", func() bool { return h.relay.InProgress() == 0 })
			assert.Assert(t, time.Since(left) < callerLeftTimeout)
			assert.Equal(t, len(target.receivedIDs()), sent)
		})
	}
}

// Guards against a request that is sent although its caller has left during an earlier one.
func TestCallerLeavesBehindEarlierRequest(t *testing.T) {
	gates := newGates(2)
	defer openGates(gates)
	target := gatedTarget(t, gates)
	h := newHarness(t, targetInfos(target))
	c := h.connect(t)
	c.send(rawRequest("POST", "/once/0", "body", "Rhubarbrelay-Attempt-Id: id-0") + pipelined("/safe/1", 1) + unreadRequest)
	target.awaitRequests(t, 1)
	assert.NilError(t, c.conn.Close())
	time.Sleep(20 * time.Millisecond) // the close arrives before the response
	close(gates[0])
	waitFor(t, "the second request has ended", func() bool {
		return h.relay.InProgress() == 0 && h.relay.Stats().Refused["caller_closed"] > 0 || len(target.receivedIDs()) > 1
	})
	assert.DeepEqual(t, target.receivedIDs(), []string{"id-0"})
}

// Guards against a request that is sent although its caller had left before it was read.
func TestCallerLeavesBeforeItsRequestIsRead(t *testing.T) {
	const callers = 200
	target := newScriptedTarget(t, "t-1", "a", echo)
	h := newHarness(t, targetInfos(target))
	held := make(chan struct{})
	address := h.start(t, func(l net.Listener) error {
		<-held
		return h.relay.Serve(l)
	})
	for i := range callers {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		_, err = fmt.Fprint(conn, rawRequest("GET", "/safe/1", "", fmt.Sprintf("Rhubarbrelay-Attempt-Id: id-%d", i)))
		assert.NilError(t, err)
		assert.NilError(t, conn.Close())
	}
	close(held)
	waitFor(t, "all requests have ended", func() bool {
		stats := h.relay.Stats()
		return stats.Refused["caller_closed"]+stats.Forwarded >= callers && h.relay.InProgress() == 0
	})
	assert.Equal(t, len(target.receivedIDs()), 0)
}
