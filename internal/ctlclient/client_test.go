package ctlclient

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

// fakeControl is a control service that answers Propose with a function and counts calls.
type fakeControl struct {
	wire.UnimplementedControlServer
	calls   atomic.Int64
	propose func() (*wire.Result, error)
}

func (f *fakeControl) Propose(context.Context, *wire.Command) (*wire.Result, error) {
	f.calls.Add(1)
	return f.propose()
}

func serveControl(t *testing.T, f *fakeControl) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := grpc.NewServer()
	wire.RegisterControlServer(g, f)
	go func() { _ = g.Serve(ln) }()
	t.Cleanup(g.Stop)
	return ln.Addr().String()
}

func newClient(t *testing.T, addrs ...string) *Client {
	t.Helper()
	c := New(Options{Addresses: addrs, Logger: slog.New(slog.DiscardHandler),
		Dial: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}})
	t.Cleanup(func() { c.Close() })
	return c
}

// succeedWithIndex returns a propose function whose results have the given log index.
func succeedWithIndex(index uint64) func() (*wire.Result, error) {
	return func() (*wire.Result, error) {
		return &wire.Result{Code: wire.ResultCode_RESULT_OK, Index: index}, nil
	}
}

func TestPropose_FollowerReturnsLeaderHint(t *testing.T) {
	is := is.New(t)
	leader := &fakeControl{propose: succeedWithIndex(7)}
	leaderAddr := serveControl(t, leader)
	follower := &fakeControl{propose: func() (*wire.Result, error) {
		st, _ := status.New(codes.FailedPrecondition, "not the leader").WithDetails(&wire.LeaderHint{Address: leaderAddr})
		return nil, st.Err()
	}}
	c := newClient(t, serveControl(t, follower))
	for range 3 {
		res, err := c.Propose(t.Context(), &wire.Command{})
		is.NoErr(err)
		is.Equal(res.Index, uint64(7))
	}
	is.Equal(follower.calls.Load(), int64(1)) // later calls go to the leader
}

func TestPropose_MemberUnreachable(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	unreachable := ln.Addr().String()
	ln.Close()
	c := newClient(t, unreachable, serveControl(t, &fakeControl{propose: succeedWithIndex(3)}))
	res, err := c.Propose(t.Context(), &wire.Command{})
	is.NoErr(err)
	is.Equal(res.Index, uint64(3))
}

func TestPropose_PermanentRefusal(t *testing.T) {
	is := is.New(t)
	f := &fakeControl{propose: func() (*wire.Result, error) {
		return nil, status.Error(codes.InvalidArgument, "no")
	}}
	c := newClient(t, serveControl(t, f))
	_, err := c.Propose(t.Context(), &wire.Command{})
	is.True(err != nil)
	is.Equal(f.calls.Load(), int64(1))
}

func TestPropose_ContextEnds(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	f := &fakeControl{propose: func() (*wire.Result, error) {
		cancel()
		return nil, status.Error(codes.Unknown, "the proposal may still commit")
	}}
	c := newClient(t, serveControl(t, f))
	_, err := c.Propose(ctx, &wire.Command{})
	is.Equal(errkind.From(err).Kind, errkind.ControlUnavailable)
}

// serveThroughProxy returns an address that forwards connections to target, and a function that
// discards all further bytes of the connections that are open.
func serveThroughProxy(t *testing.T, target string) (addr string, silence func()) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	var silenced atomic.Int64 // connections up to this number are silent
	var accepted atomic.Int64
	forward := func(dst, src net.Conn, number int64) {
		buf := make([]byte, 4096)
		for {
			n, err := src.Read(buf)
			if err != nil {
				return
			}
			if number > silenced.Load() {
				_, _ = dst.Write(buf[:n])
			}
		}
	}
	go func() {
		for {
			client, err := ln.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			t.Cleanup(func() { client.Close(); server.Close() })
			number := accepted.Add(1)
			go forward(server, client, number)
			go forward(client, server, number)
		}
	}()
	return ln.Addr().String(), func() { silenced.Store(accepted.Load()) }
}

// Calls went over a connection that had fallen silent until its keepalive ended it.
func TestPropose_ConnectionSilent(t *testing.T) {
	is := is.New(t)
	addr, silence := serveThroughProxy(t, serveControl(t, &fakeControl{propose: succeedWithIndex(5)}))
	c := newClient(t, addr)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	_, err := c.Propose(ctx, &wire.Command{})
	is.NoErr(err)
	silence()
	res, err := c.Propose(ctx, &wire.Command{})
	is.NoErr(err)
	is.Equal(res.Index, uint64(5))
}

// The next stream of an entry went over the same silent connection.
func TestStreamFailed_Silent(t *testing.T) {
	is := is.New(t)
	addr := serveControl(t, &fakeControl{})
	c := newClient(t, addr)
	for _, reason := range []error{status.Error(codes.Unavailable, "the stream ended"), ErrStreamSilent} {
		_, _, err := c.Attach(t.Context())
		is.NoErr(err)
		before, err := c.conn(addr)
		is.NoErr(err)
		c.StreamFailed(addr, reason)
		after, err := c.conn(addr)
		is.NoErr(err)
		is.Equal(before == after, !errors.Is(reason, ErrStreamSilent))
	}
}

// A late answer to another call must not end a stream that works.
func TestRetire_ConnectionOfStream(t *testing.T) {
	is := is.New(t)
	addr := serveControl(t, &fakeControl{})
	c := newClient(t, addr)
	_, _, err := c.Attach(t.Context())
	is.NoErr(err)
	conn, err := c.conn(addr)
	is.NoErr(err)
	c.retire(addr, conn)
	time.Sleep(attemptTimeout + 100*time.Millisecond)
	is.True(conn.GetState() != connectivity.Shutdown)
	c.StreamFailed(addr, ErrStreamSilent)
	is.Equal(conn.GetState(), connectivity.Shutdown)
}
