package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"gentiankeel/internal/wire"
)

// unusedAddress returns an address that refuses connections.
func unusedAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	return ln.Addr().String()
}

func TestDial_RefusedByTheUpstream(t *testing.T) {
	is := is.New(t)
	relayAddr, srv, _ := startRelay(t, Options{})
	_, err := newDialer(t).Dial(within(t), relayAddr, unusedAddress(t))
	is.True(errors.Is(err, ErrRefused))
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	is.True(!errors.Is(err, ErrNoPath) && !errors.Is(err, ErrRelayUnavailable))
	is.Equal(testutil.ToFloat64(srv.total.WithLabelValues(resultRefused)), 1.0)
}

func TestDial_NoPathToTheUpstream(t *testing.T) {
	for _, cause := range []error{
		&net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded},
		context.DeadlineExceeded,
		os.NewSyscallError("connect", syscall.EHOSTUNREACH),
		os.NewSyscallError("connect", syscall.ENETUNREACH),
	} {
		is := is.New(t)
		relayAddr, srv, _ := startRelay(t, Options{
			Dial: func(context.Context, string) (net.Conn, error) { return nil, cause },
		})
		_, err := newDialer(t).Dial(within(t), relayAddr, "127.0.0.1:1")
		is.True(errors.Is(err, ErrNoPath))
		is.True(!errors.Is(err, ErrRefused) && !errors.Is(err, ErrRelayUnavailable))
		is.Equal(testutil.ToFloat64(srv.total.WithLabelValues(resultNoPath)), 1.0)
	}
}

// blockingDial dials until its context ends.
func blockingDial(ctx context.Context, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// The relay runs, but its dial takes longer than the client waits.
func TestDial_UpstreamDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	relayAddr, srv, _ := startRelay(t, Options{Dial: blockingDial})
	d := newDialer(t)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := d.Dial(ctx, relayAddr, "127.0.0.1:1")
	is.True(errors.Is(err, ErrNoPath))
	is.True(errors.Is(err, context.DeadlineExceeded))
	eventually(t, "the end of the relay's dial", func() bool { return testutil.ToFloat64(srv.open) == 0 })
	is.Equal(testutil.ToFloat64(srv.total.WithLabelValues(resultCanceled)), 1.0)

	ctx, cancel = context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = d.Dial(ctx, relayAddr, "127.0.0.1:1")
	is.True(errors.Is(err, context.Canceled))
	is.True(!errors.Is(err, ErrNoPath) && !errors.Is(err, ErrRelayUnavailable))
}

func TestDial_RelayRefusesConnections(t *testing.T) {
	is := is.New(t)
	_, err := newDialer(t).Dial(within(t), unusedAddress(t), "127.0.0.1:1")
	is.True(errors.Is(err, ErrRelayUnavailable))
	is.True(!errors.Is(err, ErrRefused) && !errors.Is(err, syscall.ECONNREFUSED)) // that of the upstream
}

func TestDial_RelayDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	silentAddr, _ := startUpstream(t) // accepts, but does not speak HTTP/2
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := newDialer(t).Dial(ctx, silentAddr, "127.0.0.1:1")
	is.True(errors.Is(err, ErrRelayUnavailable))
	is.True(errors.Is(err, context.DeadlineExceeded))
}

// blockedRelay takes up streams, as the transport of a process that hangs does, and answers none.
type blockedRelay struct{ wire.UnimplementedRelayServer }

func (blockedRelay) Connect(stream wire.Relay_ConnectServer) error {
	<-stream.Context().Done()
	return stream.Context().Err()
}

// A relay that hung was taken for one without a path to the upstream.
func TestDial_RelayHangs(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	g := grpc.NewServer()
	wire.RegisterRelayServer(g, blockedRelay{})
	go func() { _ = g.Serve(ln) }()
	t.Cleanup(g.Stop)
	d := newDialer(t)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err = d.Dial(ctx, ln.Addr().String(), "127.0.0.1:1")
	is.True(errors.Is(err, ErrRelayUnavailable))
	is.True(!errors.Is(err, ErrNoPath))
	eventually(t, "the end of the link", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.all) == 0
	})
}

