package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rhubarbrelay/targets"
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
			running.Go(func() { m.serve(c) })
		}
	})
	t.Cleanup(func() { m.end(false); running.Wait() })
	return m
}

func (m *mortalTarget) serve(c net.Conn) {
	reader := bufio.NewReaderSize(c, 64<<10)
	for {
		var req fasthttp.Request
		if err := req.Read(reader); err != nil {
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
