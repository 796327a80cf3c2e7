package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/retry"
	"gentiankeel/internal/wire"
)

const (
	maxSlotRequests  = 8                      // for one request
	progressInterval = 250 * time.Millisecond // between checks for slow attempts
)

// job is a validated request that needs an upstream.
type job struct {
	id       string // request id
	caller   string
	class    wire.Class
	deadline time.Time
	digest   string // hex SHA-256 of the body
	ask      *wire.Ask
	method   string
	path     string
	header   http.Header
	body     []byte
	stream   bool // the response is expected as a stream
	cfg      retry.Config
}

// attemptEvent is an event of the core with the data for the actions that follow.
type attemptEvent struct {
	ev       retry.Event
	chunk    streamEvent
	response *fullResponse
	grant    *wire.Grant
}

// relay carries out the core's actions for one job and forwards the response to the caller.
// The goroutine that reads an attempt's response steps the core and writes to the caller
// itself, under the lock: handing each token to the request's goroutine would cost a
// context switch per token.
type relay struct {
	s    *Server
	job  *job
	ctx  context.Context // carries the trace
	done chan struct{}   // closed when the request has ended

	mu    sync.Mutex // guards the fields below
	w     http.ResponseWriter
	core  *retry.Request // the state machine of the request
	timer *time.Timer

	attempts      []*attempt
	response      *fullResponse
	entered       time.Time
	lastTokenAt   time.Time // when the newest token was forwarded
	streamStarted bool      // the response header is written
	unflushed     bool      // something was written since the last flush
	finalErr      *errkind.Error
}

func (s *Server) newRelay(ctx context.Context, w http.ResponseWriter, j *job) *relay {
	now := s.opts.Now()
	j.cfg.Deadline = j.deadline.Sub(s.epoch)
	return &relay{
		s:       s,
		job:     j,
		w:       w,
		core:    retry.New(j.cfg, s.budget),
		ctx:     context.WithoutCancel(ctx),
		done:    make(chan struct{}),
		timer:   time.NewTimer(time.Hour),
		entered: now,
	}
}

// run returns when the request has ended. A nil error means that the complete response
// was delivered.
func (r *relay) run(callerGone <-chan struct{}) *errkind.Error {
	defer r.timer.Stop()
	progressTicker := time.NewTicker(progressInterval)
	defer progressTicker.Stop()
	r.handle(attemptEvent{ev: retry.Start{}}, true)
	for {
		select {
		case <-r.done:
			return r.result()
		case <-r.timer.C:
			r.handle(attemptEvent{ev: retry.Tick{}}, true)
		case <-progressTicker.C:
			r.reportProgress()
		case <-callerGone:
			r.handle(attemptEvent{ev: retry.CallerGone{}}, true)
		}
	}
}

// result returns the request's error. It waits for the lock, so that no goroutine
// writes to the caller afterwards.
func (r *relay) result() *errkind.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.finalErr
}

// handle processes one event and reports whether the request goes on. flush is false
// when another event follows immediately, so that both share one write.
func (r *relay) handle(ae attemptEvent, flush bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.step(ae)
	if r.core.Done() {
		return false
	}
	if flush {
		r.flush()
	}
	return true
}

func (r *relay) step(ae attemptEvent) {
	if g, ok := ae.ev.(retry.Granted); ok {
		r.attempts[g.Attempt].grant = ae.grant
	}
	now := r.s.opts.Now()
	for _, a := range r.core.Step(now.Sub(r.s.epoch), ae.ev) {
		r.execute(now, a, ae)
	}
}

// execute carries out one action of the core.
func (r *relay) execute(now time.Time, a retry.Action, ae attemptEvent) {
	switch a := a.(type) {
	case retry.RequestSlot:
		r.requestSlot(a)
	case retry.Send:
		r.send(now, a)
	case retry.Buffer:
		at := r.attempts[a.Attempt]
		at.buffered = append(at.buffered, ae.chunk.data)
	case retry.Drop:
	case retry.Forward:
		r.forward(now, r.attempts[a.Attempt], ae.chunk)
	case retry.Deliver:
		r.deliver(r.attempts[a.Attempt], ae)
	case retry.Cancel:
		r.attempts[a.Attempt].cancel()
	case retry.Release:
		r.release(now, r.attempts[a.Attempt], a.Outcome)
	case retry.SetTimer:
		r.setTimer(now, a.At)
	case retry.Finish:
		r.finish(a.Err)
	}
}

func (r *relay) setTimer(now time.Time, at retry.Time) {
	r.timer.Reset(r.s.epoch.Add(at).Sub(now))
}

// reportProgress reports attempts that are slower than expected to the scheduler.
func (r *relay) reportProgress() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.s.opts.Now()
	for _, at := range r.attempts {
		if at.sentAt.IsZero() || at.ctx.Err() != nil {
			continue
		}
		if p := at.progress.check(now, at.sentAt, at.tokens, at.grant); p != nil {
			p.Attempt = at.id
			r.s.opts.Scheduler.ReportProgress(p)
		}
	}
}
