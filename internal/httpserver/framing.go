package httpserver

import (
	"bytes"
	"strings"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"gentiankeel/internal/httpgrammar"
)

// The library's parser accepts requests whose end is ambiguous: a length together with
// chunked encoding, two lengths, signs and spaces in numbers. That allows request
// smuggling, where one server reads as a body what another one reads as a request. The
// framingValidator checks all input before the parser gets it and rejects ambiguous
// requests. It also keeps the unfinished request: the parser would hold each body two times
// over, in buffers that its pool does not give back, and only gets heads without bodies.

// framingState is the part of a request that the framingValidator expects next.
type framingState int

const (
	inHead framingState = iota
	inBody
	inChunkSize
	inChunkData
	inChunkEnd
	inTrailer
)

// maxChunkLineBytes limits a chunk-size line with its extensions, and a trailer line.
const maxChunkLineBytes = 256

// maxWireShare is the number of bytes on the wire for each byte of the largest body, from which on a
// request is too large. A body in chunks of one byte takes six for each.
const maxWireShare = 8

const (
	// minBodyBuffer is the size of a body's first buffer, which doubles as it fills: memory is taken for
	// bytes that have come, not for those that are announced.
	minBodyBuffer = 4 << 10
	// maxKeptBuffer is the size up to which a head's buffer is kept for the next request.
	maxKeptBuffer = 4 << 10
)

var errFraming = errors.New("the request's framing is not valid")

// errBodyTooLarge is the error for a body over its limit.
var errBodyTooLarge = errors.Wrap(nbhttp.ErrTooLong, "the body is too large")

func framingError(format string, args ...any) error {
	return errors.Wrapf(errFraming, format, args...)
}

// framingValidator checks the framing of the requests on one connection incrementally.
type framingValidator struct {
	maxHeadBytes int
	state        framingState
	buf          []byte // incomplete head, or incomplete line of a chunked body
	remaining    int64  // bytes of the body or chunk that have not been read
	trailerBytes int    // bytes of the trailer so far
	pending      int    // bytes read of the incomplete request

	keeps        bool   // the head and the body are kept
	maxBodyBytes int    // bound on the body, if it is kept
	head         []byte // complete head of the request, without the field that frames its body
	frame        bodyFraming
	body         []byte // what has been read of the body
}

// held returns the bytes that the unfinished request holds.
func (v *framingValidator) held() int {
	if v.pending == 0 {
		return 0
	}
	return cap(v.buf) + cap(v.head) + cap(v.body)
}

// hasOnlyHead reports whether the head has been read, and nothing of the body.
func (v *framingValidator) hasOnlyHead() bool {
	return v.pending == len(v.head)+v.frame.fieldEnd-v.frame.fieldStart
}

// spare returns how many bytes of the body fit into the buffer that is held already.
func (v *framingValidator) spare() int { return cap(v.body) - len(v.body) }

// nextGrowth returns by how much the next buffer of the request is larger than this one.
func (v *framingValidator) nextGrowth() int64 {
	if v.state == inHead {
		return minBodyBuffer
	}
	return int64(max(minBodyBuffer, v.bodySize(len(v.body)+1)-cap(v.body)))
}

// bodySize returns the size of a buffer for n bytes of the body.
func (v *framingValidator) bodySize(n int) int {
	limit := v.maxBodyBytes
	if !v.frame.chunked {
		limit = int(v.frame.length)
	}
	return max(n, min(max(2*cap(v.body), minBodyBuffer), limit))
}

// appendBody keeps a part of the body.
func (v *framingValidator) appendBody(p []byte) {
	if !v.keeps {
		return
	}
	if n := len(v.body) + len(p); n > cap(v.body) {
		next := make([]byte, len(v.body), v.bodySize(n))
		copy(next, v.body)
		v.body = next
	}
	v.body = append(v.body, p...)
}

// recycleHead uses the buffer of the last request's head for the next one.
func (v *framingValidator) recycleHead() {
	if v.buf == nil && cap(v.head) <= maxKeptBuffer {
		v.buf = v.head[:0]
	}
	v.head = nil
}

// atRequestStart reports whether the next byte begins a request.
func (v *framingValidator) atRequestStart() bool { return v.pending == 0 }

