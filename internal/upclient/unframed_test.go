package upclient

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"gentiankeel/internal/pause"
)

// unframedHead begins a response that ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\n\r\n"

// upstreamProcessEnv makes the test binary an upstream that writes a part of a response and then waits
// for its end.
const upstreamProcessEnv = "UPCLIENT_TEST_UPSTREAM"

func TestMain(m *testing.M) {
	if os.Getenv(upstreamProcessEnv) == "" {
		os.Exit(m.Run())
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(1)
	}
	fmt.Println(ln.Addr())
	c, err := ln.Accept()
	if err != nil {
		os.Exit(1)
	}
	if _, _, ok := readRequest(bufio.NewReader(c)); ok {
		_, _ = io.WriteString(c, unframedHead+"a part")
	}
	select {}
}

// The kernel closes the connections of a killed process as the process itself does after a response.
func TestHasEnded_UpstreamKilledInResponseWithoutLength(t *testing.T) {
	is := is.New(t)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), upstreamProcessEnv+"=1")
	out, err := cmd.StdoutPipe()
	is.NoErr(err)
	is.NoErr(cmd.Start())
	addr, err := bufio.NewReader(out).ReadString('\n')
	is.NoErr(err)
	addr = strings.TrimSpace(addr)
	p := New(matchByID())
	res, f := p.Do(context.Background(), newCall(addr, "a", ""))
	is.True(f == nil)
	part := make([]byte, len("a part"))
	_, err = io.ReadFull(res.Body, part)
	is.NoErr(err)
	is.True(!p.HasEnded(context.Background(), addr, nil, 0))
	is.NoErr(cmd.Process.Kill())
	rest, err := io.ReadAll(res.Body)
	is.NoErr(err) // the end looks like that of the response
	is.Equal(len(rest), 0)
	is.True(p.HasEnded(context.Background(), addr, nil, 0))
	_ = cmd.Wait()
}

func TestHasEnded_UpstreamListens(t *testing.T) {
	is := is.New(t)
	addr, conns := startServer(t, func(_ int, _ net.Conn, br *bufio.Reader) { _, _ = br.Peek(1) })
	p := New(matchByID())
	is.True(!p.HasEnded(context.Background(), addr, nil, 0))
	is.True(!p.HasEnded(context.Background(), addr, nil, 0))
	is.Equal(conns.Load(), int32(2))
	is.Equal(p.idleCount, 2) // kept for later calls
}

// An upstream at its limit of connections closes further ones at once.
func TestHasEnded_UpstreamAtItsLimitOfConnections(t *testing.T) {
	is := is.New(t)
	addr, _ := startServer(t, func(_ int, c net.Conn, _ *bufio.Reader) { _ = c.(*net.TCPConn).SetLinger(0) })
	p := New(matchByID())
	is.True(!p.HasEnded(context.Background(), addr, nil, 0))
}

// The end of a host kills its processes, which closes their connections, before it is silent.
func TestHasEnded_HostDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	o := matchByID()
	o.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	o.DialTimeout = 50 * time.Millisecond
	is.True(New(o).HasEnded(context.Background(), "127.0.0.1:9", nil, 0))
}

func TestHasEnded_CallerGone(t *testing.T) {
	is := is.New(t)
	addr, _ := startServer(t, func(_ int, _ net.Conn, br *bufio.Reader) { _, _ = br.Peek(1) })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(!New(matchByID()).HasEnded(ctx, addr, nil, 0))
}

// Guards against an upstream that has ended passing for one that listens, since its refusal takes its time.
func TestHasEnded_RefusalOverSlowLink(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	is.NoErr(ln.Close())
	o := matchByID()
	o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		if err := pause.For(ctx, 150*time.Millisecond); err != nil {
			return nil, err
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}
	is.True(New(o).HasEnded(context.Background(), addr, nil, 0))
}

