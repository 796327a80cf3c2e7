package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 256 << 10

const readBuffer = 4 << 10

var errEventTooLarge = errors.New("an event of the stream is too large")

// eventReader cuts a stream of events at its empty lines. The bytes stay as they are.
type eventReader struct{ r *bufio.Reader }

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{bufio.NewReaderSize(r, readBuffer)}
}

// next returns the next whole event with its closing empty line; the bytes are the
// caller's own. io.EOF says that the stream ended after a whole event,
// io.ErrUnexpectedEOF that it ended within one.
func (e *eventReader) next() ([]byte, error) {
	var raw []byte
	for {
		line, err := e.r.ReadSlice('\n')
		if len(raw)+len(line) > maxEventBytes {
			return nil, errEventTooLarge
		}
		raw = append(raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(raw) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(bytes.TrimSpace(raw)) > 0 {
			return raw, nil
		}
	}
}

// buffered reports whether the next event has been read already, so that both can share
// one write.
func (e *eventReader) buffered() bool {
	n := e.r.Buffered()
	if n == 0 {
		return false
	}
	b, err := e.r.Peek(n)
	return err == nil && bytes.Contains(b, []byte("\n\n"))
}
