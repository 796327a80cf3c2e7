package gateway

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"gentiankeel/internal/dispatch"
	"gentiankeel/internal/errkind"
	"gentiankeel/internal/httpserver"
	"gentiankeel/internal/retry"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/upclient"
)

const (
	// maxAsks bounds the upstreams asked for by one request, with those that refused it.
	maxAsks = 6
	// minServeStream and minServeCall are the shortest times in which an upstream can
	// give a useful answer; a request with less time left is not sent.
	minServeStream = 150 * time.Millisecond
	minServeCall   = 10 * time.Millisecond
	// outputShare is the share of the most tokens that a request is expected to generate.
	outputShare = 0.6
	// maxAnswerBytes bounds an answer that is no stream.
	maxAnswerBytes = 16 << 20
)

// exchange is one request and its one final answer.
type exchange struct {
	s       *Server
	w       http.ResponseWriter
	r       *http.Request
	body    []byte
	meta    Meta
	route   *routing.Route
	service string
	version uint64 // of the configuration
	entered time.Duration
	cfg     retry.Config
	core    *retry.Request

	todo    retry.Action // an Ask or a Send that is to be done next
	grants  map[int]*granted
	newest  event         // the stream's event that the core decides about
	whole   *wholeAnswer  // the answer that is no stream
	failure *wholeAnswer  // the upstream's own failure, passed on when nothing better comes
	begun   bool          // the answer's head is written
	passed  bool          // an event was passed on
	lastID  uint64        // position of the last event passed on
	hasID   bool          // lastID is set
	first   time.Duration // when the first byte was written
	last    time.Duration // when the newest event was passed on
	maxGap  time.Duration // longest pause between two events
	final   *errkind.Error
	waited  time.Duration // for upstreams, over all attempts
	sent    int
	used    []string // upstreams, in order
}

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

// serve answers one request of a caller.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.m.inFlight.Inc()
	defer s.m.inFlight.Dec()
	x := &exchange{s: s, w: w, r: r, entered: s.now(), grants: map[int]*granted{}}
	x.meta = s.o.Dialect.Parse(r)
	if err := x.admit(); err != nil {
		x.finish(err)
	} else {
		x.run()
	}
	x.note()
}

// admit finds the request's route and reads its body.
func (x *exchange) admit() *errkind.Error {
	s := x.s
	if s.refusing.Load() {
		x.closeAfter()
		return errkind.New(errkind.Draining, "this entry shuts down").WithRan(errkind.RanNo)
	}
	table := s.awaitConfig(x.r.Context(), configShare(x.meta.Wait))
	if table == nil {
		return errkind.New(errkind.StaleConfig, "no configuration is in force here").WithRan(errkind.RanNo)
	}
	x.version = table.Config.Version
	x.route = table.Match(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		return errkind.New(errkind.NotFound, "no route for this host and path").WithRan(errkind.RanNo)
	}
	body, err := io.ReadAll(x.r.Body)
	if err != nil {
		return errkind.Wrap(errkind.BadRequest, err, "reading the body").WithRan(errkind.RanNo)
	}
	if most := table.Config.Limits.MaxBodyBytes; most > 0 && len(body) > most {
		return errkind.New(errkind.TooLarge, "the body has %d bytes, %d are allowed", len(body), most).WithRan(errkind.RanNo)
	}
	x.body = body
	x.service = x.route.Pick(x.meta.ID)
	if s.draining.Load() {
		x.closeAfter()
	}
	return nil
}

// configShare is the part of a caller's time that may pass before a request has a route.
func configShare(wait time.Duration) time.Duration {
	if wait <= 0 {
		return DefaultConfigWait
	}
	return wait / 2
}

// closeAfter ends the caller's connection after this answer.
func (x *exchange) closeAfter() {
	if a, ok := x.w.(httpserver.Aborter); ok {
		a.CloseAfter()
	}
}

// run takes the request through its attempts. One goroutine does it all: the core says
// what is next, and each step blocks until it is done.
func (x *exchange) run() {
	wait := x.route.Timeout
	if x.meta.Wait > 0 {
		wait = min(wait, x.meta.Wait)
	}
	b := x.s.budget(x.service)
	b.request()
	x.cfg = retry.Config{
		Deadline:    x.entered + wait,
		Idempotent:  x.route.Idempotent(),
		MaxAttempts: max(x.route.MaxAttempts, 1),
		MaxAsks:     maxAsks,
		CountRuns:   true,
	}
	x.core = retry.New(x.cfg, b)
	x.step(retry.Start{})
	for !x.core.Done() {
		todo := x.todo
		x.todo = nil
		switch todo := todo.(type) {
		case retry.Ask:
			x.step(x.await(todo))
		case retry.Send:
			x.step(x.send(todo))
		default:
			panic(&retry.Broken{Reason: "request " + x.meta.ID + " has no final answer and nothing left to do"})
		}
	}
}

// step takes an event through the core and does at once what does not block.
func (x *exchange) step(ev retry.Event) {
	for _, a := range x.core.Step(x.s.now(), ev) {
		switch a := a.(type) {
		case retry.Ask, retry.Send:
			x.todo = a
		case retry.Forward:
			x.forward()
		case retry.Release:
			x.release(a.Attempt)
		case retry.Finish:
			x.finish(a.Err)
		}
	}
}

