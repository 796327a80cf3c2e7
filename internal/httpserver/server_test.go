package httpserver

import (
	"bufio"
	"context"
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

	"gentiankeel/internal/errkind"
)

// eventually polls until the condition holds and fails the test after 20 s.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within 20 s: %s", what)
}

func testRefusal(kind errkind.Kind, _ string) Refusal {
	return Refusal{errkind.ResponseOf(kind).Status, http.Header{"X-Kind": {string(kind)}}, []byte(kind)}
}

func startServer(t *testing.T, h http.HandlerFunc, options ...func(*Options)) *Server {
	is := is.New(t)
	opts := Options{Listen: "127.0.0.1:0", Handler: h, Refuse: testRefusal}
	for _, f := range options {
		f(&opts)
	}
	s, err := New(opts)
	is.NoErr(err)
	is.NoErr(s.Start())
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		is.NoErr(s.Shutdown(ctx))
		is.Equal(s.InFlight(), 0)
		// Guards against bytes that stay charged after their connection has ended: the budget would run out.
		eventually(t, "all bytes are given back", func() bool { return s.budget.Used() == 0 && s.openConns.Load() == 0 && s.unsentConns.Load() == 0 })
	})
	return s
}

func dial(t *testing.T, s *Server) net.Conn {
	c, err := net.Dial("tcp", s.Addr())
	is.New(t).NoErr(err)
	t.Cleanup(func() { c.Close() })
	return c
}

func respondOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// respondAfter responds after d, unless the connection ends before.
func respondAfter(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
			respondOK(w, r)
		case <-r.Context().Done():
		}
	}
}

func readResponse(t *testing.T, r *bufio.Reader) (int, string) {
	t.Helper()
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, string(body)
}

func TestStream_ChunkFlushedWhileHandlerRuns(t *testing.T) {
	is := is.New(t)
	next := make(chan struct{})
	s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Transfer-Encoding", "chunked")
		_, _ = io.WriteString(w, "first")
		w.(http.Flusher).Flush()
		<-next
		_, _ = io.WriteString(w, "second")
	})
	res, err := http.Get("http://" + s.Addr())
	is.NoErr(err)
	buf := make([]byte, 5)
	_, err = io.ReadFull(res.Body, buf)
	is.NoErr(err)
	is.Equal(string(buf), "first")
	close(next)
	rest, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.Equal(string(rest), "second")
}

func TestCaller_DisconnectsDuringRequest(t *testing.T) {
	entered, ended := make(chan struct{}), make(chan struct{})
	s := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(entered)
		<-r.Context().Done()
		close(ended)
	})
	c := dial(t, s)
	fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	<-entered
	c.Close()
	<-ended
	eventually(t, "the connection's state is released", func() bool {
		n := 0
		s.conns.Range(func(any, any) bool { n++; return true })
		return n == 0
	})
}

func TestStream_LongerThanIdleTimeout(t *testing.T) {
	is := is.New(t)
	s := startServer(t, respondAfter(150*time.Millisecond), func(o *Options) { o.IdleTimeout = 50 * time.Millisecond })
	res, err := http.Get("http://" + s.Addr())
	is.NoErr(err)
	defer res.Body.Close()
	is.Equal(res.StatusCode, 200)
}

// setLibraryDeadline sets the deadline that the library sets for a new connection. It does
// so after it has handed the connection to a poller: the first request may already run then.
func setLibraryDeadline(t *testing.T, s *Server) {
	t.Helper()
	s.conns.Range(func(nc, _ any) bool {
		is.New(t).NoErr(nc.(*nbio.Conn).SetReadDeadline(time.Now().Add(s.engine.KeepaliveTime)))
		return true
	})
}

func TestStream_LibraryDeadlineSetAfterItsStart(t *testing.T) {
	is := is.New(t)
	var s *Server
	s = startServer(t, func(w http.ResponseWriter, r *http.Request) {
		setLibraryDeadline(t, s)
		respondAfter(150*time.Millisecond)(w, r)
	}, func(o *Options) { o.IdleTimeout = 50 * time.Millisecond })
	c := dial(t, s)
	fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	status, _ := readResponse(t, bufio.NewReader(c))
	is.Equal(status, 200)
}

