package entry

import (
	"io"
	"net/http"
	"testing"

	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

func TestStream_IsRelayedWholeWithItsEndMark(t *testing.T) {
	u := newFakeUpstream(t, "u1", wholeStream(5))
	b := newBench(t, newFakeSlots(u))
	g := b.stream("X-Priority", "interactive", "X-Deadline-Ms", "30000")
	b.is.Equal(g.status, 200)
	b.is.Equal(g.body, tokens(5)+"data: [DONE]\n\n")
	b.is.True(g.header.Get(headerRequest) != "")
	b.is.Equal(u.calls[0].Header.Get(upstream.HeaderFence), "7")
	b.is.Equal(u.calls[0].Header.Get(upstream.HeaderPriority), "interactive")
	b.is.Equal(u.bodies[0], streamBody)
	b.is.Equal(b.slots.asks[0].GetClass(), wire.Class_CLASS_INTERACTIVE)
	b.is.Equal(b.slots.outcomes(), []wire.Outcome{wire.Outcome_OUTCOME_OK})
	b.is.Equal(b.slots.releases[0].GetTokens(), uint32(5))
}

func TestJSON_IsRelayedWhole(t *testing.T) {
	u := newFakeUpstream(t, "u1", func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentJSON)
		_, _ = io.WriteString(w, `{"choices":[]}`)
	})
	b := newBench(t, newFakeSlots(u))
	g := b.post(upstream.PathCompletions, jsonBody)
	b.is.Equal(g.status, 200)
	b.is.Equal(g.body, `{"choices":[]}`)
	b.is.Equal(b.slots.asks[0].GetModel(), "m")
	b.is.Equal(b.slots.asks[0].GetAdapter(), "a")
	b.is.Equal(b.slots.asks[0].GetMaxTokens(), uint32(8))
	b.is.True(b.slots.asks[0].GetBodyDigest() != "")
}

func TestModels_ListsModelsAndAdapters(t *testing.T) {
	b := newBench(t, newFakeSlots())
	g := b.do(b.request(http.MethodGet, pathModels, ""))
	b.is.Equal(g.status, 200)
	b.is.Equal(g.body, `{"object":"list","data":[{"id":"m","object":"model","owned_by":"gentiankeel"},`+
		`{"id":"m:a","object":"model","owned_by":"gentiankeel"}]}`)
}

func TestAnnounce_IsPassedOn(t *testing.T) {
	b := newBench(t, newFakeSlots())
	g := b.post(upstream.PathAnnounce, `{"id":"u1","address":"127.0.0.1:1"}`)
	b.is.Equal(g.status, 200)
	b.is.Equal(g.body, `{"known":true,"next_after_ms":500}`)
	b.is.Equal(len(b.slots.announced), 1)
	b.is.Equal(b.post(upstream.PathAnnounce, `{"id":""}`).status, 400)
}
