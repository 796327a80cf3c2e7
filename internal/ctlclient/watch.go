package ctlclient

import (
	"context"
	"time"

	"gentiankeel/internal/pause"
	"gentiankeel/internal/wire"
)

// Watch streams the changes of the replicated state until ctx ends. after returns the
// index to start from each time a stream is opened; deliver is called on this goroutine,
// in the order of the stream. When a stream fails or is idle for watchIdleTimeout, it is
// reopened at another control VM. That one may lag and send deltas older than those
// already delivered, which deliver must ignore.
func (c *Client) Watch(ctx context.Context, node string, after func() uint64, deliver func(*wire.Delta)) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		addr := c.watchAddress(attempt)
		if err := c.watchOnce(ctx, addr, node, after(), deliver); err != nil && ctx.Err() == nil {
			c.log.Warn("Watch failed.", "address", addr, "error", err)
			_ = pause.For(ctx, retryDelay)
		}
	}
}

// watchAddress returns the address for an attempt of a watch. Successive attempts go through
// the known addresses in turn.
func (c *Client) watchAddress(attempt int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addrs[(c.nextAddr+attempt)%len(c.addrs)]
}

func (c *Client) watchOnce(ctx context.Context, addr, node string, after uint64, deliver func(*wire.Delta)) error {
	conn, err := c.conn(addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(watchIdleTimeout, func() {
		c.retire(addr, conn)
		cancel()
	})
	defer idleTimer.Stop()
	stream, err := wire.NewControlClient(conn).Watch(ctx, &wire.WatchRequest{Node: node, AfterIndex: after})
	if err != nil {
		return err
	}
	for {
		d, err := stream.Recv()
		if err != nil {
			return err
		}
		idleTimer.Reset(watchIdleTimeout)
		deliver(d)
	}
}