func TestRefusal_LibraryDeadlineSetAfterIt(t *testing.T) {
	is := is.New(t)
	s := startServer(t, respondOK)
	c := dial(t, s)
	fmt.Fprintf(c, "GET  / HTTP/1.1\r\nHost: x\r\n\r\n")
	r := bufio.NewReader(c)
	status, _ := readResponse(t, r)
	is.Equal(status, 400)
	setLibraryDeadline(t, s)
	is.NoErr(c.SetReadDeadline(time.Now().Add(refusalLinger + 10*time.Second)))
	_, err := r.ReadByte()
	is.Equal(err, io.EOF) // closed by the server
}

func TestConnection_IdleTimeout(t *testing.T) {
	s := startServer(t, respondOK, func(o *Options) { o.IdleTimeout = 20 * time.Millisecond })
	c := dial(t, s)
	_, err := c.Read(make([]byte, 1))
	is.New(t).Equal(err, io.EOF)
}

func TestConnection_IdleAfterResponse(t *testing.T) {
	is := is.New(t)
	s := startServer(t, respondOK, func(o *Options) { o.IdleTimeout = 100 * time.Millisecond })
	c := dial(t, s)
	r := bufio.NewReader(c)
	for range 2 {
		fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		status, _ := readResponse(t, r)
		is.Equal(status, 200)
	}
	is.NoErr(c.SetReadDeadline(time.Now().Add(10 * time.Second)))
	_, err := r.ReadByte()
	is.Equal(err, io.EOF) // closed by the server
}

func TestBody_TooLarge(t *testing.T) {
	is := is.New(t)
	s := startServer(t, respondOK, func(o *Options) { o.MaxBodyBytes, o.MaxHeaderBytes = 1000, 1000 })
	for _, head := range []string{"Content-Length: 9000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n2000\r\n"} {
		c := dial(t, s)
		go fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\n%s%s", head, strings.Repeat("x", 9000))
		status, body := readResponse(t, bufio.NewReader(c))
		is.Equal(status, 413)
		is.Equal(body, string(errkind.TooLarge))
	}
}

func TestHeaders_TotalTooLarge(t *testing.T) {
	is := is.New(t)
	s := startServer(t, respondOK, func(o *Options) { o.MaxBodyBytes, o.MaxHeaderBytes = 1000, 1000 })
	c := dial(t, s)
	go func() {
		fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: x\r\n")
		for i := range 1000 { // the header is never completed
			fmt.Fprintf(c, "X-%d: %s\r\n", i, strings.Repeat("v", 50))
		}
	}()
	status, _ := readResponse(t, bufio.NewReader(c))
	is.Equal(status, 413)
	one := dial(t, s)
	fmt.Fprintf(one, "GET / HTTP/1.1\r\nHost: x\r\nX: %s\r\n\r\n", strings.Repeat("v", 1500))
	status, _ = readResponse(t, bufio.NewReader(one))
	is.Equal(status, 413)
}

func TestBody_TooSlow(t *testing.T) {
	is := is.New(t)
	s := startServer(t, respondOK, func(o *Options) { o.BodyTimeout = 20 * time.Millisecond })
	c := dial(t, s)
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
	status, body := readResponse(t, bufio.NewReader(c))
	is.Equal(status, 408)
	is.Equal(body, string(errkind.SlowBody))
}

func TestRequest_Malformed(t *testing.T) {
	c := dial(t, startServer(t, respondOK))
	fmt.Fprintf(c, "this is not http\r\n\r\n")
	status, _ := readResponse(t, bufio.NewReader(c))
	is.New(t).Equal(status, 400)
}

func TestOverload_MaxInFlightReached(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		respondOK(w, r)
	}, func(o *Options) { o.MaxInFlight = 2 })
	for range 2 {
		fmt.Fprintf(dial(t, s), "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	}
	eventually(t, "two requests are running", func() bool { return s.InFlight() == 2 })
	res, err := http.Get("http://" + s.Addr())
	is.NoErr(err)
	res.Body.Close()
	is.Equal(res.StatusCode, 503)
	close(release)
}

func TestPipelined_ResponsesInOrder(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	c := dial(t, s)
	for i := range 5 {
		fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: x\r\n\r\n", i)
	}
	r := bufio.NewReader(c)
	for i := range 5 {
		_, body := readResponse(t, r)
		is.Equal(body, fmt.Sprintf("/%d", i))
	}
}

func TestHandler_PanicClosesOneConnection(t *testing.T) {
	is := is.New(t)
	var n atomic.Int32
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if n.Add(1) == 1 {
			panic("a bug")
		}
		respondOK(w, r)
	})
	c := dial(t, s)
	fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	_, err := c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	res, err := http.Get("http://" + s.Addr())
	is.NoErr(err)
	res.Body.Close()
	is.Equal(res.StatusCode, 200)
}

