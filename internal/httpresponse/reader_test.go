package httpresponse

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// The grammar of RFC 9112 and RFC 9110, written down apart from the Reader. Only the blank in front of an empty reason may be
// missing, as RFC 9112, section 4, allows recipients to read it.
var (
	grammarStatusLine = regexp.MustCompile(`^HTTP/1\.[0-9] [1-5][0-9][0-9]( [\t\x20-\x7e\x80-\xff]*)?$`)
	grammarField      = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\\t\\x20-\\x7e\\x80-\\xff]*$")
	grammarLength     = regexp.MustCompile(`^[0-9]{1,18}$`)
	grammarChunked    = regexp.MustCompile(`^[Cc][Hh][Uu][Nn][Kk][Ee][Dd]$`)
	grammarChunkLine  = regexp.MustCompile(`^[0-9A-Fa-f]{1,16}(;[\t\x20-\x7e\x80-\xff]*)?$`)
)

// latin1 returns bytes as runes of the same value, since regular expressions match runes.
func latin1(b []byte) string {
	out := make([]rune, len(b))
	for i, c := range b {
		out[i] = rune(c)
	}
	return string(out)
}

// isValid reports by the grammar whether a Reader may pass on all of data, which may end within a response.
func isValid(data []byte, isHead bool) bool {
	for len(data) > 0 {
		lines, rest, ended := cutHead(data)
		for i, line := range lines {
			grammar := grammarField
			if i == 0 {
				grammar = grammarStatusLine
			}
			if !strings.HasSuffix(line, "\r") || !grammar.MatchString(strings.TrimSuffix(line, "\r")) {
				return false
			}
			name, value, _ := strings.Cut(strings.TrimSuffix(line, "\r"), ":")
			value = strings.Trim(value, " \t")
			if i > 0 && (strings.EqualFold(name, "Content-Length") && !grammarLength.MatchString(value) ||
				strings.EqualFold(name, "Transfer-Encoding") && !grammarChunked.MatchString(value)) {
				return false
			}
		}
		if len(lines) > 0 && isAmbiguous(lines) || len(lines) == 0 && ended {
			return false
		}
		if !ended {
			return true
		}
		var ok bool
		if data, ok = cutBody(lines, rest, isHead); !ok {
			return false
		}
	}
	return true
}

// cutHead returns the complete lines of a head, without their line feeds and without the empty one, and what follows it. ended
// reports whether there is an empty line.
func cutHead(data []byte) (lines []string, rest []byte, ended bool) {
	for {
		line, after, ok := bytes.Cut(data, []byte("\n"))
		if !ok {
			return lines, nil, false
		}
		if data = after; string(line) == "\r" {
			return lines, data, true
		}
		lines = append(lines, latin1(line))
	}
}

// isAmbiguous reports whether the lines of a head, which may lack its end, give the body's end in two ways or not as they may.
func isAmbiguous(lines []string) bool {
	lengths, chunks := framingOf(lines)
	return len(lengths)+chunks > 1 || chunks > 0 && strings.HasPrefix(lines[0], "HTTP/1.0") || strings.HasPrefix(lines[0][len("HTTP/1.1 "):], "101")
}

// framingOf returns the values of the lengths in a head, and the number of its transfer encodings.
func framingOf(lines []string) (lengths []string, chunks int) {
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\r"), ":")
		switch strings.ToLower(name) {
		case "content-length":
			lengths = append(lengths, strings.Trim(value, " \t"))
		case "transfer-encoding":
			chunks++
		}
	}
	return lengths, chunks
}

// cutBody returns what follows the body of a response with a head; false if its chunks or trailer are invalid.
func cutBody(lines []string, data []byte, isHead bool) (rest []byte, ok bool) {
	lengths, chunks := framingOf(lines)
	status := lines[0][len("HTTP/1.1 "):][:3]
	switch {
	case status[0] == '1', status == "204", status == "304", isHead:
		return data, true
	case chunks > 0:
		return cutChunks(data)
	case len(lengths) > 0:
		n, err := strconv.ParseInt(lengths[0], 10, 64)
		return data[min(n, int64(len(data))):], err == nil
	}
	return nil, true
}

