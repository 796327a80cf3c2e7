package entry

import (
	"net/http"
	"strings"
	"testing"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/view"
	"gentiankeel/internal/wire"
)

func TestAdmission_RefusalsSayNotRunAndWhatIsWrong(t *testing.T) {
	b := newBench(t, newFakeSlots())
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
			g := b.do(b.request(c.method, c.path, c.body, c.header...))
			p := g.problem(t)
			b.is.Equal(p.Kind, c.kind)
			b.is.Equal(p.Ran, errkind.RanNo)
			b.is.Equal(p.Status, g.status)
			b.is.Equal(p.Type, problemType+string(c.kind))
			b.is.True(strings.Contains(p.Detail, c.detail))
		})
	}
	b.is.Equal(len(b.slots.asks), 0)
}

func TestAdmission_CallersNeedTheirToken(t *testing.T) {
	u := newFakeUpstream(t, "u1", wholeStream(1))
	b := newBench(t, newFakeSlots(u), func(o *Options) { o.Callers = map[string]string{"secret": "bakery"} })
	b.is.Equal(b.stream().problem(t).Kind, errkind.Unauthorized)
	b.is.Equal(b.stream("Authorization", "Bearer wrong").status, 401)
	b.is.Equal(b.stream("Authorization", "Bearer secret", "X-Caller", "somebody").status, 200)
	b.is.Equal(b.slots.asks[0].GetCaller(), "bakery")
	b.is.Equal(b.do(b.request(http.MethodGet, pathHealth, "")).status, 200) // probes need none
}

func TestAdmission_StaleConfigurationTakesNoWork(t *testing.T) {
	b := newBench(t, newFakeSlots())
	b.config.set(&view.View{Snapshot: view.FromSpec(testSpec())})
	p := b.stream().problem(t)
	b.is.Equal(p.Kind, errkind.StaleConfig)
	b.is.Equal(p.Ran, errkind.RanNo)
	b.is.Equal(b.do(b.request(http.MethodGet, pathReady, "")).status, 503)
}

// suspected is a configuration in which one body stands accused.
func suspected(t *testing.T, quarantined bool) *view.View {
	s, err := view.FromSpec(testSpec()).Apply(&wire.Delta{Index: 12, PutSuspects: []*wire.Suspect{{
		BodyDigest: bodyDigest([]byte(streamBody)), Quarantined: quarantined,
	}}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return &view.View{Snapshot: s, Fresh: true}
}

func TestAdmission_QuarantinedBodyIsRefusedAndOthersAreNot(t *testing.T) {
	u := newFakeUpstream(t, "u1", wholeStream(1))
	b := newBench(t, newFakeSlots(u))
	b.config.set(suspected(t, true))
	p := b.stream().problem(t)
	b.is.Equal(p.Kind, errkind.Quarantined)
	b.is.Equal(p.Ran, errkind.RanNo)
	b.is.Equal(u.count(), 0)
	b.is.Equal(b.post(upstream.PathCompletions, `{"model":"m","prompt":"other","stream":true}`).status, 200)
}

func TestDeadline_IsCappedByTheAppliedLimits(t *testing.T) {
	u := newFakeUpstream(t, "u1", wholeStream(1))
	b := newBench(t, newFakeSlots(u))
	spec := testSpec()
	spec.Limits = &wire.Limits{MaxDeadlineMs: 5000, DefaultDeadlineMs: 4000}
	b.config.set(&view.View{Snapshot: view.FromSpec(spec), Fresh: true})
	b.stream("X-Deadline-Ms", "3600000")
	b.stream()
	b.is.True(b.slots.asks[0].GetDeadlineMs() > 4000 && b.slots.asks[0].GetDeadlineMs() <= 5000)
	b.is.True(b.slots.asks[1].GetDeadlineMs() <= 4000)
}

func TestTrace_IsCarriedToTheUpstream(t *testing.T) {
	u := newFakeUpstream(t, "u1", wholeStream(1))
	b := newBench(t, newFakeSlots(u))
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	b.stream("traceparent", parent)
	b.is.Equal(u.calls[0].Header.Get("traceparent"), parent)
}

func TestProbes_AreNotCountedAsRequests(t *testing.T) {
	b := newBench(t, newFakeSlots())
	b.is.Equal(b.do(b.request(http.MethodGet, pathReady, "")).body, `{"status":"ready"}`)
	b.is.Equal(b.do(b.request(http.MethodGet, pathHealth, "")).body, `{"status":"ok"}`)
	b.is.Equal(b.metric("entered_total"), 0.0)
}
