// Package sse has what all readers of server-sent event streams share.
package sse

import (
	"bufio"
	"bytes"
)

// MaxEventBytes bounds one event of a stream.
const MaxEventBytes = 256 << 10

var blankLine = []byte("\n\n")

// HasNext reports whether the next event has been read already, so that it can share one
// write with the one before.
func HasNext(r *bufio.Reader) bool {
	n := r.Buffered()
	if n == 0 {
		return false
	}
	b, err := r.Peek(n)
	return err == nil && bytes.Contains(b, blankLine)
}
