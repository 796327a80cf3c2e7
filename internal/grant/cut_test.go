package grant

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/wire"
)

// cutOnTwo cuts off one body on two upstreams and returns the time of the cuts.
func cutOnTwo(h *harness) Time {
	h.addRunner("r1", 1, "m1")
	h.addRunner("r2", 1, "m1")
	for _, other := range []string{"r2", "r1"} {
		req := h.request(func(req *SlotRequest) {
			req.BodyDigest = "d"
			req.Exclude = []string{other}
		})
		h.granted(h.step(req))
		h.step(Release{Attempt: req.Attempt, Outcome: wire.Outcome_OUTCOME_CUT})
	}
	return h.now
}

func TestCut_TwoUpstreamsSilent(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, nil)
	h.addRunner("r1", 1, "m1")
	h.addRunner("r2", 1, "m1")
	h.addRunner("r3", 1, "m1")
	lost := map[string]bool{}
	for range 2 {
		req := h.request(func(req *SlotRequest) {
			req.BodyDigest = "d"
			for id := range lost {
				req.Exclude = append(req.Exclude, id)
			}
		})
		g := h.granted(h.step(req))
		lost[g.Upstream] = true
		h.step(Release{Attempt: req.Attempt, Outcome: wire.Outcome_OUTCOME_CUT})
	}
	is.Equal(len(lost), 2)
	// A failed upstream is detected only at its expiry. Until then the body must not reach
	// a third upstream.
	for range 10 {
		req := h.request(func(req *SlotRequest) {
			req.BodyDigest = "d"
			req.Deadline = h.now + 10*time.Second
			for id := range lost {
				req.Exclude = append(req.Exclude, id)
			}
		})
		is.Equal(len(grants(h.step(req))), 0)
		h.stepAfter(time.Second, Tick{})
		h.step(Cancel{Attempt: req.Attempt})
	}
	for id := range lost {
		h.step(UpstreamGone{ID: id, Incarnation: 1})
	}
	req := h.request(func(req *SlotRequest) { req.BodyDigest = "d" })
	is.Equal(string(h.refused(h.step(req))), "quarantined")
}

func TestCut_UpstreamAliveAfterwards(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, nil)
	at := cutOnTwo(h)
	h.now++
	h.step(UpstreamAlive{ID: "r1", Incarnation: 1, AsOf: at}) // read before the cut: proves nothing
	is.Equal(len(h.core.unresolvedCuts), 2)
	h.step(UpstreamAlive{ID: "r1", Incarnation: 1, AsOf: at + 1})
	is.Equal(len(h.core.unresolvedCuts), 1)
}
