// Package logring writes log lines without ever blocking the logger. Lines wait in a
// bounded buffer; when it is full, new ones are dropped and counted, and the count is
// the first line written afterwards.
package logring

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// DefaultBytes bounds what waits: some seconds of lines at the worst load.
	DefaultBytes = 256 << 10
	// DefaultFlush is how long a line may wait, so that lines share writes.
	DefaultFlush = 100 * time.Millisecond
)

// Writer is an io.Writer that never blocks. Close flushes it.
type Writer struct {
	out   io.Writer
	limit int
	flush time.Duration

	mu      sync.Mutex
	buf     []byte
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// New returns a writer that passes lines on to out.
func New(out io.Writer, limit int, flush time.Duration) *Writer {
	w := &Writer{out: out, limit: limit, flush: flush, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer; p is one whole line.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.buf)+len(p) > w.limit {
		w.dropped++
		return len(p), nil
	}
	w.buf = append(w.buf, p...)
	w.signal()
	return len(p), nil
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var spare []byte
	for range w.wake {
		w.mu.Lock()
		closed := w.closed
		w.mu.Unlock()
		if !closed {
			time.Sleep(w.flush)
		}
		w.mu.Lock()
		out, dropped := w.buf, w.dropped
		w.buf, w.dropped = spare[:0], 0
		closed = w.closed
		w.mu.Unlock()
		if dropped > 0 {
			fmt.Fprintf(w.out, "{\"level\":\"WARN\",\"msg\":\"Log lines were dropped.\",\"count\":%d}\n", dropped)
		}
		if len(out) > 0 {
			_, _ = w.out.Write(out) // there is nowhere left to tell of a failure
		}
		spare = out
		if closed {
			return
		}
	}
}

// Close writes what waits and ends the writer.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.signal()
	<-w.done
}
