package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/retry"
	"gentiankeel/internal/sse"
	"gentiankeel/internal/wire"
)

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
	pace    pace
	outcome wire.Outcome // once its slot was given back
}

// end frees what the attempt holds in this process.
func (at *attempt) end() {
	at.cancel()
	at.span.End()
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
		if !r.take(m, !sse.HasNext(stream.r)) || p.end || err != nil {
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
