package httpserver

import (
	"bytes"
	"io"
	"syscall"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"gentiankeel/internal/errkind"
)

// maxReadsPerTurn is the number of reads of one connection after which others are read first.
const maxReadsPerTurn = 3

// blankLineBytes is the length of the empty lines before a request that don't count as its beginning:
// some clients send one after a body.
const blankLineBytes = 4

// The library reports that a connection is readable once (edge-triggered), so a connection is paused
// by not reading it. Its input is read by one goroutine at a time: the poller, or that of the budget's
// queue after a pause.

// onReadable runs on the poller when input has arrived.
func (c *conn) onReadable(buf []byte) {
	c.mu.Lock()
	c.readable = true
	if c.reading || c.paused || c.closed {
		c.mu.Unlock()
		return
	}
	c.reading = true
	c.mu.Unlock()
	c.read(buf)
}

// resume reads a paused connection and reports whether there was room for it.
func (c *conn) resume(buf []byte) bool {
	c.mu.Lock()
	c.paused = false
	if c.closed || c.reading {
		c.mu.Unlock()
		return true
	}
	c.reading = true
	c.lastInput = time.Now() // the pause was not the caller's
	c.mu.Unlock()
	return c.read(buf)
}

// read reads input until none is left, it pauses, or it is the turn of other connections. It reports
// whether there was room for any. c.reading is set, which read resets.
func (c *conn) read(buf []byte) bool {
	if c.parser == nil && !c.attachParser() {
		c.closeNow()
		c.endRead(false)
		return true
	}
	for turn := 0; ; turn++ {
		allowed, isBusy := c.readAllowance()
		if allowed == 0 {
			c.endRead(!isBusy)
			return turn > 0
		}
		c.sendContinue()
		if turn == maxReadsPerTurn {
			c.endRead(true)
			return true
		}
		if c.feedStash() {
			continue
		}
		n, err := c.nc.Read(buf[:min(allowed, len(buf))])
		if n > 0 {
			c.feed(buf[:n])
		}
		if n == min(allowed, len(buf)) || errors.Is(err, syscall.EINTR) {
			continue
		}
		if n == 0 && err == nil || err != nil && !errors.Is(err, syscall.EAGAIN) {
			c.closeNow()
		}
		if !c.drained() {
			continue
		}
		return true
	}
}

// attachParser takes over the library's parser of the connection.
func (c *conn) attachParser() bool {
	parser, ok := c.nc.Session().(*nbhttp.Parser)
	if !ok {
		return false
	}
	parser.Conn = &callerConn{Conn: parser.Conn, c: c}
	c.parser = parser
	return true
}

// drained ends the reading unless more input was reported meanwhile, or some is not parsed yet.
func (c *conn) drained() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed && (c.readable || len(c.stash) > 0 || c.continueDue) {
		return false
	}
	c.stopReading()
	return true
}

// endRead ends the reading although there may be more input. With queued, the budget's queue goes on
// with it; otherwise the end of the running request does.
func (c *conn) endRead(queued bool) {
	c.mu.Lock()
	c.stopReading()
	c.paused = !c.closed
	queued = queued && !c.closed
	if c.paused && !queued && !c.busy { // the running request has just ended
		queued = true
	}
	c.waitsForJob = c.paused && !queued
	c.mu.Unlock()
	if queued {
		c.s.budget.enqueue(c)
	}
}

// stopReading requires that c.mu is held.
func (c *conn) stopReading() {
	c.reading = false
	if c.closed || c.refused {
		c.dropInput()
	}
}

// dropInput forgets the unfinished request. It requires that c.mu is held and that no goroutine reads
// the connection.
func (c *conn) dropInput() {
	c.framing = framingValidator{}
	c.stash = nil
	c.chargeInput()
}

// chargeInput adjusts the charge to what the unfinished request holds. It requires that c.mu is held.
func (c *conn) chargeInput() {
	held := int64(c.framing.held() + cap(c.stash))
	c.s.budget.add(held - c.inputHeld)
	c.inputHeld = held
}

// readAllowance returns how many bytes may be read now. 0 pauses the connection: while a request runs
// and enough are queued behind it (isBusy), or for want of room.
func (c *conn) readAllowance() (allowed int, isBusy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readable = false
	b := c.s.budget
	switch {
	case c.closed:
		return readBytes, false // the read fails
	case c.refused && c.busy:
		return 0, true
	case c.refused:
		return readBytes, false // discarded
	case c.busy && (c.continueDue || len(c.pipelined) >= c.s.opts.MaxPipelined || c.inputHeld+c.queuedHeld >= smallBytes):
		return 0, true
	case b.favoured.Load() == c:
		return readBytes, false
	}
	room := b.room(c.inputHeld)
	if room >= c.framing.nextGrowth() {
		return readBytes, false
	}
	return min(readBytes, c.framing.spare()), false
}

// feedStash parses input that was read before and reports whether there was any.
func (c *conn) feedStash() bool {
	c.mu.Lock()
	data := c.stash
	c.stash = nil
	c.mu.Unlock()
	if len(data) > 0 {
		c.feed(data)
	}
	return len(data) > 0
}

// sendContinue sends the interim response for which the caller waits with the body. No request runs, so
// that it is not mixed with a response.
func (c *conn) sendContinue() {
	if !c.continueDue {
		return
	}
	c.continueDue = false
	if c.mayParse() {
		_, _ = c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) // an error closes the connection
	}
}

