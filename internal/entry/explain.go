package entry

import (
	"fmt"
	"sync"
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

// maxRecords is the number of finished requests that Explain can report on.
const maxRecords = 2048

// requestRecord describes a finished request.
type requestRecord struct {
	id       string
	caller   string
	path     string
	target   string // model, adapter or service
	digest   string
	version  uint64 // of the applied file
	index    uint64 // log index at which the file was accepted
	entered  time.Time
	duration time.Duration
	attempts []attemptRecord
	err      *errkind.Error // nil: the complete response was delivered
}

// attemptRecord describes one attempt of a request.
type attemptRecord struct {
	id      string
	grant   *wire.Grant // nil: it got no slot
	outcome wire.Outcome
	tokens  int
}

// recordLog holds the newest records. It is safe for concurrent use.
type recordLog struct {
	mu   sync.Mutex
	byID map[string]*requestRecord
	ring []string // ids, in the order of arrival
	next int      // index of the oldest id in ring
}

// newRecordLog returns an empty log for the newest size records.
func newRecordLog(size int) *recordLog {
	return &recordLog{byID: make(map[string]*requestRecord, size), ring: make([]string, size)}
}

func (l *recordLog) add(rec *requestRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byID, l.ring[l.next])
	l.ring[l.next] = rec.id
	l.next = (l.next + 1) % len(l.ring)
	l.byID[rec.id] = rec
}

func (l *recordLog) get(id string) *requestRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byID[id]
}

// Explain returns the lines of a report on a recently finished request, or nil if this
// entry has no record of it.
func (s *Server) Explain(requestID string) []string {
	rec := s.records.get(requestID)
	if rec == nil {
		return nil
	}
	lines := []string{
		fmt.Sprintf("request %s of caller %s: %s %s, entered %s, answered after %d ms",
			rec.id, rec.caller, rec.path, rec.target, rec.entered.UTC().Format(time.RFC3339Nano), rec.duration.Milliseconds()),
	}
	if rec.digest != "" {
		lines = append(lines, fmt.Sprintf("under file version %d, index %d; body digest %s", rec.version, rec.index, rec.digest))
	}
	for _, a := range rec.attempts {
		lines = append(lines, a.line())
	}
	return append(lines, rec.outcomeLine())
}

func (a attemptRecord) line() string {
	if a.grant == nil {
		return fmt.Sprintf("attempt %s: no slot was used", a.id)
	}
	return fmt.Sprintf("attempt %s: upstream %s incarnation %d under fencing number %d: %s, %d tokens",
		a.id, a.grant.GetUpstream(), a.grant.GetIncarnation(), a.grant.GetFence(), a.outcome, a.tokens)
}

func (rec *requestRecord) outcomeLine() string {
	if rec.err == nil {
		return "answered whole"
	}
	return fmt.Sprintf("answered %s (ran: %s): %s", rec.err.Kind, rec.err.Response().Ran, rec.err.Detail)
}

// recordOutcome completes the request's record and stores a copy, so that the log does
// not keep the request in memory.
func (q *request) recordOutcome(err *errkind.Error) {
	rec := q.record
	rec.id, rec.caller, rec.path = q.id, q.caller, q.r.URL.Path
	rec.entered, rec.duration = q.entered, q.s.opts.Now().Sub(q.entered)
	rec.err = err
	q.s.records.add(&rec)
}

// recordTarget adds the requested model or service, the body digest and the version of
// the applied file to the record.
func (q *request) recordTarget(a *admission, j *job) {
	q.record.target = j.ask.GetModel()
	if adapter := j.ask.GetAdapter(); adapter != "" {
		q.record.target += ":" + adapter
	}
	if name := j.ask.GetService(); name != "" {
		q.record.target = "service " + name
	}
	q.record.digest = j.digest
	q.record.version, q.record.index = a.config.Spec.GetVersion(), a.config.Spec.GetIndex()
}

// attemptRecords describes the attempts. Call it after run has returned.
func (r *relay) attemptRecords() []attemptRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var records []attemptRecord
	for _, at := range r.attempts {
		records = append(records, attemptRecord{at.id, at.grant, at.outcome, at.tokens})
	}
	return records
}
