package relay

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rhubarbrelay/bodies"
	"rhubarbrelay/reachability"
	"rhubarbrelay/targets"
)

// peerList is a PeerSelector of instances that are tried in the order of the list.
type peerList struct{ addresses []netip.AddrPort }

// SelectPeer implements PeerSelector.
func (p *peerList) SelectPeer(_ string, exclude []netip.AddrPort) (netip.AddrPort, bool) {
	for _, a := range p.addresses {
		if !slices.Contains(exclude, a) {
			return a, true
		}
	}
	return netip.AddrPort{}, false
}

// newCutHarness starts a relay that has lost its links to its targets.
func newCutHarness(t *testing.T, peers PeerSelector, opts ...Option) *harness {
	t.Helper()
	const count = 3
	all := make([]*targets.Target, 0, count)
	for i := range count {
		all = append(all, &targets.Target{ID: fmt.Sprintf("cut-%d", i), Service: "spoolkeep", Zone: "a", Slots: 8, Address: unusedAddress(t)})
	}
	h := newHarness(t, all, append(opts, WithPeers(peers))...)
	d := h.table.Dispatcher("spoolkeep")
	waitFor(t, "the links are lost", func() bool {
		d.CheckReach(true)
		return d.Reach() == reachability.Lost
	})
	return h
}

// servePeers makes a relay take over requests of other instances and returns the address.
func (h *harness) servePeers(t testing.TB) netip.AddrPort {
	t.Helper()
	return netip.MustParseAddrPort(h.start(t, h.relay.ServePeers))
}

// Guards against a response of another instance that reaches the caller with another
// meaning: a refusal after the request may have run, an outcome that is unknown although
// it has not, or a false success.
func TestResponsesOfOtherInstances(t *testing.T) {
	tests := []struct {
		name       string
		response   string // without the status line and the ID
		status     int
		closes     bool
		want       int
		seal       bool
		retryAfter string
	}{
		{name: "success", status: 200, response: "Rhubarbrelay-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok", want: 200, seal: true},
		{name: "error of a target", status: 500, response: "Rhubarbrelay-Response-Seal: s\r\nContent-Length: 0\r\n\r\n", want: 500, seal: true},
		{name: "success without a seal", status: 200, response: "Content-Length: 2\r\n\r\nok", want: 502},
		{name: "refusal", status: 503, response: "Retry-After: 0.70\r\nContent-Length: 0\r\n\r\n", want: 503, retryAfter: "0.70"},
		{name: "refusal with a malformed delay", status: 503, response: "Retry-After: x\r\nContent-Length: 0\r\n\r\n", want: 503, retryAfter: "0.20"},
		{name: "refusal with a negative delay", status: 503, response: "Retry-After: -1\r\nContent-Length: 0\r\n\r\n", want: 503, retryAfter: "0.20"},
		{name: "refusal with a delay that is no number", status: 503, response: "Retry-After: NaN\r\nContent-Length: 0\r\n\r\n", want: 503, retryAfter: "0.20"},
		{name: "refusal with a long delay", status: 503, response: "Retry-After: 1e9\r\nContent-Length: 0\r\n\r\n", want: 503, retryAfter: "5.00"},
		{name: "no such route there", status: 404, response: "Content-Length: 0\r\n\r\n", want: 503, retryAfter: "0.20"},
		{name: "unknown outcome", status: 502, response: "Content-Length: 0\r\n\r\n", want: 502},
		{name: "no answer in time", status: 504, response: "Content-Length: 0\r\n\r\n", want: 504},
		{name: "broken exchange", status: 200, response: "Rhubarbrelay-Response-Seal: s\r\nContent-Length: 9\r\n\r\nok", closes: true, want: 502},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			peer := newScriptedTarget(t, "peer", "a", func(req *fasthttp.Request) (string, bool) {
				return fmt.Sprintf("HTTP/1.1 %d X\r\nRhubarbrelay-Attempt-Id: %s\r\n%s", tt.status, req.Header.Peek("Rhubarbrelay-Attempt-Id"), tt.response), tt.closes
			})
			h := newCutHarness(t, &peerList{[]netip.AddrPort{peer.info.Address}})
			got := h.call(t, "POST", "/once/x", "body")
			assert.Equal(t, got.status, tt.want)
			assert.Equal(t, got.seal() != "", tt.seal)
			assert.Equal(t, got.headers["Retry-After"], tt.retryAfter)
			assert.Equal(t, got.headers["Rhubarbrelay-Attempt-Id"], "id-1")
			assert.DeepEqual(t, peer.receivedIDs(), []string{"id-1"})
		})
	}
}

