package gateway

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"gentiankeel/internal/wire"
)

// rawUpstream writes its responses byte for byte and keeps its connections open.
type rawUpstream struct {
	state   *wire.UpstreamState
	respond func(r *http.Request) string

	mu       sync.Mutex
	requests int // without those for its identity
	conns    int // that carried one of them
}

// startRawUpstream starts an upstream of a service; in a response, %id is replaced by the id of the request.
func startRawUpstream(t *testing.T, id, service string, respond func(r *http.Request) string) *rawUpstream {
	t.Helper()
	ln := listen(t)
	u := &rawUpstream{state: readyRunner(id, ln), respond: respond}
	u.state.Service = service
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return u
}

func (u *rawUpstream) serve(c net.Conn) {
	defer c.Close()
	isCounted := false
	for br := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path != "/born" {
			u.mu.Lock()
			u.requests++
			if !isCounted {
				u.conns++
			}
			u.mu.Unlock()
			isCounted = true
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(u.respond(r), "%id", r.Header.Get("Id")))
	}
}

func (u *rawUpstream) requestCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.requests
}

// connCount returns the number of connections that carried a request.
func (u *rawUpstream) connCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conns
}

const (
	bornResponse   = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"
	plainResponse  = "HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\nContent-Length: 5\r\n\r\nwhole"
	streamResponse = "HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"2a\r\n" + firstPieces + "\r\n0\r\n\r\n"
)

// allRoutes are paths of all kinds of routes, with the service that serves them.
var allRoutes = map[string]string{"/safe/x": "s", "/unsafe/x": "s", "/stream/x": "s", "/resume/x": "s", "/generate/x": "llm", "/engine/x": "llm"}

var idempotentRoutes = []string{"/safe/x", "/resume/x", "/engine/x"}

// soundResponse returns a response as it is due on a route.
func soundResponse(path string) string {
	if path == "/safe/x" || path == "/unsafe/x" {
		return plainResponse
	}
	return streamResponse
}

// withLine puts a line into the head of a response, in front of its second field, and withStatus replaces its status line.
func withLine(response, line string) string {
	return strings.Replace(response, "Signed:", line+"\r\nSigned:", 1)
}

func withStatus(response, line string) string {
	return strings.Replace(response, "HTTP/1.1 200 OK", line, 1)
}

// invalidFieldLines are lines that are no field by RFC 9112, section 5, and RFC 9110, section 5.
var invalidFieldLines = map[string]string{
	"blank in a name":              "X Field: value",
	"blank before the colon":       "X-Field : value",
	"tab before the colon":         "X-Field\t: value",
	"blank in front":               " X-Field: value",
	"tab in front":                 "\tX-Field: value",
	"control byte in a name":       "X-\x01Field: value",
	"NUL in a name":                "X-\x00Field: value",
	"DEL in a name":                "X-Field\x7f: value",
	"separator in a name":          "X(Field): value",
	"quote in a name":              "\"X-Field\": value",
	"high byte in a name":          "X-F\xfceld: value",
	"empty name":                   ": value",
	"no colon":                     "X-Field",
	"status line among the fields": "HTTP/1.1 200 OK",
	"NUL in a value":               "X-Field: a\x00b",
	"control byte in a value":      "X-Field: a\x01b",
	"escape in a value":            "X-Field: \x1b[2J",
	"DEL in a value":               "X-Field: a\x7fb",
	"carriage return in a value":   "X-Field: a\rb",
	"folded value":                 "X-Field: a\r\n b",
	"line feed alone":              "X-Field: a\nX-Other: b",
	"length with a blank":          "Content-Length : 3",
	"length with a control byte":   "Content-Length\x0b: 3",
	"chunks with a blank":          "Transfer-Encoding : chunked",
}

// checkNotAnswered sends a request to upstreams whose responses are invalid. The caller must get a failure that
// is not the upstream's and does not say that the request did not run.
func checkNotAnswered(t *testing.T, path, response string) {
	t.Helper()
	t.Parallel()
	is := is.New(t)
	respond := func(r *http.Request) string {
		if r.URL.Path == "/born" {
			return bornResponse
		}
		return response
	}
	one := startRawUpstream(t, "u1", allRoutes[path], respond)
	two := startRawUpstream(t, "u2", allRoutes[path], respond)
	s := startEntry(t, one.state, two.state)
	res, body, err := get(t, s, path, 2000)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusBadGateway)
	is.Equal(res.Header.Get("Signed"), "")
	is.True(!strings.Contains(body, "whole") && !strings.Contains(body, "piece"))
	if slices.Contains(idempotentRoutes, path) {
		is.Equal(one.requestCount(), 1)
		is.Equal(two.requestCount(), 1)
	} else {
		is.Equal(one.requestCount()+two.requestCount(), 1)
	}
}

