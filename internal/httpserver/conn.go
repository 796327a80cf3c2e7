package httpserver

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"gentiankeel/internal/errkind"
)

// conn is the state of one connection from a caller.
type conn struct {
	s      *Server
	nc     *nbio.Conn
	ctx    context.Context // cancelled when the connection ends
	cancel context.CancelFunc

	// Only the goroutine that reads the connection uses these, while reading is set.
	parser      *nbhttp.Parser
	framing     framingValidator // with the unfinished request; without reading, guarded by mu
	blankBytes  int              // empty lines read before the unfinished request
	nextBody    []byte           // of the request that is being passed to the handler
	nextFraming bodyFraming
	nextHeld    int64 // what it holds
	continueDue bool  // an interim response is due before the caller sends the body

	waitsForRoom bool // paused for want of room; only the goroutine of the budget's queue uses it

	mu           sync.Mutex
	closed       bool
	closeAfter   bool        // close the connection after the current response
	endsResponse bool        // its end is that of the current response
	refused      bool        // a request was refused outside the handler; further input is discarded
	busy         bool        // a request is running
	served       bool        // a request was read completely
	pipelined    []job       // requests queued behind the running one
	queuedHeld   int64       // bytes held by these
	runningHeld  int64       // bytes held by the running request
	readable     bool        // input was reported since the last read
	reading      bool        // a goroutine reads the connection
	paused       bool        // not read until there is room, or the running request has ended
	waitsForJob  bool        // paused until the running request has ended
	stash        []byte      // input that is not parsed yet
	inputHeld    int64       // bytes charged for the unfinished request
	lastInput    time.Time   // when input was read last
	requestBytes int         // bytes read of the incomplete request
	headComplete bool        // its head was read
	requestBegan time.Time   // when bodyTimer was started
	bodyTimer    *time.Timer // runs while a request is incomplete
	closeTimer   *time.Timer // closes the connection while it is idle or closing

	outQueued  atomic.Int64 // unsent bytes
	outCharged atomic.Int64 // bytes charged for these; changed under outMu
	lastDrain  atomic.Int64 // when the caller took bytes last, in Unix ns
	outWaiting atomic.Bool  // a handler waits for outDrained
	outDrained chan struct{}
	outMu      sync.Mutex
	outClosed  bool
}

// job is a request to be run.
type job struct {
	run  func()
	held int64 // bytes that it holds
}

func newConn(s *Server, nc *nbio.Conn) *conn {
	c := &conn{s: s, nc: nc, lastInput: time.Now(), outDrained: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeTimer = time.AfterFunc(s.limits.Load().IdleTimeout, c.closeIfIdle)
	return c
}

// onClose releases the state after the connection has ended. It is called once.
func (c *conn) onClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.pipelined = nil
	c.s.budget.add(-c.queuedHeld)
	c.queuedHeld = 0
	if !c.reading {
		c.dropInput()
	}
	c.stopBodyTimer()
	c.closeTimer.Stop()
	c.cancel()
	c.closeOutput()
	c.s.budget.favoured.CompareAndSwap(c, nil)
}

// setCloseTimer replaces the timer that closes the connection by one that calls f after d.
// It requires that c.mu is held.
func (c *conn) setCloseTimer(d time.Duration, f func()) {
	c.closeTimer.Stop()
	if !c.closed {
		c.closeTimer = time.AfterFunc(d, f)
	}
}

// startBodyTimer starts the timer of an incomplete request unless it runs. It requires that c.mu is held.
func (c *conn) startBodyTimer() {
	if c.bodyTimer == nil && !c.closed {
		c.requestBegan = time.Now()
		c.bodyTimer = time.AfterFunc(c.headerTime(), c.onBodyTimeout)
	}
}

// headerTime returns the time in which a header must be read.
func (c *conn) headerTime() time.Duration {
	return min(c.s.limits.Load().HeaderTimeout, c.s.opts.BodyTimeout)
}

