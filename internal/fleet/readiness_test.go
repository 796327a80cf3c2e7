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

func TestAnswer_PauseOfCalls(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, RoutingChanged{testConfig()})
	c.Step(0, HeartbeatReceived{heartbeat("r1", 1, "m1")})
	reads := 0
	for now := time.Duration(0); now < 9*time.Second; now += 25 * time.Millisecond {
		c.Step(now, HeartbeatReceived{heartbeat("r1", 2+uint64(now), "m1")})
		for _, r := range actionsOf[ReadReport](c.Step(now, Tick{})) {
			reads++
			c.Step(now, ReportReceived{Upstream: r.Upstream, BornUnixMs: r.BornUnixMs, Failed: true, Answer: Answer{RetryAfter: 3 * time.Second}})
		}
	}
	is.Equal(reads, 3)
}

// All entries were told that the only runner with a model wants no requests.
func TestPlan_ModelOfAQuietRunner(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, RoutingChanged{testConfig()})
	for _, id := range []string{"r1", "r2"} {
		models := []string{}
		if id == "r1" {
			models = append(models, "m1")
		}
		c.Step(0, HeartbeatReceived{heartbeat(id, 1, models...)})
		for _, r := range actionsOf[ReadReport](c.Step(0, Tick{})) {
			c.Step(0, ReportReceived{Upstream: r.Upstream, BornUnixMs: r.BornUnixMs, Report: runnerReport(models...)})
		}
	}
	quiet := demandReport("m1", "", 1)
	quiet.Unready = []*wire.UnreadyUpstream{{Upstream: "r1", BornUnixMs: 1000, QuietMs: 2000}}
	var loads []SendOrder
	for now := time.Duration(0); now < time.Second; now += 50 * time.Millisecond {
		loads = append(loads, actionsOf[SendOrder](c.Step(now, quiet))...)
		quiet.Unready = nil
	}
	is.Equal(len(loads), 1)
	is.Equal(loads[0].Upstream, "r2")
	is.Equal(loads[0].Order.Model, "m1")
}
