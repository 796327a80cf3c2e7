package entry

import (
	"io"
	"net/http"
	"testing"

	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

func TestStream_Complete(t *testing.T) {
	u := newFakeUpstream(t, "u1", completeStream(5))
	h := newHarness(t, newFakeScheduler(u))
	res := h.stream("X-Priority", "interactive", "X-Deadline-Ms", "30000")
	h.is.Equal(res.status, 200)
	h.is.Equal(res.body, tokenEvents(5)+"data: [DONE]\n\n")
	h.is.True(res.header.Get(headerRequest) != "")
	h.is.Equal(u.calls[0].Header.Get(upstream.HeaderFence), "7")
	h.is.Equal(u.calls[0].Header.Get(upstream.HeaderPriority), "interactive")
	h.is.Equal(u.bodies[0], streamBody)
	h.is.Equal(h.scheduler.asks[0].GetClass(), wire.Class_CLASS_INTERACTIVE)
	h.is.Equal(h.scheduler.outcomes(), []wire.Outcome{wire.Outcome_OUTCOME_OK})
	h.is.Equal(h.scheduler.releases[0].GetTokens(), uint32(5))
}

func TestJSON_Complete(t *testing.T) {
	u := newFakeUpstream(t, "u1", func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentJSON)
		_, _ = io.WriteString(w, `{"choices":[]}`)
	})
	h := newHarness(t, newFakeScheduler(u))
	res := h.post(upstream.PathCompletions, jsonBody)
	h.is.Equal(res.status, 200)
	h.is.Equal(res.body, `{"choices":[]}`)
	h.is.Equal(h.scheduler.asks[0].GetModel(), "m")
	h.is.Equal(h.scheduler.asks[0].GetAdapter(), "a")
	h.is.Equal(h.scheduler.asks[0].GetMaxTokens(), uint32(8))
	h.is.True(h.scheduler.asks[0].GetBodyDigest() != "")
}

func TestModels_ModelAndAdapter(t *testing.T) {
	h := newHarness(t, newFakeScheduler())
	res := h.roundTrip(h.newRequest(http.MethodGet, pathModels, ""))
	h.is.Equal(res.status, 200)
	h.is.Equal(res.body, `{"object":"list","data":[{"id":"m","object":"model","owned_by":"gentiankeel"},`+
		`{"id":"m:a","object":"model","owned_by":"gentiankeel"}]}`)
}

func TestAnnounce_ForwardedToScheduler(t *testing.T) {
	h := newHarness(t, newFakeScheduler())
	res := h.post(upstream.PathAnnounce, `{"id":"u1","address":"127.0.0.1:1"}`)
	h.is.Equal(res.status, 200)
	h.is.Equal(res.body, `{"known":true,"next_after_ms":500}`)
	h.is.Equal(len(h.scheduler.announced), 1)
	h.is.Equal(h.post(upstream.PathAnnounce, `{"id":""}`).status, 400)
}
