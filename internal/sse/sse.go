// Package sse contains helpers for reading streams of server-sent events.
package sse

import (
	"bufio"
	"bytes"
)

// MaxEventBytes is the maximum size of one event.
const MaxEventBytes = 256 << 10

var blankLine = []byte("\n\n")

// HasBufferedEvent reports whether the reader's buffer holds another complete event, which
// can then be written together with the previous one, without a flush in between. It does
// not read from the underlying reader. It recognises only events that end with "\n\n"; for
// one that ends with "\r\n\r\n" it returns false, which costs a flush.
func HasBufferedEvent(r *bufio.Reader) bool {
	n := r.Buffered()
	if n == 0 {
		return false
	}
	b, err := r.Peek(n)
	// Further empty lines after the previous event are no event.
	return err == nil && bytes.Contains(bytes.TrimLeft(b, "\r\n"), blankLine)
}
