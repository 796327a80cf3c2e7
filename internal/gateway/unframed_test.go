package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"gentiankeel/internal/wire"
)

// startEndingUpstream starts an upstream that gets one request, calls before, closes its listener if
// stopsListening is set, writes a response that ends with its connection, and closes that.
func startEndingUpstream(t *testing.T, stopsListening bool, body string, before func()) *wire.UpstreamState {
	t.Helper()
	ln := listen(t)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		before()
		if stopsListening {
			ln.Close()
		}
		contentType := "text/plain"
		if strings.HasPrefix(body, "id:") {
			contentType = "text/event-stream"
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Type: %s\r\nConnection: close\r\n\r\n%s", req.Header.Get("Id"), contentType, body)
	}()
	return &wire.UpstreamState{Id: "u1", BornUnixMs: 1, Service: "s", Address: ln.Addr().String(), Slots: 8, Phase: wire.UpstreamPhase_PHASE_READY}
}

const firstPieces = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"

// Guards against the part of a stream before the end of its upstream being passed on as the whole.
func TestStream_UpstreamEndsWithTheConnectionThatDelimitsIt(t *testing.T) {
	is := is.New(t)
	s := startEntry(t, startEndingUpstream(t, true, firstPieces, func() {}))
	_, body, err := get(t, s, "/stream/x", 2000)
	is.True(err != nil)
	is.Equal(body, firstPieces)
}

func TestStream_ResumedAfterTheEndOfAnUpstream(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	rest := u.start(t, "u2", func(w http.ResponseWriter, _ *http.Request, _ int) { writeStream(w, 3, 4, true) })
	var s *Server
	s = startEntry(t, startEndingUpstream(t, true, firstPieces, func() {
		is.NoErr(s.applyUpdate(&wire.FleetUpdate{Term: 1, Upstreams: []*wire.UpstreamState{rest}}))
	}))
	_, body, err := get(t, s, "/resume/x", 2000)
	is.NoErr(err)
	is.Equal(strings.Count(body, "piece"), 4)
	is.Equal(u.requests, []string{"u2 /resume/x 2"})
}

func TestStream_WithoutLengthFromUpstreamThatListens(t *testing.T) {
	is := is.New(t)
	s := startEntry(t, startEndingUpstream(t, false, firstPieces, func() {}))
	_, body, err := get(t, s, "/stream/x", 2000)
	is.NoErr(err)
	is.Equal(body, firstPieces)
}

// Guards against a whole answer that has run becoming a failure, since its upstream stops listening first when it
// shuts down.
func TestRequest_AnswerWithoutLengthFromUpstreamThatShutsDown(t *testing.T) {
	is := is.New(t)
	s := startEntry(t, startEndingUpstream(t, true, "whole", func() {}))
	res, body, err := get(t, s, "/unsafe/x", 2000)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(body, "whole")
}

// startRestartingRunner starts a runner whose process writes a part of a stream without a length and closes the connection. The
// process that serves its address from then on tells the start born.
func startRestartingRunner(t *testing.T, born string) *wire.UpstreamState {
	t.Helper()
	var hasEnded atomic.Bool
	return startTelling(t, "u1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/born" {
			if hasEnded.Load() {
				fmt.Fprint(w, born)
			} else {
				fmt.Fprint(w, "1")
			}
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n%s", r.Header.Get("Id"), firstPieces)
		hasEnded.Store(true)
	})
}

// Guards against the part of a stream before the end of its upstream being passed on as the whole, if another process serves
// its address at once.
func TestStream_UpstreamRestartsAtOnce(t *testing.T) {
	for _, path := range []string{"/generate/x", "/engine/x"} {
		for born, isWhole := range map[string]bool{"1": true, "2": false} {
			t.Run(path+" process "+born, func(t *testing.T) {
				is := is.New(t)
				s := startEntry(t, startRestartingRunner(t, born))
				_, body, err := get(t, s, path, 2000)
				is.Equal(err == nil, isWhole)
				is.Equal(body, firstPieces)
			})
		}
	}
}

// silentAddress returns an address that does not answer attempts to connect.
func silentAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", sa.(*syscall.SockaddrInet4).Port)
	for range 8 { // fill its queue
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("the address answers")
	return ""
}

// Guards against the part of a stream before the end of its upstream being passed on as the whole, when only another
// entry reaches that upstream.
func TestStream_UpstreamBehindRelayEndsWithTheConnectionThatDelimitsIt(t *testing.T) {
	for _, lasts := range []time.Duration{0, 1500 * time.Millisecond} {
		t.Run(lasts.String(), func(t *testing.T) {
			is := is.New(t)
			up := startEndingUpstream(t, true, firstPieces, func() { time.Sleep(lasts) })
			behindRelay := up.Address
			up.Address = silentAddress(t)
			s := startEntryWith(t, func(o *Options) {
				o.DialRelay = func(ctx context.Context, _, _ string) (net.Conn, error) {
					return (&net.Dialer{}).DialContext(ctx, "tcp", behindRelay)
				}
			}, "doc", up)
			is.NoErr(s.applyUpdate(&wire.FleetUpdate{Term: 1, HasRelays: true, Relays: []string{"127.0.0.1:1"}}))
			_, body, err := get(t, s, "/stream/x", 4000)
			is.True(err != nil)
			is.Equal(body, firstPieces)
		})
	}
}

