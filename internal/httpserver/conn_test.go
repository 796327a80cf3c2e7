package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/matryer/is"
)

// onlyConn waits until the server has one connection and returns it.
func onlyConn(t *testing.T, s *Server) *conn {
	t.Helper()
	var out *conn
	eventually(t, "one connection is open", func() bool {
		s.conns.Range(func(_, v any) bool {
			out = v.(*conn)
			return false
		})
		return out != nil
	})
	return out
}

// Guards against a response that is being written counting as one that its caller has not read since
// the connection began: a drain or a shortage of memory would cut it.
func TestResponse_NotStalledWhileWritten(t *testing.T) {
	is := is.New(t)
	s, err := New(Options{Listen: "127.0.0.1:0", Handler: http.HandlerFunc(respondOK), Refuse: testRefusal})
	is.NoErr(err)
	var writes, stalled atomic.Int64
	s.engine.OnWrittenSize(func(nc *nbio.Conn, b []byte, n int) {
		if c := s.connOf(nc); c != nil && c.isWriteStalled() {
			stalled.Add(1)
		}
		writes.Add(1)
		s.onWritten(nc, b, n)
	})
	is.NoErr(s.Start())
	defer func() { is.NoErr(s.Shutdown(t.Context())) }()
	c := dial(t, s)
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	status, _ := readResponse(t, bufio.NewReader(c))
	is.Equal(status, 200)
	eventually(t, "the write is reported", func() bool { return writes.Load() > 0 })
	is.Equal(stalled.Load(), int64(0))
}

// Guards against a response that waits for the next check although its caller has taken bytes just
// before the wait began.
func TestAwaitDrain_CallerReadsBeforeWait(t *testing.T) {
	is := is.New(t)
	s := startServer(t, respondOK)
	dial(t, s)
	c := onlyConn(t, s)
	const waits = 20
	began := time.Now()
	for range waits {
		is.True(c.awaitDrain(1)) // 1 byte was unsent, none is now
	}
	is.True(time.Since(began) < waits*writeCheckInterval) // each wait took that long
}

// Guards against a response in several writes being cut since the library holds back a part of it, which
// it adds to the next one.
func TestResponse_SeveralWritesToSlowReader(t *testing.T) {
	is := is.New(t)
	const bodyBytes = 16 << 20
	wrote := make(chan error, 1)
	s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(bodyBytes))
		var err error
		for left, small := bodyBytes, true; left > 0 && err == nil; small = !small {
			n := min(left, 64<<10)
			if small {
				n = min(left, 60<<10)
			}
			_, err = io.WriteString(w, strings.Repeat("x", n))
			left -= n
		}
		wrote <- err
	}, withBudget(t, 8<<20))
	c := dial(t, s)
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	eventually(t, "the handler waits for the caller", func() bool {
		return len(wrote) > 0 || onlyConn(t, s).outWaiting.Load()
	})
	status, body := readResponse(t, bufio.NewReader(c))
	is.Equal(status, 200)
	is.Equal(len(body), bodyBytes)
	is.NoErr(<-wrote)
}

// Guards against a refusal cutting the response before it, which the caller still reads.
func TestRefuse_BehindUnsentResponse(t *testing.T) {
	is := is.New(t)
	const bodyBytes = 12 << 20
	s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(bodyBytes))
		_, _ = io.WriteString(w, strings.Repeat("x", bodyBytes))
	}, func(o *Options) { o.MaxWriteBuffer = 2 * bodyBytes })
	c := dial(t, s)
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	state := onlyConn(t, s)
	eventually(t, "the response is queued", func() bool { return state.outQueued.Load() > 0 && s.busyConns.Load() == 0 })
	fmt.Fprint(c, "no request\r\n\r\n")
	eventually(t, "the request is refused", func() bool {
		state.mu.Lock()
		defer state.mu.Unlock()
		return state.refused
	})
	time.Sleep(refusalLinger + refusalLinger/2) // it was cut then
	r := bufio.NewReader(c)
	status, body := readResponse(t, r)
	is.Equal(status, 200)
	is.Equal(len(body), bodyBytes)
	status, _ = readResponse(t, r)
	is.Equal(status, 400)
}

