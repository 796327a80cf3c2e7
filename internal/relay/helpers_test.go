package relay

import (
	"context"
	"encoding/binary"
	"net"
	"runtime"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// patience is how long tests wait for what is to happen.
const patience = 20 * time.Second

// within returns a context that ends a test that hangs.
func within(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return ctx
}

// eventually waits until cond holds.
func eventually(t testing.TB, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", patience, what)
		}
	}
}

// expectGoroutines makes the test fail if more goroutines are left after it than now. Its cleanup runs
// after those registered later.
func expectGoroutines(t *testing.T) {
	before := runtime.NumGoroutine()
	t.Cleanup(func() {
		for end := time.Now().Add(patience); runtime.NumGoroutine() > before; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				stacks := make([]byte, 1<<20)
				t.Fatalf("%d goroutines, %d before:\n%s", runtime.NumGoroutine(), before, stacks[:runtime.Stack(stacks, true)])
			}
		}
	})
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// startRelay starts a relay, with dialTCP unless o has a Dial.
func startRelay(t testing.TB, o Options, serverOptions ...grpc.ServerOption) (addr string, srv *Server, g *grpc.Server) {
	t.Helper()
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	srv, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g = grpc.NewServer(serverOptions...)
	srv.Register(g)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = g.Serve(ln)
	}()
	t.Cleanup(func() {
		g.Stop()
		<-served
	})
	return ln.Addr().String(), srv, g
}

func newDialer(t testing.TB) *Dialer {
	d := NewDialer(DialerOptions{DialOptions: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}})
	t.Cleanup(d.Close)
	return d
}

// startUpstream starts an upstream and returns its address and the connections that it accepts.
func startUpstream(t testing.TB) (string, <-chan *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := make(chan *net.TCPConn, 64)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			conns <- c.(*net.TCPConn)
		}
	}()
	t.Cleanup(func() {
		ln.Close()
		<-done
	})
	return ln.Addr().String(), conns
}

// connect opens a connection to an upstream through a relay and returns both ends.
func connect(t testing.TB) (net.Conn, *net.TCPConn) {
	t.Helper()
	relayAddr, _, _ := startRelay(t, Options{})
	c, u, _ := connectThrough(t, newDialer(t), relayAddr)
	return c, u
}

func connectThrough(t testing.TB, d *Dialer, relayAddr string) (net.Conn, *net.TCPConn, string) {
	t.Helper()
	upstreamAddr, conns := startUpstream(t)
	c, err := d.Dial(within(t), relayAddr, upstreamAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	select {
	case u := <-conns:
		if err := u.SetDeadline(time.Now().Add(patience)); err != nil {
			t.Fatal(err)
		}
		return c, u, upstreamAddr
	case <-time.After(patience):
		t.Fatal("upstream was not connected to")
		return nil, nil, ""
	}
}

// numberedBytes returns size bytes in which each eight hold their number, so that a gap shows.
func numberedBytes(size int64) []byte {
	b := make([]byte, 0, size)
	for n := uint64(0); int64(len(b)) < size; n++ {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	return b
}

// result is that of a Read or Write.
type result struct {
	n   int
	err error
}

func waitFor(t testing.TB, results <-chan result) result {
	t.Helper()
	select {
	case r := <-results:
		return r
	case <-time.After(patience):
		t.Fatal("call did not return")
		return result{}
	}
}

// startRead reads one piece in the background.
func startRead(c net.Conn) <-chan result {
	out := make(chan result, 1)
	go func() {
		n, err := c.Read(make([]byte, 100))
		out <- result{n, err}
	}()
	return out
}

// startEndlessWrite writes in the background until an error.
func startEndlessWrite(c net.Conn) <-chan result {
	out := make(chan result, 1)
	go func() {
		total, data := 0, make([]byte, 64<<10)
		for {
			n, err := c.Write(data)
			total += n
			if err != nil {
				out <- result{total, err}
				return
			}
		}
	}()
	return out
}

// fillUntilBlocked returns once the relay holds all that it takes for an upstream that does not read.
func fillUntilBlocked(t testing.TB, c net.Conn) <-chan result {
	t.Helper()
	var sent counter
	results := startEndlessWrite(countingConn{c, &sent})
	last := int64(-1)
	eventually(t, "a write that blocks", func() bool {
		now := sent.Load()
		blocked := now == last && now > 0
		last = now
		time.Sleep(50 * time.Millisecond)
		return blocked
	})
	return results
}
