package ctlclient

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"gentiankeel/internal/wire"
)

// lookupStagger is the time after which the lookup of the leader asks the next control VM as
// well. It exceeds a round trip between regions.
const lookupStagger = 150 * time.Millisecond

// Heartbeat forwards the heartbeat of an upstream to the acting coordinator.
func (c *Client) Heartbeat(ctx context.Context, s *wire.UpstreamState) error {
	_, err := callLeader(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*wire.HeartbeatAck, error) {
		return wire.NewCoordinatorClient(conn).Heartbeat(ctx, s)
	})
	return err
}

// PutRouting proposes a routing configuration. It is idempotent.
func (c *Client) PutRouting(ctx context.Context, req *wire.PutRoutingRequest) (*wire.PutRoutingResponse, error) {
	return callLeader(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*wire.PutRoutingResponse, error) {
		return wire.NewCoordinatorClient(conn).PutRouting(ctx, req)
	})
}

// GetRouting reads the routing configuration in force. The read is linearizable.
func (c *Client) GetRouting(ctx context.Context) (*wire.RoutingRecord, error) {
	return callLeader(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*wire.RoutingRecord, error) {
		return wire.NewCoordinatorClient(conn).GetRouting(ctx, &wire.GetRoutingRequest{})
	})
}

// Join sends the leader a request to add a replica to the group. The response states whether the
// replica is a member, or was removed earlier.
func (c *Client) Join(ctx context.Context, m *wire.Member) (*wire.JoinResponse, error) {
	return callLeader(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*wire.JoinResponse, error) {
		return wire.NewCoordinatorClient(conn).Join(ctx, &wire.JoinRequest{Member: m})
	})
}

// RefreshMembers reads the members of the group from the known control VMs until one names
// the leader, and stores their addresses, followed by the seed addresses. The next VM is asked
// once the one before has answered without a leader, or has not answered within lookupStagger.
// If none names the leader, RefreshMembers returns the last error of a call, or nil if no call
// failed.
func (c *Client) RefreshMembers(ctx context.Context) error {
	type answer struct {
		res *wire.MembersResponse
		err error
	}
	addrs := c.rotatedAddresses()
	answers := make(chan answer, len(addrs))
	// A lookup outlives the call that began it, so that a connection without answers is found
	// dead even if another VM answers first.
	lookupCtx := context.WithoutCancel(ctx)
	ask := func(addr string) {
		res, err := callOnce(lookupCtx, c, addr, func(ctx context.Context, conn *grpc.ClientConn) (*wire.MembersResponse, error) {
			return wire.NewCoordinatorClient(conn).Members(ctx, &wire.MembersRequest{})
		})
		answers <- answer{res, err}
	}
	var lastErr error
	stagger := time.NewTicker(lookupStagger)
	defer stagger.Stop()
	for asked, answered := 0, 0; answered < len(addrs); {
		if asked < len(addrs) {
			go ask(addrs[asked])
			asked++
			stagger.Reset(lookupStagger)
		}
		select {
		case a := <-answers:
			answered++
			if a.err != nil {
				lastErr = a.err
			} else if len(a.res.Members) > 0 {
				c.setMembers(a.res)
				if a.res.Leader != "" {
					return nil
				}
			}
		case <-stagger.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "no control VM named the leader")
		}
	}
	return errors.Wrap(lastErr, "no control VM named the leader")
}

// rotatedAddresses returns all known addresses, starting at another one on each call.
func (c *Client) rotatedAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.addrs)
	out := make([]string, 0, n)
	for i := range n {
		out = append(out, c.addrs[(c.nextAddr+i)%n])
	}
	c.nextAddr++
	return out
}

// setMembers replaces the addresses by those of the members, followed by the seeds, and
// closes the connections to all others.
func (c *Client) setMembers(res *wire.MembersResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var addrs []string
	for _, m := range res.Members {
		addrs = append(addrs, m.Address)
	}
	for _, seed := range c.seeds {
		if !slices.Contains(addrs, seed) {
			addrs = append(addrs, seed)
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

// SetSeeds replaces the seed addresses, which are tried in addition to those of the
// members.
func (c *Client) SetSeeds(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = slices.Clone(addrs)
	for _, a := range addrs {
		if !slices.Contains(c.addrs, a) {
			c.addrs = append(c.addrs, a)
		}
	}
}

// AttachStream is an entry's stream to the acting coordinator.
type AttachStream = grpc.BidiStreamingClient[wire.EntryReport, wire.FleetUpdate]

// Attach opens a stream to the leader, or to the next control VM if no leader is known,
// and returns the address it used. There is one stream at a time. Its failure must be reported
// with StreamFailed and that address.
func (c *Client) Attach(ctx context.Context) (stream AttachStream, addr string, err error) {
	addr = c.pickAddress()
	conn, err := c.conn(addr)
	if err != nil {
		return nil, addr, err
	}
	c.mu.Lock()
	c.streamConn = conn
	c.mu.Unlock()
	stream, err = wire.NewCoordinatorClient(conn).Attach(ctx)
	return stream, addr, err
}

// ErrStreamSilent is the cause of a stream's end if nothing arrived on it for too long.
var ErrStreamSilent = errors.New("no message from the coordinator in time")

// StreamFailed records that the stream to addr failed with err. It reports whether the
// error names another leader. After ErrStreamSilent, the connection is replaced.
func (c *Client) StreamFailed(addr string, err error) bool {
	c.mu.Lock()
	conn := c.streamConn
	c.streamConn = nil
	replaced := conn != nil && c.conns[addr] != conn
	c.mu.Unlock()
	switch {
	case replaced:
		conn.Close()
	case conn != nil && errors.Is(err, ErrStreamSilent):
		c.retire(addr, conn)
	}
	return c.recordFailure(addr, err)
}

// Leader returns the last known address of the leader, or "" if none is known.
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}
