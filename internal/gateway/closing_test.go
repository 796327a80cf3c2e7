package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/streamorigin"
	"gentiankeel/internal/wire"
)

// startClosingRunner starts a runner that closes each connection after one answer. answer is called for each request, with the number of
// its connection.
func startClosingRunner(t *testing.T, ln net.Listener, oneAtATime bool, answer func(n int, c net.Conn, r *http.Request)) *wire.UpstreamState {
	t.Helper()
	go func() {
		for n := 1; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			serve := func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				answer(n, c, r)
			}
			if oneAtATime {
				serve()
			} else {
				go serve()
			}
		}
	}()
	return readyRunner("u1", ln)
}

// beginOrTakeUp sends a request for a new stream, or for the rest of one of version v1.
func beginOrTakeUp(t *testing.T, s *Server, how string) *http.Response {
	t.Helper()
	if how == "begun" {
		res, _, err := get(t, s, "/engine/x", 2000)
		is.New(t).NoErr(err)
		return res
	}
	s.origins.memory.Put(0, streamorigin.KeyOf("q1"), "v1")
	res, _ := takeUp(t, s, "/engine/x", 2)
	return res
}

func tellBorn(c net.Conn, status int, born string) {
	fmt.Fprintf(c, "HTTP/1.1 %d x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", status, len(born), born)
}

func streamRest(c net.Conn, r *http.Request) {
	body := "id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"
	if r.Header.Get("After") == "" {
		body = firstPieces + body
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		r.Header.Get("Id"), len(body), body)
}

// Guards against streams that can't begin or be taken up at an upstream that serves one connection at a time and closes each.
func TestIdentify_RunnerServesOneConnectionAtATime(t *testing.T) {
	for _, how := range []string{"begun", "taken up"} {
		t.Run(how, func(t *testing.T) {
			is := is.New(t)
			one := startClosingRunner(t, listen(t), true, func(_ int, c net.Conn, r *http.Request) {
				if r.URL.Path == "/born" {
					tellBorn(c, http.StatusOK, "1")
					return
				}
				streamRest(c, r)
			})
			s := startEntry(t, one)
			began := time.Now()
			res := beginOrTakeUp(t, s, how)
			took := time.Since(began)
			t.Logf("status %d after %v", res.StatusCode, took)
			is.Equal(res.StatusCode, http.StatusOK)
			is.True(took < 300*time.Millisecond)
		})
	}
}

// Guards against streams that can't begin or be taken up at an upstream that takes one connection at a time, resets others, and
// closes each.
func TestIdentify_RunnerAtItsLimitOfConnections(t *testing.T) {
	for _, how := range []string{"begun", "taken up"} {
		t.Run(how, func(t *testing.T) {
			is := is.New(t)
			ln := listen(t)
			var open atomic.Int32
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					if open.Add(1) > 1 {
						open.Add(-1)
						_ = c.(*net.TCPConn).SetLinger(0)
						c.Close()
						continue
					}
					go func() {
						r, err := http.ReadRequest(bufio.NewReader(c))
						open.Add(-1)
						if err == nil && r.URL.Path == "/born" {
							tellBorn(c, http.StatusOK, "1")
						} else if err == nil {
							streamRest(c, r)
						}
						c.Close()
					}()
				}
			}()
			s := startEntry(t, readyRunner("u1", ln))
			res := beginOrTakeUp(t, s, how)
			is.Equal(res.StatusCode, http.StatusOK)
		})
	}
}

// Guards against the rest of a stream at the next process, which does not tell its start yet, when the one before has told its
// own and closed the connection.
func TestIdentify_NextProcessDoesNotTellAfterAnswerThatCloses(t *testing.T) {
	var ran atomic.Int32
	one := startClosingRunner(t, listen(t), false, func(n int, c net.Conn, r *http.Request) {
		switch {
		case r.URL.Path != "/born":
			ran.Store(int32(min(n, 2)))
			streamRest(c, r)
		case n == 1:
			tellBorn(c, http.StatusOK, "1")
		default: // the next process, as it starts
			tellBorn(c, http.StatusServiceUnavailable, "")
		}
	})
	s := startEntry(t, one)
	s.origins.memory.Put(0, streamorigin.KeyOf("q1"), "v1")
	res, _ := takeUp(t, s, "/engine/x", 2)
	if ran.Load() == 2 {
		t.Errorf("status %d: the rest of a stream of v1 was sent to the next process", res.StatusCode)
	}
}

// Guards against the rest of a stream that comes too late because a runner that tells its start late, and closes its connections,
// is asked twice.
func TestIdentify_RunnerTellsLateAndCloses(t *testing.T) {
	is := is.New(t)
	one := startClosingRunner(t, listen(t), false, func(_ int, c net.Conn, r *http.Request) {
		if r.URL.Path == "/born" {
			time.Sleep(700 * time.Millisecond)
			tellBorn(c, http.StatusOK, "1")
			return
		}
		time.Sleep(600 * time.Millisecond)
		streamRest(c, r)
	})
	s := startEntry(t, one)
	s.origins.memory.Put(0, streamorigin.KeyOf("q1"), "v1")
	res, _ := takeUp(t, s, "/engine/x", 2) // the service gives it 2 s
	is.Equal(res.StatusCode, http.StatusOK)
}
