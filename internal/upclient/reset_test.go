package upclient

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startResettingServer starts a server that answers each request as soon as it has its header, with a part of a
// response that ends with its connection, and resets the connection after a pause.
func startResettingServer(t *testing.T, pause func() time.Duration) (addr string) {
	addr, _ = startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(c, unframedHead+"a part")
		time.Sleep(pause())
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	return addr
}

// Guards against a reset that the kernel reports to the write of the body alone: a later read sees an end.
func TestDo_ResetReportedToTheWriteOfTheBody(t *testing.T) {
	is := is.New(t)
	addr := startResettingServer(t, func() time.Duration { return 50 * time.Millisecond })
	call := newCall(addr, "a", "")
	call.Body = bytes.Repeat([]byte("x"), 32<<20) // more than the kernel's buffers
	res, f := New(matchByID()).Do(context.Background(), call)
	is.True(f == nil)
	defer res.Body.Close()
	time.Sleep(200 * time.Millisecond) // a slow reader
	got, err := io.ReadAll(res.Body)
	is.Equal(string(got), "a part")
	is.True(err != nil)
}

// Guards against a response that only its connection delimits looking complete after a reset, whatever of the
// request's body is on its way.
func TestRandomResets_BodyOnItsWay(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	pauses := make(chan time.Duration, 1)
	addr := startResettingServer(t, func() time.Duration { return <-pauses })
	p := New(matchByID())
	shortPause := func() time.Duration { return time.Duration(rng.IntN(3)*rng.IntN(1500)) * time.Microsecond }
	for _, size := range []int{6 << 10, 64 << 10, 512 << 10, 4 << 20} {
		complete, broken := 0, 0
		for range 300 {
			call := newCall(addr, "a", "")
			call.Body = bytes.Repeat([]byte("x"), size)
			pauses <- shortPause()
			res, f := p.Do(context.Background(), call)
			if f != nil {
				continue
			}
			time.Sleep(shortPause())
			if _, err := io.ReadAll(res.Body); err == nil {
				complete++
			} else {
				broken++
			}
			res.Body.Close()
		}
		if complete > 0 || broken == 0 {
			t.Errorf("%d bytes of body: %d responses were complete, %d broken off", size, complete, broken)
		}
	}
}

// An upstream may end its response without reading the request's body.
func TestDo_WholeResponseWhileTheBodyIsSent(t *testing.T) {
	for range 20 {
		is := is.New(t)
		addr, _ := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			_, _ = io.WriteString(c, unframedHead+"all of it")
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(time.Millisecond)
			// The close resets the connection, since some of the body was not read.
		})
		call := newCall(addr, "a", "")
		call.Body = bytes.Repeat([]byte("x"), 32<<20)
		res, f := New(matchByID()).Do(context.Background(), call)
		is.True(f == nil)
		time.Sleep(5 * time.Millisecond)
		is.Equal(readBody(t, res), "all of it")
	}
}