// Guards against responses whose head has lines that are no fields, which callers got with these lines, or with a body of
// another length.
func TestResponse_InvalidFieldLine(t *testing.T) {
	for path := range allRoutes {
		for name, line := range invalidFieldLines {
			t.Run(strings.Trim(path, "/x")+" "+name, func(t *testing.T) { checkNotAnswered(t, path, withLine(soundResponse(path), line)) })
		}
	}
}

// Guards against the refusal of what upstreams may send.
func TestResponse_OddButValid(t *testing.T) {
	for name, change := range map[string]func(string) string{
		"token of all kinds":      func(s string) string { return withLine(s, "!#$%&'*+-.^_`|~09azAZ: value") },
		"empty value":             func(s string) string { return withLine(s, "X-Empty:") },
		"blank value":             func(s string) string { return withLine(s, "X-Blank: \t ") },
		"no blank before a value": func(s string) string { return withLine(s, "X-Field:value") },
		"blanks around a value":   func(s string) string { return withLine(s, "X-Field:\t a\tb  c \t") },
		"high bytes in a value":   func(s string) string { return withLine(s, "X-Field: gr\xfc\xdfe \xff\x80") },
		"separators in a value":   func(s string) string { return withLine(s, "X-Field: \"(a)\": <b>@{c}, [d]; e=\"f\\\"g\"") },
		"field twice":             func(s string) string { return withLine(s, "X-Field: a\r\nx-field: b") },
		"lower case":              func(s string) string { return strings.ReplaceAll(s, "Content-", "content-") },
		"empty reason":            func(s string) string { return withStatus(s, "HTTP/1.1 200 ") },
		"no reason":               func(s string) string { return withStatus(s, "HTTP/1.1 200") },
		"high bytes in a reason":  func(s string) string { return withStatus(s, "HTTP/1.1 200 sch\xf6n, \t (gut)") },
		"interim response": func(s string) string {
			return "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 199 \r\n\r\n" + s
		},
		"trailer": func(s string) string {
			return strings.ReplaceAll(s, "0\r\n\r\n", "0\r\nX-Sum: 1\r\nX-Empty:\r\n\r\n")
		},
		"chunk with an extension": func(s string) string { return strings.ReplaceAll(s, "2a\r\n", "02A;a=b;c=\"d;e\"\r\n") },
	} {
		for path, service := range allRoutes {
			t.Run(strings.Trim(path, "/x")+" "+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				u := startRawUpstream(t, "u1", service, func(r *http.Request) string {
					if r.URL.Path == "/born" {
						return change(bornResponse)
					}
					return change(soundResponse(path))
				})
				s := startEntry(t, u.state)
				for i := range 3 {
					res, body, err := getAs(t, s, fmt.Sprint("q", i), path, 2000)
					is.NoErr(err)
					is.Equal(res.StatusCode, http.StatusOK)
					is.Equal(res.Header.Get("Signed"), "yes")
					is.True(body == "whole" || body == firstPieces)
				}
				is.Equal(u.requestCount(), 3)
				is.Equal(u.connCount(), 1) // it was used again
			})
		}
	}
}

func TestResponse_StatusWithoutName(t *testing.T) {
	for _, status := range []int{200, 299, 399, 499, 529, 599} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			is := is.New(t)
			u := startRawUpstream(t, "u1", "s", func(*http.Request) string {
				return withStatus(plainResponse, fmt.Sprintf("HTTP/1.1 %d ", status))
			})
			s := startEntry(t, u.state)
			res, body, err := get(t, s, "/unsafe/x", 2000)
			is.NoErr(err)
			is.Equal(res.StatusCode, status)
			is.Equal(res.Header.Get("Signed"), "yes")
			is.Equal(body, "whole")
		})
	}
}

