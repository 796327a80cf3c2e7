package grant

import (
	"testing"

	"github.com/matryer/is"
)

func TestUsage_AttemptStartsAndEnds(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, nil)
	h.addRunner("r1", 4, "m1")
	req := h.request(nil)
	h.step(req)
	is.Equal(h.core.ModelRunning("r1", "m1"), 1)
	h.stepAfter(1, okRelease(req.Attempt, 5))
	is.Equal(h.core.ModelRunning("r1", "m1"), 0)
	uses := h.core.Usage()
	is.Equal(len(uses), 1)
	is.Equal(uses[0].LastUsed, h.now)
	h.addRunner("r1", 4)
	is.Equal(len(h.core.Usage()), 0) // neither loaded nor running
}
