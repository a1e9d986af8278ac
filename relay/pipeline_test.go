package relay

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

func pipelined(path string, id int, headers ...string) string {
	return rawRequest("GET", path, "", append(headers, fmt.Sprintf("Rhubarbrelay-Attempt-Id: id-%d", id))...)
}

// awaitRequests waits until the target has received n requests.
func (s *scriptedTarget) awaitRequests(t *testing.T, n int) {
	t.Helper()
	waitFor(t, fmt.Sprintf("the target has %d requests", n), func() bool { return len(s.receivedIDs()) >= n })
}

// gatedTarget responds to the request id-N when gate N is closed.
func gatedTarget(t *testing.T, gates []chan struct{}) *scriptedTarget {
	return newScriptedTarget(t, "t-1", "a", func(r *fasthttp.Request) (string, bool) {
		var n int
		_, err := fmt.Sscanf(string(r.Header.Peek("Rhubarbrelay-Attempt-Id")), "id-%d", &n)
		assert.Check(t, err)
		<-gates[n]
		return echo(r)
	})
}

func newGates(n int) []chan struct{} {
	gates := make([]chan struct{}, n)
	for i := range gates {
		gates[i] = make(chan struct{})
	}
	return gates
}

// openGates opens the gates that are still closed, so that a test that fails ends.
func openGates(gates []chan struct{}) {
	for _, gate := range gates {
		select {
		case <-gate:
		default:
			close(gate)
		}
	}
}

// Guards against requests that wait for their targets until an earlier request of the same
// connection was answered, and against responses out of order.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	for _, separate := range []bool{false, true} {
		t.Run(fmt.Sprintf("separate=%t", separate), func(t *testing.T) {
			gates := newGates(3)
			target := gatedTarget(t, gates)
			h := newHarness(t, targetInfos(target))
			c := h.connect(t)
			requests := []string{pipelined("/safe/0", 0), pipelined("/safe/1", 1), pipelined("/safe/2", 2)}
			if separate {
				for i, r := range requests {
					c.send(r)
					target.awaitRequests(t, i+1)
				}
			} else {
				c.send(strings.Join(requests, ""))
				target.awaitRequests(t, 3)
			}
			for i := len(gates) - 1; i >= 0; i-- { // the last one ends first
				close(gates[i])
			}
			for i := range requests {
				assert.Equal(t, c.mustReceive().headers["Rhubarbrelay-Attempt-Id"], fmt.Sprintf("id-%d", i))
			}
		})
	}
}

// Guards against a response that is held back until a later request of its connection was
// answered.
func TestPipelinedResponseIsNotHeldBack(t *testing.T) {
	gates := newGates(2)
	h := newHarness(t, targetInfos(gatedTarget(t, gates)))
	c := h.connect(t)
	c.send(pipelined("/safe/0", 0) + pipelined("/safe/1", 1))
	close(gates[0])
	assert.Equal(t, c.mustReceive().headers["Rhubarbrelay-Attempt-Id"], "id-0")
	close(gates[1])
	assert.Equal(t, c.mustReceive().headers["Rhubarbrelay-Attempt-Id"], "id-1")
}

// Guards against a request that must not run twice, or one with a body, running beside an
// earlier one that is unanswered, and against requests behind it overtaking it.
func TestPipelinedRequestsWaitBehindOthers(t *testing.T) {
	tests := []struct{ name, second string }{
		{"must not run twice", pipelined("/once/1", 1)},
		{"body", rawRequest("POST", "/safe/1", "body", "Rhubarbrelay-Attempt-Id: id-1")},
		{"body of GET", rawRequest("GET", "/safe/1", "body", "Rhubarbrelay-Attempt-Id: id-1")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			gates := newGates(3)
			target := gatedTarget(t, gates)
			h := newHarness(t, targetInfos(target))
			c := h.connect(t)
			c.send(pipelined("/safe/0", 0) + tt.second + pipelined("/safe/2", 2))
			target.awaitRequests(t, 1)
			close(gates[0])
			c.mustReceive()
			target.awaitRequests(t, 2)
			close(gates[1])
			c.mustReceive()
			close(gates[2])
			c.mustReceive()
			assert.DeepEqual(t, target.receivedIDs(), []string{"id-0", "id-1", "id-2"})
		})
	}
}

// Guards against requests that run on after their caller has closed the connection.
func TestCloseCancelsPipelinedRequests(t *testing.T) {
	gates := newGates(2)
	defer close(gates[0])
	defer close(gates[1])
	target := gatedTarget(t, gates)
	h := newHarness(t, targetInfos(target))
	c := h.connect(t)
	c.send(pipelined("/safe/0", 0) + pipelined("/safe/1", 1))
	target.awaitRequests(t, 2)
	assert.NilError(t, c.conn.Close())
	waitFor(t, "no request runs", func() bool { return h.relay.InProgress() == 0 && h.relay.runningAhead.Load() == 0 })
}

// Guards against requests behind a response that closes the connection being sent to a
// target: their callers send them again.
func TestRequestsBehindClosingResponse(t *testing.T) {
	target := newScriptedTarget(t, "t-1", "a", echo)
	h := newHarness(t, targetInfos(target))
	c := h.connect(t)
	c.send(pipelined("/safe/0", 0, "Connection: close") + pipelined("/safe/1", 1))
	c.mustReceive()
	_, err := c.receive()
	assert.Assert(t, err != nil)
	assert.DeepEqual(t, target.receivedIDs(), []string{"id-0"})
}

