package upclient

import (
	"context"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// listenerDelay is the time in which the kernel closes the listener of a killed process after it has begun to
// close the connections.
const listenerDelay = 25 * time.Millisecond

// Refuses reports whether the upstream's host refuses connections to it, so that the process has ended or stops. A
// connection that is open is kept for a later call. Without a clear answer it returns false.
func (p *Pool) Refuses(ctx context.Context, addr string) bool {
	c, err := p.dial(ctx, addr)
	if err == nil && c.staysOpen(ctx, listenerDelay) {
		p.putIdle(c)
		return false
	}
	if err != nil && !errors.Is(err, syscall.ECONNRESET) {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	if err == nil {
		c.Close()
	}
	// It was closed by an upstream at its limit of connections, or with the listener.
	if c, err = p.dial(ctx, addr); err == nil {
		c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// staysOpen reports whether the peer leaves the connection open and silent for d, or until ctx ends.
func (c *conn) staysOpen(ctx context.Context, d time.Duration) bool {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	_ = c.SetReadDeadline(time.Now().Add(d)) // an error shows in the read
	_, err := c.br.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}