// Guards against a request that arrives at the other instance with another ID, body or
// method, with more time than is left, or with the name of a target.
func TestRequestIsPassedOnUnchanged(t *testing.T) {
	var got fasthttp.Request
	peer := newScriptedTarget(t, "peer", "a", func(req *fasthttp.Request) (string, bool) {
		req.CopyTo(&got)
		return echo(req)
	})
	h := newCutHarness(t, &peerList{[]netip.AddrPort{peer.info.Address}})
	assert.Equal(t, h.call(t, "PUT", "/once/x?y=1", "body", "Rhubarbrelay-Deadline-Ms: 3000", "X-Other: 7", "Relay-Elapsed-Ms: 99999").body, "body")
	assert.Equal(t, string(got.Header.Method()), "PUT")
	assert.Equal(t, string(got.Header.RequestURI()), "/once/x?y=1")
	assert.Equal(t, string(got.Header.Host()), "spoolkeep.example")
	assert.Equal(t, string(got.Header.Peek("X-Other")), "7")
	assert.Equal(t, len(got.Header.Peek("Rhubarbrelay-Expect-Instance")), 0)
	assert.Equal(t, statedElapsed(&got.Header) < time.Second, true)
	left, err := strconv.Atoi(string(got.Header.Peek("Rhubarbrelay-Deadline-Ms")))
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 3000, "%d ms left", left)
}

// Guards against a request that goes from instance to instance, and against one that is
// refused by an instance that reaches the targets.
func TestRequestIsPassedOnOnce(t *testing.T) {
	target := newScriptedTarget(t, "t-1", "a", echo)
	tests := []struct {
		name   string
		second func(PeerSelector) *harness
		want   int
	}{
		{"the other instance reaches the targets", func(peers PeerSelector) *harness {
			return newHarness(t, targetInfos(target), WithPeers(peers))
		}, 200},
		{"neither does", func(peers PeerSelector) *harness { return newCutHarness(t, peers) }, 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			toFirst, toSecond := &peerList{}, &peerList{}
			first, second := newCutHarness(t, toSecond), tt.second(toFirst)
			toFirst.addresses = []netip.AddrPort{first.servePeers(t)}
			toSecond.addresses = []netip.AddrPort{second.servePeers(t)}
			assert.Equal(t, first.call(t, "POST", "/once/x", "body", "Rhubarbrelay-Deadline-Ms: 500").status, tt.want)
			assert.Equal(t, first.relay.Stats().PassedOn, uint64(1))
			assert.Equal(t, first.relay.Stats().TakenOver, uint64(0))
			assert.Equal(t, second.relay.Stats().TakenOver, uint64(1))
			assert.Equal(t, second.relay.Stats().PassedOn, uint64(0))
			// The rest of a timeout is not one that callers state.
			assert.Equal(t, len(first.relay.timeouts.histograms), 1)
			assert.Equal(t, len(second.relay.timeouts.histograms), 0)
		})
	}
}

// Guards against a request that is refused because the first of the other instances has
// failed, and against one that waits although there is none.
func TestPeerCannotBeReached(t *testing.T) {
	peer := newScriptedTarget(t, "peer", "a", echo)
	h := newCutHarness(t, &peerList{[]netip.AddrPort{unusedAddress(t), peer.info.Address}})
	assert.Equal(t, h.call(t, "POST", "/once/x", "body").status, 200)
	h = newCutHarness(t, &peerList{[]netip.AddrPort{unusedAddress(t), unusedAddress(t), peer.info.Address}})
	got := h.call(t, "POST", "/once/x", "body", "Rhubarbrelay-Deadline-Ms: 300")
	assert.Equal(t, got.status, 503)
	assert.Equal(t, got.body, "no target becomes free in time\n")
}

// Guards against a request that another instance has not got, and that fails as if it had.
func TestPeerDoesNotGetRequest(t *testing.T) {
	refusing := newScriptedTarget(t, "peer-1", "a", func(req *fasthttp.Request) (string, bool) { return notRunResponse(req, 503), false })
	serving := newScriptedTarget(t, "peer-2", "a", echo)
	h := newCutHarness(t, &peerList{[]netip.AddrPort{refusing.info.Address, serving.info.Address}})
	assert.Equal(t, h.call(t, "POST", "/once/x", "body").status, 503)
	// The connection carries no second request with an ID that was refused on it.
	assert.Equal(t, h.call(t, "POST", "/once/x", "body").status, 200)
	assert.Equal(t, len(refusing.receivedIDs()), 1)
}

