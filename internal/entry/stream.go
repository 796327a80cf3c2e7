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
	eventEnd   = []byte("data: [DONE]\n\n")
)

// errNoEndMark says that a stream ended without its end mark.
var errNoEndMark = errors.New("the stream ended without its end mark")

// noIndex is the position of a part that carries none.
const noIndex = -1

// part is one event of a stream, as it is passed on.
type part struct {
	text  []byte // with its closing empty line
	index int    // position of its token, or noIndex
	end   bool   // the end mark
}

// streamReader cuts a server-sent event stream into events.
type streamReader struct{ r *bufio.Reader }

func newStreamReader(r io.Reader) *streamReader {
	return &streamReader{bufio.NewReaderSize(r, upstreamBuffer)}
}

// next returns the next event that carries data; its text is the caller's own. The
// error is errNoEndMark when the stream ends before the end mark.
func (s *streamReader) next() (part, error) {
	var text []byte
	var p part
	p.index = noIndex
	data := false
	for {
		line, err := s.r.ReadSlice('\n')
		if err != nil {
			return part{}, endOf(err)
		}
		if len(text)+len(line) > sse.MaxEventBytes {
			return part{}, errors.New("an event of the stream is too large")
		}
		content := bytes.TrimRight(line, "\r\n")
		if len(content) == 0 {
			if data {
				p.text = append(text, '\n')
				return p, nil
			}
			text = text[:0] // comments only: keep-alive
			continue
		}
		if value, ok := bytes.CutPrefix(content, dataField); ok {
			data = true
			value = bytes.TrimSpace(value)
			p.end = p.end || bytes.Equal(value, endMark)
			if i := tokenIndex(value); i != noIndex {
				p.index = i
			}
		}
		text = appendLine(text, content)
	}
}

func appendLine(text, content []byte) []byte {
	if text == nil {
		text = make([]byte, 0, len(content)+2)
	}
	text = append(text, content...)
	return append(text, '\n')
}

func endOf(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errNoEndMark
	}
	if errors.Is(err, bufio.ErrBufferFull) {
		return errors.New("a line of the stream is too long")
	}
	return err
}

// tokenIndex finds the position that an upstream gives its token. Inside a JSON
// string the quotes would be escaped, so the field's text can't be matched there.
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
