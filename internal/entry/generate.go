package entry

import (
	"net/http"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/openai"
	"gentiankeel/internal/retry"
	"gentiankeel/internal/suspect"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// serveGeneration serves a completion or chat completion.
func (q *request) serveGeneration(e openai.Endpoint) {
	if q.r.Method != http.MethodPost {
		q.fail(errkind.New(errkind.MethodNotAllowed, "generate with POST"))
		return
	}
	j, err := q.parseGeneration(e)
	if err != nil {
		q.fail(err)
		return
	}
	q.runRelay(j)
}

// parseGeneration reads a generation request and validates it against the applied file.
func (q *request) parseGeneration(e openai.Endpoint) (*job, *errkind.Error) {
	a, kerr := q.admit()
	if kerr != nil {
		return nil, kerr
	}
	req, err := openai.Decode(e, a.body)
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "%s", err.Error())
	}
	if a.config.Model(req.Model) == nil {
		return nil, errkind.New(errkind.UnknownModel, "no model %q", req.Model)
	}
	if req.Adapter != "" && a.config.Adapter(req.Model, req.Adapter) == nil {
		return nil, errkind.New(errkind.UnknownModel, "model %q has no adapter %q", req.Model, req.Adapter)
	}
	j := q.newJob(a, &wire.Ask{
		Model:        req.Model,
		Adapter:      req.Adapter,
		PromptTokens: uint32(req.PromptTokens),
		MaxTokens:    uint32(req.MaxTokens),
		PrefixHash:   upstream.PrefixKey(req.Model, req.Prompt),
	})
	if kerr := checkHeaders(j.header); kerr != nil {
		return nil, kerr
	}
	j.digest = suspect.Digest(a.body)
	if s := a.config.Suspect(j.digest); s != nil {
		if s.GetQuarantined() {
			return nil, errkind.New(errkind.Quarantined, "upstreams were lost while they ran this body")
		}
		j.cfg.Hedge = false // a suspect body must not run on two upstreams at once
	}
	q.recordTarget(a, j)
	j.path = q.r.URL.Path
	j.stream = req.Stream
	return j, nil
}

// newJob returns a job with the fields that all kinds of calls share.
func (q *request) newJob(a *admission, ask *wire.Ask) *job {
	return &job{
		id:       q.id,
		caller:   q.caller,
		class:    a.class,
		deadline: a.deadline,
		ask:      ask,
		method:   q.r.Method,
		header:   forwardedHeader(q.r, a.class),
		body:     a.body,
		cfg: retry.Config{
			Idempotent:      true,
			Hedge:           true,
			MaxAttempts:     q.s.opts.MaxAttempts,
			MaxSlotRequests: maxSlotRequests,
		},
	}
}

// runRelay runs the job and finishes the request.
func (q *request) runRelay(j *job) {
	q.s.budget.RecordRequest()
	r := q.s.newRelay(q.r.Context(), q.w, j)
	err := r.run(q.r.Context().Done())
	q.record.attempts = r.attemptRecords()
	q.finish(err)
}
