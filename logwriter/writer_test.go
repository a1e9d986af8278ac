package logwriter

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

// blockingOutput is an output whose writes block until unblock is closed. They
// return err if it is set.
type blockingOutput struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
	err     error
}

func (b *blockingOutput) Write(p []byte) (int, error) {
	<-b.unblock
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	return b.text.Write(p)
}

// Guards against Write waiting while the output is blocked: every goroutine
// that logs would block. Also guards against dropped lines that are not
// counted.
func TestWriterNeverBlocks(t *testing.T) {
	out := &blockingOutput{unblock: make(chan struct{})}
	w := NewWriter(out)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { w.Run(ctx) })
	const lines = 3 * queueCapacity
	for i := range lines {
		n, err := w.Write(fmt.Appendf(nil, "line %d\n", i))
		assert.NilError(t, err)
		assert.Assert(t, n > 0)
	}
	close(out.unblock)
	cancel()
	running.Wait()
	s := w.Stats()
	assert.Equal(t, s.Written+s.Dropped, uint64(lines))
	assert.Assert(t, s.Dropped > 0)
	assert.Equal(t, uint64(bytes.Count(out.text.Bytes(), []byte("\n"))), s.Written)
}

// Guards against lines being lost or reordered because they are still queued
// when the process ends. Also guards against lines that the output fails to
// write and that are not counted: the log itself cannot report them.
func TestWriterFlushesQueue(t *testing.T) {
	out := &blockingOutput{unblock: make(chan struct{})}
	close(out.unblock)
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
	out.err = errors.New("output is closed")
	_, _ = fmt.Fprintln(w, "lost")
	w.Run(ctx)
	assert.Equal(t, w.Stats().Failed, uint64(1))
}
