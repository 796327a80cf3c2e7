package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/wire"
)

// phases returns the published phases of an upstream, by its id.
func phases(c *Core) map[string]wire.UpstreamPhase {
	out := map[string]wire.UpstreamPhase{}
	for _, s := range c.Upstreams() {
		out[s.Id] = s.Phase
	}
	return out
}

func TestLeaving_ToldByAnEntryOrAnAnswer(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, RoutingChanged{testConfig()})
	for _, id := range []string{"r1", "r2", "r3"} {
		c.Step(0, HeartbeatReceived{heartbeat(id, 1)})
	}
	published := actionsOf[Publish](c.Step(0, EntryReport{Entry: "e1", Unready: []*wire.UnreadyUpstream{
		{Upstream: "r1", BornUnixMs: 1000, Leaving: true}, {Upstream: "r3", BornUnixMs: 999, Leaving: true}, {Upstream: "r4", BornUnixMs: 1000, Leaving: true}}}))
	is.Equal(len(published), 1) // r3 is another incarnation, r4 is not known
	c.Step(0, ReportReceived{Upstream: "r2", BornUnixMs: 1000, Failed: true, Answer: Answer{Leaving: true}})
	c.Step(time.Second, HeartbeatReceived{heartbeat("r1", 2)}) // which says that it is ready
	is.Equal(phases(c), map[string]wire.UpstreamPhase{"r1": wire.UpstreamPhase_PHASE_DRAINING,
		"r2": wire.UpstreamPhase_PHASE_DRAINING, "r3": wire.UpstreamPhase_PHASE_READY})
	again := New(testSettings()) // another coordinator
	again.Step(0, HeartbeatReceived{heartbeat("r1", 3)})
	again.Step(0, EntrySnapshot{Entry: "e1", Unready: []*wire.UnreadyUpstream{{Upstream: "r1", BornUnixMs: 1000, Leaving: true}}})
	is.Equal(phases(again)["r1"], wire.UpstreamPhase_PHASE_DRAINING)
}
