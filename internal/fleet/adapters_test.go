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

// An order whose answer is lost may be carried out seconds later or never: what waits for
// it is ordered on another runner soon.
func TestLostAnswer_AdapterIsLoadedElsewhere(t *testing.T) {
	is := is.New(t)
	c := known(quiet(), "r1", "m1")
	c.Step(0, Heard{beat("r2", 1, "m1")})
	c.Step(0, Tick{})
	c.Step(0, Reported{Upstream: "r2", Born: 1000, Report: report("m1")})
	first := pick[Send](c.Step(0, wants("m1", "a1", 1)))
	is.Equal(len(first), 1)
	patience := quiet().AnswerPatience
	is.Equal(len(pick[Send](c.Step(patience-1, Tick{}))), 0)
	again := pick[Send](c.Step(patience, Tick{}))
	is.Equal(len(again), 1)
	is.True(again[0].Upstream != first[0].Upstream)
	is.Equal(again[0].Order.Adapter, "a1")
	is.Equal(len(pick[Send](c.Step(2*patience, Tick{}))), 0) // no runner is left
}
