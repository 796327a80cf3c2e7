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

	"gentiankeel/internal/httpresponse"
	"gentiankeel/internal/respbuf"
)

// errGateClosed is the error of a write that a sendGate forbids.
var errGateClosed = errors.New("the attempt may not be sent any more")

// sendGate decides immediately before the first byte of an attempt is written whether it
// may still be sent. Without it a process that was paused between the grant and the
// write would send under a slot that has been granted to another request.
type sendGate struct {
	now   func() time.Time
	useBy time.Time // from then on no first byte may be written

	mu      sync.Mutex
	written bool
	closed  bool
	refused bool // a first write was forbidden
}

// allowWrite reports whether bytes may be written. If so, they count as written.
func (g *sendGate) allowWrite() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.written {
		return true
	}
	if g.closed || !skipUseBy && !g.now().Before(g.useBy) {
		g.closed = true
		g.refused = true
		return false
	}
	g.written = true
	return true
}

// close forbids a first write from now on. It reports whether no byte was written.
func (g *sendGate) close() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	return !g.written
}

// refusedWrite reports whether the gate has forbidden a first write.
func (g *sendGate) refusedWrite() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refused
}

// gatedConn is a connection that checks the gate of its current attempt before each
// write.
type gatedConn struct {
	httpresponse.Conn
	gate atomic.Pointer[sendGate]
}

// Write implements net.Conn.
func (c *gatedConn) Write(b []byte) (int, error) {
	if g := c.gate.Load(); g == nil || !g.allowWrite() {
		return 0, errGateClosed
	}
	return c.Conn.Write(b)
}

// withGate returns a context for a request whose connection checks g.
func withGate(ctx context.Context, g *sendGate) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*gatedConn); ok {
				c.gate.Store(g)
			}
		},
	})
}

const (
	dialTimeout         = 2 * time.Second
	keepAlivePeriod     = 15 * time.Second
	upstreamIdleTimeout = 90 * time.Second
	upstreamBufferSize  = 4 << 10 // bytes, per direction of a connection
)

// newTransport returns a transport for calls to upstreams; maxConns limits the
// connections to each one, 0 is no limit. With atMostOnce each call gets a new
// connection, because net/http sends a request again when a reused one fails.
func newTransport(maxConns int, atMostOnce bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &gatedConn{Conn: httpresponse.NewConn(c)}, nil
		},
		MaxConnsPerHost:        maxConns,
		MaxIdleConnsPerHost:    maxConns,
		IdleConnTimeout:        upstreamIdleTimeout,
		DisableCompression:     true,
		DisableKeepAlives:      atMostOnce,
		MaxResponseHeaderBytes: respbuf.MaxHeadBytes,
		ReadBufferSize:         upstreamBufferSize,
		WriteBufferSize:        upstreamBufferSize,
	}
}
