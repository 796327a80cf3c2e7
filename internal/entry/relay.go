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
	maxAsks          = 8                      // slots asked for by one request
	progressInterval = 250 * time.Millisecond // between looks at the pace of attempts
)

// job is what a request wants from an upstream.
type job struct {
	id       string // identity of the request
	caller   string
	class    wire.Class
	deadline time.Time
	digest   string // hex SHA-256 of the body
	ask      *wire.Ask
	method   string
	path     string
	header   http.Header
	body     []byte
	stream   bool
	cfg      retry.Config
}

// moved is one event of an attempt, with what it brought.
type moved struct {
	ev     retry.Event
	part   part
	answer *answer
	grant  *wire.Grant
}

// relay carries one job through its attempts to the caller. The goroutine that reads
// an attempt's answer takes the step and writes to the caller itself, under the lock:
// handing each token to the request's goroutine would cost a switch for each.
type relay struct {
	s    *Server
	job  *job
	ctx  context.Context // carries the trace
	done chan struct{}   // closed with the final answer

	mu    sync.Mutex // guards what follows
	w     http.ResponseWriter
	core  *retry.Request
	timer *time.Timer

	attempts []*attempt
	answer   *answer
	entered  time.Time
	lastPart time.Time // when the newest token was passed on
	started  bool      // the response's head is written
	dirty    bool      // written since the last flush
	final    *errkind.Error
}

func (s *Server) newRelay(ctx context.Context, w http.ResponseWriter, j *job) *relay {
	now := s.opts.Now()
	j.cfg.Deadline = j.deadline.Sub(s.begin)
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

// run returns after the final answer; nil says that it was delivered whole.
func (r *relay) run(callerLeft <-chan struct{}) *errkind.Error {
	defer r.timer.Stop()
	late := time.NewTicker(progressInterval)
	defer late.Stop()
	r.take(moved{ev: retry.Start{}}, true)
	for {
		select {
		case <-r.done:
			return r.ended()
		case <-r.timer.C:
			r.take(moved{ev: retry.Tick{}}, true)
		case <-late.C:
			r.reportLate()
		case <-callerLeft:
			r.take(moved{ev: retry.CallerLeft{}}, true)
		}
	}
}

// ended waits until nothing writes to the caller any more.
func (r *relay) ended() *errkind.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.final
}

// take carries one event out; it reports whether the request goes on. flush is false
// when more is known to follow at once, so that it can share one write.
func (r *relay) take(m moved, flush bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.step(m)
	if r.core.Done() {
		return false
	}
	if flush {
		r.flush()
	}
	return true
}

func (r *relay) step(m moved) {
	if g, ok := m.ev.(retry.Granted); ok {
		r.attempts[g.Attempt].grant = m.grant
	}
	now := r.s.opts.Now()
	for _, a := range r.core.Step(now.Sub(r.s.begin), m.ev) {
		r.carry(now, a, m)
	}
}

// carry does one action of the core.
func (r *relay) carry(now time.Time, a retry.Action, m moved) {
	switch a := a.(type) {
	case retry.Ask:
		r.ask(a)
	case retry.Send:
		r.send(now, a)
	case retry.Hold:
		at := r.attempts[a.Attempt]
		at.held = append(at.held, m.part.text)
	case retry.Drop:
	case retry.Forward:
		r.forward(now, r.attempts[a.Attempt], m.part)
	case retry.Deliver:
		r.deliver(r.attempts[a.Attempt], m)
	case retry.Cancel:
		r.attempts[a.Attempt].cancel()
	case retry.Release:
		r.release(now, r.attempts[a.Attempt], a.Outcome)
	case retry.Wake:
		r.wake(now, a.At)
	case retry.Finish:
		r.finish(a.Err)
	}
}

func (r *relay) wake(now time.Time, at retry.Time) {
	r.timer.Reset(r.s.begin.Add(at).Sub(now))
}

// reportLate tells the scheduler of attempts that are slower than they should be.
func (r *relay) reportLate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.s.opts.Now()
	for _, at := range r.attempts {
		if at.sentAt.IsZero() || at.ctx.Err() != nil {
			continue
		}
		if p := at.pace.look(now, at.sentAt, at.tokens, at.grant); p != nil {
			p.Attempt = at.id
			r.s.opts.Slots.Progress(p)
		}
	}
}
