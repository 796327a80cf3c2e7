package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/httpserver"
)

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
		attrs = append(attrs, slog.Int("events", x.core.TokensForwarded()))
	}
	if x.final != nil {
		attrs = append(attrs, slog.String("ran", string(x.final.Answer().Ran)), slog.String("error", x.final.Error()))
	}
	x.s.log.LogAttrs(context.Background(), slog.LevelInfo, "Request answered.", attrs...)
}