func TestShutdown_RequestRunning(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		respondOK(w, r)
	})
	c := dial(t, s)
	fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	eventually(t, "the request is running", func() bool { return s.InFlight() == 1 })
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	close(release)
	status, body := readResponse(t, bufio.NewReader(c))
	is.Equal(status, 200)
	is.Equal(body, "ok")
	is.NoErr(<-stopped)
}

func TestResponse_LargeWithConnectionCloseAndSlowReader(t *testing.T) {
	big := strings.Repeat("0123456789abcdef", 6<<16)
	for name, length := range map[string]string{"chunked": "", "with length": strconv.Itoa(len(big))} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				_, _ = io.WriteString(w, big)
			})
			for range 5 {
				c := dial(t, s)
				fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
				eventually(t, "the handler has returned", func() bool { return s.busyConns.Load() == 0 })
				status, body := readResponse(t, bufio.NewReader(c))
				is.Equal(status, 200)
				is.True(body == big)
			}
		})
	}
}

func TestCaller_ReadsNothing(t *testing.T) {
	ended := make(chan struct{})
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Transfer-Encoding", "chunked")
		block := strings.Repeat("x", 60<<10)
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, block)
			w.(http.Flusher).Flush()
		}
		close(ended)
	}, func(o *Options) { o.MaxWriteBuffer = 1 << 20 })
	fmt.Fprintf(dial(t, s), "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	<-ended
}

func TestPipelined_LongRequestAfterShortOne(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			respondAfter(150*time.Millisecond)(w, r)
			return
		}
		respondOK(w, r)
	}, func(o *Options) { o.IdleTimeout = 50 * time.Millisecond })
	c := dial(t, s)
	fmt.Fprintf(c, "GET /short HTTP/1.1\r\nHost: x\r\n\r\nGET /long HTTP/1.1\r\nHost: x\r\n\r\n")
	r := bufio.NewReader(c)
	for range 2 {
		status, _ := readResponse(t, r)
		is.Equal(status, 200)
	}
}

func TestPipelined_SlowBodyBehindRunningRequest(t *testing.T) {
	is := is.New(t)
	s := startServer(t, respondAfter(100*time.Millisecond), func(o *Options) { o.BodyTimeout = 10 * time.Millisecond })
	c := dial(t, s)
	fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	eventually(t, "the request is running", func() bool { return s.InFlight() == 1 })
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf")
	r := bufio.NewReader(c)
	status, _ := readResponse(t, r)
	is.Equal(status, 200)
	status, _ = readResponse(t, r)
	is.Equal(status, 408)
}

func TestRequest_LeadingEmptyLines(t *testing.T) {
	is := is.New(t)
	c := dial(t, startServer(t, respondOK))
	r := bufio.NewReader(c)
	for range 2 {
		fmt.Fprintf(c, "\r\n\r\nPOST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
		status, _ := readResponse(t, r)
		is.Equal(status, 200)
	}
}

func TestRequest_GarbageAfterRunningRequest(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		respondOK(w, r)
	})
	c := dial(t, s)
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx\r\n")
	eventually(t, "the request is running", func() bool { return s.InFlight() == 1 })
	fmt.Fprintf(c, "garbage\r\n")
	close(release)
	status, body := readResponse(t, bufio.NewReader(c))
	is.Equal(status, 200)
	is.Equal(body, "ok")
}

// Guards against bytes of a pipelined request being dropped: the middle of a request that began in the same
// read as the end of another one was taken for its beginning, where empty lines are skipped.
func TestPipelined_NextReadBeginsWithLineBreak(t *testing.T) {
	const request = "PUT /%s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s"
	second := fmt.Sprintf(request, "b", 9, "two\n\r\nend")
	is := is.New(t)
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		is.NoErr(err)
		_, _ = w.Write(append([]byte(r.URL.Path+" "), body...))
	})
	for split := range len(second) {
		c := dial(t, s)
		r := bufio.NewReader(c)
		fmt.Fprintf(c, request+"%s", "a", 4, "one\n", second[:split])
		_, body := readResponse(t, r)
		is.Equal(body, "/a one\n")
		fmt.Fprint(c, second[split:]+fmt.Sprintf(request, "c", 5, "three"))
		_, body = readResponse(t, r)
		is.Equal(body, "/b two\n\r\nend")
		_, body = readResponse(t, r)
		is.Equal(body, "/c three")
	}
}

