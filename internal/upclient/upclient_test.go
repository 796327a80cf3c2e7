package upclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startServer starts a server that calls script with each connection and its number, from
// 1, and returns the count of connections.
func startServer(t *testing.T, script func(n int, c net.Conn, br *bufio.Reader)) (addr string, conns *atomic.Int32) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	conns = &atomic.Int32{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n := int(conns.Add(1))
			go func() {
				defer c.Close()
				script(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String(), conns
}

// readRequest reads a request with its body; false if the connection ended.
func readRequest(br *bufio.Reader) (*http.Request, []byte, bool) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil, nil, false
	}
	body, err := io.ReadAll(r.Body)
	return r, body, err == nil
}

func writeResponse(c net.Conn, id, body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

func newCall(addr, id, body string) *Call {
	return &Call{Address: addr, Body: []byte(body), Request: &http.Request{
		Method: http.MethodPost, URL: &url.URL{Path: "/x"}, Host: "h.example", Header: http.Header{"X-Id": {id}}}}
}

func matchByID() Options {
	return Options{IsResponseTo: func(req *http.Request, res *http.Response, isFirst bool) bool {
		got := res.Header.Get("X-Id")
		return got == "" && isFirst || got == req.Header.Get("X-Id")
	}}
}

func readBody(t *testing.T, res *http.Response) string {
	t.Helper()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	return string(b)
}

func TestDo_ConnectionReused(t *testing.T) {
	is := is.New(t)
	addr, conns := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for {
			r, body, ok := readRequest(br)
			if !ok {
				return
			}
			writeResponse(c, r.Header.Get("X-Id"), string(body))
		}
	})
	p := New(matchByID())
	for _, id := range []string{"a", "b", "c"} {
		res, f := p.Do(context.Background(), newCall(addr, id, "body "+id))
		is.True(f == nil)
		is.Equal(readBody(t, res), "body "+id)
	}
	is.Equal(conns.Load(), int32(1))
}

// An upstream writes an earlier refusal once more, after it has received the next request.
func TestDo_EarlierRefusalRepeated(t *testing.T) {
	for name, repeated := range map[string]string{"without id": "", "with the id of another request": "X-Id: a\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, conns := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
				for n := 0; ; n++ {
					r, body, ok := readRequest(br)
					if !ok {
						return
					}
					if n > 0 {
						_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\n"+repeated+"Content-Length: 2\r\n\r\nno")
					}
					writeResponse(c, r.Header.Get("X-Id"), string(body))
				}
			})
			p := New(matchByID())
			for _, id := range []string{"a", "b"} {
				res, f := p.Do(context.Background(), newCall(addr, id, "body "+id))
				is.True(f == nil)
				is.Equal(res.StatusCode, 200)
				is.Equal(readBody(t, res), "body "+id)
			}
			is.Equal(conns.Load(), int32(1))
		})
	}
}

// The repeated refusal bears the id of the next attempt as well, if that is of the same request.
func TestDo_NextAttemptOnAnotherConnection(t *testing.T) {
	is := is.New(t)
	addr, conns := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for {
			r, body, ok := readRequest(br)
			if !ok {
				return
			}
			writeResponse(c, r.Header.Get("X-Id"), string(body))
		}
	})
	p := New(matchByID())
	for i, id := range []string{"a", "a", "b", "c", "a"} {
		call := newCall(addr, id, "x")
		call.ID = id
		res, f := p.Do(context.Background(), call)
		is.True(f == nil)
		is.Equal(readBody(t, res), "x")
		is.Equal(conns.Load(), []int32{1, 2, 2, 2, 3}[i])
	}
	for i := range 2 * maxKeptIDs {
		call := newCall(addr, strconv.Itoa(i), "x")
		call.ID = strconv.Itoa(i)
		res, f := p.Do(context.Background(), call)
		is.True(f == nil)
		is.Equal(readBody(t, res), "x")
	}
	is.Equal(conns.Load(), int32(3))
	is.True(len(p.idle[addr][2].ids) <= maxKeptIDs)
}

func TestDo_ResponseLost(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int32
	addr, _ := startServer(t, func(_ int, _ net.Conn, br *bufio.Reader) {
		if _, _, ok := readRequest(br); ok {
			requests.Add(1) // the connection closes without a response
		}
	})
	_, f := New(matchByID()).Do(context.Background(), newCall(addr, "a", "x"))
	is.True(f != nil)
	is.True(!f.Unsent) // the request may have run
	is.Equal(requests.Load(), int32(1))
}

