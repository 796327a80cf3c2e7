package httpserver

import (
	"net"
	"time"

	"github.com/pkg/errors"
)

const (
	// lowWriteBytes is the number of unsent bytes below which a connection's next request is run.
	lowWriteBytes = 128 << 10
	// writePieceBytes is the size of the pieces in which a body with a length is written. The library
	// writes pieces of this size without a copy.
	writePieceBytes = 64 << 10
	// writeCheckInterval is the time between two checks whether a caller has taken a byte.
	writeCheckInterval = 250 * time.Millisecond
)

var errSlowReader = errors.New("the caller does not read its response")

// callerConn counts what is written to a caller.
type callerConn struct {
	net.Conn
	c *conn
}

// Write implements net.Conn. It never blocks: what the caller has not taken is queued.
func (w *callerConn) Write(p []byte) (int, error) { return w.c.write(p) }

// write writes to the caller. The connection is closed if more than its share of unsent bytes would be
// queued.
func (c *conn) write(p []byte) (int, error) {
	if c.outQueued.Load() <= 0 {
		c.lastDrain.Store(time.Now().UnixNano()) // nothing was unsent until now
	}
	queued := c.outQueued.Add(int64(len(p)))
	if queued > int64(len(p)) && queued > c.s.budget.writeLimit(c.s.opts.MaxWriteBuffer) {
		c.outQueued.Add(-int64(len(p)))
		c.s.budget.hit(LimitWriteBytes)
		c.closeNow()
		return 0, errSlowReader
	}
	n, err := c.nc.Write(p)
	if err != nil {
		c.closeOutput()
		return n, errors.WithStack(err)
	}
	c.settleOutput()
	return n, nil
}

// onWritten runs when the operating system has taken n bytes. The library's lock on the connection is
// held.
func (c *conn) onWritten(n int) {
	c.outQueued.Add(-int64(n))
	c.settleOutput()
}

// settleOutput adjusts the charge to the number of unsent bytes.
func (c *conn) settleOutput() {
	if c.outQueued.Load() <= 0 && c.outCharged.Load() == 0 {
		return
	}
	c.outMu.Lock()
	defer c.outMu.Unlock()
	queued := max(c.outQueued.Load(), 0)
	if c.outClosed {
		queued = 0
	}
	before := c.outCharged.Swap(queued)
	if queued < before || before == 0 {
		c.lastDrain.Store(time.Now().UnixNano())
	}
	switch {
	case before == 0 && queued > 0:
		c.s.unsentConns.Add(1)
	case before > 0 && queued == 0:
		c.s.unsentConns.Add(-1)
	}
	c.s.budget.add(queued - before)
	if queued < before && c.outWaiting.Load() {
		select {
		case c.outDrained <- struct{}{}:
		default:
		}
	}
}

// closeOutput forgets the unsent bytes of a closed connection.
func (c *conn) closeOutput() {
	c.outMu.Lock()
	c.outClosed = true
	c.outMu.Unlock()
	c.settleOutput()
}

// awaitRoom waits until n more bytes may be queued. It returns false if the connection has ended; it
// ends it if the caller takes no byte for WriteTimeout.
func (c *conn) awaitRoom(n int64) bool {
	b := c.s.budget
	for c.outQueued.Load() > 0 {
		limit := b.writeLimit(c.s.opts.MaxWriteBuffer) - writePieceBytes // the library may hold back a piece
		if b.room(smallBytes+1) <= 0 {
			limit = min(limit, lowWriteBytes)
		}
		queued := c.outQueued.Load()
		if queued+n <= limit {
			break
		}
		if !c.awaitDrain(queued) {
			return false
		}
	}
	return c.ctx.Err() == nil
}

// awaitDrain waits until the caller may have taken bytes. The last check found queued bytes unsent.
func (c *conn) awaitDrain(queued int64) bool {
	c.outWaiting.Store(true)
	defer c.outWaiting.Store(false)
	if c.outQueued.Load() < queued { // taken before outWaiting was set, so without a signal
		return c.ctx.Err() == nil
	}
	timer := time.NewTimer(writeCheckInterval)
	defer timer.Stop()
	select {
	case <-c.ctx.Done():
		return false
	case <-c.outDrained:
	case <-timer.C:
		if c.isWriteStalled() {
			c.s.budget.hit(LimitWriteTime)
			c.closeNow()
			return false
		}
	}
	return true
}

// isWriteStalled reports whether the caller has unsent bytes and has taken none for WriteTimeout.
func (c *conn) isWriteStalled() bool {
	return c.outQueued.Load() > 0 && time.Since(time.Unix(0, c.lastDrain.Load())) >= c.s.opts.WriteTimeout
}

// isSending reports whether the caller still takes bytes of a response.
func (c *conn) isSending() bool { return c.outQueued.Load() > 0 && !c.isWriteStalled() }