// interrupted returns the event that ends a wait: the caller has left, or the deadline
// has passed.
func (x *exchange) interrupted() retry.Event {
	if x.r.Context().Err() != nil {
		return retry.CallerLeft{}
	}
	if early := x.cfg.Deadline - x.s.now(); early > 0 {
		time.Sleep(early) // the timer's clock is read at another moment
	}
	return retry.Tick{}
}

func (x *exchange) deadline() (context.Context, context.CancelFunc) {
	return context.WithTimeout(x.r.Context(), x.cfg.Deadline-x.s.now())
}

// await waits for an upstream.
func (x *exchange) await(a retry.Ask) retry.Event {
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

func (x *exchange) askOf(a retry.Ask) dispatch.Ask {
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
		Again:    a.Retry,
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
	for n := x.core.Passed(); ; n++ {
		raw, err := events.next()
		if errors.Is(err, io.EOF) {
			g.why = dispatch.Served
			x.newest = event{head: res}
			return retry.Whole{Attempt: attempt}
		}
		if err != nil {
			if ctx.Err() != nil {
				return x.interrupted()
			}
			return x.cut(attempt, g, err)
		}
		ev := event{raw: raw, head: res, more: events.buffered()}
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
	return retry.Whole{Attempt: attempt}
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

// forward passes the newest event on.
func (x *exchange) forward() {
	ev := x.newest
	x.beginStream(ev.head)
	now := x.s.now()
	if x.passed {
		x.maxGap = max(x.maxGap, now-x.last)
	}
	x.passed, x.last = true, now
	if ev.has {
		x.lastID, x.hasID = ev.id, true
	}
	x.s.m.events.Inc()
	if _, err := x.w.Write(ev.raw); err != nil {
		return // the caller's leaving ends the request's context
	}
	if !ev.more {
		x.flush()
	}
}

func (x *exchange) flush() {
	if f, ok := x.w.(http.Flusher); ok {
		f.Flush()
	}
}

func (x *exchange) beginStream(res *http.Response) {
	if x.begun {
		return
	}
	x.begin()
	h := x.w.Header()
	x.s.o.Dialect.Backward(h, res.Header)
	h.Set("Transfer-Encoding", "chunked")
	x.w.WriteHeader(res.StatusCode)
}

func (x *exchange) begin() {
	x.begun = true
	x.first = x.s.now()
	x.s.m.firstByte.Observe((x.first - x.entered).Seconds())
}

// finish gives the final answer; a nil error says that the upstream's was passed on.
func (x *exchange) finish(err *errkind.Error) {
	x.final = err
	switch {
	case err == nil && x.whole != nil:
		x.writeWhole(x.whole)
	case err == nil:
		x.beginStream(x.newest.head)
		x.flush()
	case x.begun:
		x.flush() // what came before the break is the caller's
		x.abort()
	case err.Kind == errkind.CallerGone:
	case err.Kind == errkind.UpstreamFailed && x.failure != nil:
		x.writeWhole(x.failure)
	default:
		status, h, body := answerOf(err)
		x.write(status, h, body)
	}
}

// abort breaks the answer off, so that it can't be taken for whole.
func (x *exchange) abort() {
	if a, ok := x.w.(httpserver.Aborter); ok {
		a.Abort()
		return
	}
	panic(http.ErrAbortHandler)
}

func (x *exchange) writeWhole(a *wholeAnswer) {
	h := http.Header{}
	x.s.o.Dialect.Backward(h, a.header)
	x.write(a.status, h, a.body)
}

func (x *exchange) write(status int, h http.Header, body []byte) {
	x.begin()
	out := x.w.Header()
	for k, v := range h {
		out[k] = v
	}
	out.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	if _, err := x.w.Write(body); err != nil {
		x.s.log.Debug("The caller left before its answer.", "request", x.meta.ID)
	}
}

// note logs the request's one final answer with what decided it.
func (x *exchange) note() {
	kind := "served"
	if x.final != nil {
		kind = string(x.final.Kind)
	}
	x.s.m.requests.WithLabelValues(kind).Inc()
	attrs := []slog.Attr{
		slog.String("request", x.meta.ID), slog.String("kind", kind), slog.Uint64("version", x.version),
		slog.String("service", x.service), slog.String("model", x.meta.Model), slog.String("adapter", x.meta.Adapter),
		slog.Any("upstreams", x.used), slog.Int("attempts", x.sent),
		slog.Duration("waited", x.waited), slog.Duration("first_byte", x.first-x.entered), slog.Duration("max_gap", x.maxGap), slog.Duration("took", x.s.now()-x.entered),
		slog.Duration("coordinator_age", x.s.now()-time.Duration(x.s.heard.Load())),
	}
	if x.route != nil {
		attrs = append(attrs, slog.String("route", x.route.Name))
	}
	if x.core != nil {
		attrs = append(attrs, slog.Int("events", x.core.Passed()))
	}
	if x.final != nil {
		attrs = append(attrs, slog.String("ran", string(x.final.Answer().Ran)), slog.String("error", x.final.Error()))
	}
	x.s.log.LogAttrs(context.Background(), slog.LevelInfo, "Request answered.", attrs...)
}