// feed parses input. Only the goroutine that reads the connection calls it, so the framingValidator
// needs no lock.
func (c *conn) feed(data []byte) {
	for len(data) > 0 && c.mayParse() {
		if c.framing.atRequestStart() {
			var ok bool
			if data, ok = c.beginRequest(data); !ok || len(data) == 0 {
				break
			}
		}
		n, ended, err := c.framing.step(data)
		if err != nil {
			c.refuseInvalid(err)
			return
		}
		c.framing.pending += n
		data = data[n:]
		if !ended {
			continue
		}
		if !c.deliver() {
			return
		}
		if len(data) > 0 && c.isPipelineFull() {
			c.s.budget.hit(LimitPipelined)
			c.mu.Lock()
			c.stash = append([]byte(nil), data...)
			c.mu.Unlock()
			break
		}
	}
	c.afterFeed()
}

func (c *conn) mayParse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.refused && !c.closed
}

func (c *conn) isPipelineFull() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pipelined) >= c.s.opts.MaxPipelined
}

// beginRequest skips the empty lines before a request, which the library's parser rejects. They
// count as bytes of the header. It returns false if there are too many.
func (c *conn) beginRequest(data []byte) ([]byte, bool) {
	limits := c.s.limits.Load()
	c.framing.maxHeadBytes, c.framing.maxBodyBytes, c.framing.keeps = 2*limits.MaxHeaderBytes, limits.MaxBodyBytes, true
	rest := bytes.TrimLeft(data, "\r\n")
	c.blankBytes += len(data) - len(rest)
	if c.blankBytes > c.framing.maxHeadBytes {
		c.refuseInvalid(errors.Wrap(nbhttp.ErrTooLong, "too many empty lines before a request"))
		return nil, false
	}
	return rest, true
}

// deliver passes a complete request to the library's parser, whose head it gets in one piece and
// without the fields that frame the body. It returns false if the request was refused.
func (c *conn) deliver() bool {
	v := &c.framing
	c.nextBody, c.nextFraming = v.body, v.frame
	c.nextHeld = int64(cap(v.body) + 2*len(v.head))
	v.body = nil
	c.continueDue = false
	head := v.head
	c.mu.Lock()
	c.stopBodyTimer()
	c.mu.Unlock()
	c.blankBytes = 0
	v.pending = 0
	c.s.budget.favoured.CompareAndSwap(c, nil)
	err := c.parser.Parse(head)
	v.recycleHead()
	if err != nil {
		c.refuseInvalid(err)
		return false
	}
	return true
}

// afterFeed charges what the unfinished request holds and starts its timer.
func (c *conn) afterFeed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused || c.closed {
		return
	}
	if f := &c.framing; f.frame.expects && f.state != inHead {
		f.frame.expects = false
		c.continueDue = f.hasOnlyHead() // else the caller does not wait
	}
	c.requestBytes = c.framing.pending
	c.lastInput = time.Now()
	if c.requestBytes > 0 || c.blankBytes > blankLineBytes {
		c.headComplete = c.framing.state != inHead
		c.startBodyTimer()
	}
	if c.inputHeld > 0 || c.requestBytes > 0 || c.stash != nil {
		c.chargeInput()
	}
}

// body is a request's body, which is in memory whole.
type body struct {
	bytes.Reader
	data []byte
}

// Close implements io.Closer.
func (*body) Close() error { return nil }

// ReadBody returns the body of a request. That of a request to a Server is not copied and must not be
// changed.
func ReadBody(r io.Reader) ([]byte, error) {
	if b, ok := r.(*body); ok && b.Len() == len(b.data) {
		b.Reset(nil)
		return b.data, nil
	}
	data, err := io.ReadAll(r)
	return data, errors.WithStack(err)
}

// isStalled reports whether no input has arrived for stallTime although it would have been read, or none
// is read until a running request ends.
func (c *conn) isStalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed || c.waitsForJob || !c.paused && !c.reading && time.Since(c.lastInput) >= stallTime
}

// stallScore returns the product of the bytes that a connection holds and the time for which it has
// made no progress that it could have made; 0 if it is not stalled.
func (c *conn) stallScore(now time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0
	}
	score := int64(0)
	if stalled := now.Sub(c.lastInput); c.inputHeld > 0 && !c.paused && !c.reading && stalled >= stallTime {
		score = c.inputHeld * stalled.Milliseconds()
	}
	if unsent := c.outQueued.Load(); unsent > 0 {
		if stalled := now.Sub(time.Unix(0, c.lastDrain.Load())); stalled >= writeStallTime {
			score = max(score, (unsent+c.runningHeld)*stalled.Milliseconds())
		}
	}
	return score
}

// evict takes a stalled connection's memory: the unfinished request is refused, and a response that
// its caller does not read is cut off.
func (c *conn) evict() {
	if c.outQueued.Load() > 0 && time.Since(time.Unix(0, c.lastDrain.Load())) >= writeStallTime {
		c.closeNow()
		return
	}
	c.mu.Lock()
	unfinished := c.requestBytes > 0
	c.mu.Unlock()
	if unfinished {
		c.refuse(errkind.Overloaded, "no memory is left for this request")
	}
}
