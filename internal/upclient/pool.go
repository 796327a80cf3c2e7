// Package upclient calls upstreams over HTTP/1.1. Unlike net/http it never retries a
// request, reports whether a failed request may have reached the upstream, and reuses a
// connection only if nothing was received on it since the last response.
package upclient

import (
	"bufio"
	"context"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"gentiankeel/internal/httpresponse"
	"gentiankeel/internal/respbuf"
)

// Options configure a Pool; zero fields take the defaults.
type Options struct {
	DialTimeout time.Duration // bounds the setup of a connection
	// Dial opens a connection to an address; nil: that of NewDialer.
	Dial           func(ctx context.Context, addr string) (net.Conn, error)
	MaxIdleTime    time.Duration // longest idle time of a reused connection
	MaxIdlePerHost int           // bound on the idle connections to one address
	MaxIdle        int           // bound on all idle connections
	// IsResponseTo reports whether a response belongs to the request; nil accepts every one. An
	// upstream may send an extra response, which would be read as that of the next request. isFirst
	// is set if the connection carried no request before.
	IsResponseTo func(req *http.Request, res *http.Response, isFirst bool) bool
}

const (
	// DefaultDialTimeout exceeds a round trip between availability zones a hundredfold and
	// leaves time to try another upstream.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultMaxIdleTime is less than the known idle timeouts of upstreams.
	DefaultMaxIdleTime = 900 * time.Millisecond
	defaultIdlePerHost = 64
	defaultMaxIdle     = 512
	// closeWindow is the time after a response within which an upstream that closes the
	// connection unannounced may have ended with the request.
	closeWindow = 250 * time.Millisecond
	// unackedTimeout is the time without an acknowledgement after which a connection breaks off. Several probes
	// fit in, so that a lost one does no harm; with TCP_USER_TIMEOUT their count does not matter.
	unackedTimeout = 3 * time.Second
	// probeInterval is the time between two probes of a quiet connection. The kernel counts in seconds.
	probeInterval = time.Second
	// bufferSize is the size in bytes of a connection's read buffer, and the longest body
	// that is sent together with the header.
	bufferSize = 4 << 10
	// maxMismatched bounds the responses to other requests that are skipped.
	maxMismatched = 2
	// maxKeptIDs bounds the ids of calls that a connection remembers.
	maxKeptIDs = 32
	// maxSkippedBytes bounds the body of a skipped response.
	maxSkippedBytes = 256 << 10
)

// Pool calls upstreams over reused connections. It is safe for concurrent use.
type Pool struct {
	o Options

	mu        sync.Mutex
	idle      map[string][]*conn // by address, the last used one last
	idleCount int                // in idle
	swept     time.Time          // when the expired ones were last closed
}

// New returns an empty pool.
func New(o Options) *Pool {
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.MaxIdleTime <= 0 {
		o.MaxIdleTime = DefaultMaxIdleTime
	}
	if o.MaxIdlePerHost <= 0 {
		o.MaxIdlePerHost = defaultIdlePerHost
	}
	if o.MaxIdle <= 0 {
		o.MaxIdle = defaultMaxIdle
	}
	if o.Dial == nil {
		d := NewDialer()
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
	}
	return &Pool{o: o, idle: map[string][]*conn{}}
}

// NewDialer returns a dialer for upstreams. Its connections break off when the path is lost: no byte that was sent
// is acknowledged for unackedTimeout, or no probe of a quiet connection is answered for as long. An upstream that is
// only busy or silent answers probes.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: int(unackedTimeout / probeInterval)},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			if cerr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			}); cerr != nil {
				return errors.WithStack(cerr)
			}
			return errors.Wrap(err, "setting the time-out of a connection to an upstream")
		},
	}
}

// conn is a connection to an upstream, which at most one exchange uses at a time.
type conn struct {
	net.Conn
	addr              string
	responses         *httpresponse.Reader   // below in
	in                *respbuf.LimitedReader // below br; bounds heads, which the parser keeps in memory
	br                *bufio.Reader
	idleSince         time.Time     // end of the last response
	serverIdleTimeout time.Duration // idle timeout that the upstream announced; 0: none
	ids               []string      // of the last calls, see Call.ID
	isUsed            bool          // it carried a request before, other than one for the identity of its process
	isAsked           bool          // its process was asked which one it is, see Identify
	bornUnixMs        int64         // start of that process; 0: it does not tell
	onClosed          func()        // see Call.OnClosed; nil once it was called or closeWindow has passed
}

// takeIdle removes and returns a reusable idle connection for a call with an id, nil if there is
// none. It closes the others that it comes across.
func (p *Pool) takeIdle(addr, id string) *conn {
	now := time.Now()
	for {
		c := p.popIdle(addr, id)
		if c == nil {
			return nil
		}
		if now.Sub(c.idleSince) < c.maxIdleTime(p.o.MaxIdleTime) && c.reusable() {
			return c
		}
		c.reportClosed(now)
		c.Close()
	}
}