// Guards against a request that gets more tries than its route allows, since it is passed
// on after a target has refused it.
func TestRefusedRequestIsNotPassedOn(t *testing.T) {
	refusing := newScriptedTarget(t, "t-1", "a", func(req *fasthttp.Request) (string, bool) { return notRunResponse(req, 503), false })
	peer := newScriptedTarget(t, "peer", "a", echo)
	cut := &targets.Target{ID: "cut", Service: "spoolkeep", Zone: "a", Slots: 8, Address: unusedAddress(t)}
	for range 10 { // the target of the first try is random
		h := newHarness(t, append(targetInfos(refusing), cut), WithPeers(&peerList{[]netip.AddrPort{peer.info.Address}}))
		document := harnessDocument()
		document.Services["spoolkeep"].HealthPath = ""
		h.table.Update(document.Services)
		assert.Equal(t, h.call(t, "POST", "/once/x", "body").status, 503)
	}
	assert.Equal(t, len(refusing.receivedIDs()), 10) // control
	assert.Equal(t, len(peer.receivedIDs()), 0)
}

// Guards against a request that runs twice because it is passed on after a byte of it was
// sent to a target.
func TestSentRequestIsNotPassedOn(t *testing.T) {
	target := newScriptedTarget(t, "t-1", "a", func(*fasthttp.Request) (string, bool) { return "", true })
	peer := newScriptedTarget(t, "peer", "a", echo)
	h := newHarness(t, targetInfos(target), WithPeers(&peerList{[]netip.AddrPort{peer.info.Address}}))
	assert.Equal(t, h.call(t, "POST", "/once/x", "body").status, 502)
	assert.Equal(t, len(target.receivedIDs()), 1) // control
	assert.Equal(t, len(peer.receivedIDs()), 0)
}

// Guards against a request that is refused while the instance does not know yet that it
// has lost its links.
func TestUnsentRequestIsPassedOn(t *testing.T) {
	peer := newScriptedTarget(t, "peer", "a", echo)
	all := []*targets.Target{{ID: "cut", Service: "spoolkeep", Zone: "a", Slots: 8, Address: unusedAddress(t)}}
	h := newHarness(t, all, WithPeers(&peerList{[]netip.AddrPort{peer.info.Address}}))
	document := harnessDocument()
	document.Services["spoolkeep"].HealthPath = "" // so that the request is the first contact
	h.table.Update(document.Services)
	assert.Equal(t, h.call(t, "POST", "/once/x", "body").status, 200)
}

// Guards against an exchange with another instance that goes on after the caller has
// closed its connection.
func TestCallerOfPassedOnRequestCloses(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	peer := newScriptedTarget(t, "peer", "a", func(req *fasthttp.Request) (string, bool) {
		close(received)
		<-release
		return echo(req)
	})
	h := newCutHarness(t, &peerList{[]netip.AddrPort{peer.info.Address}})
	c := h.connect(t)
	c.send(rawRequest("GET", "/safe/x", ""))
	<-received
	assert.NilError(t, c.conn.Close())
	closed := time.Now()
	waitFor(t, "the request has ended", func() bool { return h.relay.InProgress() == 0 })
	timeout := h.Current().Match("spoolkeep.example", "/safe/x").Timeout
	assert.Assert(t, time.Since(closed) < timeout/2, "the request has ended after %s", time.Since(closed))
	assert.Equal(t, h.relay.Stats().UnknownOutcome, uint64(1))
	close(release)
}

// Guards against the memory of a large response of another instance that is not released,
// or of one that does not fit and is answered falsely.
func TestLargeResponseOfOtherInstance(t *testing.T) {
	memory := bodies.NewMemory(4 << 20)
	peer := newScriptedTarget(t, "peer", "a", func(req *fasthttp.Request) (string, bool) {
		size, err := strconv.Atoi(string(req.Body()))
		assert.Check(t, err)
		return sealedLarge(req, strings.Repeat("x", size)), false
	})
	h := newCutHarness(t, &peerList{[]netip.AddrPort{peer.info.Address}}, WithMemory(memory, memory))
	for _, tt := range []struct{ size, want int }{{1 << 20, 200}, {8 << 20, 502}, {1 << 20, 200}} {
		got := h.call(t, "POST", "/once/x", strconv.Itoa(tt.size))
		assert.Equal(t, got.status, tt.want)
		assert.Equal(t, len(got.body) == tt.size, tt.want == 200)
		waitFor(t, "the memory is released", func() bool { return memory.Used() == 0 })
	}
}

// Guards against an instance that sends requests to a target that leaves, as it has passed
// on the response that states so but was not told by it.
func TestLeavingTargetOfPassedOnRequest(t *testing.T) {
	tests := []struct {
		name, line string
		want       int
	}{
		{"it leaves", "Server-Leaving: 1\r\n", 1},
		{"it does not", "", 0},
		{"it names another one", "Relay-Target-Leaving: 0 cut-0\r\n", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			target := newScriptedTarget(t, "cut-1", "a", func(req *fasthttp.Request) (string, bool) {
				return sealed(req, 200, "ok", tt.line), false
			})
			peers := &peerList{[]netip.AddrPort{newHarness(t, targetInfos(target)).servePeers(t)}}
			h := newCutHarness(t, peers)
			got := h.call(t, "POST", "/once/x", "body")
			assert.Equal(t, got.status, 200)
			assert.Equal(t, got.headers[leavingTargetHeader], "")
			assert.Equal(t, h.table.Dispatcher("spoolkeep").Stats().Leaving, tt.want)
		})
	}
}

