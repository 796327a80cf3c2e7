package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"gentiankeel/internal/pause"
	"gentiankeel/internal/upstream"
)

// HeaderIdempotencyKey is the header that identifies a call of a desk service.
const HeaderIdempotencyKey = "Idempotency-Key"

const maxServiceBodyBytes = 1 << 20

// runCounter counts the runs of each Idempotency-Key.
type runCounter struct {
	mu    sync.Mutex
	byKey map[string]int
	total int
}

// add counts a run and returns the number of runs so far, over all keys.
func (r *runCounter) add(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if key != "" {
		r.byKey[key]++
	}
	return r.total
}

func (r *runCounter) copy() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := make(map[string]int, len(r.byKey))
	for k, n := range r.byKey {
		c[k] = n
	}
	return c
}

// ServiceAnswer is the body of a desk service's answer.
type ServiceAnswer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	Run     int    `json:"run"` // number of the run, over all keys
	Echo    string `json:"echo,omitempty"`
}

func (s *Server) handleService(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(upstream.HeaderAttempt)
	if reason := s.refusalReason(r); reason != "" {
		s.refuse(w, attempt, reason)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxServiceBodyBytes))
	if err != nil {
		return // incomplete calls are not run
	}
	if err := s.slots.acquire(r.Context(), priority(r.Header.Get(upstream.HeaderPriority))); err != nil {
		s.refuse(w, attempt, err.Error())
		return
	}
	defer s.slots.release()
	key := r.Header.Get(HeaderIdempotencyKey)
	run := s.runCounter.add(key) // from here on the call counts as run
	// The server's context: a run continues when its caller disconnects.
	if pause.For(s.ctx, s.scaleDelay(s.opts.Latency.Call)) != nil || s.faults.consumeDroppedAnswer() {
		panic(http.ErrAbortHandler)
	}
	s.accelerator.updateStats(func(t *Stats) { t.Served++ })
	w.Header().Set(upstream.HeaderAttempt, s.faults.answerAttemptID(attempt))
	writeJSON(w, http.StatusOK, ServiceAnswer{
		Service: s.opts.Service, Path: r.URL.Path, Key: key, Run: run, Echo: string(body),
	})
}

func (s *Server) handleRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.runCounter.copy())
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
