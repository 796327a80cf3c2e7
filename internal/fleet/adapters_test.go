package fleet

import (
	"testing"

	"github.com/matryer/is"

	"gentiankeel/internal/wire"
)

// Guards against an adapter that stays in use after its requests have ended and can
// never be evicted.
func TestAdapterUsage_RequestsEnded(t *testing.T) {
	is := is.New(t)
	c := coreWithRunner(testSettings(), "r1", "m1")
	a := &heldAdapter{}
	c.byID["r1"].models["m1"].adapters["a1"] = a
	for _, running := range []uint32{1, 0} {
		c.Step(0, EntryReport{Entry: "e1", Loads: []*wire.UpstreamLoad{{Upstream: "r1", Running: running,
			Models: []*wire.ModelRunning{{Model: "m1", Adapter: "a1", Running: running}}}}})
	}
	is.Equal(a.running, 0)
}

// An order whose answer is lost may be executed seconds later or never. The adapter
// must be ordered on another runner soon, but not before the answer is overdue.
func TestAdapter_OrderAnswerLost(t *testing.T) {
	is := is.New(t)
	c := coreWithRunner(testSettings(), "r1", "m1")
	c.Step(0, HeartbeatReceived{heartbeat("r2", 1, "m1")})
	c.Step(0, Tick{})
	c.Step(0, ReportReceived{Upstream: "r2", BornUnixMs: 1000, Report: runnerReport("m1")})
	first := actionsOf[SendOrder](c.Step(0, demandReport("m1", "a1", 1)))
	is.Equal(len(first), 1)
	timeout := testSettings().AnswerTimeout
	is.Equal(len(actionsOf[SendOrder](c.Step(timeout-1, Tick{}))), 0)
	again := actionsOf[SendOrder](c.Step(timeout, Tick{}))
	is.Equal(len(again), 1)
	is.True(again[0].Upstream != first[0].Upstream)
	is.Equal(again[0].Order.Adapter, "a1")
	is.Equal(len(actionsOf[SendOrder](c.Step(2*timeout, Tick{}))), 0) // no runner is left
}
