package callers

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"
)

// failingListener is a listener whose Accept fails with the errors, then accepts.
type failingListener struct {
	*pipeListener
	errs []error
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
	}
	return l.pipeListener.Accept()
}

// Addr implements net.Listener.
func (*failingListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against an instance that ends, and cuts off all callers, because it has no file
// descriptor for one more, and against one that uses the processor until it has one.
func TestAcceptWithoutResources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &failingListener{newPipeListener(), []error{syscall.EMFILE, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM}}
		lines := memory.New()
		l := NewListener(NewSet(), inner, 1, WithLogger(&log.Logger{Handler: lines, Level: log.InfoLevel}))
		caller, accepted := net.Pipe()
		go func() { inner.conns <- accepted }()
		start := time.Now()
		conn, err := l.Accept()
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), (1+2+4+8+16)*minAcceptDelay)
		assert.Equal(t, len(lines.Entries), 5)
		assert.Equal(t, lines.Entries[0].Message, "connection cannot be accepted")
		assert.NilError(t, errors.Join(conn.Close(), caller.Close()))

		inner.errs = []error{syscall.EINVAL}
		_, err = l.Accept()
		assert.ErrorIs(t, err, syscall.EINVAL)
	})
}

// Guards against a shutdown that waits until there is a file descriptor for one more
// connection.
func TestShutdownWithoutResources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errs := make([]error, 100)
		for i := range errs {
			errs[i] = syscall.EMFILE
		}
		set := NewSet()
		l := NewListener(set, &failingListener{newPipeListener(), errs}, 1)
		ended := make(chan error, 1)
		go func() {
			_, err := l.Accept()
			ended <- err
		}()
		time.Sleep(10 * maxAcceptDelay)
		start := time.Now()
		assert.NilError(t, set.Shutdown(t.Context(), start))
		assert.Equal(t, <-ended, io.EOF)
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}
