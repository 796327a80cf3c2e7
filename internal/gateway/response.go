package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/httpserver"
)

// forwardEvent writes the current event to the caller.
func (x *exchange) forwardEvent() {
	ev := x.currentEvent
	x.writeStreamHeader(ev.response)
	now := x.server.now()
	if x.eventForwarded {
		x.maxGap = max(x.maxGap, now-x.lastEventAt)
	}
	x.eventForwarded, x.lastEventAt = true, now
	x.recordOrigin()
	switch {
	case ev.hasID:
		if !x.hasLastEventID {
			x.firstEventID = ev.id
		}
		x.lastEventID, x.hasLastEventID, x.lacksPosition = ev.id, true, false
	case hasData(ev.raw):
		x.lacksPosition = true
	}
	x.server.m.events.Inc()
	if _, err := x.w.Write(ev.raw); err != nil {
		return // the request's context ends as the caller disconnects
	}
	if !ev.moreBuffered {
		x.flush()
	}
}

func (x *exchange) flush() {
	if f, ok := x.w.(http.Flusher); ok {
		f.Flush()
	}
}

// writeStreamHeader writes the header of a streamed response, unless it is written already.
func (x *exchange) writeStreamHeader(res *http.Response) {
	if x.headerWritten {
		return
	}
	x.recordFirstByte()
	h := x.w.Header()
	x.server.o.Dialect.CopyResponseHeader(h, res.Header)
	h.Set("Transfer-Encoding", "chunked")
	x.w.WriteHeader(res.StatusCode)
}

// recordFirstByte marks the response's header as written and records the time.
func (x *exchange) recordFirstByte() {
	x.headerWritten = true
	x.firstByteAt = x.server.now()
	x.server.m.firstByte.Observe((x.firstByteAt - x.started).Seconds())
}

// framingConnection is the framing of a response that only the end of its connection ends.
const framingConnection = "connection"

// recordFraming records how the end of a response is marked. A response to HEAD has no body, whatever its header
// says.
func (x *exchange) recordFraming(res *http.Response) {
	switch {
	case x.r.Method == http.MethodHead || res.ContentLength == 0:
		x.framing = "none"
	case len(res.TransferEncoding) > 0:
		x.framing = "chunks"
	case res.ContentLength > 0:
		x.framing = "length"
	default:
		x.framing = framingConnection
	}
	x.server.m.responses.WithLabelValues(x.framing).Inc()
}

// finish writes the final response. A nil err means that an upstream's response is
// complete. With an error, a stream that has begun is aborted, and a caller that has
// disconnected gets nothing.
func (x *exchange) finish(err *errkind.Error) {
	x.finalErr = err
	switch {
	case err == nil && x.buffered != nil:
		x.writeBuffered(x.buffered)
	case err == nil:
		x.writeStreamHeader(x.currentEvent.response)
		x.flush()
	case x.headerWritten:
		x.flush() // events before the break are still delivered
		x.abort()
	case err.Kind == errkind.CallerGone:
	case err.Kind == errkind.UpstreamFailed && x.failureResponse != nil:
		x.writeBuffered(x.failureResponse)
	default:
		status, h, body := errorResponse(err)
		x.writeResponse(status, h, body)
	}
}

// abort breaks the connection, so that the caller can't take the response for complete.
func (x *exchange) abort() {
	if c, ok := x.w.(httpserver.ConnectionCloser); ok {
		c.Abort()
		return
	}
	panic(http.ErrAbortHandler)
}

func (x *exchange) writeBuffered(res *bufferedResponse) {
	h := http.Header{}
	x.server.o.Dialect.CopyResponseHeader(h, res.header)
	length := strconv.Itoa(len(res.body))
	if x.r.Method == http.MethodHead {
		length = res.header.Get("Content-Length") // of the body that GET would get
	}
	x.writeWithLength(res.status, h, res.body, length)
}

func (x *exchange) writeResponse(status int, h http.Header, body []byte) {
	x.writeWithLength(status, h, body, strconv.Itoa(len(body)))
}

// writeWithLength writes a response; an empty length sets no Content-Length.
func (x *exchange) writeWithLength(status int, h http.Header, body []byte, length string) {
	x.recordFirstByte()
	out := x.w.Header()
	for k, v := range h {
		out[k] = v
	}
	if length != "" {
		out.Set("Content-Length", length)
	}
	x.w.WriteHeader(status)
	if _, err := x.w.Write(body); err != nil {
		x.server.log.Debug("The caller disconnected before its response.", "request", x.info.ID)
	}
}

// logResult logs the request's final response and counts it.
func (x *exchange) logResult() {
	kind := "served"
	if x.finalErr != nil {
		kind = string(x.finalErr.Kind)
	}
	x.server.m.requests.WithLabelValues(kind).Inc()
	x.countKeyRefusal()
	attrs := []slog.Attr{
		slog.String("request", x.info.ID), slog.String("kind", kind), slog.Uint64("version", x.version),
		slog.String("service", x.service), slog.String("model", x.info.Model), slog.String("adapter", x.info.Adapter),
		slog.Any("upstreams", x.upstreams), slog.Int("attempts", x.attemptCount),
		slog.Duration("waited", x.slotWait), slog.Duration("waited_units", x.unitWait), slog.Duration("first_byte", x.firstByteAt-x.started), slog.Duration("max_gap", x.maxGap), slog.Duration("took", x.server.now()-x.started),
		slog.Duration("coordinator_age", x.server.coordinatorAge()),
	}
	if x.route != nil {
		attrs = append(attrs, slog.String("route", x.route.Name))
	}
	if name := x.sender.name(); name != "" {
		attrs = append(attrs, slog.String("organisation", name))
	}
	if len(x.info.PromptParts) > 1 {
		attrs = append(attrs, slog.Any("parts", sharedPartIDs(&x.info)))
	}
	if x.needsSoftware {
		attrs = append(attrs, slog.String("software", x.software))
	}
	if x.expectedRun > 0 {
		attrs = append(attrs, slog.Duration("expected_run", x.expectedRun), slog.Duration("run", x.server.now()-x.sentAt))
	}
	if x.core != nil {
		attrs = append(attrs, slog.Int("events", x.core.TokensForwarded()))
	}
	if x.framing != "" {
		attrs = append(attrs, slog.String("framing", x.framing))
	}
	if x.hasLastEventID {
		attrs = append(attrs, slog.Uint64("first_event", x.firstEventID), slog.Uint64("last_event", x.lastEventID))
	}
	if x.info.HasLastEventID {
		attrs = append(attrs, slog.Uint64("after_event", x.info.LastEventID))
	}
	if x.origin != "" {
		x.server.m.takenUp.WithLabelValues(x.origin).Inc()
		attrs = append(attrs, slog.String("resumes", x.info.Resumes), slog.String("origin", x.origin), slog.Any("versions_ms", x.versionAges))
	}
	if x.finalErr != nil {
		attrs = append(attrs, slog.String("ran", string(x.finalErr.Response().Ran)), slog.String("error", x.finalErr.Error()))
	}
	x.server.log.LogAttrs(context.Background(), slog.LevelInfo, "Request answered.", attrs...)
}
