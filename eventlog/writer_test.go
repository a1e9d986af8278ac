package eventlog

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// blocked is an output that takes nothing until it is opened.
type blocked struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
	err  error
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	return b.text.Write(p)
}

// Guards against a process that waits for its log output, and against dropped
// lines that are not counted.
func TestWriterNeverBlocks(t *testing.T) {
	out := &blocked{open: make(chan struct{})}
	w := NewWriter(out)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { w.Run(ctx) })
	const lines = 3 * queueLines
	for i := range lines {
		n, err := w.Write(fmt.Appendf(nil, "line %d\n", i))
		assert.NilError(t, err)
		assert.Assert(t, n > 0)
	}
	close(out.open)
	cancel()
	running.Wait()
	s := w.Stats()
	assert.Equal(t, s.Written+s.Dropped, uint64(lines))
	assert.Assert(t, s.Dropped > 0)
	assert.Equal(t, uint64(bytes.Count(out.text.Bytes(), []byte("\n"))), s.Written)
}

// Guards against lines that are lost at the end of the process or written in
// another order, and against failures of the output that show nowhere.
func TestWriterDrains(t *testing.T) {
	out := &blocked{open: make(chan struct{})}
	close(out.open)
	w := NewWriter(out)
	for i := range 100 {
		_, _ = fmt.Fprintf(w, "%d\n", i)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.Run(ctx)
	var want bytes.Buffer
	for i := range 100 {
		fmt.Fprintf(&want, "%d\n", i)
	}
	assert.Equal(t, out.text.String(), want.String())
	out.err = errors.New("closed")
	_, _ = fmt.Fprintln(w, "lost")
	w.Run(ctx)
	assert.Equal(t, w.Stats().Failed, uint64(1))
}
