package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/standin"
)

// partOfARequest connects and sends all of a request but its last bytes, which it returns.
func partOfARequest(t *testing.T, address, path string) (conn net.Conn, rest string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a.example\r\nRhubarbrelay-Attempt-Id: id-1\r\n", path)
	assert.NilError(t, err)
	return conn, "\r\n"
}

func statusOf(t *testing.T, conn net.Conn) int {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.StatusCode
}

// Guards against a stop that closes connections on which a request is arriving, at any
// port, before the instance was ready or after it: the request is answered if it arrives
// during the stop, and refused at its end.
func TestStopAnswersArrivingRequests(t *testing.T) {
	for _, ready := range []bool{false, true} {
		t.Run(fmt.Sprintf("ready %t", ready), func(t *testing.T) {
			d, _, store := newTestDaemonWithStore(t, "a-1")
			d.settings.Stop.Grace = 2 * time.Second
			if !ready {
				store.SetFaults(standin.Faults{Down: true})
			}
			stopCtx, cancel := context.WithCancel(context.Background())
			stopped := make(chan error, 1)
			go func() { stopped <- d.Run(stopCtx) }()
			if ready {
				eventually(t, "the instance is ready", d.ready)
			}
			ports := []struct {
				address, path string
				answer        int
			}{
				{d.settings.Callers.Listen.String(), "/", 503}, // there is no target
				{d.settings.Peers.Listen.String(), "/", 503},
				{d.settings.Callers.Entry.String(), "/-/resolve?zone=a", 200},
				{d.settings.Callers.Ready.String(), "/-/readyz", 503},
			}
			eventually(t, "the instance listens", func() bool {
				conn, err := net.Dial("tcp", ports[3].address)
				return err == nil && conn.Close() == nil
			})
			complete, partial := make([]net.Conn, 0, len(ports)), make([]net.Conn, 0, len(ports))
			rests := make([]string, 0, len(ports))
			for _, p := range ports {
				conn, rest := partOfARequest(t, p.address, p.path)
				complete, rests = append(complete, conn), append(rests, rest)
				conn, _ = partOfARequest(t, p.address, p.path)
				partial = append(partial, conn)
			}
			cancel()
			started := time.Now()
			eventually(t, "the instance accepts no connections", func() bool {
				conn, err := net.Dial("tcp", ports[0].address)
				return err != nil || conn.Close() != nil
			})
			for i, conn := range complete { // at once: the refusals follow soon
				_, err := io.WriteString(conn, rests[i])
				assert.NilError(t, err)
			}
			for i, conn := range complete {
				assert.Equal(t, statusOf(t, conn), ports[i].answer, ports[i].address)
			}
			for i, conn := range partial {
				assert.Equal(t, statusOf(t, conn), 503, ports[i].address)
			}
			assert.NilError(t, <-stopped)
			assert.Assert(t, time.Since(started) < d.settings.Stop.Grace)
		})
	}
}
