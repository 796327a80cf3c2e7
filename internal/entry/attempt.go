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
	"gentiankeel/internal/respbuf"
	"gentiankeel/internal/retry"
	"gentiankeel/internal/sse"
	"gentiankeel/internal/wire"
)

// attempt holds the I/O state of one attempt. Its protocol state is in the relay's core.
type attempt struct {
	id           string
	grant        *wire.Grant
	gate         *sendGate
	ctx          context.Context
	cancel       context.CancelFunc
	span         trace.Span
	buffered     [][]byte
	sentAt       time.Time
	firstTokenAt time.Time
	lastTokenAt  time.Time
	maxGap       time.Duration
	tokens       int
	progress     progressTracker
	outcome      wire.Outcome // set when its slot is released
}

// close cancels the attempt's context and ends its span.
func (at *attempt) close() {
	at.cancel()
	at.span.End()
}

func (r *relay) requestSlot(a retry.RequestSlot) {
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
	msg := r.s.newAsk(r.job, at.id)
	msg.Exclude = a.Exclude
	msg.Hedge = a.Hedge
	r.s.tasks.Go(func() { r.awaitSlot(a.Attempt, at, msg) })
}

// awaitSlot waits for the scheduler's decision and passes it to the core.
func (r *relay) awaitSlot(i int, at *attempt, msg *wire.Ask) {
	grant, err := r.s.opts.Scheduler.Acquire(at.ctx, msg, at.cancel)
	if err != nil {
		defer at.close()
		r.handle(attemptEvent{ev: retry.Refused{Attempt: i, Err: errkind.From(err)}}, true)
		return
	}
	ae := attemptEvent{
		ev: retry.Granted{
			Attempt:    i,
			Upstream:   grant.GetUpstream(),
			HedgeAfter: time.Duration(grant.GetHedgeAfterMs()) * time.Millisecond,
		},
		grant: grant,
	}
	received := r.s.opts.Now()
	at.gate = &sendGate{now: r.s.opts.Now, useBy: useBy(grant, received, r.job.deadline)}
	// If the attempt was cancelled in the meantime, the core releases the slot.
	r.handle(ae, true)
}

// useBy returns the time from which no first byte may be written under a grant.
func useBy(g *wire.Grant, received, deadline time.Time) time.Time {
	t := received.Add(time.Duration(g.GetUseByMs()) * time.Millisecond)
	if t.After(deadline) {
		return deadline
	}
	return t
}

func (r *relay) send(now time.Time, a retry.Send) {
	at := r.attempts[a.Attempt]
	at.sentAt, at.lastTokenAt = now, now
	if a.ResumeFrom > 0 {
		r.s.m.resumed.Inc()
	}
	c := &call{
		s:          r.s,
		id:         at.id,
		grant:      at.grant,
		gate:       at.gate,
		method:     r.job.method,
		path:       r.job.path,
		header:     r.job.header,
		body:       r.job.body,
		deadline:   r.job.deadline,
		resumeFrom: a.ResumeFrom,
	}
	r.s.tasks.Go(func() { r.runCall(a.Attempt, at, c) })
}

// runCall makes one call and feeds its events to the core.
func (r *relay) runCall(i int, at *attempt, c *call) {
	defer at.close()
	res, f := c.do(at.ctx)
	if f == nil {
		defer drainAndClose(res.Body, at.cancel)
		f = r.readResponse(i, c, res, at.cancel)
	}
	if f == nil {
		return
	}
	at.span.RecordError(f.err)
	if f.stale {
		r.handle(attemptEvent{ev: retry.GrantUnused{Attempt: i}}, true)
		return
	}
	r.handle(attemptEvent{ev: retry.Failed{
		Attempt: i, Err: f.err, NotRun: f.notRun, Unsent: f.unsent, Cut: f.cut,
	}}, true)
}