// popIdle removes and returns the connection used last that carried no call with the id, nil if
// there is none.
func (p *Pool) popIdle(addr, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; id == "" || !slices.Contains(c.ids, id) {
			p.idle[addr] = slices.Delete(list, i, i+1)
			p.idleCount--
			return c
		}
	}
	return nil
}

// noteCall records that the connection carries a call with an id.
func (c *conn) noteCall(id string) {
	c.isUsed = true
	if id == "" {
		return
	}
	if len(c.ids) >= maxKeptIDs {
		c.ids = slices.Delete(c.ids, 0, 1)
	}
	c.ids = append(c.ids, id)
}

// reportClosed calls onClosed if the peer has closed the connection within closeWindow after the last
// response.
func (c *conn) reportClosed(now time.Time) {
	onClosed := c.onClosed
	c.onClosed = nil
	if onClosed != nil && now.Sub(c.idleSince) < 2*closeWindow && c.peek() == peekClosed {
		onClosed()
	}
}

// ReportClosed calls Call.OnClosed for the connections that upstreams have closed just after a
// response. It is to be called several times in each closeWindow.
func (p *Pool) ReportClosed() {
	now := time.Now()
	var due []*conn
	p.mu.Lock()
	for addr, list := range p.idle {
		keep := list[:0]
		for _, c := range list {
			if c.onClosed == nil || now.Sub(c.idleSince) < closeWindow {
				keep = append(keep, c)
			} else if c.peek() == peekClosed {
				due = append(due, c)
				p.idleCount--
			} else {
				c.onClosed = nil
				keep = append(keep, c)
			}
		}
		clear(list[len(keep):])
		p.idle[addr] = keep
	}
	p.mu.Unlock()
	for _, c := range due {
		c.reportClosed(now)
		c.Close()
	}
}

// maxIdleTime returns how long the connection may be idle: at most half of the timeout that
// the upstream announced, so that it does not close the connection while a request is on
// its way.
func (c *conn) maxIdleTime(limit time.Duration) time.Duration {
	if c.serverIdleTimeout == 0 {
		return limit
	}
	return min(limit, c.serverIdleTimeout/2)
}

// reusable reports whether nothing was received on the connection since the last response,
// neither a close nor bytes that belong to no request.
func (c *conn) reusable() bool { return c.br.Buffered() == 0 && c.peek() == peekNothing }

// What was received on an idle connection.
const (
	peekNothing = iota
	peekBytes
	peekClosed
)

// receiver is a connection that is no TCP connection itself.
type receiver interface {
	// Received reports, without blocking, whether bytes or the end have arrived that were not read yet.
	Received() (hasBytes, isClosed bool)
}

// peek returns what was received on the connection and not read yet.
func (c *conn) peek() int {
	if r, ok := c.Conn.(receiver); ok {
		switch hasBytes, isClosed := r.Received(); {
		case hasBytes:
			return peekBytes
		case isClosed:
			return peekClosed
		}
		return peekNothing
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return peekNothing
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return peekClosed
	}
	received := peekClosed
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(rerr, syscall.EAGAIN) || errors.Is(rerr, syscall.EWOULDBLOCK):
			received = peekNothing
		case rerr == nil && n > 0:
			received = peekBytes
		}
		return true
	})
	if err != nil {
		return peekClosed
	}
	return received
}

// putIdle keeps a connection for reuse, or closes it if there are enough, for its address or in all. It
// closes those that have expired from time to time, since most addresses of a large fleet are called
// once and not again for long.
func (p *Pool) putIdle(c *conn) {
	c.idleSince = time.Now()
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.idleSince.Sub(p.swept) >= p.o.MaxIdleTime {
		p.closeExpired(c.idleSince)
	}
	list := p.idle[c.addr]
	if len(list) >= p.o.MaxIdlePerHost || p.idleCount >= p.o.MaxIdle {
		c.Close()
		return
	}
	p.idle[c.addr] = append(list, c)
	p.idleCount++
}

// CloseExpired closes connections that have been idle for too long.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExpired(time.Now())
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
	}
	clear(p.idle)
	p.idleCount = 0
}

// closeExpired requires that p.mu is held.
func (p *Pool) closeExpired(now time.Time) {
	p.swept = now
	for addr, list := range p.idle {
		keep := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.maxIdleTime(p.o.MaxIdleTime) {
				keep = append(keep, c)
				continue
			}
			c.Close()
			p.idleCount--
		}
		clear(list[len(keep):])
		if len(keep) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = keep
	}
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.o.DialTimeout)
	defer cancel()
	nc, err := p.o.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	responses := httpresponse.NewReader(nc)
	in := &respbuf.LimitedReader{R: responses, Left: math.MaxInt64}
	return &conn{Conn: nc, addr: addr, responses: responses, in: in, br: bufio.NewReaderSize(in, bufferSize)}, nil
}

// keepAliveTimeout returns the idle timeout of a Keep-Alive header, or 0 if there is none.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}