// Guards against a first attempt that is refused as late, since the other instance takes
// the time that a route allows for what is left of the caller's.
func TestElapsedTimeOfPassedOnRequest(t *testing.T) {
	const objective, allowed = 2500 * time.Millisecond, 10 * time.Second // of the route
	tests := []struct {
		name   string
		before []time.Duration // timeouts of requests at the instance that passes on
		now    time.Duration
		want   bool // whether time counts as spent
	}{
		{"first attempt", nil, 3 * allowed, false},
		{"attempt after a refusal", []time.Duration{3 * allowed, 3 * allowed, 3 * allowed}, 2 * allowed, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lines := memory.New()
			target := newScriptedTarget(t, "t-1", "a", func(req *fasthttp.Request) (string, bool) {
				assert.Check(t, len(req.Header.Peek(elapsedHeader)) == 0, "the target gets a header that is only for instances")
				return echo(req)
			})
			other := newHarness(t, targetInfos(target), WithLogger(&log.Logger{Handler: lines, Level: log.InfoLevel}))
			call := func(h *harness, timeout time.Duration) response {
				return h.call(t, "POST", "/once/x", "body", fmt.Sprintf("Rhubarbrelay-Deadline-Ms: %d", timeout.Milliseconds()))
			}
			for range 10 {
				assert.Equal(t, call(other, 3*allowed).status, 200)
			}
			h := newCutHarness(t, &peerList{[]netip.AddrPort{other.servePeers(t)}})
			for _, timeout := range tt.before {
				assert.Equal(t, call(h, timeout).status, 200)
			}
			started := time.Now()
			assert.Equal(t, call(h, tt.now).status, 200)
			took := time.Since(started)
			last := lines.Entries[len(lines.Entries)-1]
			assert.Equal(t, last.Fields["from_peer"], true)
			spent := time.Duration(0)
			if text, ok := last.Fields["spent"].(string); ok {
				var err error
				spent, err = time.ParseDuration(text)
				assert.NilError(t, err)
			}
			if !tt.want {
				assert.Assert(t, spent <= took, "%s spent of %s", spent, took) // the time at the first instance
				return
			}
			assert.Assert(t, spent > allowed-objective && spent < allowed+objective+took, "%s spent", spent)
		})
	}
}

// Guards against another instance that gets a request without a deadline, or with that of a
// caller that waits longer than the route allows.
func TestDeadlineOfPassedOnRequest(t *testing.T) {
	const allowed = 10 * time.Second // of the route
	for _, stated := range []string{"", "Rhubarbrelay-Deadline-Ms: 30000", "Rhubarbrelay-Deadline-Ms: 7000"} {
		got := make(chan string, 1)
		other := newScriptedTarget(t, "a-2", "a", func(req *fasthttp.Request) (string, bool) {
			got <- string(req.Header.Peek("Rhubarbrelay-Deadline-Ms"))
			return echo(req)
		})
		h := newCutHarness(t, &peerList{[]netip.AddrPort{other.info.Address}})
		lines := []string{"A: b"}
		most := allowed
		if stated != "" {
			lines = append(lines, stated)
			if stated == "Rhubarbrelay-Deadline-Ms: 7000" {
				most = 7 * time.Second
			}
		}
		assert.Equal(t, h.call(t, "POST", "/once/x", "body", lines...).status, 200)
		ms, err := strconv.Atoi(<-got)
		assert.NilError(t, err)
		assert.Assert(t, ms > 0 && time.Duration(ms)*time.Millisecond <= most, "%d ms with %q", ms, stated)
	}
}

// Guards against a refusal by another instance whose reason is in no log of this one.
func TestFailureOfOtherInstanceIsLogged(t *testing.T) {
	recorded := &logRecorder{}
	other := newHarness(t, targetInfos(newScriptedTarget(t, "t-1", "a", echo)))
	other.document.Store(nil)
	h := newCutHarness(t, &peerList{[]netip.AddrPort{other.servePeers(t)}}, withRecordedLog(recorded))
	assert.Equal(t, h.call(t, "POST", "/once/", "body").status, 503)
	assert.Equal(t, recorded.last(t, "request failed")["peer_failure"], "503 instance has no configuration yet")
}
