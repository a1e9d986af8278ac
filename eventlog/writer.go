// Package eventlog writes log lines without ever blocking the process: one
// goroutine writes from a bounded queue, and lines that find it full are
// dropped and counted.
package eventlog

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
)

const (
	// queueLines bounds the lines that wait to be written. With lines of some
	// 300 bytes they take about 1 MB.
	queueLines = 4096
	// maxBatch bounds the bytes of one write.
	maxBatch = 32 << 10
)

// Writer is an io.Writer that queues lines. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	written atomic.Uint64
	failed  atomic.Uint64
}

// NewWriter returns a writer to out. Until Run nothing is written.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, queueLines)}
}

// Write queues one line. It never fails and never waits.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes the queued lines until the context ends, then those that are left.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case line := <-w.lines:
			w.flush(line)
		case <-ctx.Done():
			w.drain()
			return
		}
	}
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.flush(line)
		default:
			return
		}
	}
}

// flush writes a line together with those that wait already.
func (w *Writer) flush(batch []byte) {
	lines := uint64(1)
	for len(batch) < maxBatch {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			lines++
			continue
		default:
		}
		break
	}
	if _, err := w.out.Write(batch); err != nil {
		w.failed.Add(lines) // there is nowhere to report it but the metrics
		return
	}
	w.written.Add(lines)
}

// Stats counts lines.
type Stats struct{ Written, Dropped, Failed uint64 }

// Stats returns the counters.
func (w *Writer) Stats() Stats {
	return Stats{Written: w.written.Load(), Dropped: w.dropped.Load(), Failed: w.failed.Load()}
}