func cutChunks(data []byte) (rest []byte, ok bool) {
	for {
		line, after, found := bytes.Cut(data, []byte("\n"))
		if !found {
			return nil, true
		}
		text, hasReturn := strings.CutSuffix(latin1(line), "\r")
		if !hasReturn || !grammarChunkLine.MatchString(text) {
			return nil, false
		}
		digits, _, _ := strings.Cut(text, ";")
		n, err := strconv.ParseInt(digits, 16, 64)
		if err != nil {
			return nil, false
		}
		if n == 0 {
			lines, rest, _ := cutHead(after)
			for _, line := range lines {
				if !strings.HasSuffix(line, "\r") || !grammarField.MatchString(strings.TrimSuffix(line, "\r")) {
					return nil, false
				}
			}
			return rest, true
		}
		data = after[min(n, int64(len(after))):]
		if end := data[:min(2, len(data))]; !strings.HasPrefix("\r\n", string(end)) {
			return nil, false
		}
		data = data[min(2, len(data)):]
	}
}

// readAll passes data through a Reader in reads of the given size.
func readAll(data []byte, size int, isHead bool) ([]byte, error) {
	r := NewReader(bytes.NewReader(data))
	if isHead {
		r.Expect(http.MethodHead)
	}
	var out []byte
	for p := make([]byte, size); ; {
		n, err := r.Read(p)
		out = append(out, p[:n]...)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return out, err
		}
	}
}

var responses = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwholeHTTP/1.1 404 \r\nX: y\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0A\r\n0123456789\r\n0\r\nX-Sum: 1\r\n\r\nHTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno",
	"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 204 \r\n\r\nHTTP/1.1 304 \r\nContent-Length: 7\r\n\r\nHTTP/1.0 200 gr\xfcn\r\n!#$: \xff\t\r\nE:\r\n\r\n\x00\n\r\nbody",
	"HTTP/1.1 200 OK\r\nX Field: value\r\nContent-Length: 5\r\n\r\nwhole",
	"HTTP/1.1 200 OK\r\nX-\x01: value\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n",
	"HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole",
	"HTTP/1.1 200 OK\nContent-Length: 5\n\nwhole",
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"HTTP/1.1 101 Switching Protocols\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chun\u212aed\r\n\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0000000000000001\r\na\r\nffffffffffffffff\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Sum: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na\n",
}

func TestReader_Samples(t *testing.T) {
	for _, data := range responses {
		for size := 1; size <= len(data); size++ {
			checkAgainstGrammar(t, []byte(data), size, false)
			checkAgainstGrammar(t, []byte(data), size, true)
		}
	}
}

// checkAgainstGrammar checks that a Reader accepts just what the grammar allows, in reads of any size; that it passes on the
// bytes before the first invalid line, and that a parser finds nothing odd in what it passes on.
func checkAgainstGrammar(t *testing.T, data []byte, size int, isHead bool) {
	t.Helper()
	is := is.New(t)
	out, err := readAll(data, size, isHead)
	is.True(bytes.HasPrefix(data, out))
	if err == nil {
		is.Equal(len(out), len(data))
	} else {
		is.True(errors.Is(err, ErrInvalid))
		is.True(len(err.Error()) < 1024)
		is.True(!regexp.MustCompile(`[^ -~]`).MatchString(err.Error())) // bytes of the upstream are escaped
	}
	if err == nil != isValid(data, isHead) {
		t.Errorf("error %v for %q, which is valid: %v", err, data, isValid(data, isHead))
	}
	method := http.MethodGet
	if isHead {
		method = http.MethodHead
	}
	br := bufio.NewReader(io.MultiReader(bytes.NewReader(out), iotest.ErrReader(errors.New("cut"))))
	for {
		res, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			break
		}
		is.True(res.StatusCode >= 100 && res.StatusCode <= 599)
		for name, values := range res.Header {
			for _, value := range values {
				is.True(grammarField.MatchString(latin1([]byte(name + ":" + value))))
			}
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			break
		}
	}
}

func FuzzReader(f *testing.F) {
	for _, s := range responses {
		f.Add([]byte(s), uint16(1), false)
		f.Add([]byte(s), uint16(4096), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, size uint16, isHead bool) {
		checkAgainstGrammar(t, data, int(size)+1, isHead)
	})
}

