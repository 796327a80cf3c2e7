package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"gentiankeel/internal/dispatch"
	"gentiankeel/internal/errkind"
	"gentiankeel/internal/retry"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/sse"
	"gentiankeel/internal/upclient"
)

// granted is one attempt that holds a place at an upstream.
type granted struct {
	ask    uint64
	target *dispatch.Target
	over   bool
	why    dispatch.Outcome
}

// event is one event of a stream with the head under which it came.
type event struct {
	raw  []byte
	id   uint64
	has  bool
	head *http.Response
	more bool // another event follows at once
}

// wholeAnswer is an answer that is no stream.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// await waits for an upstream.
func (x *exchange) await(a retry.RequestSlot) retry.Event {
	ask := x.askOf(a)
	began := x.s.now()
	ctx, cancel := x.deadline()
	defer cancel()
	ch := x.s.ask(ask)
	var d dispatch.Decision
	select {
	case d = <-ch:
	default:
		x.s.log.Info("Request waits.", "request", x.meta.ID, "service", x.service, "model", x.meta.Model,
			"adapter", x.meta.Adapter, "priority", ask.Priority, "left", x.cfg.Deadline-began,
			"coordinator_age", began-time.Duration(x.s.heard.Load()))
		select {
		case d = <-ch:
		case <-ctx.Done():
			x.waited += x.s.now() - began
			x.s.withdraw(ask.ID, ch)
			return x.interrupted()
		}
	}
	x.waited += x.s.now() - began
	x.s.m.waited.Observe((x.s.now() - began).Seconds())
	if d.Target == nil {
		err := errkind.New(d.Kind, "%s", d.Detail).WithRan(errkind.RanNo)
		err.RetryAfter = d.RetryAfter
		return retry.Refused{Attempt: a.Attempt, Err: err}
	}
	x.grants[a.Attempt] = &granted{ask: ask.ID, target: d.Target, why: dispatch.Left}
	return retry.Granted{Attempt: a.Attempt, Upstream: d.Target.ID}
}

func (x *exchange) askOf(a retry.RequestSlot) dispatch.Ask {
	ask := dispatch.Ask{
		ID:       x.s.nextAsk.Add(1),
		Service:  x.service,
		Model:    x.meta.Model,
		Adapter:  x.meta.Adapter,
		Priority: x.route.Priority,
		Prompt:   x.meta.Prompt,
		Output:   int(outputShare * float64(x.meta.Output)),
		Deadline: x.cfg.Deadline,
		MinServe: minServeCall,
	}
	if x.route.Kind == routing.Stream {
		ask.MinServe = minServeStream
	}
	if len(a.Exclude) > 0 {
		ask.Exclude = map[string]bool{}
		for _, id := range a.Exclude {
			ask.Exclude[id] = true
		}
	}
	ask.Affinity, ask.Shared = affinity(&x.meta)
	return ask
}

// affinity names the shared parts of a prompt: all but the last one, which is the
// request's own, for one model and adapter.
func affinity(m *Meta) (key uint64, shared int) {
	if len(m.Parts) < 2 {
		return 0, 0
	}
	var b strings.Builder
	b.WriteString(m.Model)
	b.WriteByte('/')
	b.WriteString(m.Adapter)
	for _, p := range m.Parts[:len(m.Parts)-1] {
		b.WriteByte(',')
		b.WriteString(p.ID)
		shared += p.Tokens
	}
	return max(xxhash.Sum64String(b.String()), 1), shared
}

// send makes one attempt and returns how it ended.
func (x *exchange) send(a retry.Send) retry.Event {
	g := x.grants[a.Attempt]
	x.sent++
	x.used = append(x.used, g.target.ID)
	x.s.m.attempts.Inc()
	if x.sent > 1 {
		x.s.m.retries.Inc()
	}
	if x.passed {
		x.s.m.resumes.Inc()
	}
	ctx, cancel := x.deadline()
	defer cancel()
	res, f := x.s.pool.Do(ctx, &upclient.Call{Address: g.target.Address, Request: x.request(g.target), Body: x.body})
	if f != nil {
		return x.unanswered(ctx, a.Attempt, g, f)
	}
	defer res.Body.Close()
	head := x.s.o.Dialect.Head(res)
	if head.NotRun {
		g.why = dispatch.Refused
		if head.NotHeld {
			g.why = dispatch.NotHeld
		}
		return x.failed(a.Attempt, retry.Failed{
			Err:    errkind.New(errkind.UpstreamRefused, "upstream %s refused with status %d", g.target.ID, res.StatusCode),
			NotRun: true,
		})
	}
	if isStream(res) && head.Signed {
		return x.readStream(ctx, a.Attempt, g, res)
	}
	return x.readWhole(ctx, a.Attempt, g, res, head)
}

