// Package httpgrammar checks parts of HTTP/1.1 messages against their grammar (RFC 9110 and RFC 9112). The servers of
// callers' requests and the clients of upstreams share it.
package httpgrammar

import (
	"bytes"
	"math"
	"strings"

	"github.com/pkg/errors"
)

// maxLengthDigits is the maximum number of digits of a Content-Length. It keeps the value
// within an int64.
const maxLengthDigits = 18

// ParseField checks one header or trailer field and returns its name and trimmed value.
func ParseField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 {
		return nil, nil, errors.New("a field line has no name")
	}
	for _, c := range name {
		if !IsTokenChar(c) { // includes a space before the colon and a folded line
			return nil, nil, errors.New("a field's name holds a character that it must not")
		}
	}
	value = bytes.Trim(value, " \t")
	if HasControlChar(value) {
		return nil, nil, errors.New("a field's value holds a control character")
	}
	return name, value, nil
}

// ParseLength returns the value of a Content-Length.
func ParseLength(value []byte) (int64, error) {
	if len(value) == 0 || len(value) > maxLengthDigits {
		return 0, errors.New("the length is missing or too large")
	}
	n := int64(0)
	for _, c := range value {
		if c < '0' || c > '9' {
			return 0, errors.New("the length is no number")
		}
		n = n*10 + int64(c-'0')
	}
	return n, nil
}

// IsChunked reports whether the value of a Transfer-Encoding is chunked and nothing else.
func IsChunked(value []byte) bool {
	return len(value) == len("chunked") && strings.EqualFold(string(value), "chunked") // other letters that fold alike are longer
}

// ParseChunkSize returns the size in the first line of a chunk, which has at most maxDigits hexadecimal digits. An extension is
// ignored.
func ParseChunkSize(line []byte, maxDigits int) (int64, error) {
	digits, extension, _ := bytes.Cut(line, []byte(";"))
	if len(digits) == 0 || len(digits) > maxDigits {
		return 0, errors.New("a chunk's size is missing or too large")
	}
	if HasControlChar(extension) {
		return 0, errors.New("a chunk's extension holds a control character")
	}
	size := int64(0)
	for _, c := range digits {
		d := strings.IndexByte("0123456789abcdef", c|0x20)
		if d < 0 || c < '0' {
			return 0, errors.New("a chunk's size is no hexadecimal number")
		}
		if size > math.MaxInt64>>4 {
			return 0, errors.New("a chunk's size is missing or too large")
		}
		size = size<<4 | int64(d)
	}
	return size, nil
}

// HasControlChar reports whether b contains a control character other than a tab.
func HasControlChar(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}

// IsTokenChar reports whether c may occur in a method or field name (RFC 9110, token).
func IsTokenChar(c byte) bool {
	switch {
	case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
