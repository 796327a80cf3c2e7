package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"

	"gentiankeel/internal/sse"
)

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
		if len(raw)+len(line) > sse.MaxEventBytes {
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
