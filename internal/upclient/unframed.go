package upclient

import (
	"context"
	"io"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/pause"
)

// aliveDelay is the time for which a new connection to an upstream must stay open for the upstream to
// count as alive. A process that is killed may close its listener after its connections.
const aliveDelay = 25 * time.Millisecond

// endsWithConnection reports whether only the end of the connection marks the end of the response.
func endsWithConnection(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0 && res.Body != http.NoBody
}

// checkAlive returns an error unless the upstream still accepts connections: the kernel closes the
// connections of a killed process in the same way as the process does after a response. The connection
// is kept for a later call.
func (p *Pool) checkAlive(ctx context.Context, addr string) error {
	c, err := p.dial(ctx, addr)
	if err == nil && c.staysOpen(ctx, aliveDelay) {
		p.putIdle(c)
		return nil
	}
	if err == nil {
		c.Close()
	}
	if err == nil || errors.Is(err, syscall.ECONNRESET) {
		// An upstream at its limit of connections closes further ones, and goes on listening.
		if err = pause.For(ctx, aliveDelay); err != nil {
			return errors.WithStack(err)
		}
		if c, err = p.dial(ctx, addr); err == nil {
			c.Close()
		}
		if err == nil || errors.Is(err, syscall.ECONNRESET) {
			return nil
		}
	}
	return errors.Wrap(err, "the upstream accepts no connection after a response without a length")
}

// staysOpen reports whether the peer leaves the connection open and silent for d, or until ctx ends.
func (c *conn) staysOpen(ctx context.Context, d time.Duration) bool {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	_ = c.SetReadDeadline(time.Now().Add(d)) // an error shows in the read
	_, err := c.br.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// checkedEnd turns the end of a response that ends with its connection into an error unless the upstream
// is alive.
type checkedEnd struct {
	io.ReadCloser
	check func() error
	err   error // what the end was found to be; nil until then
}

// Read implements io.Reader.
func (b *checkedEnd) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	b.err = io.EOF
	if cause := b.check(); cause != nil {
		b.err = errors.Wrap(io.ErrUnexpectedEOF, cause.Error())
	}
	return n, b.err
}