// invalidStatusLines are no status lines by RFC 9112, section 4, or have a status that RFC 9110, section 15, calls invalid.
var invalidStatusLines = map[string]string{
	"status 000":               "HTTP/1.1 000 OK",
	"status 000, no reason":    "HTTP/1.1 000 ",
	"status 001":               "HTTP/1.1 001 OK",
	"status 099":               "HTTP/1.1 099 OK",
	"status 600":               "HTTP/1.1 600 Failed",
	"status 999":               "HTTP/1.1 999 Failed",
	"sign in a status":         "HTTP/1.1 +20 OK",
	"negative status":          "HTTP/1.1 -20 OK",
	"two digits":               "HTTP/1.1 20 OK",
	"four digits":              "HTTP/1.1 2000 OK",
	"hexadecimal status":       "HTTP/1.1 0xC OK",
	"letters for a status":     "HTTP/1.1 OK 200",
	"no status":                "HTTP/1.1 ",
	"nothing but a version":    "HTTP/1.1",
	"two blanks":               "HTTP/1.1  200 OK",
	"tab for a blank":          "HTTP/1.1\t200 OK",
	"tab after the status":     "HTTP/1.1 200\tOK",
	"blank in front":           " HTTP/1.1 200 OK",
	"empty line in front":      "\r\nHTTP/1.1 200 OK",
	"control byte in a reason": "HTTP/1.1 200 O\x01K",
	"escape in a reason":       "HTTP/1.1 200 \x1b[2J",
	"NUL in a reason":          "HTTP/1.1 200 O\x00K",
	"return in a reason":       "HTTP/1.1 200 O\rK",
	"line feed alone":          "HTTP/1.1 200 OK\nX-Field: a",
	"version 0.9":              "HTTP/0.9 200 OK",
	"version 2.0":              "HTTP/2.0 200 OK",
	"version 1.10":             "HTTP/1.10 200 OK",
	"version without a minor":  "HTTP/1 200 OK",
	"lower case":               "http/1.1 200 OK",
	"another protocol":         "ICY 200 OK",
}

// Guards against responses whose status line is invalid.
func TestResponse_InvalidStatusLine(t *testing.T) {
	for path := range allRoutes {
		for name, line := range invalidStatusLines {
			t.Run(strings.Trim(path, "/x")+" "+name, func(t *testing.T) { checkNotAnswered(t, path, withStatus(soundResponse(path), line)) })
		}
	}
}

// Guards against an invalid response that is believed in that the request did not run.
func TestResponse_InvalidRefusal(t *testing.T) {
	for name, response := range map[string]string{
		"status 000":               "HTTP/1.1 000 \r\nId: %id\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"status 999":               "HTTP/1.1 999 \r\nId: %id\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"blank in a name":          "HTTP/1.1 503 \r\nId: %id\r\nNot-Run: 1\r\nX Field: a\r\nContent-Length: 0\r\n\r\n",
		"blank in the 421's field": "HTTP/1.1 421 \r\nId: %id\r\nX Field: a\r\nContent-Length: 0\r\n\r\n",
	} {
		for path := range allRoutes {
			t.Run(strings.Trim(path, "/x")+" "+name, func(t *testing.T) { checkNotAnswered(t, path, response) })
		}
	}
}

// invalidFramings are heads whose body's end is given in two ways or not as it must be.
var invalidFramings = map[string]string{
	"length and chunks":      "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
	"chunks and length":      "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
	"two lengths":            "Content-Length: 5\r\nContent-Length: 6\r\n",
	"two equal lengths":      "Content-Length: 5\r\nContent-Length: 5\r\n",
	"list of lengths":        "Content-Length: 5, 5\r\n",
	"signed length":          "Content-Length: +5\r\n",
	"negative length":        "Content-Length: -5\r\n",
	"hexadecimal length":     "Content-Length: 0x5\r\n",
	"length with a fraction": "Content-Length: 5.0\r\n",
	"empty length":           "Content-Length:\r\n",
	"huge length":            "Content-Length: 99999999999999999999\r\n",
	"other encoding":         "Transfer-Encoding: gzip\r\n",
	"other encoding, chunks": "Transfer-Encoding: gzip, chunked\r\n",
	"chunks twice":           "Transfer-Encoding: chunked, chunked\r\n",
	"two encodings":          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
	"encoding identity":      "Transfer-Encoding: identity\r\n",
	"empty encoding":         "Transfer-Encoding:\r\n",
}

func TestResponse_InvalidFraming(t *testing.T) {
	for path := range allRoutes {
		contentType := "text/plain"
		if soundResponse(path) == streamResponse {
			contentType = "text/event-stream"
		}
		head := func(version, framing string) string {
			return "HTTP/" + version + " 200 OK\r\nId: %id\r\nSigned: yes\r\nContent-Type: " + contentType + "\r\n" + framing + "\r\n" +
				"2a\r\n" + firstPieces + "\r\n0\r\n\r\n"
		}
		for name, framing := range invalidFramings {
			t.Run(strings.Trim(path, "/x")+" "+name, func(t *testing.T) { checkNotAnswered(t, path, head("1.1", framing)) })
		}
		t.Run(strings.Trim(path, "/x")+" chunks in version 1.0", func(t *testing.T) {
			checkNotAnswered(t, path, head("1.0", "Transfer-Encoding: chunked\r\n"))
		})
	}
}

