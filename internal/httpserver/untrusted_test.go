package httpserver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/errkind"
)

func withBudget(t *testing.T, bytes int64) func(*Options) {
	b, err := NewBudget(bytes, nil, nil)
	is.New(t).NoErr(err)
	return func(o *Options) { o.Budget = b }
}

// respondBody answers with the request's body.
func respondBody(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// Guards against unfinished requests that lock out others: their memory is given back, and a large
// request is let finish meanwhile.
func TestBudget_HeldByStalledRequests(t *testing.T) {
	is := is.New(t)
	s := startServer(t, respondBody, withBudget(t, 2<<20))
	half := strings.Repeat("x", 200<<10)
	for range 30 {
		go fmt.Fprintf(dial(t, s), "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 400000\r\n\r\n%s", half)
	}
	eventually(t, "the budget is used up", func() bool { return s.budget.room(smallBytes+1) <= 256<<10 })
	for _, size := range []int{100, 4 << 20} {
		c := dial(t, s)
		body := strings.Repeat("y", size)
		go fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, body)
		status, got := readResponse(t, bufio.NewReader(c))
		is.Equal(status, 200)
		is.True(got == body)
	}
}

// Guards against a stalled request that keeps its memory while others wait for it: it is refused as one
// that has not run.
func TestBudget_StalledRequestIsRefused(t *testing.T) {
	is := is.New(t)
	s := startServer(t, respondBody, withBudget(t, 1<<20))
	stalled := dial(t, s)
	fmt.Fprintf(stalled, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000\r\n\r\n%s", strings.Repeat("x", 1<<20))
	eventually(t, "the budget is used up", func() bool { return s.budget.room(smallBytes+1) <= 0 })
	for range 20 { // more than are let finish beyond the budget
		go fmt.Fprintf(dial(t, s), "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000\r\n\r\n%s", strings.Repeat("x", 1<<20))
	}
	status, body := readResponse(t, bufio.NewReader(stalled))
	is.Equal(status, 503)
	is.Equal(body, string(errkind.Overloaded))
}

// Guards against a body in very small chunks being refused for its size on the wire.
func TestBody_LargestInSmallChunks(t *testing.T) {
	is := is.New(t)
	s := startServer(t, respondBody, func(o *Options) { o.MaxBodyBytes = 100_000 })
	c := dial(t, s)
	go fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n", strings.Repeat("1\r\nx\r\n", 100_000))
	status, body := readResponse(t, bufio.NewReader(c))
	is.Equal(status, 200)
	is.Equal(len(body), 100_000)
}

// Guards against the handler seeing another request than the caller sent, as the library's parser gets
// the head without the field that frames the body.
func TestBody_HeadOfHandledRequest(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		is.NoErr(err)
		fmt.Fprintf(w, "%s %s %s %d %q %q %q %s", r.Method, r.RequestURI, r.Host, r.ContentLength, r.TransferEncoding,
			r.Header["Content-Length"], r.Header["X-A"], body)
	})
	c := dial(t, s)
	r := bufio.NewReader(c)
	for raw, want := range map[string]string{
		"POST /a HTTP/1.1\r\nContent-Length: 2\r\nHost: h\r\nX-A: 1\r\n\r\nhi":                                      `POST /a h 2 [] ["2"] ["1"] hi`,
		"POST /b HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-A: 2\r\n\r\n": `POST /b h -1 ["chunked"] [] ["1"] hi`,
		"GET /c HTTP/1.1\r\nHost: h\r\n\r\n":                                                                        `GET /c h -1 [] [] [] `,
	} {
		fmt.Fprint(c, raw)
		_, got := readResponse(t, r)
		is.Equal(got, want)
	}
}

// Guards against pipelined requests being held without a bound, and against losing any of them when the
// connection is paused.
func TestPipelined_MoreThanAreQueued(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		_, _ = io.WriteString(w, r.URL.Path)
	}, func(o *Options) { o.MaxPipelined = 3 })
	c := dial(t, s)
	go func() {
		for i := range 5000 {
			fmt.Fprintf(c, "POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc", i)
		}
	}()
	eventually(t, "the connection is paused", func() bool {
		paused := false
		s.conns.Range(func(_, v any) bool {
			v.(*conn).mu.Lock()
			defer v.(*conn).mu.Unlock()
			paused = v.(*conn).waitsForJob
			return true
		})
		return paused
	})
	is.True(s.budget.Used() <= 2*readBytes)
	close(release)
	r := bufio.NewReader(c)
	for i := range 5000 {
		status, body := readResponse(t, r)
		is.Equal(status, 200)
		is.Equal(body, fmt.Sprintf("/%d", i))
	}
}

// Guards against the unsent rest of an answer being held beside the handler's, and against the answer
// being cut off while its caller reads it: by the idle timeout, Connection: close or Shutdown.
func TestResponse_SlowReaderGetsAll(t *testing.T) {
	big := strings.Repeat("0123456789abcdef", 1<<20)
	for _, header := range []string{"X: y", "Connection: close"} {
		t.Run(header, func(t *testing.T) {
			is := is.New(t)
			s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", strconv.Itoa(len(big)))
				_, _ = io.WriteString(w, big)
			}, withBudget(t, 8<<20), func(o *Options) { o.IdleTimeout = 20 * time.Millisecond })
			c := dial(t, s)
			fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n", header)
			eventually(t, "the response is written", func() bool { return s.unsentConns.Load() == 1 })
			is.True(s.budget.Used() <= 1<<20)
			stopped := make(chan error, 1)
			go func() { stopped <- s.Shutdown(t.Context()) }()
			status, body := readResponse(t, bufio.NewReaderSize(c, 16<<10))
			is.Equal(status, 200)
			is.True(body == big)
			is.NoErr(<-stopped)
		})
	}
}

