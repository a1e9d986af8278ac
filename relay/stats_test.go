package relay

import (
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
)

// Guards against counters that miss an outcome, count one twice, or count
// entry lookups.
func TestStats(t *testing.T) {
	var count atomic.Int64
	shed := "HTTP/1.1 503 No\r\nRhubarbrelay-Outcome: not_run\r\nContent-Length: 2\r\n\r\nok"
	h := newHarness(t, []config.Target{newRawTarget(t, "sk-01", scripted(shed, &count)), newTarget(t, "sk-02", echo)})
	h.inOrder()
	h.call(t, "POST", "/orders", "body")                                          // retried, run
	h.call(t, "GET", "/", "", "Rhubarbrelay-Deadline: soon")                      // not_run
	h.call(t, "GET", "/", "", "Rhubarbrelay-Deadline: -1s")                       // not_run
	h.raw(t, "not HTTP\r\n\r\n")                                                  // not_run
	h.call(t, "POST", "/orders", "body", "Idempotency-Key: a~1~2~3")              // unknown
	h.call(t, "GET", "/.well-known/rhubarbrelay/entry?service=spoolkeep", "body") // not counted
	assert.Equal(t, h.relay.Stats(), Stats{
		Requests: 5, Run: 1, NotRun: 3, Unknown: 1, Retries: 1, Refused: Refusals{Input: 2, Deadline: 1},
	})
}
