package httpserver

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/matryer/is"
)

// ambiguousRequests are requests that servers could read with different ends. The test sends
// a second request after each of them, which must get no response.
var ambiguousRequests = map[string]string{
	"length and chunks":        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"two lengths":              "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n",
	"two equal lengths":        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n",
	"list of lengths":          "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0, 0\r\n\r\n",
	"signed length":            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +5\r\n\r\nhello",
	"negative length":          "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -0\r\n\r\n",
	"hexadecimal length":       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0x0\r\n\r\n",
	"empty length":             "POST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n\r\n",
	"huge length":              "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n",
	"space before the colon":   "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 0\r\n\r\n",
	"folded line":              "POST / HTTP/1.1\r\nHost: h\r\nX-A: b\r\n Content-Length: 0\r\n\r\n",
	"no host":                  "GET / HTTP/1.1\r\nX-A: b\r\n\r\n",
	"two hosts":                "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
	"other encoding":           "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
	"two encodings":            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"encoding with tail":       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked,\r\n\r\n0\r\n\r\n",
	"encoding that folds":      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chun\u212aed\r\n\r\n0\r\n\r\n", // KELVIN SIGN
	"encoding in 1.0":          "POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"bare line feed":           "GET / HTTP/1.1\r\nHost: h\nX-A: b\r\n\r\n",
	"bare carriage return":     "GET / HTTP/1.1\r\nHost: h\r\nX-A: b\rX-B: c\r\n\r\n",
	"NUL in a value":           "GET / HTTP/1.1\r\nHost: h\r\nX-A: b\x00c\r\n\r\n",
	"signed chunk":             "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n+5\r\nhello\r\n0\r\n\r\n",
	"prefixed chunk":           "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n0\r\n\r\n",
	"chunk longer than size":   "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhello\r\n0\r\n\r\n",
	"chunk without CRLF":       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello0\r\n\r\n",
	"chunk line ends with LF":  "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\nhello\r\n0\r\n\r\n",
	"chunk size overflows":     "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000000\r\n",
	"chunk size with a space":  "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5 \r\nhello\r\n0\r\n\r\n",
	"trailer that is no field": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nGET / HTTP/1.1\r\n\r\n",
	"two spaces":               "GET  / HTTP/1.1\r\nHost: h\r\n\r\n",
	"other version":            "GET / HTTP/2.0\r\nHost: h\r\n\r\n",
}

func TestFraming_AmbiguousRequest(t *testing.T) {
	handled := make(chan string, 100)
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		handled <- r.URL.Path
		respondOK(w, r)
	})
	for name, raw := range ambiguousRequests {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // each refused connection lingers for a second
			is := is.New(t)
			c := dial(t, s)
			_, err := io.WriteString(c, raw+"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n")
			is.NoErr(err)
			is.NoErr(c.SetReadDeadline(time.Now().Add(20 * time.Second)))
			br := bufio.NewReader(c)
			res, err := http.ReadResponse(br, nil)
			is.NoErr(err)
			is.Equal(res.StatusCode, http.StatusBadRequest)
			is.True(res.Close)
			_, _ = io.Copy(io.Discard, res.Body)
			_, err = br.ReadByte()
			is.True(err != nil)                              // no second response
			is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // closed by the server
			is.Equal(len(handled), 0)
		})
	}
}

func TestFraming_ValidRequestBeforeAmbiguousOne(t *testing.T) {
	is := is.New(t)
	s := startServer(t, respondOK)
	c := dial(t, s)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"+ambiguousRequests["two lengths"])
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(20 * time.Second)))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
}

func TestFraming_ValidRequestsInReadsOfAnySize(t *testing.T) {
	raw := "GET /a HTTP/1.1\r\nHost: h\r\n\r\n" +
		"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello" +
		"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nX-T: v\r\n\r\n" +
		"GET /d HTTP/1.0\r\n\r\n"
	for size := 1; size <= len(raw); size++ {
		is := is.New(t)
		v := framingValidator{maxHeadBytes: 1 << 10}
		for rest := []byte(raw); len(rest) > 0; {
			n := min(size, len(rest))
			accepted, err := v.validate(rest[:n])
			is.NoErr(err)
			is.Equal(accepted, n)
			rest = rest[n:]
		}
		is.Equal(v.state, inHead)
		is.Equal(len(v.buf), 0)
	}
}

// FuzzFramingValidator compares the validator with net/http: net/http must be able to read
// the bytes that the validator accepts as complete requests, and end where they end.
func FuzzFramingValidator(f *testing.F) {
	for _, raw := range ambiguousRequests {
		f.Add([]byte(raw), 7)
	}
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"), 3)
	f.Add([]byte("POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"), 50)
	for _, tt := range unfinishedRequests {
		f.Add([]byte(tt.start+strings.Repeat(tt.repeated, 3)), 5)
	}
	f.Fuzz(func(t *testing.T, raw []byte, size int) {
		size = max(1, min(size, 1<<10))
		v := framingValidator{maxHeadBytes: 1 << 12, maxBodyBytes: 1 << 12, keeps: true}
		var heads, bodies []string
		complete, pos := 0, 0
		for pos < len(raw) {
			chunk := raw[pos:min(pos+size, len(raw))]
			for len(chunk) > 0 {
				n, ended, err := v.step(chunk)
				if err != nil {
					chunk, pos = nil, len(raw)
					break
				}
				chunk = chunk[n:]
				pos += n
				v.pending += n
				if held, bound := v.held(), 4*(v.maxHeadBytes+v.maxBodyBytes+maxChunkLineBytes+1<<10); held > bound {
					t.Fatalf("%d bytes are held, %d are allowed", held, bound)
				}
				if ended {
					complete = pos
					heads, bodies = append(heads, string(v.head)), append(bodies, string(v.body))
					v.pending, v.body = 0, nil
					v.recycleHead()
				}
			}
		}
		checkReadByNetHTTP(t, raw[:complete], heads, bodies)
	})
}

