package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/retry"
	"gentiankeel/internal/wire"
)

const (
	maxAsks          = 8           // slots asked for by one request
	progressInterval = time.Second // between reports of a late attempt
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

// attempt is the shell's side of one attempt.
type attempt struct {
	id      string
	grant   *wire.Grant
	gate    *gate
	ctx     context.Context
	cancel  context.CancelFunc
	span    trace.Span
	held    [][]byte
	sentAt  time.Time
	firstAt time.Time
	lastAt  time.Time
	maxGap  time.Duration
	tokens  int
	outcome wire.Outcome // once its slot was given back
}

// end frees what the attempt holds in this process.
func (at *attempt) end() {
	at.cancel()
	at.span.End()
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

func (r *relay) flush() {
	if !r.dirty {
		return
	}
	r.dirty = false
	if f, ok := r.w.(http.Flusher); ok {
		f.Flush()
	}
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

func (r *relay) ask(a retry.Ask) {
	at := &attempt{id: r.job.id + "-" + strconv.Itoa(a.Attempt)}
	at.ctx, at.cancel = context.WithDeadline(r.ctx, r.job.deadline)
	at.ctx, at.span = r.s.tracer.Start(at.ctx, "attempt", trace.WithAttributes(
		attribute.String("attempt", at.id), attribute.Bool("hedge", a.Hedge)))
	r.attempts = append(r.attempts, at)
	if a.Hedge {
		r.s.m.hedges.Inc()
	} else if a.Retry {
		r.s.m.retries.Inc()
	}
	msg := r.s.askFor(r.job, at.id)
	msg.Exclude = a.Exclude
	msg.Hedge = a.Hedge
	r.s.tasks.Go(func() { r.awaitSlot(a.Attempt, at, msg) })
}

func (r *relay) awaitSlot(i int, at *attempt, msg *wire.Ask) {
	grant, err := r.s.opts.Slots.Ask(at.ctx, msg)
	if err != nil {
		defer at.end()
		r.take(moved{ev: retry.Refused{Attempt: i, Err: errkind.From(err)}}, true)
		return
	}
	m := moved{
		ev: retry.Granted{
			Attempt:    i,
			Upstream:   grant.GetUpstream(),
			HedgeAfter: time.Duration(grant.GetHedgeAfterMs()) * time.Millisecond,
		},
		grant: grant,
	}
	received := r.s.opts.Now()
	at.gate = &gate{now: r.s.opts.Now, useBy: useBy(grant, received, r.job.deadline)}
	// When the attempt was cancelled meanwhile, the core gives the slot back.
	r.take(m, true)
}

// useBy is the time after which a grant's first byte must not be written.
func useBy(g *wire.Grant, received, deadline time.Time) time.Time {
	t := received.Add(time.Duration(g.GetUseByMs()) * time.Millisecond)
	if t.After(deadline) {
		return deadline
	}
	return t
}

func (r *relay) send(now time.Time, a retry.Send) {
	at := r.attempts[a.Attempt]
	at.sentAt, at.lastAt = now, now
	if a.ResumeFrom > 0 {
		r.s.m.resumed.Inc()
	}
	c := &call{
		s:        r.s,
		id:       at.id,
		grant:    at.grant,
		gate:     at.gate,
		method:   r.job.method,
		path:     r.job.path,
		header:   r.job.header,
		body:     r.job.body,
		deadline: r.job.deadline,
		resume:   a.ResumeFrom,
	}
	r.s.tasks.Go(func() { r.runCall(a.Attempt, at, c) })
}

// runCall performs one call and reports what it brings.
func (r *relay) runCall(i int, at *attempt, c *call) {
	defer at.end()
	res, f := c.do(at.ctx)
	if f == nil {
		defer closeRead(res.Body, at.cancel)
		f = r.readAnswer(i, c, res)
	}
	if f == nil {
		return
	}
	at.span.RecordError(f.err)
	if f.stale {
		r.take(moved{ev: retry.Unused{Attempt: i}}, true)
		return
	}
	r.take(moved{ev: retry.Failed{
		Attempt: i, Err: f.err, NotRun: f.notRun, Unsent: f.unsent, Cut: f.cut,
	}}, true)
}

func (r *relay) readAnswer(i int, c *call, res *http.Response) *failure {
	isStream := res.StatusCode == http.StatusOK && isEventStream(res)
	switch {
	case isStream && r.job.stream:
		return r.readStream(i, c, res)
	case r.job.stream && (res.StatusCode == http.StatusOK || c.resume > 0):
		return &failure{err: errkind.New(errkind.UpstreamFailed, "upstream %s sent no stream but status %d",
			c.grant.GetUpstream(), res.StatusCode)}
	}
	whole, f := c.readWhole(res)
	if f != nil {
		return f
	}
	r.take(moved{ev: retry.Whole{Attempt: i}, answer: whole}, true)
	return nil
}

func (r *relay) readStream(i int, c *call, res *http.Response) *failure {
	stream := newStreamReader(res.Body)
	for {
		p, err := stream.next()
		if err != nil && !skipEndMark {
			return &failure{err: errkind.Wrap(errkind.Interrupted, err, "the stream of upstream %s was cut", c.grant.GetUpstream()), cut: true}
		}
		m := moved{part: p}
		switch {
		case p.end || err != nil:
			m.ev = retry.Whole{Attempt: i}
		case p.index == noIndex:
			m.ev = retry.Note{Attempt: i}
		default:
			m.ev = retry.Token{Attempt: i, Index: p.index}
		}
		if !r.take(m, !stream.hasNext()) || p.end || err != nil {
			return nil
		}
	}
}

const drainTimeout = 500 * time.Millisecond

// closeRead reads the few bytes after the answer's end, so that the connection can be
// used again, and closes the body.
func closeRead(body io.ReadCloser, cancel func()) {
	t := time.AfterFunc(drainTimeout, cancel)
	defer t.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, upstreamBuffer))
	body.Close()
}

func isEventStream(res *http.Response) bool {
	ct := res.Header.Get("Content-Type")
	return len(ct) >= len(contentStream) && ct[:len(contentStream)] == contentStream
}

func (r *relay) forward(now time.Time, at *attempt, p part) {
	if at.firstAt.IsZero() {
		at.firstAt = now
	}
	if !r.started {
		r.s.m.firstToken.Observe(now.Sub(r.entered).Seconds())
	} else {
		r.s.m.tokenGap.Observe(now.Sub(r.lastPart).Seconds())
	}
	at.maxGap = max(at.maxGap, now.Sub(at.lastAt))
	at.lastAt, r.lastPart = now, now
	at.tokens++
	r.s.m.tokens.Inc()
	r.startStream()
	r.writeHeld(at)
	r.writePart(p.text)
}

func (r *relay) startStream() {
	if r.started {
		return
	}
	r.started = true
	h := r.w.Header()
	h.Set("Content-Type", contentStream)
	h.Set("Cache-Control", "no-cache")
	h.Set("Transfer-Encoding", "chunked")
	h.Set(headerRequest, r.job.id)
	r.w.WriteHeader(http.StatusOK)
}

func (r *relay) writeHeld(at *attempt) {
	for _, text := range at.held {
		r.writePart(text)
	}
	at.held = nil
}

// writePart ignores errors: a caller's leaving is seen by its connection's close.
func (r *relay) writePart(text []byte) {
	r.dirty = true
	_, _ = r.w.Write(text)
}

func (r *relay) deliver(at *attempt, m moved) {
	if m.answer != nil {
		r.answer = m.answer
		return
	}
	r.startStream()
	r.writeHeld(at)
	r.writePart(eventEnd)
}

// finish writes the final answer, unless it was a stream and is written already.
func (r *relay) finish(err *errkind.Error) {
	r.final = err
	defer close(r.done)
	switch {
	case err == nil && r.answer != nil:
		r.writeAnswer()
	case err == nil:
		r.flush()
	case r.started:
		r.writePart(streamError(problemOf(err, r.job.id)))
		r.flush()
	default:
		writeProblem(r.w, problemOf(err, r.job.id))
	}
}

func (r *relay) writeAnswer() { writeAnswer(r.w, r.answer, r.job.id) }

func writeAnswer(w http.ResponseWriter, a *answer, requestID string) {
	h := w.Header()
	if a.contentType != "" {
		h.Set("Content-Type", a.contentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	h.Set(headerRequest, requestID)
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// release gives a slot back. An attempt that may still run is cancelled first.
func (r *relay) release(now time.Time, at *attempt, o wire.Outcome) {
	msg := &wire.Release{
		Attempt:      at.id,
		Outcome:      o,
		FirstTokenMs: millis(at.firstAt, at.sentAt),
		Tokens:       uint32(at.tokens),
		DurationMs:   millis(now, at.sentAt),
		MaxGapMs:     uint32(at.maxGap.Milliseconds()),
		Upstream:     at.grant.GetUpstream(),
		Incarnation:  at.grant.GetIncarnation(),
	}
	at.outcome = o
	unsent := at.gate.giveUp()
	if o == wire.Outcome_OUTCOME_UNUSED {
		r.s.m.unused.Inc()
		at.end()
	}
	ended := o == wire.Outcome_OUTCOME_OK || o == wire.Outcome_OUTCOME_REFUSED
	if ended || unsent {
		r.s.opts.Slots.Release(msg)
		return
	}
	at.end()
	address := at.grant.GetAddress()
	r.s.tasks.Go(func() {
		r.s.cancelAt(address, at.id)
		r.s.opts.Slots.Release(msg)
	})
}

// millis is the whole milliseconds from start to end; 0 when end is unset.
func millis(end, start time.Time) uint32 {
	if end.IsZero() || start.IsZero() {
		return 0
	}
	return uint32(end.Sub(start).Milliseconds())
}

// reportLate tells the scheduler of attempts that have been silent for a while.
func (r *relay) reportLate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.s.opts.Now()
	for _, at := range r.attempts {
		if at.sentAt.IsZero() || at.ctx.Err() != nil {
			continue
		}
		if waited := now.Sub(at.lastAt); waited >= progressInterval {
			r.s.opts.Slots.Progress(&wire.Progress{Attempt: at.id, WaitedMs: uint32(waited.Milliseconds())})
		}
	}
}