// Guards against a caller that reads nothing holding its answer for good.
func TestResponse_NeverRead(t *testing.T) {
	ended := make(chan struct{})
	s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		defer close(ended)
		body := strings.Repeat("x", 32<<20)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, err := io.WriteString(w, body)
		is.New(t).True(err != nil)
	}, func(o *Options) { o.WriteTimeout = 100 * time.Millisecond })
	fmt.Fprintf(dial(t, s), "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	<-ended
}

// Guards against callers that keep a connection open with a byte or an empty line now and then.
func TestHeader_ByteNowAndThen(t *testing.T) {
	for name, bytes := range map[string]string{"header": "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 10000), "empty lines": strings.Repeat("\r\n", 5000)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startServer(t, respondOK, func(o *Options) { o.HeaderTimeout = 100 * time.Millisecond })
			c := dial(t, s)
			go func() {
				for i := range bytes {
					if _, err := c.Write([]byte{bytes[i]}); err != nil {
						return
					}
					time.Sleep(5 * time.Millisecond)
				}
			}()
			status, _ := readResponse(t, bufio.NewReader(c))
			is.Equal(status, 408)
		})
	}
}

// Guards against empty lines without end, which no request ever follows.
func TestRequest_EmptyLinesWithoutEnd(t *testing.T) {
	c := dial(t, startServer(t, respondOK))
	go fmt.Fprint(c, strings.Repeat("\r\n", 1<<20))
	status, _ := readResponse(t, bufio.NewReader(c))
	is.New(t).Equal(status, 413)
}

// Guards against an empty line after a body starting the time for the next header: the connection may
// stay idle.
func TestRequest_EmptyLineBeforeIdleTime(t *testing.T) {
	is := is.New(t)
	s := startServer(t, respondOK, func(o *Options) { o.HeaderTimeout = 20 * time.Millisecond })
	c := dial(t, s)
	r := bufio.NewReader(c)
	for range 2 {
		fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx\r\n")
		status, _ := readResponse(t, r)
		is.Equal(status, 200)
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against the operator's limits having no effect on callers.
func TestSetLimits_HoldForNextRequest(t *testing.T) {
	is := is.New(t)
	s := startServer(t, respondOK)
	s.SetLimits(Limits{MaxBodyBytes: 10, MaxHeaderBytes: 200, IdleTimeout: 20 * time.Millisecond})
	for raw, want := range map[string]int{
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n0123456789":       200,
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n01234567890":      413,
		"GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("v", 300) + "\r\n\r\n": 413,
	} {
		c := dial(t, s)
		fmt.Fprint(c, raw)
		r := bufio.NewReader(c)
		status, _ := readResponse(t, r)
		is.Equal(status, want)
		_, err := r.ReadByte()
		is.Equal(err, io.EOF) // closed as idle, or after the refusal
	}
}

// Guards against idle connections that lock out callers: they are closed while others find no room.
func TestConnections_IdleOnesGiveWay(t *testing.T) {
	is := is.New(t)
	s := startServer(t, respondOK, func(o *Options) { o.MaxConnections = 10 })
	for range 10 {
		dial(t, s)
	}
	eventually(t, "all connections are open", func() bool { return s.openConns.Load() == 10 })
	eventually(t, "a caller is served", func() bool {
		c, err := net.Dial("tcp", s.Addr())
		is.NoErr(err)
		defer c.Close()
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		is.True(s.openConns.Load() <= 10)
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// failingListener has no descriptors for connections.
type failingListener struct {
	net.Listener
	accepts atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.accepts.Add(1)
	return nil, errors.New("too many open files")
}

func (l *failingListener) Close() error { return nil }

// Guards against an accept loop that spins while no descriptors are left: each failure is followed by a
// pause, which ends with the listener.
func TestListener_PausesAfterFailure(t *testing.T) {
	is := is.New(t)
	inner := &failingListener{}
	failures := 0
	l := &listener{Listener: inner, stopped: make(chan struct{}), closed: make(chan struct{}),
		admits: func() bool { return true }, failed: func() { failures++ }}
	began := time.Now()
	for range 3 {
		_, err := l.Accept()
		is.True(err != nil)
	}
	is.True(time.Since(began) >= 3*acceptPause) // a pause is never shorter
	is.Equal(failures, 3)
	is.Equal(inner.accepts.Load(), int64(3))
	go l.Close()
	_, err := l.Accept()
	is.True(err != nil)
}

// Guards against callers that pipeline without end keeping all connections. The response to the running
// request is not cut off.
func TestConnections_EndlessPipelinesGiveWay(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/endless" {
			<-release
		}
		respondOK(w, r)
	}, func(o *Options) { o.MaxConnections = 4 })
	var endless []net.Conn
	for range 4 {
		c := dial(t, s)
		endless = append(endless, c)
		fmt.Fprint(c, strings.Repeat("GET /endless HTTP/1.1\r\nHost: x\r\n\r\n", 1000))
	}
	eventually(t, "all connections are paused", func() bool {
		paused := 0
		s.conns.Range(func(_, v any) bool {
			if v.(*conn).disposableFor(time.Now()) > 0 {
				paused++
			}
			return true
		})
		return paused == 4
	})
	for range 20 { // finds no room
		c, err := net.Dial("tcp", s.Addr())
		is.NoErr(err)
		_, err = c.Read(make([]byte, 1))
		is.True(err != nil)
		c.Close()
	}
	close(release)
	for _, c := range endless {
		status, body := readResponse(t, bufio.NewReader(c))
		is.Equal(status, 200)
		is.Equal(body, "ok")
	}
	eventually(t, "a caller is served", func() bool {
		res, err := http.Get("http://" + s.Addr())
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}