func (r *relay) readResponse(i int, c *call, res *http.Response, cancel func()) *failure {
	isStream := res.StatusCode == http.StatusOK && isEventStream(res)
	switch {
	case isStream && r.job.stream:
		return r.readStream(i, c, res)
	case r.job.stream && (res.StatusCode == http.StatusOK || c.resumeFrom > 0):
		return &failure{err: errkind.New(errkind.UpstreamFailed, "upstream %s sent no stream but status %d",
			c.grant.GetUpstream(), res.StatusCode)}
	}
	response, f := c.readBody(res, cancel)
	if f != nil {
		return f
	}
	defer response.buffer.Release() // the response is written as the request ends
	r.handle(attemptEvent{ev: retry.Completed{Attempt: i}, response: response}, true)
	return nil
}

// maxUnindexedBytes bounds the events without token index after a token, which are kept in
// memory until the next one.
const maxUnindexedBytes = 64 << 10

func (r *relay) readStream(i int, c *call, res *http.Response) *failure {
	stream := newStreamReader(respbuf.Limit(res.Body, respbuf.StreamLimit(int(r.job.ask.GetMaxTokens()))))
	hasToken, unindexedBytes := false, 0
	for {
		event, err := stream.next()
		if err != nil && !skipEndMark {
			if f := c.invalidResponse(); f != nil {
				return f
			}
			return &failure{err: errkind.Wrap(errkind.Interrupted, err, "the stream of upstream %s was cut", c.grant.GetUpstream()), cut: true}
		}
		ae := attemptEvent{chunk: event}
		switch {
		case event.done || err != nil:
			ae.ev = retry.Completed{Attempt: i}
		case event.index == noIndex:
			if unindexedBytes += len(event.data); hasToken && unindexedBytes > maxUnindexedBytes {
				return &failure{err: errkind.New(errkind.Interrupted, "the stream of upstream %s has %d bytes without a token",
					c.grant.GetUpstream(), unindexedBytes), cut: true}
			}
			ae.ev = retry.UnindexedChunk{Attempt: i}
		default:
			hasToken, unindexedBytes = true, 0
			ae.ev = retry.Token{Attempt: i, Index: event.index}
		}
		if !r.handle(ae, !sse.HasBufferedEvent(stream.r)) || event.done || err != nil {
			return nil
		}
	}
}

// drainTimeout is the time after which drainAndClose cancels the call instead.
const drainTimeout = 500 * time.Millisecond

// drainAndClose reads the few bytes after the end of the response, so that the
// connection can be reused, and closes the body.
func drainAndClose(body io.ReadCloser, cancel func()) {
	t := time.AfterFunc(drainTimeout, cancel)
	defer t.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, upstreamBufferSize))
	body.Close()
}

func isEventStream(res *http.Response) bool {
	ct := res.Header.Get("Content-Type")
	return len(ct) >= len(contentStream) && ct[:len(contentStream)] == contentStream
}

// release returns a slot to the scheduler. An attempt that may still run is cancelled
// at its upstream first.
func (r *relay) release(now time.Time, at *attempt, o wire.Outcome) {
	msg := &wire.Release{
		Attempt:      at.id,
		Outcome:      o,
		FirstTokenMs: elapsedMs(at.firstTokenAt, at.sentAt),
		Tokens:       uint32(at.tokens),
		DurationMs:   elapsedMs(now, at.sentAt),
		MaxGapMs:     uint32(at.maxGap.Milliseconds()),
		Upstream:     at.grant.GetUpstream(),
		Incarnation:  at.grant.GetIncarnation(),
	}
	at.outcome = o
	unsent := at.gate.close()
	if o == wire.Outcome_OUTCOME_UNUSED {
		r.s.m.unusedGrants.Inc()
		at.close()
	}
	ended := o == wire.Outcome_OUTCOME_OK || o == wire.Outcome_OUTCOME_REFUSED
	if ended || unsent {
		r.s.opts.Scheduler.Release(msg)
		return
	}
	at.close()
	address := at.grant.GetAddress()
	r.s.tasks.Go(func() {
		r.s.cancelAttempt(address, at.id)
		r.s.opts.Scheduler.Release(msg)
	})
}

// elapsedMs returns the milliseconds from start to end, or 0 if either is unset.
func elapsedMs(end, start time.Time) uint32 {
	if end.IsZero() || start.IsZero() {
		return 0
	}
	return uint32(end.Sub(start).Milliseconds())
}
