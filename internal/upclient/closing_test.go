package upclient

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// answerThatCloses answers one request, to /born with tells and to others, of which it tells ran, with "served", and ends its
// connection.
func answerThatCloses(c net.Conn, br *bufio.Reader, tells string, ran func()) {
	req, _, ok := readRequest(br)
	if !ok {
		return
	}
	body := "served"
	if req.URL.Path == "/born" {
		body = tells
	} else {
		ran()
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Guards against calls that fail because the connection for the call blocks the question on the next one.
func TestIdentify_ClosesAndServesOneConnectionAtATime(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			answerThatCloses(c, bufio.NewReader(c), "7", func() {})
			c.Close()
		}
	}()
	began := time.Now()
	body, f := callProcess(New(Options{}), ln.Addr().String(), 7)
	t.Logf("after %v: %v", time.Since(began), f)
	is.True(f == nil)
	is.Equal(body, "served")
}

// Guards against calls that fail because an upstream serves as many connections as are open already.
func TestIdentify_ClosesAtItsLimitOfConnections(t *testing.T) {
	is := is.New(t)
	var open atomic.Int32
	addr, _ := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if open.Add(1) > 1 {
			open.Add(-1)
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		_, _ = br.Peek(1)
		open.Add(-1) // before the answer, after which the next connection may come at once
		answerThatCloses(c, br, "7", func() {})
	})
	body, f := callProcess(New(Options{}), addr, 7)
	t.Log(f)
	is.True(f == nil)
	is.Equal(body, "served")
}

// Guards against a call that counts as sent, and fails, because its connection ended while another one was asked: here an
// upstream closes the connection that waits longest for a request when one more comes.
func TestIdentify_ClosesConnectionThatWaits(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var waiting net.Conn
	addr, _ := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		mu.Lock()
		if waiting != nil {
			waiting.Close()
		}
		waiting = c
		mu.Unlock()
		if _, err := br.Peek(1); err != nil {
			return
		}
		mu.Lock()
		if waiting == c {
			waiting = nil
		}
		mu.Unlock()
		answerThatCloses(c, br, "7", func() {})
	})
	body, f := callProcess(New(Options{}), addr, 7)
	if f != nil {
		t.Logf("unsent: %v, %v", f.Unsent, f)
		is.True(f.Unsent) // nothing can have run
	}
	is.True(f == nil)
	is.Equal(body, "served")
}

// Guards against a process that gets the call for the one which told its start, because it doesn't tell its own.
func TestIdentify_ConnectionClosesAndNextProcessDoesNotTell(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var ran []int
	addr, _ := startServer(t, func(n int, c net.Conn, br *bufio.Reader) {
		tells := "not yet"
		if n == 1 {
			tells = "7"
		}
		answerThatCloses(c, br, tells, func() {
			mu.Lock()
			defer mu.Unlock()
			ran = append(ran, n)
		})
	})
	pool := New(Options{})
	call := newCall(addr, "", "")
	call.Request.URL.Path = "/x"
	born := call.Request.Clone(context.Background())
	born.URL.Path = "/born"
	var admitted []int64
	call.Identify = &Identify{Request: born, Parse: parseBorn, Admit: func(b int64) bool { // as the gateway does for a stream of process 7
		admitted = append(admitted, b)
		return b == 0 || b == 7
	}}
	res, f := pool.Do(context.Background(), call)
	if f == nil {
		_, _ = io.ReadAll(res.Body)
		res.Body.Close()
	}
	mu.Lock()
	defer mu.Unlock()
	t.Logf("admitted %v, ran on connections %v: %v", admitted, ran, f)
	is.Equal(len(ran), 0)
}

// The caller leaves, or its deadline passes, while the process is asked again.
func TestIdentify_CallerLeavesBeforeTheSecondAnswer(t *testing.T) {
	is := is.New(t)
	var open atomic.Int32
	addr, _ := startServer(t, func(n int, c net.Conn, br *bufio.Reader) {
		open.Add(1)
		defer open.Add(-1)
		if n == 1 {
			answerThatCloses(c, br, "7", func() {})
			return
		}
		_, _, _ = readRequest(br)
		_, _ = br.Peek(1)
	})
	ctx, cancel := context.WithTimeout(context.Background(), minAskAgainTimeout/2)
	defer cancel()
	call := newCall(addr, "", "")
	call.Identify = &Identify{Request: newCall(addr, "", "").Request, Parse: parseBorn, Admit: func(int64) bool { return true }}
	call.Identify.Request.URL.Path = "/born"
	began := time.Now()
	_, f := New(Options{}).Do(ctx, call)
	is.True(f != nil && f.Unsent)
	is.True(time.Since(began) < 300*time.Millisecond)
	for end := time.Now().Add(5 * time.Second); open.Load() > 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end))
	}
}
