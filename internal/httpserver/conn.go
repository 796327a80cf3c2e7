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

// conn is the state of one caller's connection.
type conn struct {
	s      *Server
	nc     *nbio.Conn
	ctx    context.Context // ends when the caller leaves
	cancel context.CancelFunc
	guard  guard

	mu      sync.Mutex
	left    bool
	ending  bool     // the caller wants the connection closed after this answer
	refused bool     // answered outside the handler; what still comes is thrown away
	busy    bool     // a request runs
	waiting []func() // pipelined requests behind it
	unread  int      // bytes of the request that is being read
	timer   *time.Timer
}

func newConn(s *Server, nc *nbio.Conn) *conn {
	c := &conn{s: s, nc: nc, guard: guard{maxHead: 2 * s.opts.MaxHeaderBytes}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// closed is called once, when the connection has ended.
func (c *conn) closed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = true
	c.waiting = nil
	c.stopTimer()
	c.cancel()
}

// reading counts n more bytes and reports whether they may be parsed. The library
// bounds single header lines and the body, but not the sum of header lines.
func (c *conn) reading(n int) bool {
	c.mu.Lock()
	if c.refused {
		c.mu.Unlock()
		return false
	}
	first := c.unread == 0
	c.unread += n
	tooLarge := c.unread > c.s.opts.MaxBodyBytes+2*c.s.opts.MaxHeaderBytes
	if first && !c.left {
		c.timer = time.AfterFunc(c.s.opts.BodyTimeout, c.slow)
	}
	c.mu.Unlock()
	if tooLarge {
		c.refuse(errkind.TooLarge, "the request is too large")
	}
	return !tooLarge
}

// leading skips empty lines before a request, which some clients send after a body and
// the library takes for a malformed request.
func (c *conn) leading(data []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unread > 0 {
		return data
	}
	return bytes.TrimLeft(data, "\r\n")
}

// slow ends a request that has not been read whole in time. While an earlier one runs it
// waits: ending the connection would cut that one's answer.
func (c *conn) slow() {
	c.mu.Lock()
	wait := c.busy && !c.left
	if wait {
		c.timer = time.AfterFunc(c.s.opts.BodyTimeout, c.slow)
	}
	c.mu.Unlock()
	if wait {
		return
	}
	c.refuse(errkind.SlowBody, "the request was not read whole in time")
}

// requestRead is called when a request has been read whole.
func (c *conn) requestRead() {
	c.mu.Lock()
	c.unread = 0
	c.stopTimer()
	c.mu.Unlock()
	// The library's idle deadline would cut a request that runs longer.
	_ = c.nc.SetReadDeadline(time.Time{})
}

// stopTimer needs mu.
func (c *conn) stopTimer() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}

// execute runs the connection's requests one after another on a goroutine that lives
// no longer than they do. It reports whether job was taken.
func (c *conn) execute(job func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left || c.refused {
		return false
	}
	if !c.busy {
		c.busy = true
		c.s.running.Add(1)
		go c.run(job)
		return true
	}
	if len(c.waiting) >= c.s.opts.MaxPipelined {
		go c.closeNow() // closing needs locks that the poller may hold
		return false
	}
	c.waiting = append(c.waiting, job)
	return true
}

func (c *conn) closeNow() { _ = c.nc.Close() }

func (c *conn) run(job func()) {
	defer c.s.running.Add(-1)
	for job != nil {
		c.runOne(job)
		job = c.next()
	}
	c.mu.Lock()
	ending := c.ending
	c.mu.Unlock()
	if ending {
		_ = c.nc.SetReadDeadline(time.Now().Add(endTime))
	}
}

// endTime is how long a connection stays open after its last answer for the caller to
// read it.
const endTime = 10 * time.Second

// endAfter ends the connection after this request. The library would close it at once
// and throw away what the caller has not taken yet.
func (c *conn) endAfter(w http.ResponseWriter, r *http.Request) {
	r.Close = false
	c.mu.Lock()
	c.ending = true
	c.mu.Unlock()
	w.Header().Set("Connection", "close")
}

func (c *conn) closeIfIdle() {
	c.mu.Lock()
	idle := !c.busy && c.unread == 0
	c.mu.Unlock()
	if idle {
		c.closeNow()
	}
}

// runOne closes the connection after a panic: its answer may be half written.
func (c *conn) runOne(job func()) {
	defer func() {
		if p := recover(); p != nil {
			c.s.log.Error("A request handler panicked.", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
			_ = c.nc.Close()
			if c.s.opts.Fatal != nil && c.s.opts.Fatal(p) {
				panic(p)
			}
		}
	}()
	// The answer before this one has set the idle deadline again.
	_ = c.nc.SetReadDeadline(time.Time{})
	job()
}

func (c *conn) next() func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waiting) == 0 {
		c.busy = false
		return nil
	}
	job := c.waiting[0]
	c.waiting = c.waiting[1:]
	return job
}

func (c *conn) refuseUnparsed(err error) {
	kind := errkind.BadRequest
	if errors.Is(err, nbhttp.ErrTooLong) {
		kind = errkind.TooLarge
	}
	c.refuse(kind, err.Error())
}

// lingerTime is how long a refused connection stays open. Closing it with bytes unread
// would reset it, and the caller could lose the refusal.
const lingerTime = time.Second

// refuse answers outside the handler and ends the connection. While a request runs, its
// answer must neither be cut nor mixed with this one: the connection ends after it
// without another.
func (c *conn) refuse(kind errkind.Kind, detail string) {
	c.mu.Lock()
	if c.left || c.refused {
		c.mu.Unlock()
		return
	}
	c.refused = true
	busy := c.busy
	c.ending = c.ending || busy
	c.stopTimer()
	c.mu.Unlock()
	if busy {
		return
	}
	_, _ = c.nc.Write(encode(c.s.opts.Refuse(kind, detail)))
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
}

// encode writes the refusal as an HTTP/1.1 response that ends the connection.
func encode(f Refusal) []byte {
	var b bytes.Buffer
	res := &http.Response{
		StatusCode:    f.Status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        f.Header,
		Body:          readCloser{bytes.NewReader(f.Body)},
		ContentLength: int64(len(f.Body)),
		Close:         true,
	}
	_ = res.Write(&b)
	return b.Bytes()
}

type readCloser struct{ *bytes.Reader }

func (readCloser) Close() error { return nil }