// onBodyTimeout refuses a request whose header was not read within the header's timeout, or that was
// not read completely within BodyTimeout. While an earlier request of the connection runs, it is
// postponed: closing the connection would truncate that request's response.
func (c *conn) onBodyTimeout() {
	c.mu.Lock()
	if c.closed || c.bodyTimer == nil {
		c.mu.Unlock()
		return
	}
	allowed, limit := c.headerTime(), LimitHeaderTime
	if c.headComplete {
		allowed, limit = c.s.opts.BodyTimeout, LimitBodyTime
	}
	// Time is left if the timer was that of an earlier request, which has just ended.
	left := allowed - time.Since(c.requestBegan)
	postponed := c.busy || left > 0
	if c.busy {
		left = c.s.opts.BodyTimeout
	}
	if postponed {
		c.bodyTimer.Stop()
		c.bodyTimer = time.AfterFunc(left, c.onBodyTimeout)
	}
	paused := c.paused
	c.mu.Unlock()
	switch {
	case postponed:
	case paused:
		c.s.budget.hit(LimitMemory)
		c.refuse(errkind.Overloaded, "there was no memory to read the request")
	default:
		c.s.budget.hit(limit)
		c.refuse(errkind.SlowBody, "the request was not read whole in time")
	}
}

// stopBodyTimer requires that c.mu is held.
func (c *conn) stopBodyTimer() {
	if c.bodyTimer != nil {
		c.bodyTimer.Stop()
		c.bodyTimer = nil
	}
}

// execute runs or queues a request of the connection. Requests run in order on one
// goroutine, which exits when none is left. It returns false if the connection is closed or
// refused, or if MaxPipelined requests are queued; then it also closes the connection.
func (c *conn) execute(run func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.refused {
		return false
	}
	c.served = true
	j := job{run, c.nextHeld}
	if !c.busy {
		c.s.budget.add(j.held)
		c.busy = true
		c.runningHeld = j.held
		c.closeTimer.Stop()
		c.s.busyConns.Add(1)
		go c.runJobs(j)
		return true
	}
	if len(c.pipelined) > c.s.opts.MaxPipelined { // not reached: the connection is paused before
		go c.closeNow() // closing takes locks that the poller may hold
		return false
	}
	c.s.budget.add(j.held)
	c.queuedHeld += j.held
	c.pipelined = append(c.pipelined, j)
	return true
}

func (c *conn) closeNow() { _ = c.nc.Close() }

// runJobs runs the first job and then those queued behind it. The next one begins when the caller has
// taken most of the last response.
func (c *conn) runJobs(j job) {
	defer c.s.busyConns.Add(-1)
	for ok := true; ok; j, ok = c.nextJob() {
		for queued := c.outQueued.Load(); queued > lowWriteBytes && c.awaitDrain(queued); queued = c.outQueued.Load() {
		}
		c.runJob(j.run)
	}
}

// closeGrace is the time for which a connection stays open after its last response, so that
// the caller can read the response.
const closeGrace = 10 * time.Second

// closeAfterRequest closes the connection after this request. The library itself would
// close it immediately and discard what the caller has not read yet.
func (c *conn) closeAfterRequest(w http.ResponseWriter, r *http.Request) {
	r.Close = false
	c.mu.Lock()
	c.closeAfter = true
	c.mu.Unlock()
	w.Header().Set("Connection", "close")
}

// closeIfIdle closes the connection if it neither runs nor reads a request. While the caller takes
// bytes of its last response, it waits.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	idle := !c.busy && c.requestBytes == 0
	if idle && c.isSending() {
		c.setCloseTimer(sendingCheckInterval, c.closeIfIdle)
		idle = false
	}
	c.mu.Unlock()
	if idle {
		c.closeNow()
	}
}

// sendingCheckInterval is the time between two checks whether a caller has taken its last response.
const sendingCheckInterval = time.Second

// closeWhenSent closes the connection once the caller has taken its last response.
func (c *conn) closeWhenSent() {
	c.mu.Lock()
	sending := c.isSending()
	if sending {
		c.setCloseTimer(sendingCheckInterval, c.closeWhenSent)
	}
	c.mu.Unlock()
	if !sending {
		c.closeNow()
	}
}

