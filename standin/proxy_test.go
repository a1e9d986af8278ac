package standin_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rhubarbrelay/standin"
)

// serveTarget starts a target and returns its address.
func serveTarget(t *testing.T, target *standin.Target) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- target.Serve(l) }()
	t.Cleanup(func() {
		assert.NilError(t, target.Close())
		assert.NilError(t, <-served)
	})
	return l.Addr().String()
}

// post sends one request on the connection and reads the response.
func post(c net.Conn, id string) error {
	if _, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: t\r\nRhubarbrelay-Attempt-Id: %s\r\nContent-Length: 4\r\n\r\nbody", id); err != nil {
		return err
	}
	var resp fasthttp.Response
	return resp.Read(bufio.NewReader(c))
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against a proxy that forwards bytes or the close of a blackholed
// connection, and against modes that have no effect: tests of network failures
// would pass without a failure.
func TestProxyModes(t *testing.T) {
	to := serveTarget(t, standin.NewTarget(standin.NewRegistration("t-1", "s", "a", 1, netip.AddrPort{})))
	// A random loopback address, as on a shared one another process could take the
	// port after it is released.
	free, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 16+rand.IntN(200), rand.IntN(256), 1+rand.IntN(254)))
	assert.NilError(t, err)
	address := free.Addr().String()
	assert.NilError(t, free.Close())
	p := standin.NewProxy(address, to)
	setMode := func(m string) { assert.NilError(t, p.SetMode(m)) }
	defer setMode(standin.ProxyRefuse)

	setMode(standin.ProxyPass)
	open := dial(t, address)
	err = post(open, "1")
	assert.NilError(t, err)

	setMode(standin.ProxyBlackholeOpen)
	err = post(dial(t, address), "2")
	assert.NilError(t, err)
	_, err = fmt.Fprint(open, "GET / HTTP/1.1\r\n\r\n")
	assert.NilError(t, err)
	assert.NilError(t, open.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err = open.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)

	setMode(standin.ProxyReset)
	// The reset may arrive before the dial has returned.
	reset, err := net.Dial("tcp", address)
	if err == nil {
		err = post(reset, "3")
		assert.Check(t, reset.Close())
	}
	assert.Assert(t, err != nil)
	setMode(standin.ProxyRefuse)
	_, err = net.Dial("tcp", address)
	assert.ErrorContains(t, err, "refused")
	setMode(standin.ProxyPass)
	err = post(dial(t, address), "4")
	assert.NilError(t, err)
}