func (x *exchange) request(t *dispatch.Target) *http.Request {
	f := Forward{
		Upstream: t.ID,
		Left:     max(x.cfg.Deadline-x.s.now(), time.Millisecond),
		Priority: x.route.Priority,
		After:    x.lastID,
		HasAfter: x.hasID,
	}
	if !x.hasID && x.route.Resumable {
		f.After, f.HasAfter = x.meta.After, x.meta.HasAfter
	}
	return &http.Request{
		Method: x.r.Method,
		URL:    x.r.URL,
		Host:   x.r.Host,
		Header: x.s.o.Dialect.Forward(x.r.Header, f),
	}
}

// failed logs a failed attempt with what decided it.
func (x *exchange) failed(attempt int, f retry.Failed) retry.Event {
	f.Attempt = attempt
	g := x.grants[attempt]
	x.s.log.Info("Attempt failed.", "request", x.meta.ID, "upstream", g.target.ID, "address", g.target.Address,
		"attempt", x.sent, "not_run", f.NotRun, "unsent", f.Unsent, "cut", f.Cut, "error", f.Err.Error())
	return f
}

// unanswered tells what is known of an attempt that brought no response.
func (x *exchange) unanswered(ctx context.Context, attempt int, g *granted, f *upclient.Failure) retry.Event {
	if ctx.Err() != nil {
		return x.interrupted()
	}
	g.why = dispatch.Unreachable
	if !f.Unsent {
		g.why = dispatch.Broken
	}
	return x.failed(attempt, retry.Failed{
		Err:    errkind.Wrap(errkind.UpstreamFailed, f, "upstream %s gave no answer", g.target.ID),
		Unsent: f.Unsent,
		Cut:    !f.Unsent,
	})
}

func isStream(res *http.Response) bool {
	return res.StatusCode == http.StatusOK && strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream")
}

// readStream passes the events of a stream on as they come.
func (x *exchange) readStream(ctx context.Context, attempt int, g *granted, res *http.Response) retry.Event {
	events := newEventReader(res.Body)
	for n := x.core.TokensForwarded(); ; n++ {
		raw, err := events.next()
		if errors.Is(err, io.EOF) {
			g.why = dispatch.Served
			x.newest = event{head: res}
			return retry.Completed{Attempt: attempt}
		}
		if err != nil {
			if ctx.Err() != nil {
				return x.interrupted()
			}
			return x.cut(attempt, g, err)
		}
		ev := event{raw: raw, head: res, more: sse.HasNext(events.r)}
		ev.id, ev.has = x.s.o.Dialect.Event(raw)
		if ev.has && x.hasID && ev.id <= x.lastID {
			return x.cut(attempt, g, errors.Errorf("event %d came after event %d", ev.id, x.lastID))
		}
		x.newest = ev
		x.step(retry.Token{Attempt: attempt, Index: n})
		if x.core.Done() {
			return retry.Tick{}
		}
	}
}

func (x *exchange) cut(attempt int, g *granted, err error) retry.Event {
	g.why = dispatch.Broken
	return x.failed(attempt, retry.Failed{
		Err: errkind.Wrap(errkind.Interrupted, err, "the stream of upstream %s was cut", g.target.ID),
		Cut: true,
	})
}

// readWhole reads an answer that is no stream up to its end.
func (x *exchange) readWhole(ctx context.Context, attempt int, g *granted, res *http.Response, head Head) retry.Event {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errors.Errorf("the answer has more than %d bytes", maxAnswerBytes)
	}
	if err != nil {
		if ctx.Err() != nil {
			return x.interrupted()
		}
		return x.cut(attempt, g, err)
	}
	if !head.Signed || promisesNotRun(res.StatusCode) {
		g.why = dispatch.Failed
		return x.failed(attempt, retry.Failed{
			Err: errkind.New(errkind.UpstreamFailed, "upstream %s answered %d without its signature or against its word",
				g.target.ID, res.StatusCode),
		})
	}
	answer := &wholeAnswer{status: res.StatusCode, header: res.Header, body: body}
	if res.StatusCode >= http.StatusInternalServerError {
		g.why = dispatch.Failed
		x.failure = answer
		return x.failed(attempt, retry.Failed{
			Err: errkind.New(errkind.UpstreamFailed, "upstream %s failed with status %d", g.target.ID, res.StatusCode),
		})
	}
	g.why = dispatch.Served
	x.whole = answer
	return retry.Completed{Attempt: attempt}
}

// release gives an attempt's place back.
func (x *exchange) release(attempt int) {
	g := x.grants[attempt]
	if g == nil || g.over {
		return
	}
	g.over = true
	x.s.ended(g.ask, g.why)
}