// runJob runs one job. After a panic it closes the connection, since the response may be
// incomplete, and panics again if the options classify the panic as fatal.
func (c *conn) runJob(run func()) {
	defer func() {
		if p := recover(); p != nil {
			c.s.log.Error("A request handler panicked.", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
			_ = c.nc.Close()
			if c.s.opts.IsFatal != nil && c.s.opts.IsFatal(p) {
				panic(p)
			}
		}
	}()
	run()
}

// nextJob removes and returns the next queued job, or marks the connection idle and
// returns false. An idle connection is closed after the idle timeout, or after closeGrace if its
// end was requested.
func (c *conn) nextJob() (job, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.s.budget.add(-c.runningHeld)
	c.runningHeld = 0
	if c.waitsForJob && !c.closed {
		c.waitsForJob = false
		c.requestBegan = time.Now() // its caller was not read meanwhile
		c.s.budget.enqueue(c)
	}
	if len(c.pipelined) == 0 {
		c.busy = false
		c.lastInput = time.Now() // idle from now on
		switch {
		case c.endsResponse:
			c.setCloseTimer(0, c.closeWhenSent)
		case c.refused:
			c.setCloseTimer(refusalLinger, c.closeWhenSent)
		case c.closeAfter:
			c.setCloseTimer(closeGrace, c.closeWhenSent)
		default:
			c.setCloseTimer(c.s.limits.Load().IdleTimeout, c.closeIfIdle)
		}
		return job{}, false
	}
	j := c.pipelined[0]
	c.pipelined[0] = job{}
	c.pipelined = c.pipelined[1:]
	c.queuedHeld -= j.held
	c.runningHeld = j.held
	return j, true
}

// refuseInvalid refuses a request whose framing or syntax is invalid, or whose head is too
// long.
func (c *conn) refuseInvalid(err error) {
	kind := errkind.BadRequest
	switch {
	case errors.Is(err, errBodyTooLarge):
		c.s.budget.hit(LimitBodyBytes)
		kind = errkind.TooLarge
	case errors.Is(err, nbhttp.ErrTooLong):
		c.s.budget.hit(LimitHeaderBytes)
		kind = errkind.TooLarge
	}
	c.refuse(kind, err.Error())
}

// refusalLinger is the time for which a connection stays open after a refusal. Closing it
// with unread input would reset it, and the caller could lose the refusal.
const refusalLinger = time.Second

// refuse writes a refusal without calling the handler and closes the connection. While an
// earlier request runs, its response must not be truncated or mixed with the refusal: the
// connection is then closed after that response, without a refusal. Further calls have no
// effect.
func (c *conn) refuse(kind errkind.Kind, detail string) {
	c.mu.Lock()
	if c.closed || c.refused {
		c.mu.Unlock()
		return
	}
	c.refused = true
	busy := c.busy
	c.closeAfter = c.closeAfter || busy
	c.stopBodyTimer()
	if !c.reading {
		c.dropInput()
	}
	c.mu.Unlock()
	c.s.budget.favoured.CompareAndSwap(c, nil)
	if busy {
		return
	}
	_, _ = c.write(encodeRefusal(c.s.opts.Refuse(kind, detail)))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setCloseTimer(refusalLinger, c.closeWhenSent) // the response before may still be read
}

// encodeRefusal returns the refusal as an HTTP/1.1 response with "Connection: close".
func encodeRefusal(refusal Refusal) []byte {
	var b bytes.Buffer
	res := &http.Response{
		StatusCode:    refusal.Status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        refusal.Header,
		Body:          readCloser{bytes.NewReader(refusal.Body)},
		ContentLength: int64(len(refusal.Body)),
		Close:         true,
	}
	_ = res.Write(&b)
	return b.Bytes()
}

type readCloser struct{ *bytes.Reader }

func (readCloser) Close() error { return nil }
