package grant

import (
	"testing"

	"github.com/matryer/is"
)

func TestUses_FollowBeginAndEndOfAttempts(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	b.runner("r1", 4, "m1")
	k := b.ask(nil)
	b.step(k)
	is.Equal(b.core.ModelRunning("r1", "m1"), 1)
	b.after(1, okRelease(k.Attempt, 5))
	is.Equal(b.core.ModelRunning("r1", "m1"), 0)
	uses := b.core.Uses()
	is.Equal(len(uses), 1)
	is.Equal(uses[0].Last, b.now)
	b.runner("r1", 4)
	is.Equal(len(b.core.Uses()), 0) // neither loaded nor running
}
