package relay

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rhubarbrelay/bodies"
	"rhubarbrelay/config"
	"rhubarbrelay/timeline"
)

// sealedLarge is like sealed, but the seal does not contain the body, which would not
// fit into a header.
func sealedLarge(req *fasthttp.Request, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRhubarbrelay-Attempt-Id: %s\r\nRhubarbrelay-Response-Seal: seal\r\nContent-Length: %d\r\n\r\n%s",
		req.Header.Peek("Rhubarbrelay-Attempt-Id"), len(body), body)
}

// echoLarge responds with the body of the request.
func echoLarge(req *fasthttp.Request) (string, bool) {
	return sealedLarge(req, string(req.Body())), false
}

// watchMemory checks the memory until the returned function is called, which returns
// the highest number of bytes in use.
func watchMemory(memory *bodies.Memory) func() int64 {
	stop, highest := make(chan struct{}), make(chan int64, 1)
	go func() {
		most := int64(0)
		for {
			select {
			case <-stop:
				highest <- most
				return
			case <-time.After(time.Millisecond):
				most = max(most, memory.Used())
			}
		}
	}()
	return func() int64 { close(stop); return <-highest }
}

// Guards against an instance that is killed because a target sends responses that
// never end, and against callers that are not served by the sound target meanwhile,
// not even when they try again. No failed request may look like a success.
func TestEndlessResponsesAtOnce(t *testing.T) {
	const limit, requests = 8 << 20, 60
	endless := func(req *fasthttp.Request) (string, bool) {
		id := req.Header.Peek("Rhubarbrelay-Attempt-Id")
		// Without a length, and more than is accepted.
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nRhubarbrelay-Attempt-Id: %s\r\nRhubarbrelay-Response-Seal: seal\r\n\r\n%s", id, strings.Repeat("x", 20<<20)), true
	}
	bad, good := newScriptedTarget(t, "t-1", "a", endless), newScriptedTarget(t, "t-2", "a", echo)
	memory := bodies.NewMemory(limit)
	h := newHarness(t, targetInfos(bad, good), WithMemory(memory, memory))
	highest := watchMemory(memory)
	var running sync.WaitGroup
	for i := range requests {
		running.Go(func() {
			body := fmt.Sprint("body ", i)
			var got response
			for end := time.Now().Add(testTimeout); got.status != 200 && time.Now().Before(end); {
				got = h.call(t, "POST", "/safe/", body, fmt.Sprint("Rhubarbrelay-Attempt-Id: r-", i))
			}
			assert.Check(t, got.status == 200 && got.body == body, "status %d, %d bytes in place of %q", got.status, len(got.body), body)
		})
	}
	running.Wait()
	assert.Assert(t, highest() <= limit)
	waitFor(t, "the memory is released", func() bool { return memory.Used() == 0 })
}

// Guards against callers that take all the memory with large bodies, against requests
// that are refused for good or untruthfully for lack of memory, and against memory
// that is not released.
func TestLargeBodies(t *testing.T) {
	const limit, size, callers = 8 << 20, 1 << 20, 20
	target := newScriptedTarget(t, "t-1", "a", echoLarge)
	memory, responses := bodies.NewMemory(limit), bodies.NewMemory(limit)
	h := newHarness(t, targetInfos(target), WithMemory(memory, responses))
	highest := watchMemory(memory)
	body := strings.Repeat("x", size)
	var running sync.WaitGroup
	var mu sync.Mutex
	served, refused := 0, map[string]bool{}
	for i := range callers {
		running.Go(func() {
			id := fmt.Sprint("r-", i)
			conn := h.connect(t)
			// The connection is reset if the relay has refused the request by then.
			_, _ = conn.conn.Write([]byte(rawRequest("POST", "/once/", body, "Rhubarbrelay-Attempt-Id: "+id)))
			got, err := conn.receive()
			if err != nil {
				got.status = 503 // the refusal was lost with the connection
				got.headers = map[string]string{"Retry-After": "unknown"}
			}
			mu.Lock()
			defer mu.Unlock()
			switch got.status {
			case 200:
				served++
				assert.Check(t, got.body == body, "%d bytes", len(got.body))
			case 503:
				refused[id] = true
				assert.Check(t, got.headers["Retry-After"] != "")
			default:
				assert.Check(t, got.status == 502, "status %d", got.status)
			}
		})
	}
	running.Wait()
	assert.Assert(t, highest() <= limit)
	assert.Assert(t, served > 0)
	for _, id := range target.receivedIDs() {
		assert.Assert(t, !refused[id], "request %s was refused as not run but ran", id)
	}
	waitFor(t, "the memory is released", func() bool { return memory.Used()+responses.Used() == 0 })
	got := h.call(t, "POST", "/once/", body, "Rhubarbrelay-Attempt-Id: last")
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, body)
	waitFor(t, "the memory is released", func() bool { return memory.Used()+responses.Used() == 0 })
}

