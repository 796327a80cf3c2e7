package fleet

import (
	"testing"

	"github.com/matryer/is"

	"gentiankeel/internal/wire"
)

// An adapter whose requests have ended can be evicted again.
func TestAdapterUse_EndsWithItsRequests(t *testing.T) {
	is := is.New(t)
	c := known(quiet(), "r1", "m1")
	a := &heldAdapter{}
	c.byID["r1"].models["m1"].adapters["a1"] = a
	for _, running := range []uint32{1, 0} {
		c.Step(0, EntryReport{Entry: "e1", Loads: []*wire.UpstreamLoad{{Upstream: "r1", Running: running,
			Models: []*wire.ModelRunning{{Model: "m1", Adapter: "a1", Running: running}}}}})
	}
	is.Equal(a.running, 0)
}
