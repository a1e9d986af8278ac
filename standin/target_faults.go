package standin

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/valyala/fasthttp"
)

// The faults of a target. They last until they are changed.
const (
	// FaultResetBefore resets the connection after the request was read; the
	// request does not run.
	FaultResetBefore = "reset_before"
	// FaultResetAfter resets the connection after the request ran.
	FaultResetAfter = "reset_after"
	// FaultCut closes the connection after a part of the answer's body.
	FaultCut = "cut"
	// FaultLate runs the request and answers when the fault is changed.
	FaultLate = "late"
	// FaultNever runs the request and never answers.
	FaultNever = "never"
)

// targetFault is the fault that a target shows.
type targetFault struct {
	kind string
	// cut is the number of body bytes that FaultCut lets pass.
	cut int
	// changed is closed when the fault is changed.
	changed chan struct{}
}

// WithRunsFile keeps the runs in a file, one request id a line, so that the
// counts outlive a killed target.
func WithRunsFile(path string) TargetOption {
	return func(t *Target) { t.runsFile = path }
}

// LoadRuns counts the runs in the file that WithRunsFile names.
func (t *Target) LoadRuns() error {
	if t.runsFile == "" {
		return nil
	}
	text, err := os.ReadFile(t.runsFile)
	if err != nil && !os.IsNotExist(err) {
		return err
	}
	lines := bufio.NewScanner(strings.NewReader(string(text)))
	for lines.Scan() {
		t.runs[lines.Text()]++
	}
	return lines.Err()
}

// keepRun appends a run to the file. The caller holds the lock.
func (t *Target) keepRun(id string) error {
	if t.runsFile == "" {
		return nil
	}
	out, err := os.OpenFile(t.runsFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(out, id); err != nil {
		_ = out.Close()
		return err
	}
	return out.Close()
}

// setFault replaces the fault and ends the waits of the one before.
func (t *Target) setFault(kind string, cut int) {
	next := &targetFault{kind: kind, cut: cut, changed: make(chan struct{})}
	if old := t.fault.Swap(next); old != nil {
		close(old.changed)
	}
}

// failBefore shows a fault before the run and returns whether it did.
func (t *Target) failBefore(ctx *fasthttp.RequestCtx) bool {
	if f := t.fault.Load(); f == nil || f.kind != FaultResetBefore {
		return false
	}
	reset(ctx.Conn())
	return true
}

// failAfter shows a fault after the run, when the answer is complete.
func (t *Target) failAfter(ctx *fasthttp.RequestCtx) {
	f := t.fault.Load()
	if f == nil {
		return
	}
	switch f.kind {
	case FaultResetAfter:
		reset(ctx.Conn())
	case FaultCut:
		body := ctx.Response.Body()
		_, _ = fmt.Fprintf(ctx.Conn(), "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:min(f.cut, len(body))])
		_ = ctx.Conn().Close()
	case FaultLate:
		t.awaitChange(f)
	case FaultNever:
		t.awaitChange(f)
		_ = ctx.Conn().Close()
	}
}

func (t *Target) awaitChange(f *targetFault) {
	select {
	case <-f.changed:
	case <-t.stop:
	}
}

// reset closes a connection with a reset instead of an orderly end.
func reset(c net.Conn) {
	if socket, ok := c.(*net.TCPConn); ok {
		_ = socket.SetLinger(0)
	}
	_ = c.Close()
}
