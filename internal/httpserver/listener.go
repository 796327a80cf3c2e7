package httpserver

import (
	"cmp"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// acceptPause is the pause after a failed Accept, such as for want of descriptors. The library's accept
// loop retries at once.
const acceptPause = 50 * time.Millisecond

// listener is a net.Listener that can stop accepting before it is closed. The library's
// accept loop would spin if Accept kept failing, so after stop Accept blocks until Close, and it
// pauses after other errors.
type listener struct {
	net.Listener
	stopOnce  sync.Once
	closeOnce sync.Once
	stopped   chan struct{}
	closed    chan struct{}
	admits    func() bool // reports whether there is room for another connection
	failed    func()      // called after a failed Accept
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, l.handleError(err)
		}
		if l.admits() {
			return c, nil
		}
		_ = c.Close()
	}
}

// handleError blocks after stop until Close, and otherwise for acceptPause.
func (l *listener) handleError(err error) error {
	select {
	case <-l.stopped:
		<-l.closed
		return errors.WithStack(err)
	default:
	}
	l.failed()
	timer := time.NewTimer(acceptPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.stopped:
		<-l.closed
	}
	return errors.WithStack(err)
}

// stop closes the socket, so that no more connections are accepted.
func (l *listener) stop() {
	l.stopOnce.Do(func() {
		close(l.stopped)
		_ = l.Listener.Close()
	})
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.stop()
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

const (
	// unusedConnTime is how long a connection without a request is kept while others find no room.
	unusedConnTime = 500 * time.Millisecond
	// idleConnShare is the share of the idle timeout for which a connection is kept between requests
	// while others find no room. On a control VM it exceeds the interval of heartbeats.
	idleConnShare = 8
	// closedShare is the share of the connections that are closed at once to make room, so that not
	// each new connection takes a pass over all of them.
	closedShare = 32
)

// admitsConn reports whether there is room for another connection. At the limit it makes room for later
// ones: it closes connections that have carried no request for longest, refuses requests that are
// unfinished for longest, and drops requests beyond MaxPipelined.
func (s *Server) admitsConn() bool {
	if s.openConns.Load() < int64(s.opts.MaxConnections) {
		return true
	}
	s.budget.hit(LimitConnections)
	now := time.Now()
	type candidate struct {
		c   *conn
		age time.Duration
	}
	var candidates []candidate
	s.conns.Range(func(_, v any) bool {
		c := v.(*conn)
		if age := c.disposableFor(now); age > 0 {
			candidates = append(candidates, candidate{c, age})
		}
		return true
	})
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.age, a.age) })
	for _, d := range candidates[:min(len(candidates), s.opts.MaxConnections/closedShare+1)] {
		d.c.dispose()
	}
	return false
}

// disposableFor returns for how long the connection could have been closed to make room; 0 if it must
// not be.
func (c *conn) disposableFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy && c.waitsForJob && !c.refused && !c.closed && len(c.pipelined) >= c.s.opts.MaxPipelined {
		return max(now.Sub(c.lastInput), 1) // it may go on for good without a pause
	}
	if c.closed || c.refused || c.busy || c.outQueued.Load() > 0 || c.paused || c.reading {
		return 0
	}
	kept := unusedConnTime
	if c.served && c.requestBytes == 0 {
		kept = max(kept, c.s.limits.Load().IdleTimeout/idleConnShare)
	}
	return max(now.Sub(c.lastInput)-kept, 0)
}

// dispose closes an idle connection, or refuses its unfinished request. One with too many pipelined
// requests is closed after the running one.
func (c *conn) dispose() {
	c.mu.Lock()
	unfinished, busy := c.requestBytes > 0, c.busy
	c.mu.Unlock()
	switch {
	case busy:
		c.dropPipelined()
	case unfinished:
		c.evict()
	default:
		c.closeNow()
	}
}

// dropPipelined has the connection closed after the response to the running request. The requests behind
// it are not run.
func (c *conn) dropPipelined() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy || c.closed {
		return
	}
	c.refused, c.closeAfter = true, true
	c.pipelined = nil
	c.s.budget.add(-c.queuedHeld)
	c.queuedHeld = 0
	c.stopBodyTimer()
	if !c.reading {
		c.dropInput()
	}
}