func TestDo_ConnectionRefused(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	ln.Close()
	_, f := New(matchByID()).Do(context.Background(), newCall(addr, "a", "x"))
	is.True(f != nil)
	is.True(f.Unsent)
}

func TestDo_ConnectionClosedWhileIdle(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	addr, conns := startServer(t, func(n int, c net.Conn, br *bufio.Reader) {
		for {
			r, _, ok := readRequest(br)
			if !ok {
				return
			}
			writeResponse(c, r.Header.Get("X-Id"), "ok")
			if n == 1 {
				c.Close()
				close(closed)
				return
			}
		}
	})
	p := New(matchByID())
	res, f := p.Do(context.Background(), newCall(addr, "a", "x"))
	is.True(f == nil)
	is.Equal(readBody(t, res), "ok")
	<-closed
	time.Sleep(10 * time.Millisecond) // until the close has arrived
	res, f = p.Do(context.Background(), newCall(addr, "b", "x"))
	is.True(f == nil)
	is.Equal(readBody(t, res), "ok")
	is.Equal(conns.Load(), int32(2))
}

func TestDo_ResponseOfAnotherRequestFirst(t *testing.T) {
	is := is.New(t)
	addr, conns := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for {
			r, _, ok := readRequest(br)
			if !ok {
				return
			}
			writeResponse(c, "stranger", "not yours")
			writeResponse(c, r.Header.Get("X-Id"), "yours")
		}
	})
	p := New(matchByID())
	for _, id := range []string{"a", "b"} {
		res, f := p.Do(context.Background(), newCall(addr, id, "x"))
		is.True(f == nil)
		is.Equal(readBody(t, res), "yours")
	}
	is.Equal(conns.Load(), int32(2)) // a connection with a mismatched response is not reused
}

func TestDo_LeftoverBytes(t *testing.T) {
	is := is.New(t)
	addr, conns := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		r, _, ok := readRequest(br)
		if !ok {
			return
		}
		writeResponse(c, r.Header.Get("X-Id"), "ok")
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
		_, _, _ = readRequest(br)
	})
	p := New(matchByID())
	for _, id := range []string{"a", "b"} {
		res, f := p.Do(context.Background(), newCall(addr, id, "x"))
		is.True(f == nil)
		is.Equal(readBody(t, res), "ok")
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(conns.Load(), int32(2))
}

func TestDo_TruncatedResponse(t *testing.T) {
	for name, response := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 10\r\n\r\nhalf",
		"chunks": "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, _ := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
				if _, _, ok := readRequest(br); ok {
					_, _ = io.WriteString(c, response)
				}
			})
			res, f := New(matchByID()).Do(context.Background(), newCall(addr, "a", "x"))
			is.True(f == nil)
			_, err := io.ReadAll(res.Body)
			is.True(err != nil)
		})
	}
}

func TestDo_UnframedResponseClosedOrReset(t *testing.T) {
	for _, reset := range []bool{false, true} {
		is := is.New(t)
		addr, _ := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
			if _, _, ok := readRequest(br); !ok {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nall of it")
			if reset {
				time.Sleep(10 * time.Millisecond) // until the bytes are sent
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		res, f := New(matchByID()).Do(context.Background(), newCall(addr, "a", "x"))
		is.True(f == nil)
		b, err := io.ReadAll(res.Body)
		is.Equal(err != nil, reset)
		if !reset {
			is.Equal(string(b), "all of it")
		}
	}
}

func TestDo_ResponseBeforeLongBodyRead(t *testing.T) {
	is := is.New(t)
	addr, conns := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		writeResponse(c, r.Header.Get("X-Id"), "no")
		time.Sleep(50 * time.Millisecond)
		_, _ = io.Copy(io.Discard, r.Body)
	})
	p := New(matchByID())
	long := strings.Repeat("x", 8<<20)
	for _, id := range []string{"a", "b"} {
		res, f := p.Do(context.Background(), newCall(addr, id, long))
		is.True(f == nil)
		is.Equal(readBody(t, res), "no")
	}
	is.Equal(conns.Load(), int32(2))
}

