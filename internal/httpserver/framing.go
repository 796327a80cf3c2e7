package httpserver

import (
	"bytes"
	"strings"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
)

// The library's parser takes requests whose end two readers could see at different
// places: a length beside chunks, two lengths, signs and blanks. What one reader takes
// for a body, the next one takes for a request. The guard reads the same bytes before
// the parser and lets only requests through that can be read in one way.

// framingState is where the guard stands within a request.
type framingState int

const (
	inHead framingState = iota
	inBody
	inChunkSize
	inChunkData
	inChunkEnd
	inTrailer
)

// maxChunkLine bounds the line of a chunk's size with its extensions.
const maxChunkLine = 256

// maxLengthDigits keeps a length within an int64.
const maxLengthDigits = 18

var errFraming = errors.New("the request's framing is not valid")

func framingError(format string, args ...any) error {
	return errors.Wrapf(errFraming, format, args...)
}

// guard follows the framing of the requests on one connection.
type guard struct {
	maxHead int
	state   framingState
	line    []byte // of the head or of a chunk, as far as it has come
	left    int64  // bytes of the body or chunk still to come
	trailer int    // bytes of the trailer
}

// check reads data and returns how many bytes may be parsed. After an error those are
// the bytes of whole requests before the one that is not valid.
func (g *guard) check(data []byte) (int, error) {
	whole := 0
	for at := 0; at < len(data); {
		n, ended, err := g.step(data[at:])
		if err != nil {
			return whole, err
		}
		at += n
		if ended {
			whole = at
		}
	}
	return len(data), nil
}

// step takes some bytes; ended tells that a request is whole.
func (g *guard) step(data []byte) (n int, ended bool, err error) {
	switch g.state {
	case inHead:
		return g.head(data)
	case inBody, inChunkData:
		return g.skip(data)
	default:
		return g.chunkLine(data)
	}
}

// head collects the head up to its empty line.
func (g *guard) head(data []byte) (int, bool, error) {
	before := len(g.line)
	g.line = append(g.line, data...)
	end := bytes.Index(g.line[max(0, before-3):], []byte("\r\n\r\n"))
	if end < 0 {
		if len(g.line) > g.maxHead {
			return 0, false, errors.Wrapf(nbhttp.ErrTooLong, "the head has more than %d bytes", g.maxHead)
		}
		return len(data), false, nil
	}
	end += max(0, before-3) + 4
	f, err := parseHead(g.line[:end-2])
	if err != nil {
		return 0, false, err
	}
	g.line = g.line[:0]
	used := end - before
	switch {
	case f.chunked:
		g.state = inChunkSize
	case f.length > 0:
		g.state, g.left = inBody, f.length
	default:
		return used, true, nil
	}
	return used, false, nil
}

// skip passes over the bytes of a body or a chunk.
func (g *guard) skip(data []byte) (int, bool, error) {
	n := min(int64(len(data)), g.left)
	g.left -= n
	if g.left > 0 {
		return int(n), false, nil
	}
	if g.state == inChunkData {
		g.state = inChunkEnd
		return int(n), false, nil
	}
	g.state = inHead
	return int(n), true, nil
}

// chunkLine reads the next line of a chunked body.
func (g *guard) chunkLine(data []byte) (int, bool, error) {
	i := bytes.IndexByte(data, '\n')
	if i < 0 {
		g.line = append(g.line, data...)
		if len(g.line) > maxChunkLine {
			return 0, false, framingError("a line of a chunked body is too long")
		}
		return len(data), false, nil
	}
	g.line = append(g.line, data[:i+1]...)
	line, ok := bytes.CutSuffix(g.line, []byte("\r\n"))
	if !ok || len(line) > maxChunkLine || bytes.IndexByte(line, '\r') >= 0 {
		return 0, false, framingError("a line of a chunked body does not end as it must")
	}
	ended, err := g.takeChunkLine(line)
	g.line = g.line[:0]
	return i + 1, ended, err
}