// checkReadByNetHTTP fails the test unless net/http reads raw as a sequence of complete
// requests with the same bodies, and the heads that were kept as ones without a body.
func checkReadByNetHTTP(t *testing.T, raw []byte, heads, bodies []string) {
	br := bufio.NewReader(bytes.NewReader(raw))
	for n := 0; ; n++ {
		if _, err := br.Peek(1); err != nil {
			return
		}
		req, err := http.ReadRequest(br)
		if err != nil {
			if isUnrelatedError(err) {
				return
			}
			t.Fatalf("request %d of %q: %v", n, raw, err)
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			t.Fatalf("body of request %d of %q: %v", n, raw, err)
		}
		if string(body) != bodies[n] {
			t.Fatalf("body of request %d of %q: %q was kept", n, raw, bodies[n])
		}
		kept, err := http.ReadRequest(bufio.NewReader(strings.NewReader(heads[n])))
		if err != nil || kept.ContentLength != 0 || kept.RequestURI != req.RequestURI || kept.Host != req.Host {
			t.Fatalf("head of request %d of %q: %q was kept, %v", n, raw, heads[n], err)
		}
	}
}

// isUnrelatedError reports whether an error of net/http does not concern framing. The
// library's parser or the handler rejects such requests too.
func isUnrelatedError(err error) bool {
	text := fmt.Sprint(err)
	for _, part := range []string{"parse \"", "invalid method", "invalid URI", "malformed Host", "Trailer", "bad trailer", "invalid header"} {
		if strings.Contains(text, part) {
			return true
		}
	}
	return false
}

// unfinishedRequests are requests of callers outside the limits, which go on with repeated bytes.
var unfinishedRequests = map[string]struct {
	start, repeated string
	wantErr         error // nil: the request is valid as far as it goes, and is bounded by time
}{
	"header line without end":       {"GET / HTTP/1.1\r\nHost: h\r\nX: ", "x", nbhttp.ErrTooLong},
	"header fields without end":     {"GET / HTTP/1.1\r\nHost: h\r\n", "X: y\r\n", nbhttp.ErrTooLong},
	"target without end":            {"GET /", "x", nbhttp.ErrTooLong},
	"chunks without end":            {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\n12345678\r\n", errBodyTooLarge},
	"one-byte chunks without end":   {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", errBodyTooLarge},
	"chunks with long extensions":   {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("e", 200) + "\r\nx\r\n", errBodyTooLarge},
	"chunk extension without end":   {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;", "e", errFraming},
	"zeros of a size without end":   {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "0", errFraming},
	"trailer without end":           {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", errFraming},
	"trailer line without end":      {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", "y", errFraming},
	"length over the limit":         {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n", "x", errBodyTooLarge},
	"first chunk over the limit":    {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n", "x", errBodyTooLarge},
	"second chunk over the limit":   {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n3e8\r\n", "x", errBodyTooLarge},
	"length that may be reached":    {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n", "", nil},
	"chunk that may still be ended": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3e8\r\n", "", nil},
}

// Guards against requests without end that are kept as far as they have come.
func TestFraming_UnfinishedRequest(t *testing.T) {
	for name, tt := range unfinishedRequests {
		for _, size := range []int{1, 7, 4096} {
			t.Run(fmt.Sprintf("%s/reads of %d", name, size), func(t *testing.T) {
				is := is.New(t)
				v := framingValidator{maxHeadBytes: 1000, maxBodyBytes: 1000, keeps: true}
				rest := []byte(tt.start + strings.Repeat(tt.repeated, 20000/max(1, len(tt.repeated))))
				var err error
				for len(rest) > 0 && err == nil {
					n := min(size, len(rest))
					_, err = v.validate(rest[:n])
					rest = rest[n:]
					is.True(v.held() <= 16<<10)
				}
				if tt.wantErr == nil {
					is.NoErr(err)
				} else {
					is.True(errors.Is(err, tt.wantErr))
				}
			})
		}
	}
}

// Guards against the announced length being taken as memory before the bytes have come.
func TestFraming_AnnouncedBodyTakesNoMemory(t *testing.T) {
	is := is.New(t)
	v := framingValidator{maxHeadBytes: 1000, maxBodyBytes: 4 << 20, keeps: true}
	_, err := v.validate([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\nx"))
	is.NoErr(err)
	is.True(v.held() <= 8<<10)
}