// Guards against a request that is never completed holding its connection, if it began in the same read as the
// end of another one.
func TestPipelined_BeginningOfSlowRequest(t *testing.T) {
	is := is.New(t)
	s := startServer(t, respondOK, func(o *Options) { o.BodyTimeout = 50 * time.Millisecond })
	c := dial(t, s)
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\nPOST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf")
	r := bufio.NewReader(c)
	status, _ := readResponse(t, r)
	is.Equal(status, 200)
	status, _ = readResponse(t, r)
	is.Equal(status, 408)
}

// Guards against a failure with a status that no registry lists reaching the caller as 200.
func TestResponse_StatusWithoutRegisteredText(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		status, err := strconv.Atoi(r.URL.Path[1:])
		is.NoErr(err)
		w.Header().Set("Signed", "u1")
		body := "failed with " + r.URL.Path[1:]
		if r.URL.RawQuery != "chunked" {
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	})
	c := dial(t, s)
	r := bufio.NewReader(c)
	for _, target := range []string{"529", "200", "499", "520?chunked", "299", "599", "503", "600"} { // all on one connection
		fmt.Fprintf(c, "GET /%s HTTP/1.1\r\nHost: x\r\n\r\n", target)
		status, body := readResponse(t, r)
		want, _, _ := strings.Cut(target, "?")
		is.Equal(fmt.Sprint(status), want)
		is.Equal(body, "failed with "+want)
	}
	fmt.Fprintf(c, "GET /529 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	res, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	is.True(res.Close)
	is.Equal(res.Header.Get("Signed"), "u1")
	is.True(res.Header.Get("Date") != "")
}

// Guards against the body of an answer to HEAD standing where the next answer is due.
func TestResponse_HeadHasNoBody(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/length":
			w.Header().Set("Content-Length", "9")
			w.WriteHeader(http.StatusNotFound)
			_, _ = io.WriteString(w, "not_found")
		case "/chunks":
			_, _ = io.WriteString(w, "two ")
			w.(http.Flusher).Flush()
			_, _ = io.WriteString(w, "chunks")
		case "/unregistered":
			w.WriteHeader(529)
			_, _ = io.WriteString(w, "failed")
		}
	})
	c := dial(t, s)
	r := bufio.NewReader(c)
	for path, want := range map[string]int{"/length": 404, "/chunks": 200, "/unregistered": 529, "/nothing": 200} {
		for _, method := range []string{http.MethodHead, http.MethodGet, http.MethodHead} {
			fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: x\r\n\r\n", method, path)
			res, err := http.ReadResponse(r, &http.Request{Method: method})
			is.NoErr(err)
			is.Equal(res.StatusCode, want)
			_, err = io.Copy(io.Discard, res.Body)
			is.NoErr(err)
		}
	}
	is.Equal(r.Buffered(), 0)
	s.opts.MaxInFlight = 0 // refused before the handler runs
	fmt.Fprintf(c, "HEAD /x HTTP/1.1\r\nHost: x\r\n\r\nGET /x HTTP/1.1\r\nHost: x\r\n\r\n")
	for _, method := range []string{http.MethodHead, http.MethodGet} {
		res, err := http.ReadResponse(r, &http.Request{Method: method})
		is.NoErr(err)
		is.Equal(res.StatusCode, 503)
		_, err = io.Copy(io.Discard, res.Body)
		is.NoErr(err)
	}
}

// Guards against a response that looks whole although its handler panicked.
func TestHandler_PanicEndsResponseWithoutLength(t *testing.T) {
	for _, request := range []string{"HEAD /", "GET /"} {
		t.Run(request, func(t *testing.T) {
			is := is.New(t)
			s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					w.WriteHeader(529)
					_, _ = io.WriteString(w, "half")
				}
				panic("broken")
			})
			c := dial(t, s)
			fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: x\r\n\r\n", request)
			all, _ := io.ReadAll(c) // the connection is closed, or reset
			is.True(!strings.Contains(string(all), "200 OK"))
			is.True(!strings.Contains(string(all), "0\r\n\r\n"))
		})
	}
}