func (g *guard) takeChunkLine(line []byte) (ended bool, err error) {
	switch g.state {
	case inChunkEnd:
		if len(line) > 0 {
			return false, framingError("a chunk is longer than its size")
		}
		g.state = inChunkSize
	case inChunkSize:
		size, err := chunkSize(line)
		if err != nil {
			return false, err
		}
		g.state, g.left, g.trailer = inChunkData, size, 0
		if size == 0 {
			g.state = inTrailer
		}
	case inTrailer:
		if len(line) == 0 {
			g.state = inHead
			return true, nil
		}
		g.trailer += len(line)
		if g.trailer > g.maxHead {
			return false, framingError("the trailer is too long")
		}
		if _, _, err := parseField(line); err != nil {
			return false, err
		}
	}
	return false, nil
}

// maxChunkDigits keeps a chunk's size within 2 GiB.
const maxChunkDigits = 7

func chunkSize(line []byte) (int64, error) {
	digits, ext, _ := bytes.Cut(line, []byte(";"))
	if len(digits) == 0 || len(digits) > maxChunkDigits {
		return 0, framingError("a chunk's size is missing or too large")
	}
	if hasControl(ext) {
		return 0, framingError("a chunk's extension holds a control character")
	}
	size := int64(0)
	for _, c := range digits {
		d := strings.IndexByte("0123456789abcdef", c|0x20)
		if d < 0 || c < '0' {
			return 0, framingError("a chunk's size is no hexadecimal number")
		}
		size = size<<4 | int64(d)
	}
	return size, nil
}

// framing is how a request's body ends.
type framing struct {
	length  int64
	chunked bool
}

// parseHead checks a head that ends with the line break of its last line.
func parseHead(head []byte) (framing, error) {
	first, rest, _ := bytes.Cut(head, []byte("\r\n"))
	old, err := parseRequestLine(first)
	if err != nil {
		return framing{}, err
	}
	var f framing
	hosts, lengths, encodings := 0, 0, 0
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		name, value, err := parseField(line)
		if err != nil {
			return framing{}, err
		}
		switch strings.ToLower(string(name)) {
		case "host":
			hosts++
		case "content-length":
			lengths++
			if f.length, err = parseLength(value); err != nil {
				return framing{}, err
			}
		case "transfer-encoding":
			encodings++
			if !strings.EqualFold(string(value), "chunked") {
				return framing{}, framingError("the transfer encoding is not chunked")
			}
			f.chunked = true
		}
	}
	switch {
	case lengths > 1 || encodings > 1 || lengths+encodings > 1:
		return framing{}, framingError("the body's end is given more than once")
	case hosts > 1 || hosts == 0 && !old:
		return framing{}, framingError("the request has %d Host fields", hosts)
	case old && f.chunked:
		return framing{}, framingError("HTTP/1.0 knows no chunks")
	}
	return f, nil
}

// parseRequestLine checks "METHOD target HTTP/1.1"; old tells that it is HTTP/1.0.
func parseRequestLine(line []byte) (old bool, err error) {
	parts := bytes.Split(line, []byte(" "))
	if len(parts) != 3 || len(parts[0]) == 0 || len(parts[1]) == 0 {
		return false, framingError("the request line does not have three parts")
	}
	for _, c := range parts[0] {
		if !isTokenChar(c) {
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

// parseField checks one field line and returns its parts.
func parseField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 {
		return nil, nil, framingError("a field line has no name")
	}
	for _, c := range name {
		if !isTokenChar(c) { // a blank before the colon, or a folded line
			return nil, nil, framingError("a field's name holds a character that it must not")
		}
	}
	value = bytes.Trim(value, " \t")
	if hasControl(value) {
		return nil, nil, framingError("a field's value holds a control character")
	}
	return name, value, nil
}

func parseLength(value []byte) (int64, error) {
	if len(value) == 0 || len(value) > maxLengthDigits {
		return 0, framingError("the length is missing or too large")
	}
	n := int64(0)
	for _, c := range value {
		if c < '0' || c > '9' {
			return 0, framingError("the length is no number")
		}
		n = n*10 + int64(c-'0')
	}
	return n, nil
}

func hasControl(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}

func isTokenChar(c byte) bool {
	switch {
	case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