// validate reads data and returns how many of its bytes may be parsed. With an error these
// are the bytes of the complete requests before the invalid one.
func (v *framingValidator) validate(data []byte) (int, error) {
	complete := 0
	for pos := 0; pos < len(data); {
		n, ended, err := v.step(data[pos:])
		if err != nil {
			return complete, err
		}
		pos += n
		v.pending += n
		if ended {
			complete = pos
			v.pending = 0
		}
	}
	return len(data), nil
}

// step reads a prefix of data and returns its length n; ended reports whether the prefix
// completes a request.
func (v *framingValidator) step(data []byte) (n int, ended bool, err error) {
	switch v.state {
	case inHead:
		return v.readHead(data)
	case inBody, inChunkData:
		return v.skipBody(data)
	default:
		return v.readChunkLine(data)
	}
}

// readHead buffers the head of a request up to and including its empty line, and parses it.
func (v *framingValidator) readHead(data []byte) (int, bool, error) {
	used, complete := findHeadEnd(v.buf, data)
	if len(v.buf)+used > v.maxHeadBytes {
		return 0, false, errors.Wrapf(nbhttp.ErrTooLong, "the head has more than %d bytes", v.maxHeadBytes)
	}
	v.buf = append(v.buf, data[:used]...)
	if !complete {
		return used, false, nil
	}
	f, err := parseHead(v.buf[:len(v.buf)-2])
	if err != nil {
		return 0, false, err
	}
	if v.keeps {
		if !f.chunked && f.length > int64(v.maxBodyBytes) {
			return 0, false, errors.WithStack(errBodyTooLarge)
		}
		v.keepHead(f)
	} else {
		v.buf = v.buf[:0]
	}
	switch {
	case f.chunked:
		v.state = inChunkSize
	case f.length > 0:
		v.state, v.remaining = inBody, f.length
	default:
		return used, true, nil
	}
	return used, false, nil
}

// findHeadEnd returns how many bytes of data belong to a head whose beginning is in buf, and whether
// they complete it.
func findHeadEnd(buf, data []byte) (used int, complete bool) {
	end := []byte("\r\n\r\n")
	tail := buf[max(0, len(buf)-3):]
	border := append(append(make([]byte, 0, 6), tail...), data[:min(3, len(data))]...)
	if i := bytes.Index(border, end); i >= 0 {
		return i + len(end) - len(tail), true
	}
	if i := bytes.Index(data, end); i >= 0 {
		return i + len(end), true
	}
	return len(data), false
}

// keepHead keeps the complete head in buf without the field that frames its body.
func (v *framingValidator) keepHead(f bodyFraming) {
	v.head, v.buf = v.buf, nil
	v.frame, v.body = f, nil
	if f.chunked || f.length > 0 {
		v.head = append(v.head[:f.fieldStart], v.head[f.fieldEnd:]...)
	}
}

// skipBody skips the bytes of a body or a chunk.
func (v *framingValidator) skipBody(data []byte) (int, bool, error) {
	n := min(int64(len(data)), v.remaining)
	v.appendBody(data[:n])
	v.remaining -= n
	if v.remaining > 0 {
		return int(n), false, nil
	}
	if v.state == inChunkData {
		v.state = inChunkEnd
		return int(n), false, nil
	}
	v.state = inHead
	return int(n), true, nil
}

// readChunkLine buffers and applies one line of a chunked body: a chunk size, the end of a
// chunk or a trailer field.
func (v *framingValidator) readChunkLine(data []byte) (int, bool, error) {
	i := bytes.IndexByte(data, '\n')
	if i < 0 {
		v.buf = append(v.buf, data...)
		if len(v.buf) > maxChunkLineBytes {
			return 0, false, framingError("a line of a chunked body is too long")
		}
		return len(data), false, nil
	}
	v.buf = append(v.buf, data[:i+1]...)
	line, ok := bytes.CutSuffix(v.buf, []byte("\r\n"))
	if !ok || len(line) > maxChunkLineBytes || bytes.IndexByte(line, '\r') >= 0 {
		return 0, false, framingError("a line of a chunked body does not end as it must")
	}
	ended, err := v.applyChunkLine(line)
	v.buf = v.buf[:0]
	return i + 1, ended, err
}

