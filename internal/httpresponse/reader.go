// Package httpresponse checks the responses of upstreams. The parser of net/http accepts heads that are not valid
// HTTP/1.1, such as field names with blanks, and passes them on or ignores them, so that a response may reach a caller with
// lines that are no fields, or with another body than the upstream's. A Reader checks all bytes of a connection before that
// parser gets them.
package httpresponse

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	"gentiankeel/internal/httpgrammar"
	"gentiankeel/internal/respbuf"
)

// ErrInvalid is the cause of errors that say that a response is not valid HTTP/1.1. What follows on the connection
// belongs to no request.
var ErrInvalid = errors.New("the response is not valid HTTP/1.1")

const (
	// maxExcerptBytes bounds what an error repeats of an invalid line.
	maxExcerptBytes = 64
	// maxKeptBuffer is the size up to which the buffer of an incomplete line is kept for the next one.
	maxKeptBuffer = 4 << 10
	// maxChunkSizeDigits is the maximum number of hexadecimal digits of a chunk size.
	maxChunkSizeDigits = 16
)

// state is the part of a response that a Reader expects next.
type state int

const (
	inStatusLine state = iota
	inFields
	inBody
	inChunkSize
	inChunkData
	inChunkEnd
	inTrailer
	untilClose // the end of the connection ends the body
)

// Reader reads the responses on one connection and fails at the first line that is not valid. It does not return the end of
// that line, nor what follows, so that no parser takes the head or the trailer for complete.
//
// Read must not be called by several goroutines at once; the other methods may be called at the same time.
type Reader struct {
	r      io.Reader
	isHead atomic.Bool // the next response is to HEAD and has no body

	state     state
	head      head
	line      []byte // beginning of an incomplete line
	remaining int64  // bytes of the body or chunk that have not been read
	invalid   atomic.Pointer[error]
}

// head is what the head of a response says of its body.
type head struct {
	status    int
	isHTTP10  bool
	lengths   int // fields
	length    int64
	encodings int // fields, all of which say chunked
}

// NewReader returns a Reader of the connection r.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// Expect is to be called before a request is sent on the connection.
func (r *Reader) Expect(method string) { r.isHead.Store(method == http.MethodHead) }

// Err returns the error of the first invalid line, nil if there was none. A parser may report it as another error.
func (r *Reader) Err() error {
	if err := r.invalid.Load(); err != nil {
		return *err
	}
	return nil
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if err := r.Err(); err != nil {
		return 0, err
	}
	n, err := r.r.Read(p)
	valid, invalid := r.check(p[:n])
	if invalid == nil {
		return n, err
	}
	r.invalid.Store(&invalid)
	if valid > 0 {
		return valid, nil
	}
	return 0, invalid
}

// check returns how many bytes of data may be parsed. With an error, the last one is before the end of an invalid line.
func (r *Reader) check(data []byte) (int, error) {
	for pos := 0; pos < len(data); {
		switch r.state {
		case untilClose:
			return len(data), nil
		case inBody, inChunkData:
			pos += r.skipBody(data[pos:])
		case inChunkEnd:
			if data[pos] != "\r\n"[len(r.line)] {
				return pos, invalid(nil, "a chunk is longer than its size")
			}
			if r.line = append(r.line, data[pos]); len(r.line) == 2 {
				r.line, r.state = r.line[:0], inChunkSize
			}
			pos++
		default:
			n, err := r.readLine(data[pos:])
			pos += n
			if err != nil {
				return pos, err
			}
		}
	}
	return len(data), nil
}

// skipBody skips bytes of a body or a chunk and returns their number.
func (r *Reader) skipBody(data []byte) int {
	n := min(int64(len(data)), r.remaining)
	if r.remaining -= n; r.remaining == 0 {
		if r.state == inChunkData {
			r.state = inChunkEnd
		} else {
			r.state = inStatusLine
		}
	}
	return int(n)
}

// readLine reads the rest of a line, or a part of it, and returns the number of bytes that may be parsed.
func (r *Reader) readLine(data []byte) (int, error) {
	i := bytes.IndexByte(data, '\n')
	if i < 0 {
		if len(r.line)+len(data) > respbuf.MaxHeadBytes {
			return 0, invalid(r.line, "a line has more than %d bytes", respbuf.MaxHeadBytes)
		}
		r.line = append(r.line, data...)
		return len(data), nil
	}
	line := data[:i]
	if len(r.line) > 0 {
		r.line = append(r.line, line...)
		line = r.line
	}
	if err := r.applyLine(line); err != nil {
		if r.state == inStatusLine && len(line) == 0 {
			// Without a byte, net/http would take the connection for closed before the request, and send it again.
			return 1, err
		}
		return i, err
	}
	if r.line = r.line[:0]; cap(r.line) > maxKeptBuffer {
		r.line = nil
	}
	return i + 1, nil
}

