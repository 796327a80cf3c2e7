package relay

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"gentiankeel/internal/wire"
)

// DefaultIdleTimeout is the default of DialerOptions.IdleTimeout.
const DefaultIdleTimeout = time.Minute

// DialerOptions configure a Dialer. Either DialOptions or Connect is required.
type DialerOptions struct {
	DialOptions []grpc.DialOption // of the connections to relays, such as credentials
	// Connect returns a connection to a relay, which the Dialer closes; nil: grpc.NewClient with
	// DialOptions.
	Connect     func(relayAddr string) (*grpc.ClientConn, error)
	IdleTimeout time.Duration // after which an unused connection to a relay is closed; 0: DefaultIdleTimeout
}

// Dialer opens connections to upstreams through relays. It is safe for concurrent use.
type Dialer struct {
	o DialerOptions

	mu     sync.Mutex
	links  map[string]*link // by address of the relay
	all    map[*link]struct{}
	closed bool
}

// link is a connection to a relay. Its fields are guarded by Dialer.mu.
type link struct {
	addr      string
	grpc      *grpc.ClientConn
	uses      int         // connections to upstreams
	idleTimer *time.Timer // nil while it is used
}

// NewDialer returns a Dialer without connections.
func NewDialer(o DialerOptions) *Dialer {
	if o.Connect == nil {
		opts := o.DialOptions
		o.Connect = func(relayAddr string) (*grpc.ClientConn, error) { return grpc.NewClient(relayAddr, opts...) }
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	return &Dialer{o: o, links: map[string]*link{}, all: map[*link]struct{}{}}
}

// Dial opens a connection to an upstream at upstreamAddr, IP:PORT, through a relay and returns once it is
// open; ctx bounds only that. Errors are ErrNoPath, ErrRefused or ErrRelayUnavailable, with their cause;
// if ctx is cancelled or had ended before, that of ctx; otherwise upstreamAddr is invalid.
//
// Besides net.Conn, the connection has CloseWrite() error, and Received() (bytes, closed bool), which
// reports without blocking whether bytes or the end have arrived. If the upstream resets the connection,
// reads return syscall.ECONNRESET, and if the relay is lost ErrRelayUnavailable. The upstream's FIN is
// read as io.EOF and ends both directions. A Write that meets its deadline breaks the connection off.
func (d *Dialer) Dial(ctx context.Context, relayAddr, upstreamAddr string) (net.Conn, error) {
	remote, err := netip.ParseAddrPort(upstreamAddr)
	if err != nil {
		return nil, errors.Wrap(err, "upstream address")
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	l, err := d.acquire(relayAddr)
	if err != nil {
		return nil, &kindError{kind: ErrRelayUnavailable, cause: err}
	}
	// The connection outlives ctx and keeps none of its values.
	streamCtx, cancel := context.WithCancel(context.Background())
	stopCancel := context.AfterFunc(ctx, cancel)
	stream, err := wire.NewRelayClient(l.grpc).Connect(streamCtx)
	if err == nil {
		err = stream.Send(&wire.RelayData{Address: upstreamAddr})
		if errors.Is(err, io.EOF) {
			err = nil // the stream's error is received below
		}
	}
	if err != nil {
		stopCancel()
		cancel()
		d.release(l)
		return nil, setupError(ctx, err, false)
	}
	c := newConn(stream, cancel, relayAddr, net.TCPAddrFromAddrPort(remote))
	var answered atomic.Bool
	opened := make(chan error, 1)
	go func() {
		defer d.release(l)
		defer cancel()
		// A stream that ends without headers gives none, and no error.
		if header, err := stream.Header(); err == nil && header != nil {
			answered.Store(true)
		}
		_, err := stream.Recv()
		opened <- err
		if err == nil {
			c.receive()
		}
	}()
	err = <-opened
	if !stopCancel() && err == nil {
		_ = c.Close()
		err = ctx.Err()
	}
	if err == nil {
		return c, nil
	}
	if ctx.Err() != nil && !answered.Load() {
		d.retire(l)
	}
	return nil, setupError(ctx, err, answered.Load())
}

// setupError returns the error of Dial for that of its stream. answered tells whether the relay has
// taken up the stream.
func setupError(ctx context.Context, err error, answered bool) error {
	cause := ctx.Err()
	switch {
	case cause == nil && errors.Is(err, io.EOF):
		return &kindError{kind: ErrRelayUnavailable, cause: io.ErrUnexpectedEOF}
	case cause == nil:
		return dialError(err)
	case errors.Is(cause, context.Canceled):
		return cause
	case answered:
		return &kindError{kind: ErrNoPath, cause: cause}
	default:
		return &kindError{kind: ErrRelayUnavailable, cause: cause}
	}
}

// acquire returns the link to a relay, which counts as used until release.
func (d *Dialer) acquire(relayAddr string) (*link, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, net.ErrClosed
	}
	l := d.links[relayAddr]
	if l == nil {
		g, err := d.o.Connect(relayAddr)
		if err != nil {
			return nil, errors.Wrapf(err, "connecting to %s", relayAddr)
		}
		l = &link{addr: relayAddr, grpc: g}
		d.links[relayAddr] = l
		d.all[l] = struct{}{}
	}
	if l.idleTimer != nil {
		l.idleTimer.Stop()
		l.idleTimer = nil
	}
	l.uses++
	return l, nil
}

func (d *Dialer) release(l *link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l.uses--
	if _, ok := d.all[l]; l.uses > 0 || !ok {
		return
	}
	if d.links[l.addr] != l { // retired
		d.closeLink(l)
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(d.o.IdleTimeout, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		// Stop does not hold back a timer that has fired.
		if l.idleTimer == timer {
			d.closeLink(l)
		}
	})
	l.idleTimer = timer
}

// retire makes the next Dial open a new link to the relay. The old one may be dead without any sign of it
// until its keepalive fails; it is closed with the last connection on it.
func (d *Dialer) retire(l *link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.links[l.addr] != l {
		return
	}
	delete(d.links, l.addr)
	if l.uses == 0 {
		d.closeLink(l)
	}
}

// closeLink requires that d.mu is held.
func (d *Dialer) closeLink(l *link) {
	if l.idleTimer != nil {
		l.idleTimer.Stop()
		l.idleTimer = nil
	}
	if d.links[l.addr] == l {
		delete(d.links, l.addr)
	}
	delete(d.all, l)
	l.grpc.Close()
}

// Close closes all connections to relays, and with them those to upstreams. Later calls of Dial fail.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for l := range d.all {
		d.closeLink(l)
	}
}
