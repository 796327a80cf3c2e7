package detour

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ErrRelayDown is the error of a relay that does not take connections.
var ErrRelayDown = errors.New("the relay takes no connection")

const (
	// headStart is how long a direct try may take before a relay is asked beside it.
	headStart = 60 * time.Millisecond
	// relayHeadStart is how long a relay may take before the next one is asked beside it.
	relayHeadStart = 100 * time.Millisecond
	// maxRelayTries bounds the relays that are asked for one connection.
	maxRelayTries = 3
	// DirectTimeout bounds a direct try.
	DirectTimeout = 400 * time.Millisecond
)

// Options configure a Dialer.
type Options struct {
	// Direct opens a connection to an address without a relay.
	Direct func(ctx context.Context, addr string) (net.Conn, error)
	// Relay opens one through a relay. Its error is, or wraps, syscall.ECONNREFUSED if the upstream does not
	// listen, and ErrRelayDown if the relay does not take the connection. nil: relays are not used.
	Relay func(ctx context.Context, relay, addr string) (net.Conn, error)
	// PathChanged is called when the entry has lost its path or has one again; nil: nobody is told.
	PathChanged func(withoutPath bool)
	// Done is called with the end of each try; nil: nobody is told. relay is empty for a direct one.
	Done   func(relay string, err error)
	Logger *slog.Logger
}

// Dialer opens connections to upstreams, direct or through relays. It is safe for concurrent use.
type Dialer struct {
	o       Options
	started time.Time

	mu    sync.Mutex
	table *Table
}

// NewDialer returns a dialer that knows no relays.
func NewDialer(o Options) *Dialer {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return &Dialer{o: o, started: time.Now(), table: NewTable()}
}

// SetRelays replaces the relays, the best first.
func (d *Dialer) SetRelays(relays []string) {
	if d.o.Relay == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.SetRelays(relays)
}

// WithoutPath reports whether the entry has no direct path to upstreams.
func (d *Dialer) WithoutPath() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.WithoutPath()
}

// try is the end of one try to connect.
type try struct {
	conn net.Conn
	err  error
}

// Dial opens a connection to an upstream in whatever way is open first. If none is, it returns the refusal of the
// upstream if one came, also when ctx ends, or else the error of the last try to end.
func (d *Dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx) // its end tells tries that nobody waits for them
	defer cancel()
	d.mu.Lock()
	plan := d.table.Plan(time.Since(d.started), addr)
	d.mu.Unlock()
	relays := plan.Relays[:min(len(plan.Relays), maxRelayTries)]
	tries := make(chan try) // unbuffered: a connection that nobody takes is closed by its try
	running := 0
	if plan.Direct {
		running++
		go d.direct(ctx, addr, tries)
	}
	next := time.NewTimer(headStart)
	defer next.Stop()
	startNext := func() {
		if len(relays) > 0 {
			running++
			go d.relay(ctx, relays[0], addr, tries)
			relays = relays[1:]
			next.Reset(relayHeadStart)
		}
	}
	if plan.RelaysAtOnce || !plan.Direct {
		startNext()
	}
	err := errors.New("no way to the upstream is known")
	for running > 0 {
		select {
		case t := <-tries:
			if t.err == nil {
				return t.conn, nil
			}
			running--
			if !errors.Is(err, syscall.ECONNREFUSED) {
				err = t.err
			}
			startNext()
		case <-next.C:
			startNext()
		case <-ctx.Done():
			if !errors.Is(err, syscall.ECONNREFUSED) {
				err = errors.WithStack(ctx.Err())
			}
			return nil, err
		}
	}
	return nil, err
}

// direct tries to connect without a relay. The try goes on when another way was open before or the caller has
// left, since its end tells whether the entry has a path.
func (d *Dialer) direct(ctx context.Context, addr string, tries chan<- try) {
	dialCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), DirectTimeout)
	defer cancel()
	conn, err := d.DialDirect(dialCtx, addr)
	hand(ctx, tries, conn, err)
}

// DialDirect connects without a relay.
func (d *Dialer) DialDirect(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := d.o.Direct(ctx, addr)
	d.done("", err)
	if err == nil || !errors.Is(err, context.Canceled) {
		d.record(func(now Time) { d.table.DirectDone(now, addr, resultOf(err)) })
	}
	return conn, err
}

// relay tries to connect through a relay.
func (d *Dialer) relay(ctx context.Context, relay, addr string, tries chan<- try) {
	conn, err := d.o.Relay(ctx, relay, addr)
	d.done(relay, err)
	if err == nil || ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		d.record(func(now Time) { d.table.RelayDone(now, relay, addr, resultOf(err)) })
	}
	hand(ctx, tries, conn, err)
}

// hand passes the end of a try on, or closes its connection if nobody waits for it.
func hand(ctx context.Context, tries chan<- try, conn net.Conn, err error) {
	select {
	case tries <- try{conn, err}:
	case <-ctx.Done():
		if conn != nil {
			conn.Close()
		}
	}
}

func (d *Dialer) done(relay string, err error) {
	if d.o.Done != nil {
		d.o.Done(relay, err)
	}
}

// record changes the table and tells of a change of the path.
func (d *Dialer) record(change func(now Time)) {
	d.mu.Lock()
	before := d.table.WithoutPath()
	change(time.Since(d.started))
	after := d.table.WithoutPath()
	d.mu.Unlock()
	if before == after {
		return
	}
	if after {
		d.o.Logger.Warn("No path to upstreams; connections go through other entries.")
	} else {
		d.o.Logger.Info("A path to upstreams again.")
	}
	if d.o.PathChanged != nil {
		d.o.PathChanged(after)
	}
}

func resultOf(err error) Result {
	switch {
	case err == nil:
		return Open
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	case errors.Is(err, ErrRelayDown):
		return RelayDown
	}
	return Failed
}