// applyLine advances the state by one line, without its line feed.
func (r *Reader) applyLine(line []byte) error {
	line, ok := bytes.CutSuffix(line, []byte("\r"))
	if !ok {
		return invalid(line, "a line does not end with a carriage return and a line feed")
	}
	switch r.state {
	case inStatusLine:
		return r.applyStatusLine(line)
	case inFields:
		if len(line) == 0 {
			r.endHead()
			return nil
		}
		return r.applyField(line)
	case inChunkSize:
		size, err := httpgrammar.ParseChunkSize(line, maxChunkSizeDigits)
		if err != nil {
			return invalid(line, "%v", err)
		}
		r.state, r.remaining = inChunkData, size
		if size == 0 {
			r.state = inTrailer
		}
	case inTrailer:
		if len(line) == 0 {
			r.state = inStatusLine
			return nil
		}
		if _, _, err := httpgrammar.ParseField(line); err != nil {
			return invalid(line, "%v", err)
		}
	}
	return nil
}

// Bounds of valid statuses (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// applyStatusLine checks a status line. The blank after the status may be missing with the reason.
func (r *Reader) applyStatusLine(line []byte) error {
	rest, ok := bytes.CutPrefix(line, []byte("HTTP/1."))
	if !ok || len(rest) < len("1 200") || !isDigit(rest[0]) || rest[1] != ' ' {
		return invalid(line, "the status line does not begin with a version 1 of HTTP and a status")
	}
	status := 0
	for _, c := range rest[2:5] {
		if !isDigit(c) {
			return invalid(line, "the status is not a number of three digits")
		}
		status = status*10 + int(c-'0')
	}
	if status < minStatus || status > maxStatus {
		return invalid(line, "the status is not between %d and %d", minStatus, maxStatus)
	}
	if reason := rest[5:]; len(reason) > 0 && (reason[0] != ' ' || httpgrammar.HasControlChar(reason)) {
		return invalid(line, "the reason does not follow a blank or holds a control character")
	}
	if status == http.StatusSwitchingProtocols {
		return invalid(line, "the upstream switches protocols unasked")
	}
	r.head = head{status: status, isHTTP10: rest[0] == '0'}
	r.state = inFields
	return nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// applyField checks a field of a head and notes what it says of the body's end.
func (r *Reader) applyField(line []byte) error {
	name, value, err := httpgrammar.ParseField(line)
	if err != nil {
		return invalid(line, "%v", err)
	}
	switch {
	case strings.EqualFold(string(name), "Content-Length"):
		r.head.lengths++
		if r.head.length, err = httpgrammar.ParseLength(value); err != nil {
			return invalid(line, "%v", err)
		}
	case strings.EqualFold(string(name), "Transfer-Encoding"):
		r.head.encodings++
		if !httpgrammar.IsChunked(value) {
			return invalid(line, "the transfer encoding is not chunked")
		}
		if r.head.isHTTP10 {
			return invalid(line, "HTTP/1.0 knows no chunks")
		}
	}
	if r.head.lengths+r.head.encodings > 1 {
		return invalid(line, "the body's end is given more than once")
	}
	return nil
}

// endHead finds out how the end of the body is determined.
func (r *Reader) endHead() {
	h := &r.head
	switch {
	case h.status < http.StatusOK, h.status == http.StatusNoContent, h.status == http.StatusNotModified, r.isHead.Load():
		r.state = inStatusLine
	case h.encodings > 0:
		r.state = inChunkSize
	case h.lengths == 0:
		r.state = untilClose
	case h.length > 0:
		r.state, r.remaining = inBody, h.length
	default:
		r.state = inStatusLine
	}
}

// invalid returns an error that repeats the beginning of an invalid line, escaped; nil: there is none, or it is part of a body.
func invalid(line []byte, format string, args ...any) error {
	err := errors.Wrapf(ErrInvalid, format, args...)
	if len(line) == 0 {
		return err
	}
	return errors.Wrapf(err, "%+.*q", maxExcerptBytes, line)
}
