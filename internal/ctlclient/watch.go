package ctlclient

import (
	"context"
	"time"

	"gentiankeel/internal/pause"
	"gentiankeel/internal/wire"
)

// Watch follows the replicated state after an index until ctx ends. deliver is called
// in order on this goroutine. A delta that a lagging control VM sends below what was
// delivered is the follower's to refuse; a watch reopens at another control VM when one
// breaks or stays silent.
func (c *Client) Watch(ctx context.Context, node string, after func() uint64, deliver func(*wire.Delta)) {
	for round := 0; ctx.Err() == nil; round++ {
		addr := c.watchAddress(round)
		if err := c.watchOnce(ctx, addr, node, after(), deliver); err != nil && ctx.Err() == nil {
			c.log.Warn("Watch broke.", "address", addr, "error", err)
			_ = pause.For(ctx, retryPause)
		}
	}
}

func (c *Client) watchAddress(round int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addrs[(c.next+round)%len(c.addrs)]
}

func (c *Client) watchOnce(ctx context.Context, addr, node string, after uint64, deliver func(*wire.Delta)) error {
	conn, err := c.conn(addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(watchSilence, cancel)
	defer silence.Stop()
	stream, err := wire.NewControlClient(conn).Watch(ctx, &wire.WatchRequest{Node: node, AfterIndex: after})
	if err != nil {
		return err
	}
	for {
		d, err := stream.Recv()
		if err != nil {
			return err
		}
		silence.Reset(watchSilence)
		deliver(d)
	}
}