func TestDial_GRPCServerWithoutTheService(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	g := grpc.NewServer()
	go func() { _ = g.Serve(ln) }()
	t.Cleanup(g.Stop)
	_, err = newDialer(t).Dial(within(t), ln.Addr().String(), "127.0.0.1:1")
	is.True(errors.Is(err, ErrRelayUnavailable))
}

func TestDial_AddressThatIsNoLiteral(t *testing.T) {
	is := is.New(t)
	relayAddr, srv, _ := startRelay(t, Options{})
	_, err := newDialer(t).Dial(within(t), relayAddr, "localhost:80")
	is.True(err != nil)
	is.True(!errors.Is(err, ErrNoPath) && !errors.Is(err, ErrRelayUnavailable))
	for _, a := range []string{"localhost:80", "127.0.0.1", "127.0.0.1:0", ""} {
		_, err := srv.dial(within(t), a)
		is.Equal(status.Code(err), codes.InvalidArgument)
	}
}

func TestDial_RelayWithTooManyConnections(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	relayAddr, srv, _ := startRelay(t, Options{MaxConnections: 2, Registerer: registry})
	d := newDialer(t)
	first, _, upstreamAddr := connectThrough(t, d, relayAddr)
	_, err := d.Dial(within(t), relayAddr, upstreamAddr)
	is.NoErr(err)
	_, err = d.Dial(within(t), relayAddr, upstreamAddr)
	is.True(errors.Is(err, ErrRelayUnavailable))
	is.True(!errors.Is(err, ErrNoPath))
	is.Equal(testutil.ToFloat64(srv.open), 2.0)
	is.Equal(testutil.ToFloat64(srv.total.WithLabelValues(resultNoRoom)), 1.0)
	is.Equal(testutil.ToFloat64(srv.total.WithLabelValues(resultOpened)), 2.0)
	n, err := testutil.GatherAndCount(registry, "gentiankeel_relay_connections", "gentiankeel_relay_connections_total")
	is.NoErr(err)
	is.Equal(n, 7)

	is.NoErr(first.Close())
	eventually(t, "room for a connection", func() bool { return testutil.ToFloat64(srv.open) == 1 })
	_, err = d.Dial(within(t), relayAddr, upstreamAddr)
	is.NoErr(err)
}

func TestDial_RelayWithoutDescriptors(t *testing.T) {
	is := is.New(t)
	relayAddr, _, _ := startRelay(t, Options{Dial: func(context.Context, string) (net.Conn, error) {
		return nil, os.NewSyscallError("socket", syscall.EMFILE)
	}})
	_, err := newDialer(t).Dial(within(t), relayAddr, "127.0.0.1:1")
	is.True(errors.Is(err, ErrRelayUnavailable))
}

// The context of Dial bounds the setup only.
func TestDial_ConnectionOutlivesItsContext(t *testing.T) {
	is := is.New(t)
	relayAddr, _, _ := startRelay(t, Options{})
	upstreamAddr, conns := startUpstream(t)
	ctx, cancel := context.WithCancel(context.Background())
	c, err := newDialer(t).Dial(ctx, relayAddr, upstreamAddr)
	is.NoErr(err)
	cancel()
	_, err = io.WriteString(c, "x")
	is.NoErr(err)
	u := <-conns
	is.NoErr(u.SetDeadline(time.Now().Add(patience)))
	_, err = io.ReadFull(u, make([]byte, 1))
	is.NoErr(err)
	is.Equal(c.RemoteAddr().String(), upstreamAddr)
}

func TestDialer_ClosesUnusedLinks(t *testing.T) {
	is := is.New(t)
	relayAddr, _, _ := startRelay(t, Options{})
	opened := 0
	d := NewDialer(DialerOptions{
		IdleTimeout: 50 * time.Millisecond,
		Connect: func(relayAddr string) (*grpc.ClientConn, error) {
			opened++ // guarded by Dialer.mu
			return grpc.NewClient(relayAddr, grpc.WithTransportCredentials(insecure.NewCredentials()))
		},
	})
	defer d.Close()
	links := func() (kept, connects int) {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.all), opened
	}
	a, ua, _ := connectThrough(t, d, relayAddr)
	b, _, _ := connectThrough(t, d, relayAddr)
	kept, connects := links()
	is.Equal(kept, 1)
	is.Equal(connects, 1) // one link carries both
	is.NoErr(b.Close())
	time.Sleep(150 * time.Millisecond) // longer than the timeout, but a uses the link
	_, err := io.WriteString(ua, "x")
	is.NoErr(err)
	_, err = io.ReadFull(a, make([]byte, 1))
	is.NoErr(err)
	is.NoErr(a.Close())
	eventually(t, "the end of the unused link", func() bool { kept, _ := links(); return kept == 0 })
	connectThrough(t, d, relayAddr)
	_, connects = links()
	is.Equal(connects, 2)
}