// maxRunningAhead is the limit of callers.Ahead.
const maxRunningAhead = 8

// Guards against more requests of one connection running at the same time than the limit,
// and against the others getting no response.
func TestPipelinedRequestsAreLimited(t *testing.T) {
	const n = 40
	gates := newGates(n)
	target := gatedTarget(t, gates)
	target.info.Slots = 100
	h := newHarness(t, targetInfos(target))
	c := h.connect(t)
	for i := range n {
		c.send(pipelined(fmt.Sprintf("/safe/%d", i), i))
	}
	target.awaitRequests(t, 1+maxRunningAhead)
	assert.Assert(t, h.relay.runningAhead.Load() <= maxRunningAhead)
	for i := range n {
		close(gates[i])
	}
	for i := range n {
		assert.Equal(t, c.mustReceive().headers["Rhubarbrelay-Attempt-Id"], fmt.Sprintf("id-%d", i))
	}
}

// receiveInOrder receives the responses to the requests id-0 to id-n, and checks that the
// last one, and no other, closes the connection.
func (c *caller) receiveInOrder(statuses ...int) {
	c.t.Helper()
	for i, status := range statuses {
		got := c.mustReceive()
		assert.Equal(c.t, got.headers["Rhubarbrelay-Attempt-Id"], fmt.Sprintf("id-%d", i))
		assert.Equal(c.t, got.status, status, "response %d", i)
		assert.Equal(c.t, got.headers["Connection"] == "close", i == len(statuses)-1, "response %d closes the connection", i)
	}
	_, err := c.receive()
	assert.ErrorIs(c.t, err, io.EOF)
}

// Guards against a stop whose first response closes the connection, so that requests behind
// it are lost which targets work on: their callers cannot know whether they run. Guards
// against a stop that begins requests which were sent later.
func TestStopAnswersPipelinedRequests(t *testing.T) {
	tests := []struct {
		name  string
		later string // sent after the stop
	}{
		{"alone", ""},
		{"idempotent request later", pipelined("/safe/4", 4)},
		{"request that must not run twice later", pipelined("/once/4", 4)},
		{"body later", rawRequest("POST", "/once/4", "body", "Rhubarbrelay-Attempt-Id: id-4")},
		{"incomplete request later", "GET /safe/4 HTTP/1.1\r\nHost:"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			gates := newGates(5)
			defer openGates(gates)
			target := gatedTarget(t, gates)
			h := newHarness(t, targetInfos(target))
			c := h.connect(t)
			for i := range 4 {
				c.send(pipelined(fmt.Sprintf("/safe/%d", i), i))
			}
			target.awaitRequests(t, 4)
			h.relay.StartDraining(time.Now().Add(testTimeout))
			c.send(tt.later)
			ended := h.beginShutdown(t)
			for i := len(gates) - 1; i > 0; i-- { // the first one ends last
				close(gates[i])
			}
			assertRuns(t, ended)
			close(gates[0])
			c.receiveInOrder(200, 200, 200, 200)
			assert.NilError(t, <-ended)
			assert.Equal(t, len(target.receivedIDs()), 4)
		})
	}
}

// Guards against a target that never responds to the first of several pipelined requests,
// and with it withholds the responses to the others until the process ends.
func TestStopAnswersRequestsBehindHangingTarget(t *testing.T) {
	gates := newGates(4)
	defer openGates(gates)
	target := gatedTarget(t, gates)
	h := newHarness(t, targetInfos(target))
	c, alone := h.connect(t), h.connect(t)
	for i := range 3 {
		c.send(pipelined(fmt.Sprintf("/safe/%d", i), i))
	}
	alone.send(pipelined("/safe/3", 3))
	target.awaitRequests(t, 4)
	h.relay.StartDraining(time.Now().Add(200 * time.Millisecond))
	ended := h.beginShutdown(t)
	close(gates[2])
	c.receiveInOrder(504, 504, 200)
	assertRuns(t, ended) // one that withholds nothing is awaited
	close(gates[3])
	assert.Equal(t, alone.mustReceive().status, 200)
	assert.NilError(t, <-ended)
}

// Guards against a failure that closes the connection and drops the responses to requests
// that were passed on behind the failed one.
func TestFailureAwaitsPipelinedRequests(t *testing.T) {
	gates := newGates(3)
	defer openGates(gates)
	target := gatedTarget(t, gates)
	panics := log.HandlerFunc(func(e *log.Entry) error {
		if e.Message == "request answered" && e.Fields["request"] == "id-0" {
			panic("handler fails")
		}
		return nil
	})
	h := newHarness(t, targetInfos(target), WithLogger(&log.Logger{Handler: panics, Level: log.InfoLevel}))
	c := h.connect(t)
	for i := range 3 {
		c.send(pipelined(fmt.Sprintf("/safe/%d", i), i))
	}
	target.awaitRequests(t, 3)
	close(gates[2])
	close(gates[1])
	close(gates[0])
	got := c.mustReceive()
	assert.Equal(t, got.status, 500)
	assert.Equal(t, got.headers["Connection"], "")
	got = c.mustReceive()
	assert.Equal(t, got.headers["Rhubarbrelay-Attempt-Id"], "id-1")
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.headers["Connection"], "")
	got = c.mustReceive()
	assert.Equal(t, got.headers["Rhubarbrelay-Attempt-Id"], "id-2")
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.headers["Connection"], "close")
}
