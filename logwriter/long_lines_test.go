package logwriter

import (
	"bytes"
	"context"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against long lines that wait for a slow output and together exhaust the memory,
// and against short ones that are dropped once they are written.
func TestLongLinesAreDropped(t *testing.T) {
	const size = 64 << 10
	out := &blockingOutput{unblock: make(chan struct{})}
	w := NewWriter(out)
	line := append(bytes.Repeat([]byte("x"), size-1), '\n')
	const lines = 2 * maxQueuedBytes / size
	for range lines {
		n, err := w.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, size)
	}
	assert.Equal(t, w.Stats().Dropped, uint64(lines/2))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { w.Run(ctx) })
	close(out.unblock)
	cancel()
	running.Wait()
	assert.Equal(t, w.Stats().Written, uint64(lines/2))
	assert.Equal(t, w.queued.Load(), int64(0))
	_, err := w.Write(line)
	assert.NilError(t, err)
	assert.Equal(t, w.Stats().Dropped, uint64(lines/2))
}