// Guards against callers that wait for the interim response before they send the body being delayed until
// their own time-out, also on a connection that has been used.
func TestExpect_Continue(t *testing.T) {
	is := is.New(t)
	s := startServer(t, respondBody, func(o *Options) { o.MaxBodyBytes = 10 })
	c := dial(t, s)
	r := bufio.NewReader(c)
	for _, framing := range []string{"Content-Length: 5", "Transfer-Encoding: chunked", "Content-Length: 5"} {
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-Continue\r\n%s\r\n\r\n", framing)
		res, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusContinue)
		if strings.HasPrefix(framing, "Transfer") {
			fmt.Fprint(c, "5\r\nhello\r\n0\r\n\r\n")
		} else {
			fmt.Fprint(c, "hello")
		}
		status, body := readResponse(t, r)
		is.Equal(status, 200)
		is.Equal(body, "hello")
	}
	for raw, want := range map[string]int{ // answered without an interim response
		"POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\nhello": 200,
		"POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 11\r\n\r\n":     413,
		"POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 0\r\n\r\n":      200,
		"GET / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n\r\n":                            200,
	} {
		c := dial(t, s)
		fmt.Fprint(c, raw)
		status, _ := readResponse(t, bufio.NewReader(c))
		is.Equal(status, want)
	}
}

// Guards against an interim response within the response to the request before.
func TestExpect_ContinueBehindRunningRequest(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			w.(http.Flusher).Flush()
			<-release
		}
		respondBody(w, r)
	})
	c := dial(t, s)
	r := bufio.NewReader(c)
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\nPOST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
	state := onlyConn(t, s)
	eventually(t, "the head is read", func() bool {
		state.mu.Lock()
		defer state.mu.Unlock()
		return state.requestBytes > 0
	})
	close(release)
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	for _, want := range []int{200, 100} {
		res, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		is.Equal(res.StatusCode, want)
		_, err = io.Copy(io.Discard, res.Body)
		is.NoErr(err)
	}
	fmt.Fprint(c, "hello")
	status, body := readResponse(t, r)
	is.Equal(status, 200)
	is.Equal(body, "hello")
}

// Guards against a timer that belongs to an earlier request, and was about to run when that request was
// complete, ending the next one.
func TestBodyTimer_OfEarlierRequest(t *testing.T) {
	is := is.New(t)
	s := startServer(t, respondOK)
	c := dial(t, s)
	fmt.Fprint(c, "GET / HTTP/1.1\r\n")
	state := onlyConn(t, s)
	eventually(t, "the header's timer runs", func() bool {
		state.mu.Lock()
		defer state.mu.Unlock()
		return state.bodyTimer != nil
	})
	state.onBodyTimeout()
	fmt.Fprint(c, "Host: x\r\n\r\n")
	status, _ := readResponse(t, bufio.NewReader(c))
	is.Equal(status, 200)
}

// Guards against the time for which a request is not read, since the one before it runs, being counted as
// its caller's.
func TestBodyTimer_RequestHeldBackByRunningOne(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			<-release
		}
		respondBody(w, r)
	}, func(o *Options) { o.BodyTimeout = time.Hour })
	c := dial(t, s)
	const bodyBytes = 1 << 20
	go fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\nPOST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("x", bodyBytes))
	state := onlyConn(t, s)
	eventually(t, "the second request is held back", func() bool {
		state.mu.Lock()
		defer state.mu.Unlock()
		return state.waitsForJob && state.bodyTimer != nil
	})
	state.mu.Lock()
	state.requestBegan = state.requestBegan.Add(-2 * time.Hour) // as if the first one had run for so long
	state.mu.Unlock()
	close(release)
	eventually(t, "the first request has ended", func() bool {
		state.mu.Lock()
		defer state.mu.Unlock()
		return !state.waitsForJob
	})
	state.onBodyTimeout()
	r := bufio.NewReader(c)
	for _, want := range []int{0, bodyBytes} {
		status, body := readResponse(t, r)
		is.Equal(status, 200)
		is.Equal(len(body), want)
	}
}

