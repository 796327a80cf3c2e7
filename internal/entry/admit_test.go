package entry

import (
	"net/http"
	"strings"
	"testing"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/suspect"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/view"
	"gentiankeel/internal/wire"
)

func TestAdmission_InvalidRequest(t *testing.T) {
	h := newHarness(t, newFakeScheduler())
	for _, c := range []struct {
		name, method, path, body string
		header                   []string
		kind                     errkind.Kind
		detail                   string
	}{
		{"no model", "POST", upstream.PathCompletions, `{"prompt":"x"}`, nil, errkind.BadRequest, "model: is required"},
		{"bad field", "POST", upstream.PathChatCompletions, `{"model":"m","messages":[{}]}`, nil, errkind.BadRequest, "messages[0].role"},
		{"unknown model", "POST", upstream.PathCompletions, `{"model":"x","prompt":"p"}`, nil, errkind.UnknownModel, `"x"`},
		{"unknown adapter", "POST", upstream.PathCompletions, `{"model":"m:x","prompt":"p"}`, nil, errkind.UnknownModel, `"x"`},
		{"priority", "POST", upstream.PathCompletions, streamBody, []string{"X-Priority", "urgent"}, errkind.BadRequest, "X-Priority"},
		{"deadline", "POST", upstream.PathCompletions, streamBody, []string{"X-Deadline-Ms", "-1"}, errkind.BadRequest, "X-Deadline-Ms"},
		{"method", "GET", upstream.PathCompletions, "", nil, errkind.MethodNotAllowed, "POST"},
		{"models method", "POST", pathModels, "", nil, errkind.MethodNotAllowed, "GET"},
		{"path", "GET", "/v2/x", "", nil, errkind.NotFound, "/v2/x"},
		{"caller", "POST", upstream.PathCompletions, streamBody, []string{"X-Caller", strings.Repeat("c", 200)}, errkind.BadRequest, "X-Caller"},
		{"caller bytes", "POST", upstream.PathCompletions, streamBody, []string{"X-Caller", "caf\xe9"}, errkind.BadRequest, "X-Caller"},
		{"key bytes", "POST", printPath, "{}", []string{headerKey, "k\xff"}, errkind.BadRequest, headerKey},
		{"header bytes", "POST", upstream.PathCompletions, streamBody, []string{"Accept", "\xff"}, errkind.BadRequest, "Accept"},
		{"orders", "POST", "/v1/services/lookup/v1/orders", "{}", nil, errkind.NotFound, "/v1/orders"},
		{"hidden orders", "POST", "/v1/services/lookup/x/%2e%2e/v1/%6frders", "{}", nil, errkind.NotFound, "protocol"},
		{"key", "POST", printPath, "{}", []string{headerKey, strings.Repeat("k", 300)}, errkind.BadRequest, headerKey},
	} {
		t.Run(c.name, func(t *testing.T) {
			res := h.roundTrip(h.newRequest(c.method, c.path, c.body, c.header...))
			p := res.problem(t)
			h.is.Equal(p.Kind, c.kind)
			h.is.Equal(p.Ran, errkind.RanNo)
			h.is.Equal(p.Status, res.status)
			h.is.Equal(p.Type, problemType+string(c.kind))
			h.is.True(strings.Contains(p.Detail, c.detail))
		})
	}
	h.is.Equal(len(h.scheduler.asks), 0)
}

func TestAdmission_BearerTokens(t *testing.T) {
	u := newFakeUpstream(t, "u1", completeStream(1))
	h := newHarness(t, newFakeScheduler(u), func(o *Options) { o.Callers = map[string]string{"secret": "bakery"} })
	h.is.Equal(h.stream().problem(t).Kind, errkind.Unauthorized)
	h.is.Equal(h.stream("Authorization", "Bearer wrong").status, 401)
	h.is.Equal(h.stream("Authorization", "Bearer secret", "X-Caller", "somebody").status, 200)
	h.is.Equal(h.scheduler.asks[0].GetCaller(), "bakery")
	h.is.Equal(h.roundTrip(h.newRequest(http.MethodGet, pathHealth, "")).status, 200) // probes need no token
}

func TestAdmission_StaleConfiguration(t *testing.T) {
	h := newHarness(t, newFakeScheduler())
	h.config.set(&view.View{Snapshot: view.FromSpec(testSpec())})
	p := h.stream().problem(t)
	h.is.Equal(p.Kind, errkind.StaleConfig)
	h.is.Equal(p.Ran, errkind.RanNo)
	h.is.Equal(h.roundTrip(h.newRequest(http.MethodGet, pathReady, "")).status, 503)
}

// suspectConfig returns a configuration in which streamBody is suspect, and quarantined
// if so requested.
func suspectConfig(t *testing.T, quarantined bool) *view.View {
	s, err := view.FromSpec(testSpec()).Apply(&wire.Delta{Index: 12, PutSuspects: []*wire.Suspect{{
		BodyDigest: suspect.Digest([]byte(streamBody)), Quarantined: quarantined,
	}}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return &view.View{Snapshot: s, Fresh: true}
}

func TestAdmission_QuarantinedBody(t *testing.T) {
	u := newFakeUpstream(t, "u1", completeStream(1))
	h := newHarness(t, newFakeScheduler(u))
	h.config.set(suspectConfig(t, true))
	p := h.stream().problem(t)
	h.is.Equal(p.Kind, errkind.Quarantined)
	h.is.Equal(p.Ran, errkind.RanNo)
	h.is.Equal(u.callCount(), 0)
	h.is.Equal(h.post(upstream.PathCompletions, `{"model":"m","prompt":"other","stream":true}`).status, 200)
}

func TestDeadline_AboveAppliedLimit(t *testing.T) {
	u := newFakeUpstream(t, "u1", completeStream(1))
	h := newHarness(t, newFakeScheduler(u))
	spec := testSpec()
	spec.Limits = &wire.Limits{MaxDeadlineMs: 5000, DefaultDeadlineMs: 4000}
	h.config.set(&view.View{Snapshot: view.FromSpec(spec), Fresh: true})
	h.stream("X-Deadline-Ms", "3600000")
	h.stream()
	h.is.True(h.scheduler.asks[0].GetDeadlineMs() > 4000 && h.scheduler.asks[0].GetDeadlineMs() <= 5000)
	h.is.True(h.scheduler.asks[1].GetDeadlineMs() <= 4000)
}

func TestTrace_ParentFromCaller(t *testing.T) {
	u := newFakeUpstream(t, "u1", completeStream(1))
	h := newHarness(t, newFakeScheduler(u))
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	h.stream("traceparent", parent)
	h.is.Equal(u.calls[0].Header.Get("traceparent"), parent)
}

func TestProbes_NotCountedAsRequests(t *testing.T) {
	h := newHarness(t, newFakeScheduler())
	h.is.Equal(h.roundTrip(h.newRequest(http.MethodGet, pathReady, "")).body, `{"status":"ready"}`)
	h.is.Equal(h.roundTrip(h.newRequest(http.MethodGet, pathHealth, "")).body, `{"status":"ok"}`)
	h.is.Equal(h.metric("entered_total"), 0.0)
}
