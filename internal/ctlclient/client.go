// Package ctlclient is the other nodes' side of the control group: it finds the leader,
// resends what may be resent and follows the replicated state.
package ctlclient

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/pause"
	"gentiankeel/internal/wire"
)

const (
	// attemptTimeout bounds one try at one control VM. A frozen leader must not use up the
	// time in which a lease can be renewed at its successor.
	attemptTimeout = 700 * time.Millisecond
	// retryPause is the time between two rounds through the group.
	retryPause = 50 * time.Millisecond
	// watchSilence is the longest time without a message after which a watch is
	// opened at another control VM.
	watchSilence = 10 * time.Second
)

// Options of a Client.
type Options struct {
	Addresses []string // gRPC addresses of the control group
	Dial      []grpc.DialOption
	Logger    *slog.Logger
}

// Client talks to the control group. It is safe for concurrent use.
type Client struct {
	log  *slog.Logger
	dial []grpc.DialOption

	mu     sync.Mutex
	addrs  []string
	hints  []string // asked beside the members
	conns  map[string]*grpc.ClientConn
	leader string // address that last answered as the leader
	next   int
}

// New returns a client; connections are opened on use.
func New(o Options) *Client {
	return &Client{
		log:   o.Logger.With("part", "ctlclient"),
		dial:  o.Dial,
		addrs: append([]string(nil), o.Addresses...),
		hints: append([]string(nil), o.Addresses...),
		conns: map[string]*grpc.ClientConn{},
	}
}

// Close closes all connections.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = map[string]*grpc.ClientConn{}
	return nil
}

// Propose commits a command. Every command is idempotent (by version and digest, lease
// holder, order id or attempt), so it is sent again until it is answered or ctx ends.
// A ctx that ends gives ControlUnavailable: the command may still commit.
func (c *Client) Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	return withControl(ctx, c, func(ctx context.Context, cc wire.ControlClient) (*wire.Result, error) {
		return cc.Propose(ctx, cmd)
	})
}

// KeepAlive renews leases at the leader.
func (c *Client) KeepAlive(ctx context.Context, req *wire.KeepAliveRequest) (*wire.KeepAliveResponse, error) {
	return withControl(ctx, c, func(ctx context.Context, cc wire.ControlClient) (*wire.KeepAliveResponse, error) {
		return cc.KeepAlive(ctx, req)
	})
}

// Placements reads what a cell holds.
func (c *Client) Placements(ctx context.Context, cell string) (*wire.PlacementsResponse, error) {
	return withControl(ctx, c, func(ctx context.Context, cc wire.ControlClient) (*wire.PlacementsResponse, error) {
		return cc.Placements(ctx, &wire.PlacementsRequest{Cell: cell})
	})
}

// ReportNode tells the leader what this node enforces.
func (c *Client) ReportNode(ctx context.Context, rep *wire.NodeReport) (*wire.NodeReportAck, error) {
	return withControl(ctx, c, func(ctx context.Context, cc wire.ControlClient) (*wire.NodeReportAck, error) {
		return cc.ReportNode(ctx, rep)
	})
}

func withControl[T any](ctx context.Context, c *Client, f func(context.Context, wire.ControlClient) (T, error)) (T, error) {
	return withLeader(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (T, error) {
		return f(ctx, wire.NewControlClient(conn))
	})
}

// withLeader calls f at the leader, trying one control VM after the other until one
// answers or ctx ends.
func withLeader[T any](ctx context.Context, c *Client, f func(context.Context, *grpc.ClientConn) (T, error)) (T, error) {
	var zero T
	for {
		addr := c.pick()
		res, err := call(ctx, c, addr, f)
		if err == nil {
			c.setLeader(addr)
			return res, nil
		}
		if final(err) {
			return zero, errors.Wrap(err, "control group")
		}
		hinted := c.failed(addr, err)
		if ctx.Err() != nil {
			return zero, errkind.Wrap(errkind.ControlUnavailable, err, "no answer from the control group in time")
		}
		if !hinted {
			_ = pause.For(ctx, retryPause)
		}
	}
}

func call[T any](ctx context.Context, c *Client, addr string, f func(context.Context, *grpc.ClientConn) (T, error)) (T, error) {
	var zero T
	conn, err := c.conn(addr)
	if err != nil {
		return zero, err
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return f(ctx, conn)
}

// final reports whether another try can't change the answer.
func final(err error) bool {
	switch status.Code(err) {
	case codes.InvalidArgument, codes.PermissionDenied, codes.Unauthenticated, codes.Unimplemented, codes.NotFound:
		return true
	default:
		return false
	}
}

func (c *Client) pick() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	addr := c.addrs[c.next%len(c.addrs)]
	c.next++
	return addr
}

func (c *Client) setLeader(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = addr
}

// failed forgets the leader, takes the hint of the answer where there is one and
// reports whether it did.
func (c *Client) failed(addr string, err error) bool {
	hint := hintOf(err)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == addr {
		c.leader = ""
	}
	if hint != "" && hint != addr {
		c.leader = hint
		return true
	}
	return false
}

func hintOf(err error) string {
	for _, d := range status.Convert(err).Details() {
		if h, ok := d.(*wire.LeaderHint); ok {
			return h.Address
		}
	}
	return ""
}

func (c *Client) conn(addr string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[addr]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient(addr, c.dial...)
	if err != nil {
		return nil, errors.Wrapf(err, "connecting to %s", addr)
	}
	c.conns[addr] = conn
	return conn, nil
}
