// Package logring writes log lines without blocking the logger. Lines are held in a bounded
// buffer; while it is full, new lines are dropped, and their count is logged before the
// next lines.
package logring

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// DefaultBufferBytes is the size of the buffer, which holds some seconds of lines at the
	// highest load.
	DefaultBufferBytes = 256 << 10
	// DefaultFlushInterval is the delay after which buffered lines are written, so that several
	// share one write.
	DefaultFlushInterval = 100 * time.Millisecond
)

// Writer is a buffered io.Writer. Write never waits for the destination.
type Writer struct {
	dst           io.Writer
	limit         int
	flushInterval time.Duration

	mu      sync.Mutex
	buf     []byte
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// New returns a Writer that buffers up to limit bytes and writes them to dst at most every
// flushInterval.
func New(dst io.Writer, limit int, flushInterval time.Duration) *Writer {
	w := &Writer{dst: dst, limit: limit, flushInterval: flushInterval, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.flushLoop()
	return w
}

// Write implements io.Writer. p must be one complete line; it is dropped if the buffer is
// full or the writer is closed. The error is always nil.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.buf)+len(p) > w.limit {
		w.dropped++
		return len(p), nil
	}
	w.buf = append(w.buf, p...)
	w.wakeFlusher()
	return len(p), nil
}

func (w *Writer) wakeFlusher() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Writer) flushLoop() {
	defer close(w.done)
	var spare []byte
	for range w.wake {
		w.mu.Lock()
		closed := w.closed
		w.mu.Unlock()
		if !closed {
			time.Sleep(w.flushInterval)
		}
		w.mu.Lock()
		pending, dropped := w.buf, w.dropped
		w.buf, w.dropped = spare[:0], 0
		closed = w.closed
		w.mu.Unlock()
		if dropped > 0 {
			fmt.Fprintf(w.dst, "{\"level\":\"WARN\",\"msg\":\"Log lines were dropped.\",\"count\":%d}\n", dropped)
		}
		if len(pending) > 0 {
			_, _ = w.dst.Write(pending) // a failure to log can't be logged
		}
		spare = pending
		if closed {
			return
		}
	}
}

// Close writes the buffered lines and stops the writer; later lines are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.wakeFlusher()
	<-w.done
}
