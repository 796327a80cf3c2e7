package upclient

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
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
func TestDo_UpstreamKilledInResponseWithoutLength(t *testing.T) {
	is := is.New(t)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), upstreamProcessEnv+"=1")
	out, err := cmd.StdoutPipe()
	is.NoErr(err)
	is.NoErr(cmd.Start())
	addr, err := bufio.NewReader(out).ReadString('\n')
	is.NoErr(err)
	p := New(matchByID())
	res, f := p.Do(context.Background(), newCall(strings.TrimSpace(addr), "a", ""))
	is.True(f == nil)
	part := make([]byte, len("a part"))
	_, err = io.ReadFull(res.Body, part)
	is.NoErr(err)
	is.NoErr(cmd.Process.Kill())
	rest, err := io.ReadAll(res.Body)
	is.Equal(len(rest), 0)
	is.True(err != nil) // the response is not complete
	_ = cmd.Wait()
}

func TestDo_ResponseWithoutLengthFromLiveUpstream(t *testing.T) {
	is := is.New(t)
	addr, conns := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if _, _, ok := readRequest(br); ok {
			_, _ = io.WriteString(c, unframedHead+"the whole")
		}
	})
	p := New(matchByID())
	res, f := p.Do(context.Background(), newCall(addr, "a", ""))
	is.True(f == nil)
	is.Equal(readBody(t, res), "the whole")
	is.Equal(conns.Load(), int32(2)) // the second one shows that the upstream is alive
}

// An upstream at its limit of connections closes further ones at once.
func TestDo_ResponseWithoutLengthFromFullUpstream(t *testing.T) {
	is := is.New(t)
	addr, _ := startServer(t, func(n int, c net.Conn, br *bufio.Reader) {
		if n > 1 {
			_ = c.(*net.TCPConn).SetLinger(0)
		} else if _, _, ok := readRequest(br); ok {
			_, _ = io.WriteString(c, unframedHead+"the whole")
		}
	})
	p := New(matchByID())
	res, f := p.Do(context.Background(), newCall(addr, "a", ""))
	is.True(f == nil)
	is.Equal(readBody(t, res), "the whole")
}

func TestDo_ResponseWithoutLengthCallerGone(t *testing.T) {
	is := is.New(t)
	read := make(chan struct{})
	addr, _ := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if _, _, ok := readRequest(br); ok {
			_, _ = io.WriteString(c, unframedHead+"the whole")
			<-read
		}
	})
	p := New(matchByID())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	res, f := p.Do(ctx, newCall(addr, "a", ""))
	is.True(f == nil)
	cancel()
	close(read)
	_, err := io.ReadAll(res.Body)
	is.True(err != nil)
}
