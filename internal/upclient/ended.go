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

// HasEnded reports whether the process of an upstream has ended, stops, or may have ended with its host: connections are refused,
// or don't open twice in a row, or id, unless it is nil, finds another process than the one that started at bornUnixMs, or none
// that gives a valid answer before the connection breaks off. A connection that is open is kept for a later call. If ctx has ended, or the
// process is silent, it returns false.
func (p *Pool) HasEnded(ctx context.Context, addr string, id *Identify, bornUnixMs int64) bool {
	// An idle connection may lead to the old process, whose end it has not received yet. The first of two may be closed
	// with the listener, at once or when it is asked, or by an upstream at its limit of connections; or a packet is lost.
	closesAtOnce := false
	for range 2 {
		c, err := p.dial(ctx, addr)
		switch {
		case err == nil && c.staysOpen(ctx, listenerDelay):
			if id == nil {
				p.putIdle(c)
				return false
			}
			if isOther, err := c.isOfOther(ctx, p, id, bornUnixMs); err == nil {
				return isOther
			}
		case err == nil:
			c.Close()
			closesAtOnce = true
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		case errors.Is(err, syscall.ECONNRESET):
			closesAtOnce = true
		}
	}
	if closesAtOnce && id == nil { // nothing tells an upstream at its limit from one that ends
		return false
	}
	return ctx.Err() == nil
}

// isOfOther reports whether the connection leads to another process than the one that started at bornUnixMs. It keeps the
// connection for a later call, or closes it if that process can't be identified. It returns an error if the connection broke
// off before an answer.
func (c *conn) isOfOther(ctx context.Context, p *Pool, id *Identify, bornUnixMs int64) (bool, error) {
	_ = c.SetReadDeadline(time.Time{})
	err := c.askIdentity(ctx, p, id)
	if err == nil {
		p.putIdle(c)
	} else {
		c.Close()
	}
	switch {
	case err == nil, errors.Is(err, errClosesConnection):
		return c.bornUnixMs != 0 && c.bornUnixMs != bornUnixMs, nil
	case errors.Is(err, ErrMisdirected), errors.Is(err, ErrNotIdentified):
		return errors.Is(err, ErrMisdirected), nil
	}
	return false, err
}

// staysOpen reports whether the peer leaves the connection open and silent for d, or until ctx ends.
func (c *conn) staysOpen(ctx context.Context, d time.Duration) bool {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	_ = c.SetReadDeadline(time.Now().Add(d)) // an error shows in the read
	_, err := c.br.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}