// Guards against a connection that waits for its own running request keeping the right to finish beyond
// the budget from others.
func TestBudget_FavouredWaitsForItsJob(t *testing.T) {
	is := is.New(t)
	s := startServer(t, respondOK)
	dial(t, s)
	c := onlyConn(t, s)
	c.mu.Lock()
	c.paused, c.waitsForJob = true, true
	c.mu.Unlock()
	is.True(c.isStalled())
	c.mu.Lock()
	c.paused, c.waitsForJob = false, false
	c.mu.Unlock()
}

// Guards against callers that pipeline small requests keeping large ones from being read: their input is
// read in turn too, which is no progress of those that wait for memory.
func TestBudget_RelievedBesidePipelines(t *testing.T) {
	is := is.New(t)
	s := startServer(t, respondBody, withBudget(t, 32<<20), func(o *Options) {
		o.MaxPipelined = 1
		o.BodyTimeout = time.Hour // stalled requests don't end by themselves
	})
	for range 40 { // more than there is room for
		go fmt.Fprintf(dial(t, s), "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000\r\n\r\n%s", strings.Repeat("x", 1<<20))
	}
	eventually(t, "the budget is used up", func() bool { return s.budget.room(smallBytes+1) <= 0 })
	requests := strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 1000)
	for range 4 {
		c := dial(t, s)
		go func() {
			for {
				if _, err := io.WriteString(c, requests); err != nil {
					return
				}
			}
		}()
		go func() { _, _ = io.Copy(io.Discard, c) }()
	}
	const bodyBytes = 4 << 20
	served := make(chan int, 1)
	c, err := net.Dial("tcp", s.Addr())
	is.NoErr(err)
	defer c.Close()
	go fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("y", bodyBytes))
	go func() {
		if res, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			served <- res.StatusCode
		}
	}()
	eventually(t, "the large request is served", func() bool { return len(served) > 0 })
	is.Equal(<-served, 200)
}

// Guards against a stream to a caller that knows no chunks being announced with the length of its first
// part, and against the caller waiting for the end of the connection, which ends the response.
func TestHTTP10_StreamEndsWithConnection(t *testing.T) {
	for _, header := range []string{"X: y", "Connection: keep-alive"} {
		t.Run(header, func(t *testing.T) {
			is := is.New(t)
			s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
				for range 3 {
					_, _ = io.WriteString(w, "hello")
					w.(http.Flusher).Flush()
				}
			})
			c := dial(t, s)
			state := onlyConn(t, s)
			request := fmt.Sprintf("GET / HTTP/1.0\r\n%s\r\n\r\n", header)
			fmt.Fprint(c, request+request) // the second one is not run
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.Equal(res.ContentLength, int64(-1))
			is.Equal(len(res.TransferEncoding), 0)
			body, err := io.ReadAll(res.Body)
			is.NoErr(err)
			is.Equal(string(body), "hellohellohello")
			state.mu.Lock()
			defer state.mu.Unlock()
			is.True(state.endsResponse) // closed for it, not for the end of the grace time
		})
	}
}

// Guards against a response with a length losing it for a caller of HTTP/1.0.
func TestHTTP10_ResponseWithLength(t *testing.T) {
	is := is.New(t)
	s := startServer(t, respondBody)
	c := dial(t, s)
	r := bufio.NewReader(c)
	for range 2 { // the connection is kept
		fmt.Fprint(c, "POST / HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nhi")
		res, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		is.Equal(res.ContentLength, int64(2))
		body, err := io.ReadAll(res.Body)
		is.NoErr(err)
		is.Equal(string(body), "hi")
	}
}

// Guards against a response that was broken off looking complete to a caller that knows no chunks: without a
// length, it ends with the connection.
func TestAbort_ResponseThatEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	read := make(chan struct{})
	s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "a part")
		w.(http.Flusher).Flush()
		<-read
		w.(ConnectionCloser).Abort()
	})
	c := dial(t, s)
	fmt.Fprint(c, "GET / HTTP/1.0\r\n\r\n")
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	part := make([]byte, len("a part"))
	_, err = io.ReadFull(res.Body, part)
	is.NoErr(err)
	close(read)
	_, err = io.ReadAll(res.Body)
	is.True(err != nil)
}
