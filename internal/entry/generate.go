package entry

import (
	"net/http"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/openai"
	"gentiankeel/internal/retry"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// generate answers a completion or chat completion.
func (q *request) generate(e openai.Endpoint) {
	if q.r.Method != http.MethodPost {
		q.fail(errkind.New(errkind.MethodNotAllowed, "generate with POST"))
		return
	}
	j, err := q.generation(e)
	if err != nil {
		q.fail(err)
		return
	}
	q.relay(j)
}

// generation checks a generation request against the applied file.
func (q *request) generation(e openai.Endpoint) (*job, *errkind.Error) {
	a, kerr := q.admit()
	if kerr != nil {
		return nil, kerr
	}
	req, err := openai.Decode(e, a.body)
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "%s", err.Error())
	}
	if a.view.Model(req.Model) == nil {
		return nil, errkind.New(errkind.UnknownModel, "no model %q", req.Model)
	}
	if req.Adapter != "" && a.view.Adapter(req.Model, req.Adapter) == nil {
		return nil, errkind.New(errkind.UnknownModel, "model %q has no adapter %q", req.Model, req.Adapter)
	}
	j := q.jobOf(a, &wire.Ask{
		Model:        req.Model,
		Adapter:      req.Adapter,
		PromptTokens: uint32(req.PromptTokens),
		MaxTokens:    uint32(req.MaxTokens),
		PrefixHash:   upstream.PrefixKey(req.Model, req.Prompt),
	})
	if kerr := headerError(j.header); kerr != nil {
		return nil, kerr
	}
	j.digest = bodyDigest(a.body)
	if s := a.view.Suspect(j.digest); s != nil {
		if s.GetQuarantined() {
			return nil, errkind.New(errkind.Quarantined, "upstreams were lost while they ran this body")
		}
		j.cfg.Hedge = false // a suspect runs alone
	}
	q.wants(a, j)
	j.path = q.r.URL.Path
	j.stream = req.Stream
	return j, nil
}

// jobOf fills in what generation and idempotent service calls share.
func (q *request) jobOf(a *admitted, ask *wire.Ask) *job {
	return &job{
		id:       q.id,
		caller:   q.caller,
		class:    a.class,
		deadline: a.deadline,
		ask:      ask,
		method:   q.r.Method,
		header:   passedHeader(q.r, a.class),
		body:     a.body,
		cfg: retry.Config{
			Idempotent:  true,
			Hedge:       true,
			MaxAttempts: q.s.opts.MaxAttempts,
			MaxAsks:     maxAsks,
		},
	}
}

// relay runs the job and records its final answer.
func (q *request) relay(j *job) {
	q.s.budget.Request()
	r := q.s.newRelay(q.r.Context(), q.w, j)
	err := r.run(q.r.Context().Done())
	q.trail.attempts = r.notes()
	q.settled(err)
}