// Guards against the next process at an address passing for the one that has ended.
func TestHasEnded_AnotherProcessListens(t *testing.T) {
	const begun = 1
	for name, tc := range map[string]struct {
		answer  string
		resets  int // connections that are reset before one stays open
		isEnded bool
	}{
		"the same process":               {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1", 0, false},
		"the next process":               {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2", 0, true},
		"the next process after a reset": {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2", 1, true},
		"another upstream":               {"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", 0, true},
		"no clear answer":                {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, _ := startServer(t, func(n int, c net.Conn, br *bufio.Reader) {
				if n <= tc.resets {
					_ = c.(*net.TCPConn).SetLinger(0)
					return
				}
				if _, _, ok := readRequest(br); ok {
					_, _ = io.WriteString(c, tc.answer)
				}
				_, _ = br.Peek(1)
			})
			id := &Identify{Request: &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/born"}, Host: addr},
				Parse: parseBorn}
			p := New(Options{})
			defer p.CloseIdle()
			is.Equal(p.HasEnded(context.Background(), addr, id, begun), tc.isEnded)
		})
	}
}

// Guards against a process that counts as running because the connection on which it is asked breaks off: it was still in the
// queue of the listener. A second one is refused, or leads to the next process.
func TestHasEnded_QuestionBreaksOff(t *testing.T) {
	for name, next := range map[string]string{"refuses then": "", "next process tells then": "2"} {
		for _, how := range []string{"reset", "closed"} {
			t.Run(name+" "+how, func(t *testing.T) {
				is := is.New(t)
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				defer ln.Close()
				go func() {
					for n := 1; ; n++ {
						c, err := ln.Accept()
						if err != nil {
							return
						}
						if n == 1 {
							if next == "" {
								ln.Close()
							}
							time.Sleep(2 * listenerDelay)
							if how == "reset" {
								_ = c.(*net.TCPConn).SetLinger(0)
							} else {
								_, _, _ = readRequest(bufio.NewReader(c))
							}
							c.Close()
							continue
						}
						go func() {
							defer c.Close()
							br := bufio.NewReader(c)
							if _, _, ok := readRequest(br); ok {
								_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"+next)
							}
							_, _ = br.Peek(1)
						}()
					}
				}()
				addr := ln.Addr().String()
				id := &Identify{Request: &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/born"}, Host: addr},
					Parse: parseBorn}
				p := New(Options{})
				defer p.CloseIdle()
				is.True(p.HasEnded(context.Background(), addr, id, 1))
			})
		}
	}
}

// Guards against a whole stream that is broken off because one packet of a new connection is lost, or the entry is short of a
// descriptor or a port for a moment.
func TestHasEnded_FirstDialFails(t *testing.T) {
	for name, failure := range map[string]func(ctx context.Context) error{
		"a lost packet":                   func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() },
		"no descriptor":                   func(context.Context) error { return errors.WithStack(syscall.EMFILE) },
		"no port":                         func(context.Context) error { return errors.WithStack(syscall.EADDRNOTAVAIL) },
		"the relay has no room or drains": func(context.Context) error { return errors.New("the relay takes no connection") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, _ := startServer(t, func(_ int, _ net.Conn, br *bufio.Reader) { _, _ = br.Peek(1) })
			o := matchByID()
			var dials atomic.Int32
			o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
				if dials.Add(1) == 1 {
					return nil, failure(ctx)
				}
				return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			}
			p := New(o)
			defer p.CloseIdle()
			is.True(!p.HasEnded(context.Background(), addr, nil, 0))
		})
	}
}

// Guards against a part passed on as whole because the process that serves the address breaks off the question each time: it
// ends at its start, again and again.
func TestHasEnded_QuestionsBreakOff(t *testing.T) {
	for _, how := range []string{"reset", "closed"} {
		t.Run(how, func(t *testing.T) {
			is := is.New(t)
			addr, _ := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
				_, _, _ = readRequest(br)
				if how == "reset" {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			born := newCall(addr, "", "").Request
			p := New(matchByID())
			defer p.CloseIdle()
			is.True(p.HasEnded(context.Background(), addr, &Identify{Request: born, Parse: parseBorn}, 1))
		})
	}
}
