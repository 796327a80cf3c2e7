package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"

	"gentiankeel/internal/sse"
)

const readBufferSize = 4 << 10

var errEventTooLarge = errors.New("event of the stream is too large")

// eventReader splits a stream of server-sent events at empty lines and leaves the bytes
// unchanged.
type eventReader struct{ r *bufio.Reader }

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{bufio.NewReaderSize(r, readBufferSize)}
}

// next returns the next event with its closing empty line, in a new slice. The error is
// io.EOF if the stream ended after a complete event, io.ErrUnexpectedEOF if it ended
// within one.
func (e *eventReader) next() ([]byte, error) {
	var raw []byte
	hasContent := false
	atLineStart := true // a line longer than the read buffer comes in fragments
	for {
		line, err := e.r.ReadSlice('\n')
		if len(raw)+len(line) > sse.MaxEventBytes {
			return nil, errEventTooLarge
		}
		raw = append(raw, line...)
		isBlank := atLineStart && len(bytes.TrimRight(line, "\r\n")) == 0
		hasContent = hasContent || !isBlank
		atLineStart = err == nil
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && hasContent:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if isBlank && hasContent {
			return raw, nil
		}
	}
}

var (
	dataField     = []byte("data")
	byteOrderMark = []byte("\ufeff")
)

// hasData reports whether an event has a data field. A block without one, such as a comment, is no event to its
// reader.
func hasData(raw []byte) bool {
	for line := range bytes.FieldsFuncSeq(bytes.TrimPrefix(raw, byteOrderMark), isLineEnd) {
		if name, _, _ := bytes.Cut(line, []byte(":")); bytes.Equal(name, dataField) {
			return true
		}
	}
	return false
}

func isLineEnd(r rune) bool { return r == '\n' || r == '\r' }
