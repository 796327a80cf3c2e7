package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/httpserver"
)

const (
	contentProblem = "application/problem+json"
	contentJSON    = "application/json"
	contentStream  = "text/event-stream"
	headerRequest  = "X-Request-Id"
	problemType    = "urn:gentiankeel:error:"
)

// Problem is the body of every error response, in the format of RFC 9457.
type Problem struct {
	Type         string       `json:"type"`
	Title        string       `json:"title"`
	Status       int          `json:"status"`
	Detail       string       `json:"detail,omitempty"`
	Kind         errkind.Kind `json:"kind"`
	Ran          errkind.Ran  `json:"ran"`
	RequestID    string       `json:"request_id,omitempty"`
	RetryAfterMs int64        `json:"retry_after_ms,omitempty"`
}

func newProblem(err *errkind.Error, requestID string) Problem {
	res := err.Response()
	return Problem{
		Type:         problemType + string(err.Kind),
		Title:        res.Title,
		Status:       res.Status,
		Detail:       err.Detail,
		Kind:         err.Kind,
		Ran:          res.Ran,
		RequestID:    requestID,
		RetryAfterMs: res.RetryAfter.Milliseconds(),
	}
}

func (p Problem) body() []byte {
	b, err := json.Marshal(p)
	if err != nil { // impossible with strings and numbers only
		return []byte(`{"kind":"internal"}`)
	}
	return b
}

func (p Problem) header() http.Header {
	h := http.Header{}
	h.Set("Content-Type", contentProblem)
	if p.RequestID != "" {
		h.Set(headerRequest, p.RequestID)
	}
	if p.RetryAfterMs > 0 {
		wait := time.Duration(p.RetryAfterMs) * time.Millisecond
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	return h
}

func writeProblem(w http.ResponseWriter, p Problem) {
	for k, v := range p.header() {
		w.Header()[k] = v
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(p.body())
}

// streamErrorEvent returns the last event of a stream that has started and can't be
// completed. No end mark follows, so that no client takes the stream for complete.
func streamErrorEvent(p Problem) []byte {
	b := append([]byte("event: error\ndata: {\"error\":"), p.body()...)
	return append(b, "}\n\n"...)
}

// refuse counts a request that the HTTP server refused before its handler ran, and
// returns the response to it.
func (s *Server) refuse(kind errkind.Kind, detail string) httpserver.Refusal {
	err := errkind.New(kind, "%s", detail)
	s.m.entered.Inc()
	s.m.countFinished(err)
	p := newProblem(err, "")
	return httpserver.Refusal{Status: p.Status, Header: p.header(), Body: p.body()}
}
