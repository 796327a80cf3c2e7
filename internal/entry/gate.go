package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// errGateClosed fails the first write of an attempt that may not be sent any more.
var errGateClosed = errors.New("the attempt may not be sent any more")

// gate decides, immediately before an attempt's first byte is written, whether it may
// still be sent. A process that was frozen between the grant and the write would
// otherwise send under a slot that another request holds by then.
type gate struct {
	now   func() time.Time
	useBy time.Time // later than this no first byte is written

	mu      sync.Mutex
	written bool
	closed  bool
}

// open reports whether bytes may be written, and notes that they are.
func (g *gate) open() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.written {
		return true
	}
	if g.closed || !skipUseBy && !g.now().Before(g.useBy) {
		g.closed = true
		return false
	}
	g.written = true
	return true
}

// giveUp gives up the right to send; it reports whether no byte was written.
func (g *gate) giveUp() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	return !g.written
}

// gatedConn asks the gate of the attempt that uses the connection before it writes.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[gate]
}

// Write implements net.Conn.
func (c *gatedConn) Write(b []byte) (int, error) {
	if g := c.gate.Load(); g == nil || !g.open() {
		return 0, errGateClosed
	}
	return c.Conn.Write(b)
}

// withGate returns a context under which the transport's connection obeys g.
func withGate(ctx context.Context, g *gate) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*gatedConn); ok {
				c.gate.Store(g)
			}
		},
	})
}

const (
	dialTimeout     = 2 * time.Second
	keepAlivePeriod = 15 * time.Second
	upstreamIdle    = 90 * time.Second
	upstreamBuffer  = 4 << 10 // bytes, for each direction of a connection
)

// newTransport returns the client side towards upstreams. once is set for calls that
// may be sent at most once: the transport sends a request again when a kept
// connection fails, so such calls get a fresh connection each.
func newTransport(maxConns int, once bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &gatedConn{Conn: c}, nil
		},
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout:     upstreamIdle,
		DisableCompression:  true,
		DisableKeepAlives:   once,
		ReadBufferSize:      upstreamBuffer,
		WriteBufferSize:     upstreamBuffer,
	}
}
