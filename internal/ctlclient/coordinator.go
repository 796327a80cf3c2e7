package ctlclient

import (
	"context"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"gentiankeel/internal/wire"
)

// Heartbeat passes an upstream's heartbeat on to the acting coordinator.
func (c *Client) Heartbeat(ctx context.Context, s *wire.UpstreamState) error {
	_, err := withLeader(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*wire.HeartbeatAck, error) {
		return wire.NewCoordinatorClient(conn).Heartbeat(ctx, s)
	})
	return err
}

// PutRouting proposes a routing configuration. It is idempotent.
func (c *Client) PutRouting(ctx context.Context, req *wire.PutRoutingRequest) (*wire.PutRoutingResponse, error) {
	return withLeader(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*wire.PutRoutingResponse, error) {
		return wire.NewCoordinatorClient(conn).PutRouting(ctx, req)
	})
}

// GetRouting reads the routing configuration in force, linearizably.
func (c *Client) GetRouting(ctx context.Context) (*wire.RoutingRecord, error) {
	return withLeader(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*wire.RoutingRecord, error) {
		return wire.NewCoordinatorClient(conn).GetRouting(ctx, &wire.GetRoutingRequest{})
	})
}

// Join offers a replica to the leader; true when it is a member.
func (c *Client) Join(ctx context.Context, m *wire.Member) (bool, error) {
	res, err := withLeader(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*wire.JoinResponse, error) {
		return wire.NewCoordinatorClient(conn).Join(ctx, &wire.JoinRequest{Member: m})
	})
	return res.GetMember(), err
}

// Refresh asks one control VM after the other who is in the group and remembers the
// answer. The addresses that the client was made with stay as hints.
func (c *Client) Refresh(ctx context.Context) error {
	var last error
	for _, addr := range c.known() {
		if ctx.Err() != nil {
			break
		}
		res, err := call(ctx, c, addr, func(ctx context.Context, conn *grpc.ClientConn) (*wire.MembersResponse, error) {
			return wire.NewCoordinatorClient(conn).Members(ctx, &wire.MembersRequest{})
		})
		if err != nil {
			last = err
			continue
		}
		if len(res.Members) == 0 {
			continue
		}
		c.learn(res)
		if res.Leader != "" {
			return nil
		}
	}
	return errors.Wrap(last, "no control VM knows a leader")
}

// known returns the addresses to ask, those of the members first.
func (c *Client) known() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.addrs)
	out := make([]string, 0, n)
	for i := range n {
		out = append(out, c.addrs[(c.next+i)%n])
	}
	c.next++
	return out
}

// learn puts the members before the hints.
func (c *Client) learn(res *wire.MembersResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var addrs []string
	for _, m := range res.Members {
		addrs = append(addrs, m.Address)
	}
	for _, h := range c.hints {
		if !slices.Contains(addrs, h) {
			addrs = append(addrs, h)
		}
	}
	c.addrs = addrs
	if res.Leader != "" {
		c.leader = res.Leader
	}
	for addr, conn := range c.conns {
		if !slices.Contains(addrs, addr) {
			conn.Close()
			delete(c.conns, addr)
		}
	}
}

// Hint replaces the addresses that are asked beside those of the members.
func (c *Client) Hint(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hints = slices.Clone(addrs)
	for _, a := range addrs {
		if !slices.Contains(c.addrs, a) {
			c.addrs = append(c.addrs, a)
		}
	}
}

// AttachStream is an entry's stream to the acting coordinator.
type AttachStream = grpc.BidiStreamingClient[wire.EntryReport, wire.FleetUpdate]

// Attach opens a stream at the control VM that leads, as far as is known. Lost tells the
// client that the stream of an address broke.
func (c *Client) Attach(ctx context.Context) (stream AttachStream, addr string, err error) {
	addr = c.pick()
	conn, err := c.conn(addr)
	if err != nil {
		return nil, addr, err
	}
	stream, err = wire.NewCoordinatorClient(conn).Attach(ctx)
	return stream, addr, err
}

// Lost notes that a stream broke; it reports whether the error names another leader.
func (c *Client) Lost(addr string, err error) bool { return c.failed(addr, err) }

// Leader returns the address of the leader as last known; empty: unknown.
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}
