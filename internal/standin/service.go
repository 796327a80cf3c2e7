package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"gentiankeel/internal/pause"
	"gentiankeel/internal/upstream"
)

// HeaderKey is the header that names a call of a desk service.
const HeaderKey = "Idempotency-Key"

const maxServiceBody = 1 << 20 // bytes

// runs counts how often each key was run.
type runs struct {
	mu    sync.Mutex
	byKey map[string]int
	total int
}

func (r *runs) add(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if key != "" {
		r.byKey[key]++
	}
	return r.total
}

func (r *runs) copy() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := make(map[string]int, len(r.byKey))
	for k, n := range r.byKey {
		c[k] = n
	}
	return c
}

// ServiceAnswer is the body that a desk service answers with.
type ServiceAnswer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	Run     int    `json:"run"` // consecutive number of the run
	Echo    string `json:"echo,omitempty"`
}

func (s *Server) handleService(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(upstream.HeaderAttempt)
	if why := s.refusal(r); why != "" {
		s.refuse(w, attempt, why)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxServiceBody))
	if err != nil {
		return // the call came in part and was not run
	}
	if err := s.slots.acquire(r.Context(), priority(r.Header.Get(upstream.HeaderPriority))); err != nil {
		s.refuse(w, attempt, err.Error())
		return
	}
	defer s.slots.release()
	key := r.Header.Get(HeaderKey)
	run := s.runs.add(key) // from here on the call has run
	// A run goes on when its caller leaves.
	if pause.For(s.ctx, s.stretch(s.o.Latency.Call)) != nil || s.faults.takeLost() {
		panic(http.ErrAbortHandler)
	}
	s.accelerator.count(func(t *Stats) { t.Served++ })
	w.Header().Set(upstream.HeaderAttempt, s.faults.attempt(attempt))
	writeJSON(w, http.StatusOK, ServiceAnswer{
		Service: s.o.Service, Path: r.URL.Path, Key: key, Run: run, Echo: string(body),
	})
}

func (s *Server) handleRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.runs.copy())
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the reader has left
}
