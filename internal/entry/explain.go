package entry

import (
	"fmt"
	"sync"
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

// keptTrails is the number of answered requests that can be explained.
const keptTrails = 2048

// trail is what is kept of an answered request.
type trail struct {
	id       string
	caller   string
	path     string
	target   string // model, adapter or service
	digest   string
	version  uint64 // of the applied file
	index    uint64 // at which the file was accepted
	entered  time.Time
	took     time.Duration
	attempts []attemptNote
	err      *errkind.Error // nil: answered whole
}

// attemptNote is one attempt of a trail.
type attemptNote struct {
	id      string
	grant   *wire.Grant // nil: it got no slot
	outcome wire.Outcome
	tokens  int
}

// trails keeps the newest trails, first in first out. It is safe for concurrent use.
type trails struct {
	mu   sync.Mutex
	byID map[string]*trail
	ring []string
	next int
}

func newTrails(size int) *trails {
	return &trails{byID: make(map[string]*trail, size), ring: make([]string, size)}
}

func (t *trails) add(tr *trail) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, t.ring[t.next])
	t.ring[t.next] = tr.id
	t.next = (t.next + 1) % len(t.ring)
	t.byID[tr.id] = tr
}

func (t *trails) get(id string) *trail {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[id]
}

// Explain tells what became of a request that this entry answered lately; nil when it
// knows nothing of it.
func (s *Server) Explain(requestID string) []string {
	t := s.trails.get(requestID)
	if t == nil {
		return nil
	}
	lines := []string{
		fmt.Sprintf("request %s of caller %s: %s %s, entered %s, answered after %d ms",
			t.id, t.caller, t.path, t.target, t.entered.UTC().Format(time.RFC3339Nano), t.took.Milliseconds()),
	}
	if t.digest != "" {
		lines = append(lines, fmt.Sprintf("under file version %d, index %d; body digest %s", t.version, t.index, t.digest))
	}
	for _, a := range t.attempts {
		lines = append(lines, a.line())
	}
	return append(lines, t.verdict())
}

func (a attemptNote) line() string {
	if a.grant == nil {
		return fmt.Sprintf("attempt %s: no slot was used", a.id)
	}
	return fmt.Sprintf("attempt %s: upstream %s incarnation %d under fencing number %d: %s, %d tokens",
		a.id, a.grant.GetUpstream(), a.grant.GetIncarnation(), a.grant.GetFence(), a.outcome, a.tokens)
}

func (t *trail) verdict() string {
	if t.err == nil {
		return "answered whole"
	}
	return fmt.Sprintf("answered %s (ran: %s): %s", t.err.Kind, t.err.Answer().Ran, t.err.Detail)
}

// keep fills in the trail and stores a copy, which does not hold on to the request.
func (q *request) keep(err *errkind.Error) {
	t := q.trail
	t.id, t.caller, t.path = q.id, q.caller, q.r.URL.Path
	t.entered, t.took = q.entered, q.s.opts.Now().Sub(q.entered)
	t.err = err
	q.s.trails.add(&t)
}

// wants notes what a request asks for.
func (q *request) wants(a *admitted, j *job) {
	q.trail.target = j.ask.GetModel()
	if adapter := j.ask.GetAdapter(); adapter != "" {
		q.trail.target += ":" + adapter
	}
	if name := j.ask.GetService(); name != "" {
		q.trail.target = "service " + name
	}
	q.trail.digest = j.digest
	q.trail.version, q.trail.index = a.view.Spec.GetVersion(), a.view.Spec.GetIndex()
}

// notes lists the attempts; the relay must have ended.
func (r *relay) notes() []attemptNote {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []attemptNote
	for _, at := range r.attempts {
		list = append(list, attemptNote{at.id, at.grant, at.outcome, at.tokens})
	}
	return list
}