// Guards against a refusal that is lost because the connection is reset while the caller
// still sends its body: the caller would not know that its request has not run.
func TestRefusalReachesASendingCaller(t *testing.T) {
	const limit, size = 4 << 20, 12 << 20
	memory := bodies.NewMemory(limit)
	h := newHarness(t, nil, WithMemory(memory, memory))
	assert.NilError(t, bodies.NewReservation(memory, 1).Add(limit))
	h.document.Store(documentWithLimits(config.Limits{MaxBodyBytes: 2 * size}))
	body := strings.Repeat("x", size)
	for _, raw := range []string{rawRequest("POST", "/once/", body), chunkedRequest(body, 64<<10)} {
		assert.Equal(t, h.raw(t, raw).status, 503)
	}
	assert.Equal(t, h.call(t, "POST", "/unknown/", body, "Expect: 100-continue").status, 404)
	h.document.Store(documentWithLimits(config.Limits{MaxBodyBytes: limit}))
	assert.Equal(t, h.call(t, "POST", "/once/", body).status, 413)
}

// Guards against small requests that are refused because large ones hold all of the
// memory.
func TestSmallRequestsNeedNoMemory(t *testing.T) {
	target := newScriptedTarget(t, "t-1", "a", echo)
	const limit = 4 << 20
	memory := bodies.NewMemory(limit)
	h := newHarness(t, targetInfos(target), WithMemory(memory, memory))
	assert.NilError(t, bodies.NewReservation(memory, 1).Add(limit))
	got := h.call(t, "POST", "/once/", "small")
	assert.Equal(t, got.status, 200)
	got = h.call(t, "POST", "/once/", strings.Repeat("x", 1<<20), "Rhubarbrelay-Attempt-Id: large")
	assert.Equal(t, got.status, 503)
	assert.Equal(t, got.body, "instance has no memory for the request\n")
	assert.DeepEqual(t, target.receivedIDs(), []string{"id-1"})
}

// Guards against what a faulty target sends in place of a header being kept for each try,
// in the timeline or elsewhere, until the instance runs out of memory.
func TestMalformedHeadersAreNotKept(t *testing.T) {
	const requests, maxKept = 200, 2 << 20
	garbage := "HTTP/1.1 " + strings.Repeat("\x01", 7000) + "\r\n\r\n"
	var received atomic.Int64
	target := newScriptedTarget(t, "t-1", "a", func(req *fasthttp.Request) (string, bool) {
		if received.Add(1)%2 == 0 { // the others keep the target in use
			return garbage, true
		}
		return echo(req)
	})
	recorder := timeline.NewRecorder("i-1", timeline.NewClock(time.Now))
	h := newHarness(t, targetInfos(target), WithRecorder(recorder))
	heap := func() uint64 {
		runtime.GC()
		runtime.GC() // the first one leaves what pools hold
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heap()
	c := h.connect(t)
	for range requests {
		c.send(rawRequest("GET", "/single/", ""))
		c.mustReceive()
	}
	tries := len(target.receivedIDs())
	assert.Equal(t, tries, requests)
	kept := int64(heap()) - int64(before) //nolint:gosec // The heap is smaller than the range.
	assert.Assert(t, kept < maxKept, "%d bytes are kept after %d requests", kept, tries)
	runtime.KeepAlive(recorder)
}