// Responses in which some bytes were replaced, removed or put in.
func TestRandomReader_AgainstGrammar(t *testing.T) {
	rng := rand.New(rand.NewPCG(60, 1))
	odd := []string{"\r", "\n", "\r\n", " ", "\t", ":", "\x00", "\x01", "\x7f", "\x80", "\xff", "0", "9", "H", ";", "\r\n\r\n", "Content-Length: 1\r\n",
		"Transfer-Encoding: chunked\r\n", "HTTP/1.1 200 OK\r\n"}
	valid := 0
	const rounds = 30000
	for range rounds {
		data := responses[rng.IntN(len(responses))]
		for range 1 + rng.IntN(2) {
			at, part := rng.IntN(len(data)+1), odd[rng.IntN(len(odd))]
			end := min(len(data), at+rng.IntN(3))
			data = data[:at] + part + data[end:]
		}
		checkAgainstGrammar(t, []byte(data), 1+rng.IntN(len(data)+1), rng.IntN(4) == 0)
		if isValid([]byte(data), false) {
			valid++
		}
	}
	is.New(t).True(valid > rounds/20 && valid < rounds*19/20) // both kinds were drawn
}

func TestReader_ValidResponses(t *testing.T) {
	for _, data := range responses[:3] {
		for size := 1; size <= len(data); size++ {
			is := is.New(t)
			out, err := readAll([]byte(data), size, false)
			is.NoErr(err)
			is.Equal(string(out), data)
		}
	}
}

// Guards against a parser that is satisfied with an invalid head, and against net/http, which sends a request again if the
// connection fails before the first byte of the response.
func TestReader_InvalidLineIsNotPassedOnWhole(t *testing.T) {
	for data, want := range map[string]string{
		"HTTP/1.1 000 OK\r\n\r\n":                "HTTP/1.1 000 OK\r",
		"HTTP/1.1 200 OK\r\nX Y: z\r\n\r\nwhole": "HTTP/1.1 200 OK\r\nX Y: z\r",
		"HTTP/1.1 200 OK\n\n":                    "HTTP/1.1 200 OK",
		"HTTP/1.1 200 OK\r\n\n":                  "HTTP/1.1 200 OK\r\n",
		"\n":                                     "\n",
		"\r\n":                                   "\r",
		"garbage\nmore":                          "garbage",
		"HTTP/1.1 101 x\r\n\r\nanything":         "HTTP/1.1 101 x\r",
		"HTTP/1.0 200 \r\ntransfer-encoding: CHUNKED\r\n\r\n0\r\n": "HTTP/1.0 200 \r\ntransfer-encoding: CHUNKED\r",
	} {
		is := is.New(t)
		out, err := readAll([]byte(data), 4096, false)
		is.True(errors.Is(err, ErrInvalid))
		is.Equal(string(out), want)
	}
}

func TestReader_ErrorEscapesAndBoundsTheLine(t *testing.T) {
	is := is.New(t)
	_, err := readAll([]byte("HTTP/1.1 200 OK\r\nX\x1b[2J\xff Field: "+strings.Repeat("v", 10000)+"\r\n\r\n"), 100000, false)
	is.True(strings.Contains(err.Error(), `X\x1b[2J\xff Field: vvvv`))
	is.True(len(err.Error()) < 300)
}

func TestReader_LineWithoutEnd(t *testing.T) {
	is := is.New(t)
	out, err := readAll(append([]byte("HTTP/1.1 200 OK\r\nX: "), bytes.Repeat([]byte("x"), 1<<20)...), 4096, false)
	is.True(errors.Is(err, ErrInvalid))
	is.True(len(out) < 128<<10)
}

func TestReader_HeadOnSameConnection(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe()
	reader := NewReader(r)
	read := func(method, response string) string {
		reader.Expect(method)
		go func() { _, _ = io.WriteString(w, response) }()
		p := make([]byte, 4096)
		n, err := reader.Read(p)
		is.NoErr(err)
		return string(p[:n])
	}
	for _, c := range [][2]string{
		{http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"},
		{http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"},
		{http.MethodHead, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{http.MethodPost, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
	} {
		is.Equal(read(c[0], c[1]), c[1])
	}
	is.NoErr(reader.Err())
}
