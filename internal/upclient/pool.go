// Package upclient calls upstreams over HTTP/1.1. It never sends a request twice by
// itself, tells whether a failed call can have reached the upstream, and takes a kept
// connection only while it is known to be sound.
package upclient

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Options of a Pool; zero fields take the defaults.
type Options struct {
	DialTimeout time.Duration // bound of one connect
	MaxIdle     time.Duration // longest time that a kept connection is taken again
	IdlePerHost int           // kept connections of one address
	// Answers tells whether a response belongs to the request; nil takes every one. An
	// upstream may send an extra response, which then stands where the next one is due.
	Answers func(*http.Request, *http.Response) bool
}

const (
	// DefaultDialTimeout exceeds a round trip between availability zones a hundredfold
	// and leaves time for another upstream.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultMaxIdle lies below the idle time-outs that upstreams are known to have.
	DefaultMaxIdle     = 900 * time.Millisecond
	defaultIdlePerHost = 64
	bufferBytes        = 4 << 10
	// maxStray bounds the responses of others that are skipped before the own one.
	maxStray = 2
)

// Pool keeps connections to upstreams. It is safe for concurrent use.
type Pool struct {
	o      Options
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn // newest last
}

// New returns an empty pool.
func New(o Options) *Pool {
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.MaxIdle <= 0 {
		o.MaxIdle = DefaultMaxIdle
	}
	if o.IdlePerHost <= 0 {
		o.IdlePerHost = defaultIdlePerHost
	}
	return &Pool{
		o: o,
		// Probes would keep a connection to a dead peer open for minutes: attempts have
		// deadlines of their own.
		dialer: net.Dialer{Timeout: o.DialTimeout, KeepAlive: -1},
		idle:   map[string][]*conn{},
	}
}

type conn struct {
	net.Conn
	addr  string
	br    *bufio.Reader
	used  time.Time     // when the last response ended
	limit time.Duration // idle time that the upstream named; 0: none
}

// take returns a kept connection that is still sound, or nil.
func (p *Pool) take(addr string) *conn {
	now := time.Now()
	for {
		p.mu.Lock()
		list := p.idle[addr]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[addr] = list[:len(list)-1]
		p.mu.Unlock()
		if now.Sub(c.used) < c.maxIdle(p.o.MaxIdle) && c.quiet() {
			return c
		}
		c.Close()
	}
}

// maxIdle keeps a margin below the time-out that the upstream named, so that the request
// does not cross the close.
func (c *conn) maxIdle(most time.Duration) time.Duration {
	if c.limit == 0 {
		return most
	}
	return min(most, c.limit/2)
}

// quiet reports whether nothing has come on the connection since its last response: no
// close, and no bytes that belong to no request.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(rerr, syscall.EAGAIN) || errors.Is(rerr, syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}

func (p *Pool) put(c *conn) {
	c.used = time.Now()
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.addr]
	if len(list) >= p.o.IdlePerHost {
		c.Close()
		return
	}
	p.idle[c.addr] = append(list, c)
}

// Sweep closes the connections that have been idle for too long.
func (p *Pool) Sweep() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		keep := list[:0]
		for _, c := range list {
			if now.Sub(c.used) < c.maxIdle(p.o.MaxIdle) {
				keep = append(keep, c)
				continue
			}
			c.Close()
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
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, addr: addr, br: bufio.NewReaderSize(nc, bufferBytes)}, nil
}

// keepAlive returns the idle time-out that a response names, 0 without one.
func keepAlive(h http.Header) time.Duration {
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
