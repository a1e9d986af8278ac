// Package logwriter writes log lines asynchronously, so that a slow output never
// blocks the process. One goroutine writes lines from a bounded queue; lines that
// arrive while the queue is full are dropped and counted.
package logwriter

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
)

const (
	// queueCapacity is the number of lines that can wait to be written. With
	// about 300 bytes per line they take some 1 MB.
	queueCapacity = 4096
	// maxQueuedBytes limits the size of these lines, some of which quote what others send.
	maxQueuedBytes = 4 << 20
	// maxBatchBytes is the size at which a batch is written without adding further
	// lines.
	maxBatchBytes = 32 << 10
)

// Writer is an io.Writer that queues lines. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	queued  atomic.Int64 // bytes
	dropped atomic.Uint64
	written atomic.Uint64
	failed  atomic.Uint64
}

// NewWriter returns a writer to out. Nothing is written until Run is called.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, queueCapacity)}
}

// Write queues one line. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	size := int64(len(line))
	if w.queued.Add(size) > maxQueuedBytes {
		w.drop(size)
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.drop(size)
	}
	return len(line), nil
}

// drop counts a line of the given size in bytes that is not queued.
func (w *Writer) drop(size int64) {
	w.queued.Add(-size)
	w.dropped.Add(1)
}

// Run writes queued lines until the context ends, then writes the remaining ones
// and returns.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case line := <-w.lines:
			w.writeBatch(line)
		case <-ctx.Done():
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.writeBatch(line)
		default:
			return
		}
	}
}

// writeBatch writes a line together with the lines that are already queued.
func (w *Writer) writeBatch(batch []byte) {
	lines := uint64(1)
	w.queued.Add(-int64(len(batch)))
	for len(batch) < maxBatchBytes {
		select {
		case line := <-w.lines:
			w.queued.Add(-int64(len(line)))
			batch = append(batch, line...)
			lines++
			continue
		default:
		}
		break
	}
	if _, err := w.out.Write(batch); err != nil {
		w.failed.Add(lines) // only the metrics can report that the log cannot be written
		return
	}
	w.written.Add(lines)
}

// Stats counts log lines by outcome.
type Stats struct{ Written, Dropped, Failed uint64 }

// Stats returns the current counts.
func (w *Writer) Stats() Stats {
	return Stats{Written: w.written.Load(), Dropped: w.dropped.Load(), Failed: w.failed.Load()}
}