func TestDialer_Close(t *testing.T) {
	is := is.New(t)
	relayAddr, _, _ := startRelay(t, Options{})
	d := newDialer(t)
	c, u, upstreamAddr := connectThrough(t, d, relayAddr)
	read := startRead(c)
	d.Close()
	err := waitFor(t, read).err
	is.True(err != nil && !errors.Is(err, io.EOF))
	_, err = u.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // as at the end of the client's process
	_, err = d.Dial(within(t), relayAddr, upstreamAddr)
	is.True(errors.Is(err, ErrRelayUnavailable))
}

// A link on which the relay did not answer is not used again, and ends with its last connection.
func TestDialer_RetiresALinkWithoutAnswer(t *testing.T) {
	is := is.New(t)
	relayAddr, _, _ := startRelay(t, Options{})
	d := newDialer(t)
	c, _, _ := connectThrough(t, d, relayAddr)
	d.mu.Lock()
	old := d.links[relayAddr]
	d.mu.Unlock()
	d.retire(old)
	other, _, _ := connectThrough(t, d, relayAddr)
	d.mu.Lock()
	is.True(d.links[relayAddr] != old)
	is.Equal(len(d.all), 2)
	d.mu.Unlock()
	is.NoErr(c.Close())
	eventually(t, "the end of the retired link", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.all) == 1
	})
	_, err := io.WriteString(other, "x")
	is.NoErr(err)
}

func TestGoroutinesEnd(t *testing.T) {
	expectGoroutines(t)
	t.Run("connections", func(t *testing.T) {
		is := is.New(t)
		relayAddr, _, g := startRelay(t, Options{})
		d := newDialer(t)
		var wg sync.WaitGroup
		for i := range 40 {
			c, u, _ := connectThrough(t, d, relayAddr)
			if i%2 == 0 {
				startEndlessWrite(u)
			}
			if i%3 == 0 {
				startEndlessWrite(c)
			}
			switch i % 5 {
			case 0:
				is.NoErr(c.Close())
			case 1:
				u.Close()
			case 2:
				reset(is, u)
			case 3:
				wg.Go(func() { _, _ = io.Copy(io.Discard, c) })
			}
		}
		_, err := d.Dial(within(t), relayAddr, unusedAddress(t))
		is.True(err != nil)
		g.Stop()
		wg.Wait()
	})
}

// With clients that stay, the relay's goroutines end with the connections, not with the server.
func TestGoroutinesEndWithTheirConnections(t *testing.T) {
	is := is.New(t)
	relayAddr, srv, _ := startRelay(t, Options{})
	d := newDialer(t)
	connectThrough(t, d, relayAddr)
	expectGoroutines(t)
	upstreamAddr, conns := startUpstream(t)
	for i := range 30 {
		c, err := d.Dial(within(t), relayAddr, upstreamAddr)
		is.NoErr(err)
		u := <-conns
		switch i % 3 {
		case 0:
			is.NoErr(c.Close())
		case 1:
			u.Close()
		case 2:
			reset(is, u)
		}
	}
	eventually(t, "the end of the handlers", func() bool { return testutil.ToFloat64(srv.open) == 1 })
}

// BenchmarkEvents measures the round trip of a short event.
func BenchmarkEvents(b *testing.B) {
	c, u := connect(b)
	_ = u.SetDeadline(time.Time{})
	go func() { _, _ = io.Copy(u, u) }()
	event := make([]byte, 200)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := c.Write(event); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(c, event); err != nil {
			b.Fatal(err)
		}
	}
}
