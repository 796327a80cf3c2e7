package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/upstream"
)

const (
	announceTimeout = 2 * time.Second
	modelOwner      = "gentiankeel"
)

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		writeProblem(w, newProblem(errkind.Wrap(errkind.Internal, err, "encoding the answer"), ""))
		return
	}
	w.Header().Set("Content-Type", contentJSON)
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

type probeResponse struct {
	Status string `json:"status"`
	Reason string `json:"reason,omitempty"`
}

// serveHealth responds to a liveness probe.
func (s *Server) serveHealth(w http.ResponseWriter) {
	writeJSON(w, http.StatusOK, probeResponse{Status: "ok"})
}

// serveReady responds to a readiness probe of the load balancer.
func (s *Server) serveReady(w http.ResponseWriter) {
	switch {
	case s.unready.Load():
		writeJSON(w, http.StatusServiceUnavailable, probeResponse{"unready", "draining"})
	case !s.opts.Config.Current().Fresh:
		writeJSON(w, http.StatusServiceUnavailable, probeResponse{"unready", "the configuration is stale"})
	default:
		writeJSON(w, http.StatusOK, probeResponse{Status: "ready"})
	}
}

// serveAnnounce forwards an upstream's announcement to the scheduler and keeps no state
// of it.
func (s *Server) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		writeProblem(w, newProblem(errkind.New(errkind.MethodNotAllowed, "announce with POST"), ""))
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeProblem(w, newProblem(errkind.Wrap(errkind.BadRequest, err, "reading the announcement"), ""))
		return
	}
	var a upstream.Announcement
	if err := json.Unmarshal(body, &a); err != nil || a.ID == "" || a.Address == "" {
		writeProblem(w, newProblem(errkind.New(errkind.BadRequest, "not an announcement: id and address are required"), ""))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), announceTimeout)
	defer cancel()
	res, err := s.opts.Scheduler.Announce(ctx, body)
	if err != nil {
		writeProblem(w, newProblem(errkind.From(err), ""))
		return
	}
	writeJSON(w, http.StatusOK, upstream.AnnounceReply{Known: res.GetKnown(), NextAfterMs: res.GetNextAfterMs()})
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models of the applied file, then its adapters as model:adapter.
func (q *request) serveModels() {
	if q.r.Method != http.MethodGet {
		q.fail(errkind.New(errkind.MethodNotAllowed, "list models with GET"))
		return
	}
	spec := q.s.opts.Config.Current().Spec
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range spec.GetModels() {
		list.Data = append(list.Data, modelItem{m.GetName(), "model", modelOwner})
	}
	for _, a := range spec.GetAdapters() {
		list.Data = append(list.Data, modelItem{a.GetModel() + ":" + a.GetName(), "model", modelOwner})
	}
	writeJSON(q.w, http.StatusOK, list)
	q.finish(nil)
}
