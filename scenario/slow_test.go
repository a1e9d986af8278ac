package scenario

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// slowCall is a call that a scenario sends and receives step by step.
type slowCall struct {
	conn net.Conn
	rest string
	resp *http.Response
}

// slowWindow is the receive buffer of a slow call in bytes. A large response does not fit
// into it, so that its sender waits.
const slowWindow = 32 << 10

// part implements the script command "part NAME ADDRESS METHOD PATH [Name:value ...]". It
// sends a request but for the end of its header.
func part(ts *testscript.TestScript, _ bool, args []string) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		return errors.Join(raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowWindow)
		}), err)
	}}
	conn, err := dialer.Dial("tcp", args[1])
	ts.Check(err)
	ts.Check(conn.SetDeadline(time.Now().Add(conditionTimeout)))
	ts.Defer(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, fmt.Sprintf("%s %s HTTP/1.1\r\n%s\r\n", args[2], args[3], strings.Join(args[4:], "\r\n")))
	ts.Check(err)
	processesOf(ts).slow[args[0]] = &slowCall{conn: conn, rest: "Content-Length: 0\r\n\r\n"}
}

// rest implements the script command "rest NAME". It sends the end of the header.
func rest(ts *testscript.TestScript, _ bool, args []string) {
	c := processesOf(ts).slow[args[0]]
	_, err := io.WriteString(c.conn, c.rest)
	ts.Check(err)
}

// status implements the script command "status NAME". It receives the header of the
// response and prints the status and whether it has a Retry-After.
func status(ts *testscript.TestScript, _ bool, args []string) {
	c := processesOf(ts).slow[args[0]]
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil) //nolint:bodyclose // The command body closes it, or the end of the scenario its connection.
	ts.Check(err)
	c.resp = resp
	_, _ = fmt.Fprintf(ts.Stdout(), "status %d\nRetry-After: %s\n", resp.StatusCode, resp.Header.Get("Retry-After"))
}

// body implements the script command "body NAME". It receives the body of the response and
// prints its size.
func body(ts *testscript.TestScript, _ bool, args []string) {
	c := processesOf(ts).slow[args[0]]
	data, err := io.ReadAll(c.resp.Body)
	ts.Check(errors.Join(err, c.resp.Body.Close()))
	_, _ = fmt.Fprintf(ts.Stdout(), "body %d\n", len(data))
}

// refuses implements the script command "refuses ADDRESS". It waits until connections are
// refused.
func refuses(ts *testscript.TestScript, _ bool, args []string) {
	for deadline := time.Now().Add(conditionTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", args[0])
		if err != nil {
			return
		}
		_ = conn.Close()
	}
	ts.Fatalf("%s did not refuse connections in time", args[0])
}
