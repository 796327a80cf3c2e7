// Package ctlclient is the client of the control group for the other nodes. It finds the
// leader, retries idempotent calls and watches the replicated state.
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
	// attemptTimeout limits one attempt at one control VM. It leaves time to renew a lease
	// at the next leader when the present one hangs.
	attemptTimeout = 700 * time.Millisecond
	// retryDelay is the time between two attempts. A leader hint is followed without it.
	retryDelay = 50 * time.Millisecond
	// watchIdleTimeout is the time without a message after which a watch is reopened at
	// another control VM. An idle watch gets a heartbeat every 3 s.
	watchIdleTimeout = 10 * time.Second
)

// Options configures a Client.
type Options struct {
	Addresses []string // gRPC addresses of control VMs to start with; at least one
	Dial      []grpc.DialOption
	Logger    *slog.Logger
}

// Client calls the control group. It is safe for concurrent use.
type Client struct {
	log  *slog.Logger
	dial []grpc.DialOption

	mu    sync.Mutex
	addrs []string
	seeds []string // tried in addition to the members
	conns map[string]*grpc.ClientConn
	// streamConn is the connection of the stream that Attach opened; nil if there is none.
	streamConn *grpc.ClientConn
	leader     string // address that last answered as the leader
	nextAddr   int    // index of the next address to try, modulo len(addrs)
}

// New returns a client; connections are opened on use.
func New(o Options) *Client {
	return &Client{
		log:   o.Logger.With("part", "ctlclient"),
		dial:  o.Dial,
		addrs: append([]string(nil), o.Addresses...),
		seeds: append([]string(nil), o.Addresses...),
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
// holder, order id or attempt), so it is retried until it is answered or ctx ends. When
// ctx ends, the error is of kind ControlUnavailable and the command may still commit.
func (c *Client) Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	return callControl(ctx, c, func(ctx context.Context, cc wire.ControlClient) (*wire.Result, error) {
		return cc.Propose(ctx, cmd)
	})
}

// KeepAlive renews leases at the leader. The response names the leases that are no longer
// held.
func (c *Client) KeepAlive(ctx context.Context, req *wire.KeepAliveRequest) (*wire.KeepAliveResponse, error) {
	return callControl(ctx, c, func(ctx context.Context, cc wire.ControlClient) (*wire.KeepAliveResponse, error) {
		return cc.KeepAlive(ctx, req)
	})
}

// Placements reads the placements of a cell.
func (c *Client) Placements(ctx context.Context, cell string) (*wire.PlacementsResponse, error) {
	return callControl(ctx, c, func(ctx context.Context, cc wire.ControlClient) (*wire.PlacementsResponse, error) {
		return cc.Placements(ctx, &wire.PlacementsRequest{Cell: cell})
	})
}

// ReportNode reports to the leader which state this node enforces.
func (c *Client) ReportNode(ctx context.Context, rep *wire.NodeReport) (*wire.NodeReportAck, error) {
	return callControl(ctx, c, func(ctx context.Context, cc wire.ControlClient) (*wire.NodeReportAck, error) {
		return cc.ReportNode(ctx, rep)
	})
}

func callControl[T any](ctx context.Context, c *Client, f func(context.Context, wire.ControlClient) (T, error)) (T, error) {
	return callLeader(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (T, error) {
		return f(ctx, wire.NewControlClient(conn))
	})
}

// callLeader calls f with a connection to the leader. It tries one control VM after
// another until one answers, the error is permanent, or ctx ends.
func callLeader[T any](ctx context.Context, c *Client, f func(context.Context, *grpc.ClientConn) (T, error)) (T, error) {
	var zero T
	for {
		addr := c.pickAddress()
		res, err := callOnce(ctx, c, addr, f)
		if err == nil {
			c.setLeader(addr)
			return res, nil
		}
		if isPermanent(err) {
			return zero, errors.Wrap(err, "control group")
		}
		hinted := c.recordFailure(addr, err)
		if ctx.Err() != nil {
			return zero, errkind.Wrap(errkind.ControlUnavailable, err, "no answer from the control group in time")
		}
		if !hinted {
			_ = pause.For(ctx, retryDelay)
		}
	}
}

// callOnce calls f at one control VM, within attemptTimeout.
func callOnce[T any](ctx context.Context, c *Client, addr string, f func(context.Context, *grpc.ClientConn) (T, error)) (T, error) {
	var zero T
	conn, err := c.conn(addr)
	if err != nil {
		return zero, err
	}
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	res, err := f(attemptCtx, conn)
	if err != nil && ctx.Err() == nil && attemptCtx.Err() != nil {
		c.retire(addr, conn)
	}
	return res, err
}

// retire makes the next call to addr open a new connection. The old one may be dead without
// any sign of it, and would then delay every call until its keepalive fails. Calls that are in
// progress on it have attemptTimeout to end; a stream keeps it open until the stream ends.
func (c *Client) retire(addr string, conn *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[addr] != conn {
		return
	}
	delete(c.conns, addr)
	c.log.Info("Connection to a control VM gave no answer and is replaced.", "address", addr)
	time.AfterFunc(attemptTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.streamConn != conn {
			conn.Close()
		}
	})
}

// isPermanent reports whether a retry can't change the result.
func isPermanent(err error) bool {
	switch status.Code(err) {
	case codes.InvalidArgument, codes.PermissionDenied, codes.Unauthenticated, codes.Unimplemented, codes.NotFound:
		return true
	default:
		return false
	}
}

// pickAddress returns the address of the known leader, or else the next one of the group.
func (c *Client) pickAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	addr := c.addrs[c.nextAddr%len(c.addrs)]
	c.nextAddr++
	return addr
}

func (c *Client) setLeader(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = addr
}

// recordFailure drops addr as the known leader after an error. If the error names another
// leader, it becomes the known one and the result is true.
func (c *Client) recordFailure(addr string, err error) bool {
	hint := leaderHint(err)
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

func leaderHint(err error) string {
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
