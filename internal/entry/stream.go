package entry

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"

	"gentiankeel/internal/sse"
)

var (
	dataField  = []byte("data:")
	endMark    = []byte("[DONE]")
	indexField = []byte(`"index_token":`)
	endEvent   = []byte("data: [DONE]\n\n")
)

// errNoEndMark is returned when a stream ends before its end mark.
var errNoEndMark = errors.New("the stream ended without its end mark")

// noIndex is the index of an event that carries no token index.
const noIndex = -1

// streamEvent is one server-sent event of a response.
type streamEvent struct {
	data  []byte // as forwarded, including the closing empty line
	index int    // index of its token, or noIndex
	done  bool   // it is the end mark
}

// streamReader splits a stream into server-sent events.
type streamReader struct{ r *bufio.Reader }

func newStreamReader(r io.Reader) *streamReader {
	return &streamReader{bufio.NewReaderSize(r, upstreamBufferSize)}
}

// next returns the next event that has a data field. The returned data is not reused.
// The error is errNoEndMark when the stream ends before the end mark.
func (s *streamReader) next() (streamEvent, error) {
	var buf []byte
	var event streamEvent
	event.index = noIndex
	hasData := false
	for {
		line, err := s.r.ReadSlice('\n')
		if err != nil {
			return streamEvent{}, streamReadError(err)
		}
		if len(buf)+len(line) > sse.MaxEventBytes {
			return streamEvent{}, errors.New("an event of the stream is too large")
		}
		content := bytes.TrimRight(line, "\r\n")
		if len(content) == 0 {
			if hasData {
				event.data = append(buf, '\n')
				return event, nil
			}
			buf = buf[:0] // an event without data is a keep-alive
			continue
		}
		if value, ok := bytes.CutPrefix(content, dataField); ok {
			hasData = true
			value = bytes.TrimSpace(value)
			event.done = event.done || bytes.Equal(value, endMark)
			if i := tokenIndex(value); i != noIndex {
				event.index = i
			}
		}
		buf = appendLine(buf, content)
	}
}

func appendLine(buf, content []byte) []byte {
	if buf == nil {
		buf = make([]byte, 0, len(content)+2)
	}
	buf = append(buf, content...)
	return append(buf, '\n')
}

func streamReadError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errNoEndMark
	}
	if errors.Is(err, bufio.ErrBufferFull) {
		return errors.New("a line of the stream is too long")
	}
	return err
}

// tokenIndex returns the value of the field index_token, or noIndex. It searches the
// text without decoding it: quotes in a JSON string are escaped, so the field's name
// can't match inside one.
func tokenIndex(data []byte) int {
	at := bytes.Index(data, indexField)
	if at < 0 {
		return noIndex
	}
	rest := bytes.TrimLeft(data[at+len(indexField):], " ")
	n, digits := 0, 0
	for digits < len(rest) && rest[digits] >= '0' && rest[digits] <= '9' && digits < 9 {
		n = n*10 + int(rest[digits]-'0')
		digits++
	}
	if digits == 0 {
		return noIndex
	}
	return n
}