// Guards against responses after an interim one that is invalid.
func TestResponse_InvalidInterim(t *testing.T) {
	for path := range allRoutes {
		for name, interim := range map[string]string{
			"blank in a name":     "HTTP/1.1 103 Early Hints\r\nX Field: a\r\n\r\n",
			"control in a name":   "HTTP/1.1 103 Early Hints\r\nX\x01Field: a\r\n\r\n",
			"blank in front":      "HTTP/1.1 103 Early Hints\r\n X-Field: a\r\n\r\n",
			"control in a reason": "HTTP/1.1 100 \x01\r\n\r\n",
			"line feeds alone":    "HTTP/1.1 100 Continue\n\n",
			"second is invalid":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 \r\nX-Field : a\r\n\r\n",
			"status 000":          "HTTP/1.1 000 \r\n\r\n",
			"switch of protocols": "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		} {
			t.Run(strings.Trim(path, "/x")+" "+name, func(t *testing.T) { checkNotAnswered(t, path, interim+soundResponse(path)) })
		}
	}
}

// Guards against whole responses whose trailer or chunks are invalid. A stream's events have been passed on by then; it must
// break off.
func TestResponse_InvalidChunksOrTrailer(t *testing.T) {
	chunk := "2a\r\n" + firstPieces + "\r\n"
	for name, body := range map[string]string{
		"blank in a trailer name":         chunk + "0\r\nX Sum: 1\r\n\r\n",
		"control byte in a trailer name":  chunk + "0\r\nX\x01Sum: 1\r\n\r\n",
		"control byte in a trailer value": chunk + "0\r\nX-Sum: \x01\r\n\r\n",
		"folded trailer":                  chunk + "0\r\nX-Sum: 1\r\n 2\r\n\r\n",
		"trailer without a colon":         chunk + "0\r\nX-Sum\r\n\r\n",
		"trailer with line feeds alone":   chunk + "0\r\nX-Sum: 1\n\n",
		"end with a line feed alone":      chunk + "0\r\n\n",
		"signed size":                     chunk + "+0\r\n\r\n",
		"size with a blank":               chunk + "0 \r\n\r\n",
		"size with a line feed alone":     chunk + "0\n\r\n",
		"control byte in an extension":    chunk + "0;a=\x01\r\n\r\n",
		"chunk longer than its size":      chunk + "1\r\nab\r\n0\r\n\r\n",
	} {
		for path := range allRoutes {
			t.Run(strings.Trim(path, "/x")+" "+name, func(t *testing.T) {
				head, _, _ := strings.Cut(streamResponse, "\r\n\r\n")
				if soundResponse(path) == plainResponse {
					checkNotAnswered(t, path, strings.Replace(head, "event-stream", "plain", 1)+"\r\n\r\n"+body)
					return
				}
				t.Parallel()
				is := is.New(t)
				u := startRawUpstream(t, "u1", allRoutes[path], func(r *http.Request) string {
					if r.URL.Path == "/born" {
						return bornResponse
					}
					return head + "\r\n\r\n" + body
				})
				s := startEntry(t, u.state)
				_, got, err := get(t, s, path, 500)
				is.True(err != nil)
				is.Equal(got, firstPieces)
			})
		}
	}
}

// A request that is idempotent goes on elsewhere, within its attempts. Guards against invalid responses that are counted as
// ends of their upstreams, after two of which a request is not sent again.
func TestResponse_InvalidGoesOnElsewhere(t *testing.T) {
	for path, faulty := range map[string]int{"/safe/x": 1, "/resume/x": 1, "/engine/x": 1, "/thrice/x": 2} {
		for name, change := range map[string]func(string) string{
			"field":  func(s string) string { return withLine(s, "X Field: a") },
			"status": func(s string) string { return withStatus(s, "HTTP/1.1 000 ") },
		} {
			t.Run(strings.Trim(path, "/x")+" "+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				service, sound := allRoutes[path], soundResponse(path)
				if path == "/thrice/x" {
					service, sound = "s", plainResponse
				}
				var mu sync.Mutex
				asked := map[string]bool{}
				respond := func(id string) func(*http.Request) string {
					return func(r *http.Request) string {
						if r.URL.Path == "/born" {
							return bornResponse
						}
						mu.Lock()
						defer mu.Unlock()
						if asked[id] = true; len(asked) <= faulty {
							return change(sound)
						}
						return sound
					}
				}
				var states []*wire.UpstreamState
				for _, id := range []string{"u1", "u2", "u3"} {
					states = append(states, startRawUpstream(t, id, service, respond(id)).state)
				}
				s := startEntry(t, states...)
				res, body, err := get(t, s, path, 2000)
				is.NoErr(err)
				is.Equal(res.StatusCode, http.StatusOK)
				is.Equal(res.Header.Get("Signed"), "yes")
				is.True(body == "whole" || body == firstPieces)
				is.Equal(len(asked), faulty+1)
				is.Equal(testutil.ToFloat64(s.m.malformed), float64(faulty))
				is.Equal(testutil.CollectAndCount(s.m.cuts), 0)
			})
		}
	}
}