// Guards against a part that is passed on as whole when the process that ran it, which was silent when it was asked at first,
// is killed and the next one serves its address.
func TestUnframedStream_ProcessWasSilentAtFirst(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	hasEnded := false
	one := startTelling(t, "u1", func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		ended := hasEnded
		mu.Unlock()
		if r.URL.Path == "/born" {
			if !ended {
				time.Sleep(700 * time.Millisecond)
				return
			}
			_, _ = io.WriteString(w, "2")
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		mu.Lock()
		hasEnded = true
		mu.Unlock()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+
			"\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"+firstPieces)
	})
	s := startEntry(t, one)
	_, body, err := get(t, s, "/engine/x", 2000)
	is.Equal(body, firstPieces)
	is.True(err != nil) // a part, since its process has ended
}

func TestUnframedStream_WholeOfProcessNotPublished(t *testing.T) {
	checkWholeOfProcessNotPublished(t, "/engine/x")
}

// Guards against a whole stream that is broken off at its end, since the process that ran it is compared with the published
// one: which process runs a stream that may not be resumed is not asked.
func TestUnframedStream_WholeOfProcessNotPublished_NotResumable(t *testing.T) {
	checkWholeOfProcessNotPublished(t, "/generate/x")
}

// checkWholeOfProcessNotPublished sends a request to an upstream whose process restarted before and still runs after its
// stream, which only its connection delimits.
func checkWholeOfProcessNotPublished(t *testing.T, path string) {
	t.Helper()
	is := is.New(t)
	one := startTelling(t, "u1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/born" {
			_, _ = io.WriteString(w, "2")
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+
			"\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"+firstPieces)
	})
	s := startEntry(t, one)
	_, body, err := get(t, s, path, 2000)
	is.Equal(body, firstPieces)
	is.NoErr(err)
}

// Guards against a part that is passed on as whole when its upstream is killed and the entry that relays it is lost before it
// can be asked.
func TestUnframedStream_RelayIsLostAtItsEnd(t *testing.T) {
	is := is.New(t)
	up := startEndingUpstream(t, true, firstPieces, func() {})
	behindRelay := up.Address
	up.Address = silentAddress(t)
	var dials atomic.Int32
	s := startEntryWith(t, func(o *Options) {
		o.DialRelay = func(ctx context.Context, _, _ string) (net.Conn, error) {
			if dials.Add(1) > 1 {
				return nil, errors.New("the relay is lost")
			}
			return (&net.Dialer{}).DialContext(ctx, "tcp", behindRelay)
		}
	}, "doc", up)
	is.NoErr(s.applyUpdate(&wire.FleetUpdate{Term: 1, HasRelays: true, Relays: []string{"127.0.0.1:1"}}))
	_, body, err := get(t, s, "/stream/x", 4000)
	is.Equal(body, firstPieces)
	is.True(err != nil) // a part
}

// Guards against a part that is passed on as whole because the next process ends with each question, as it starts.
func TestUnframedStream_NextProcessEndsWhenAsked(t *testing.T) {
	is := is.New(t)
	var hasEnded atomic.Bool
	one := startClosingRunner(t, listen(t), false, func(_ int, c net.Conn, r *http.Request) {
		switch {
		case hasEnded.Load():
			_ = c.(*net.TCPConn).SetLinger(0)
		case r.URL.Path == "/born":
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1")
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				hasEnded.Store(true)
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n%s", r.Header.Get("Id"), firstPieces)
			}
		}
	})
	s := startEntry(t, one)
	_, body, err := get(t, s, "/engine/x", 2000)
	is.Equal(body, firstPieces)
	is.True(err != nil) // a part
}

// Guards against a whole stream that is broken off because its upstream, which runs, has a full queue of connections at the end.
func TestUnframedStream_WholeFromUpstreamWithFullQueue(t *testing.T) {
	is := is.New(t)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	is.NoErr(err)
	defer syscall.Close(fd)
	is.NoErr(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	is.NoErr(syscall.Listen(fd, 0))
	sa, err := syscall.Getsockname(fd)
	is.NoErr(err)
	addr := fmt.Sprintf("127.0.0.1:%d", sa.(*syscall.SockaddrInet4).Port)
	var mu sync.Mutex
	var others []net.Conn
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range others {
			c.Close()
		}
	}()
	go func() {
		conn, _, err := syscall.Accept(fd)
		if err != nil {
			return
		}
		defer syscall.Close(conn)
		var head strings.Builder
		buf := make([]byte, 4096)
		for !strings.Contains(head.String(), "\r\n\r\n") {
			n, err := syscall.Read(conn, buf)
			if n <= 0 || err != nil {
				return
			}
			head.Write(buf[:n])
		}
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head.String())))
		if err != nil {
			return
		}
		for range 8 { // other clients, which wait until this stream is served
			c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
			if err != nil {
				break
			}
			mu.Lock()
			others = append(others, c)
			mu.Unlock()
		}
		answer := "HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n" + firstPieces
		_, _ = io.WriteString(fdWriter(conn), answer)
	}()
	s := startEntry(t, &wire.UpstreamState{Id: "u1", BornUnixMs: 1, Service: "s", Address: addr, Slots: 8, Phase: wire.UpstreamPhase_PHASE_READY})
	_, body, err := get(t, s, "/stream/x", 4000)
	is.Equal(body, firstPieces)
	is.NoErr(err) // its upstream runs
}

type fdWriter int

func (fd fdWriter) Write(p []byte) (int, error) { return syscall.Write(int(fd), p) }
