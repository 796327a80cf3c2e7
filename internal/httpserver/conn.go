package httpserver

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"gentiankeel/internal/errkind"
)

// conn is the state of one connection from a caller.
type conn struct {
	s                *Server
	nc               *nbio.Conn
	ctx              context.Context // cancelled when the connection ends
	cancel           context.CancelFunc
	framingValidator framingValidator

	mu           sync.Mutex
	closed       bool
	closeAfter   bool        // close the connection after the current response
	refused      bool        // a request was refused outside the handler; further input is discarded
	busy         bool        // a request is running
	pipelined    []func()    // requests queued behind the running one
	requestBytes int         // bytes read of the incomplete request
	bodyTimer    *time.Timer // runs while a request is incomplete
	closeTimer   *time.Timer // closes the connection while it is idle or closing
}

func newConn(s *Server, nc *nbio.Conn) *conn {
	c := &conn{s: s, nc: nc, framingValidator: framingValidator{maxHeadBytes: 2 * s.opts.MaxHeaderBytes}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeTimer = time.AfterFunc(s.opts.IdleTimeout, c.closeIfIdle)
	return c
}

// onClose releases the state after the connection has ended. It is called once.
func (c *conn) onClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.pipelined = nil
	c.stopBodyTimer()
	c.closeTimer.Stop()
	c.cancel()
}

// setCloseTimer replaces the timer that closes the connection by one that calls f after d.
// It requires that c.mu is held.
func (c *conn) setCloseTimer(d time.Duration, f func()) {
	c.closeTimer.Stop()
	if !c.closed {
		c.closeTimer = time.AfterFunc(d, f)
	}
}

// admitBytes counts n bytes of input and reports whether they may be parsed. It refuses a
// request that is too large: the library limits single header lines and the body, but not
// the sum of the header lines.
func (c *conn) admitBytes(n int) bool {
	c.mu.Lock()
	if c.refused {
		c.mu.Unlock()
		return false
	}
	c.requestBytes += n
	tooLarge := c.requestBytes > c.s.opts.MaxBodyBytes+2*c.s.opts.MaxHeaderBytes
	c.startBodyTimer()
	c.mu.Unlock()
	if tooLarge {
		c.refuse(errkind.TooLarge, "the request is too large")
	}
	return !tooLarge
}

// startBodyTimer starts the timer of an incomplete request unless it runs. It requires that c.mu is held.
func (c *conn) startBodyTimer() {
	if c.bodyTimer == nil && !c.closed {
		c.bodyTimer = time.AfterFunc(c.s.opts.BodyTimeout, c.onBodyTimeout)
	}
}

// onInputParsed records how many bytes of an incomplete request have been read. Input that ended a request
// may hold the beginning of the next one.
func (c *conn) onInputParsed(pending int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused {
		return
	}
	c.requestBytes = pending
	if pending > 0 {
		c.startBodyTimer()
	}
}

// onBodyTimeout refuses a request that was not read completely within BodyTimeout. While an
// earlier request of the connection runs, it is postponed: closing the connection would
// truncate that request's response.
func (c *conn) onBodyTimeout() {
	c.mu.Lock()
	postponed := c.busy && !c.closed
	if postponed {
		c.bodyTimer = time.AfterFunc(c.s.opts.BodyTimeout, c.onBodyTimeout)
	}
	c.mu.Unlock()
	if postponed {
		return
	}
	c.refuse(errkind.SlowBody, "the request was not read whole in time")
}

// onRequestRead resets the per-request state once a request has been read completely.
func (c *conn) onRequestRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestBytes = 0
	c.stopBodyTimer()
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
func (c *conn) execute(job func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.refused {
		return false
	}
	if !c.busy {
		c.busy = true
		c.closeTimer.Stop()
		c.s.busyConns.Add(1)
		go c.runJobs(job)
		return true
	}
	if len(c.pipelined) >= c.s.opts.MaxPipelined {
		go c.closeNow() // closing takes locks that the poller may hold
		return false
	}
	c.pipelined = append(c.pipelined, job)
	return true
}

func (c *conn) closeNow() { _ = c.nc.Close() }

// runJobs runs the first job and then those queued behind it.
func (c *conn) runJobs(job func()) {
	defer c.s.busyConns.Add(-1)
	for job != nil {
		c.runJob(job)
		job = c.nextJob()
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

// closeIfIdle closes the connection if it neither runs nor reads a request.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	idle := !c.busy && c.requestBytes == 0
	c.mu.Unlock()
	if idle {
		c.closeNow()
	}
}

// runJob runs one job. After a panic it closes the connection, since the response may be
// incomplete, and panics again if the options classify the panic as fatal.
func (c *conn) runJob(job func()) {
	defer func() {
		if p := recover(); p != nil {
			c.s.log.Error("A request handler panicked.", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
			_ = c.nc.Close()
			if c.s.opts.IsFatal != nil && c.s.opts.IsFatal(p) {
				panic(p)
			}
		}
	}()
	job()
}

// nextJob removes and returns the next queued job, or marks the connection idle and
// returns nil. An idle connection is closed after IdleTimeout, or after closeGrace if its
// end was requested.
func (c *conn) nextJob() func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pipelined) == 0 {
		c.busy = false
		if c.closeAfter {
			c.setCloseTimer(closeGrace, c.closeNow)
		} else {
			c.setCloseTimer(c.s.opts.IdleTimeout, c.closeIfIdle)
		}
		return nil
	}
	job := c.pipelined[0]
	c.pipelined = c.pipelined[1:]
	return job
}

// refuseInvalid refuses a request whose framing or syntax is invalid, or whose head is too
// long.
func (c *conn) refuseInvalid(err error) {
	kind := errkind.BadRequest
	if errors.Is(err, nbhttp.ErrTooLong) {
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
	c.mu.Unlock()
	if busy {
		return
	}
	_, _ = c.nc.Write(encodeRefusal(c.s.opts.Refuse(kind, detail)))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setCloseTimer(refusalLinger, c.closeNow)
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
