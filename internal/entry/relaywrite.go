package entry

import (
	"net/http"
	"strconv"
	"time"

	"gentiankeel/internal/errkind"
)

func (r *relay) flush() {
	if !r.unflushed {
		return
	}
	r.unflushed = false
	if f, ok := r.w.(http.Flusher); ok {
		f.Flush()
	}
}

func (r *relay) forward(now time.Time, at *attempt, event streamEvent) {
	if at.firstTokenAt.IsZero() {
		at.firstTokenAt = now
	}
	if !r.streamStarted {
		r.s.m.firstToken.Observe(now.Sub(r.entered).Seconds())
	} else {
		r.s.m.tokenGap.Observe(now.Sub(r.lastTokenAt).Seconds())
	}
	at.maxGap = max(at.maxGap, now.Sub(at.lastTokenAt))
	at.lastTokenAt, r.lastTokenAt = now, now
	at.tokens++
	r.s.m.tokens.Inc()
	r.startStream()
	r.writeBuffered(at)
	r.writeToCaller(event.data)
}

func (r *relay) startStream() {
	if r.streamStarted {
		return
	}
	r.streamStarted = true
	h := r.w.Header()
	h.Set("Content-Type", contentStream)
	h.Set("Cache-Control", "no-cache")
	h.Set("Transfer-Encoding", "chunked")
	h.Set(headerRequest, r.job.id)
	r.w.WriteHeader(http.StatusOK)
}

func (r *relay) writeBuffered(at *attempt) {
	for _, data := range at.buffered {
		r.writeToCaller(data)
	}
	at.buffered = nil
}

// writeToCaller ignores errors: a disconnected caller is detected by the close of its
// connection.
func (r *relay) writeToCaller(data []byte) {
	r.unflushed = true
	_, _ = r.w.Write(data)
}

func (r *relay) deliver(at *attempt, ae attemptEvent) {
	if ae.response != nil {
		r.response = ae.response
		return
	}
	r.startStream()
	r.writeBuffered(at)
	r.writeToCaller(endEvent)
}

// finish writes the final response, or the end of a stream that has started.
func (r *relay) finish(err *errkind.Error) {
	r.finalErr = err
	defer close(r.done)
	switch {
	case err == nil && r.response != nil:
		r.writeResponse()
	case err == nil:
		r.flush()
	case r.streamStarted:
		r.writeToCaller(streamErrorEvent(newProblem(err, r.job.id)))
		r.flush()
	default:
		writeProblem(r.w, newProblem(err, r.job.id))
	}
}

func (r *relay) writeResponse() { writeFullResponse(r.w, r.response, r.job.id) }

func writeFullResponse(w http.ResponseWriter, response *fullResponse, requestID string) {
	h := w.Header()
	if response.contentType != "" {
		h.Set("Content-Type", response.contentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(response.body)))
	h.Set(headerRequest, requestID)
	w.WriteHeader(response.status)
	_, _ = w.Write(response.body)
}