// applyChunkLine advances the state by one complete line of a chunked body.
func (v *framingValidator) applyChunkLine(line []byte) (ended bool, err error) {
	switch v.state {
	case inChunkEnd:
		if len(line) > 0 {
			return false, framingError("a chunk is longer than its size")
		}
		v.state = inChunkSize
	case inChunkSize:
		size, err := httpgrammar.ParseChunkSize(line, maxChunkSizeDigits)
		if err != nil {
			return false, framingError("%v", err)
		}
		if v.keeps && (int64(len(v.body))+size > int64(v.maxBodyBytes) || v.pending > maxWireShare*v.maxBodyBytes+v.maxHeadBytes) {
			return false, errors.WithStack(errBodyTooLarge)
		}
		v.state, v.remaining, v.trailerBytes = inChunkData, size, 0
		if size == 0 {
			v.state = inTrailer
		}
	case inTrailer:
		if len(line) == 0 {
			v.state = inHead
			return true, nil
		}
		v.trailerBytes += len(line)
		if v.trailerBytes > v.maxHeadBytes {
			return false, framingError("the trailer is too long")
		}
		if _, _, err := httpgrammar.ParseField(line); err != nil {
			return false, framingError("%v", err)
		}
	}
	return false, nil
}

// maxChunkSizeDigits is the maximum number of hexadecimal digits of a chunk size. Seven
// digits keep it below 256 MiB; with eight it could exceed 2 GiB.
const maxChunkSizeDigits = 7

// bodyFraming is the way in which the end of a request's body is determined: after length
// bytes, or by chunked encoding.
type bodyFraming struct {
	length     int64
	chunked    bool
	value      string // of the field that says so
	expects    bool   // the caller may wait for an interim response before it sends the body
	fieldStart int    // where its line begins in the head
	fieldEnd   int    // where the next line begins
}

// parseHead checks a request's head, which ends with the line break of its last field, and
// returns the framing of the body.
func parseHead(head []byte) (bodyFraming, error) {
	requestLine, rest, _ := bytes.Cut(head, []byte("\r\n"))
	isHTTP10, err := parseRequestLine(requestLine)
	if err != nil {
		return bodyFraming{}, err
	}
	var f bodyFraming
	hosts, lengths, encodings := 0, 0, 0
	for len(rest) > 0 {
		var line []byte
		start := len(head) - len(rest)
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		name, value, err := httpgrammar.ParseField(line)
		if err != nil {
			return bodyFraming{}, framingError("%v", err)
		}
		switch strings.ToLower(string(name)) {
		case "host":
			hosts++
		case "content-length":
			lengths++
			if f.length, err = httpgrammar.ParseLength(value); err != nil {
				return bodyFraming{}, framingError("%v", err)
			}
			f.value, f.fieldStart, f.fieldEnd = string(value), start, len(head)-len(rest)
		case "transfer-encoding":
			encodings++
			if !httpgrammar.IsChunked(value) {
				return bodyFraming{}, framingError("the transfer encoding is not chunked")
			}
			f.chunked = true
			f.value, f.fieldStart, f.fieldEnd = string(value), start, len(head)-len(rest)
		case "expect":
			f.expects = !isHTTP10 && strings.EqualFold(string(value), "100-continue")
		}
	}
	switch {
	case lengths > 1 || encodings > 1 || lengths+encodings > 1:
		return bodyFraming{}, framingError("the body's end is given more than once")
	case hosts > 1 || hosts == 0 && !isHTTP10:
		return bodyFraming{}, framingError("the request has %d Host fields", hosts)
	case isHTTP10 && f.chunked:
		return bodyFraming{}, framingError("HTTP/1.0 knows no chunks")
	}
	return f, nil
}

// parseRequestLine checks a request line ("METHOD target HTTP/1.1") and reports whether
// its version is HTTP/1.0.
func parseRequestLine(line []byte) (isHTTP10 bool, err error) {
	parts := bytes.Split(line, []byte(" "))
	if len(parts) != 3 || len(parts[0]) == 0 || len(parts[1]) == 0 {
		return false, framingError("the request line does not have three parts")
	}
	for _, c := range parts[0] {
		if !httpgrammar.IsTokenChar(c) {
			return false, framingError("the method holds a character that it must not")
		}
	}
	for _, c := range parts[1] {
		if c <= ' ' || c == 0x7f {
			return false, framingError("the target holds a control character")
		}
	}
	switch string(parts[2]) {
	case "HTTP/1.1":
		return false, nil
	case "HTTP/1.0":
		return true, nil
	}
	return false, framingError("the version is neither HTTP/1.1 nor HTTP/1.0")
}
