package upclient

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"gentiankeel/internal/httpresponse"
)

const invalidHead = "HTTP/1.1 200 OK\r\nX Field: value\r\nContent-Length: 5\r\n\r\nwhole"

func TestDo_InvalidResponse(t *testing.T) {
	is := is.New(t)
	addr, conns := startServer(t, func(n int, c net.Conn, br *bufio.Reader) {
		for {
			r, body, ok := readRequest(br)
			if !ok {
				return
			}
			if n == 1 {
				_, _ = io.WriteString(c, invalidHead)
			} else {
				writeResponse(c, r.Header.Get("X-Id"), string(body))
			}
		}
	})
	p := New(matchByID())
	_, f := p.Do(context.Background(), newCall(addr, "a", "x"))
	is.True(errors.Is(f, httpresponse.ErrInvalid))
	is.Equal(f.Unsent, false)
	res, f := p.Do(context.Background(), newCall(addr, "b", "body b"))
	is.True(f == nil)
	is.Equal(readBody(t, res), "body b")
	is.Equal(conns.Load(), int32(2))
}

// Guards against the loss of a response for the sake of what follows it.
func TestDo_InvalidBytesAfterResponse(t *testing.T) {
	for name, extra := range map[string]string{"line": "garbage\r\n", "line feed": "\n", "bytes": "\x00\x01", "response": invalidHead} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, conns := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
				for {
					r, body, ok := readRequest(br)
					if !ok {
						return
					}
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s%s", r.Header.Get("X-Id"), len(body), body, extra)
				}
			})
			p := New(matchByID())
			for _, id := range []string{"a", "b", "c"} {
				res, f := p.Do(context.Background(), newCall(addr, id, "body "+id))
				is.True(f == nil)
				is.Equal(readBody(t, res), "body "+id)
			}
			is.Equal(conns.Load(), int32(3))
		})
	}
}

func TestDo_InvalidTrailer(t *testing.T) {
	is := is.New(t)
	addr, _ := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		r, _, ok := readRequest(br)
		if ok {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX Sum: 1\r\n\r\n", r.Header.Get("X-Id"))
			_, _, _ = readRequest(br) // until the client closes
		}
	})
	res, f := New(matchByID()).Do(context.Background(), newCall(addr, "a", "x"))
	is.True(f == nil)
	body, err := io.ReadAll(res.Body)
	is.Equal(string(body), "whole")
	is.True(errors.Is(err, httpresponse.ErrInvalid))
}

// Guards against a call to a process that is believed to be the one asked for, though its answer was invalid.
func TestDo_InvalidIdentity(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int32
	addr, _ := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for {
			r, body, ok := readRequest(br)
			if !ok {
				return
			}
			if r.URL.Path == "/born" {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length : 1\r\nContent-Length: 2\r\n\r\n12")
				continue
			}
			calls.Add(1)
			writeResponse(c, r.Header.Get("X-Id"), string(body))
		}
	})
	_, f := callProcess(New(Options{}), addr, 12)
	is.True(errors.Is(f, httpresponse.ErrInvalid))
	is.True(f.Unsent)
	is.Equal(calls.Load(), int32(0))
}

func TestDo_HeadAndGetOnOneConnection(t *testing.T) {
	is := is.New(t)
	addr, conns := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for {
			r, _, ok := readRequest(br)
			if !ok {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 5\r\n\r\n", r.Header.Get("X-Id"))
			if r.Method != http.MethodHead {
				_, _ = io.WriteString(c, "whole")
			}
		}
	})
	p := New(matchByID())
	for i, method := range []string{http.MethodHead, http.MethodGet, http.MethodHead, http.MethodHead, http.MethodGet} {
		call := newCall(addr, fmt.Sprint(i), "")
		call.Request.Method = method
		res, f := p.Do(context.Background(), call)
		is.True(f == nil)
		want := "whole"
		if method == http.MethodHead {
			want = ""
		}
		is.Equal(readBody(t, res), want)
	}
	is.Equal(conns.Load(), int32(1))
}