// The rest of a stream, asked for elsewhere, comes with an invalid head.
func TestResponse_InvalidRestOfStream(t *testing.T) {
	for path, service := range map[string]string{"/resume/x": "s", "/engine/x": "llm"} {
		t.Run(strings.Trim(path, "/x"), func(t *testing.T) {
			is := is.New(t)
			respond := func(r *http.Request) string {
				switch {
				case r.URL.Path == "/born":
					return bornResponse
				case r.Header.Get("After") == "":
					return strings.Replace(streamResponse, "0\r\n\r\n", "zz\r\n", 1)
				}
				return withLine(strings.NewReplacer("id: 1", "id: 3", "id: 2", "id: 4").Replace(streamResponse), "X Field: a")
			}
			one, two := startRawUpstream(t, "u1", service, respond), startRawUpstream(t, "u2", service, respond)
			s := startEntry(t, one.state, two.state)
			_, body, err := get(t, s, path, 2000)
			is.True(err != nil) // the stream breaks off
			is.Equal(body, firstPieces)
			is.Equal(one.requestCount()+two.requestCount(), 2)
		})
	}
}

// A process that answers the question for its identity with an invalid head gets no request; another one does.
func TestResponse_InvalidIdentity(t *testing.T) {
	for name, born := range map[string]string{
		"field":   "HTTP/1.1 200 OK\r\nX Field: a\r\nContent-Length: 1\r\n\r\n1",
		"status":  "HTTP/1.1 000 OK\r\nContent-Length: 1\r\n\r\n1",
		"trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n1\r\n0\r\nX Sum: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			faulty := startRawUpstream(t, "u1", "llm", func(r *http.Request) string {
				if r.URL.Path == "/born" {
					return born
				}
				return streamResponse
			})
			sound := startRawUpstream(t, "u2", "llm", func(r *http.Request) string {
				if r.URL.Path == "/born" {
					return bornResponse
				}
				return streamResponse
			})
			s := startEntry(t, faulty.state, sound.state)
			for i := range 4 {
				res, body, err := getAs(t, s, fmt.Sprint("q", i), "/engine/x", 2000)
				is.NoErr(err)
				is.Equal(res.StatusCode, http.StatusOK)
				is.Equal(body, firstPieces)
			}
			is.Equal(faulty.requestCount(), 0)
			is.Equal(sound.requestCount(), 4)
		})
	}
}

// The log names the upstream and the reason, and neither escape sequences nor long lines of the upstream reach it.
func TestResponse_InvalidIsLogged(t *testing.T) {
	is := is.New(t)
	u := startRawUpstream(t, "u1", "s", func(*http.Request) string {
		return withLine(plainResponse, "X\x1b[2J\xff Field: "+strings.Repeat("v", 10000))
	})
	var mu sync.Mutex
	var log strings.Builder
	s := startEntryWith(t, func(o *Options) {
		o.Logger = slog.New(slog.NewTextHandler(writerFunc(func(p []byte) (int, error) {
			mu.Lock()
			defer mu.Unlock()
			return log.Write(p)
		}), nil))
	}, "doc", u.state)
	res, _, err := get(t, s, "/unsafe/x", 2000)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusBadGateway)
	mu.Lock()
	defer mu.Unlock()
	for line := range strings.Lines(log.String()) {
		if !strings.Contains(line, "Attempt failed.") {
			continue
		}
		is.True(strings.Contains(line, "upstream=u1"))
		is.True(strings.Contains(line, "a field's name holds a character that it must not"))
		is.True(len(line) < 2000)
		is.True(!strings.Contains(line, "\x1b") && !strings.Contains(line, "\xff"))
		return
	}
	t.Errorf("no line on the attempt in %.2000s", log.String())
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
