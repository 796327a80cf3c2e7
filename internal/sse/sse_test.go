package sse

import (
	"bufio"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an event that waits for the next one, since empty lines after it counted as an event.
func TestHasBufferedEvent_EmptyLines(t *testing.T) {
	for buffered, want := range map[string]bool{
		"":                               false,
		"\n\n":                           false,
		"\n\n\n":                         false,
		"\r\n\n\n":                       false,
		"\n\nid: 2\ndata: b\n":           false,
		"id: 2\ndata: b\n\n":             true,
		"\n\nid: 2\ndata: b\n\n":         true,
		"\r\n\r\nid: 2\ndata: b\n\nid: ": true,
	} {
		t.Run(buffered, func(t *testing.T) {
			is := is.New(t)
			r := bufio.NewReader(strings.NewReader(buffered))
			_, _ = r.Peek(1) // fills the buffer
			is.Equal(HasBufferedEvent(r), want)
		})
	}
}
