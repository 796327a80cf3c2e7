package entry

import (
	"net/http"
	"strconv"
	"time"

	"gentiankeel/internal/errkind"
)

func (r *relay) flush() {
	if !r.dirty {
		return
	}
	r.dirty = false
	if f, ok := r.w.(http.Flusher); ok {
		f.Flush()
	}
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