func TestDo_ContextCancelled(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	addr, _ := startServer(t, func(_ int, _ net.Conn, br *bufio.Reader) {
		if _, _, ok := readRequest(br); ok {
			_, _ = br.ReadByte() // returns when the client closes the connection
			close(closed)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, f := New(matchByID()).Do(ctx, newCall(addr, "a", "x"))
	is.True(f != nil)
	<-closed
}

func TestKeepAlive_ServerTimeout(t *testing.T) {
	is := is.New(t)
	is.Equal(keepAliveTimeout(http.Header{"Keep-Alive": {"timeout=5, max=100"}}), 5*time.Second)
	is.Equal(keepAliveTimeout(http.Header{}), time.Duration(0))
	c := &conn{serverIdleTimeout: time.Second}
	is.Equal(c.maxIdleTime(time.Minute), 500*time.Millisecond)
}

// An upstream may send a head, or responses to other requests, without end.
func TestDo_EndlessHead(t *testing.T) {
	for name, c := range map[string]struct{ start, repeated string }{
		"status line":   {"HTTP/1.1 200 ", "O"},
		"header line":   {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"header fields": {"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
		"informational": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"other bodies":  {"", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nno"},
		"other body":    {"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nelse\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan struct{})
			addr, _ := startServer(t, func(_ int, conn net.Conn, br *bufio.Reader) {
				defer close(closed)
				if _, _, ok := readRequest(br); !ok {
					return
				}
				_, err := io.WriteString(conn, c.start)
				for err == nil {
					_, err = io.WriteString(conn, strings.Repeat(c.repeated, 1000))
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, f := New(matchByID()).Do(ctx, newCall(addr, "a", "x"))
			is.True(f != nil)
			is.True(!f.Unsent)
			<-closed
			is.NoErr(ctx.Err())
		})
	}
}

// An upstream closes a connection just after the response, later, or not at all; only the first
// may be due to the request.
func TestOnClosed_JustAfterTheResponse(t *testing.T) {
	for name, c := range map[string]struct {
		closes bool
		idle   time.Duration
		want   bool
	}{"at once": {true, closeWindow, true}, "later": {true, 2 * closeWindow, false}, "not at all": {false, closeWindow, false}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			end := make(chan struct{})
			defer close(end)
			addr, _ := startServer(t, func(_ int, conn net.Conn, br *bufio.Reader) {
				if _, _, ok := readRequest(br); ok {
					writeResponse(conn, "a", "answer")
				}
				if !c.closes {
					<-end
				}
			})
			p := New(Options{})
			closed := 0
			call := newCall(addr, "a", "x")
			call.OnClosed = func() { closed++ }
			res, f := p.Do(context.Background(), call)
			is.True(f == nil)
			_, err := io.ReadAll(res.Body)
			is.NoErr(err)
			conn := p.idle[addr][0]
			for c.closes && conn.peek() != peekClosed {
				time.Sleep(time.Millisecond)
			}
			conn.idleSince = time.Now().Add(time.Minute)
			p.ReportClosed() // too early
			is.Equal(closed, 0)
			conn.idleSince = time.Now().Add(-c.idle)
			p.ReportClosed()
			p.ReportClosed()
			is.Equal(closed == 1, c.want)
			is.Equal(len(p.idle[addr]) == 0, c.closes)
		})
	}
}

// Connections to upstreams that are not called again were never closed: with more upstreams than the
// process may have descriptors, it ended.
func TestPool_UpstreamsCalledOnce(t *testing.T) {
	is := is.New(t)
	p := New(Options{MaxIdleTime: 30 * time.Millisecond, MaxIdle: 4})
	call := func(addr string) {
		res, f := p.Do(context.Background(), newCall(addr, "a", "x"))
		if f != nil {
			t.Fatal(f)
		}
		readBody(t, res)
	}
	start := func() string {
		addr, _ := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
			for {
				if _, _, ok := readRequest(br); !ok {
					return
				}
				writeResponse(c, "a", "x")
			}
		})
		return addr
	}
	for range 6 {
		call(start())
	}
	is.True(p.idleCount <= 4)
	time.Sleep(40 * time.Millisecond)
	call(start())
	is.Equal(p.idleCount, 1)
	is.Equal(len(p.idle), 1)
}
