package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/ratelimit"
	"gentiankeel/internal/wire"
)

func limitStatement(id string, perSecond float64) *wire.LimitStatement {
	return &wire.LimitStatement{Upstream: id, BornUnixMs: 1000, Limit: &wire.RateLimit{PerSecond: perSecond}}
}

func TestLimit_ToldToAllEntriesUntilItEnds(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, HeartbeatReceived{heartbeat("r1", 1, "m1")})
	acts := c.Step(0, EntryReport{Entry: "e1", Limits: []*wire.LimitStatement{limitStatement("r1", 2)}})
	is.Equal(actionsOf[Publish](acts)[0].State.Limit.PerSecond, 2.0)
	is.Equal(len(actionsOf[Publish](c.Step(0, HeartbeatReceived{heartbeat("r1", 2, "m1")}))), 0)
	acts = c.Step(time.Second, EntryReport{Entry: "e2", Limits: []*wire.LimitStatement{{Upstream: "r1", BornUnixMs: 1000}}})
	is.Equal(actionsOf[Publish](acts)[0].State.Limit, nil)
	again := heartbeat("r1", 1, "m1")
	again.BornUnixMs = 2000
	c.Step(2*time.Second, EntryReport{Entry: "e1", Limits: []*wire.LimitStatement{limitStatement("r1", 2)}})
	c.Step(3*time.Second, HeartbeatReceived{again})
	is.Equal(c.Upstreams()[0].Limit, nil) // another incarnation
}

func TestLimit_KnownToANewCoordinatorFromEntries(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, EntrySnapshot{Entry: "e1", States: []*wire.UpstreamState{heartbeat("r1", 3, "m1")}, Limits: []*wire.LimitStatement{limitStatement("r1", 1)}})
	is.Equal(c.Upstreams()[0].Limit.PerSecond, 1.0)
	demand := []*wire.PermitDemand{{Upstream: "r1", BornUnixMs: 1000, Wanted: 1, Urgent: 1}}
	acts := c.Step(0, EntryReport{Entry: "e1", Permits: demand})
	is.Equal(actionsOf[GrantPermits](acts), []GrantPermits{{"e1", []ratelimit.Grant{{
		Incarnation: ratelimit.Incarnation{Upstream: "r1", BornUnixMs: 1000}, Backlog: 1, Claimants: 1}}}})
	acts = c.Step(2*time.Second, Tick{})
	is.Equal(actionsOf[GrantPermits](acts)[0].Grants[0].Granted, uint64(1))
}

// An entry reports a changed demand for one upstream while a permit for another one falls due.
func TestLimit_PermitDueAtAReportOnAnotherUpstream(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	for _, id := range []string{"r1", "r2"} {
		c.Step(0, HeartbeatReceived{heartbeat(id, 1, "m1")})
	}
	c.Step(0, EntryReport{Entry: "e1", Limits: []*wire.LimitStatement{limitStatement("r1", 1), limitStatement("r2", 1)}})
	demand := func(id string) []*wire.PermitDemand {
		return []*wire.PermitDemand{{Upstream: id, BornUnixMs: 1000, Wanted: 1, Urgent: 1}}
	}
	c.Step(0, EntryReport{Entry: "e1", Permits: demand("r1")})
	told := map[string]uint64{}
	for _, a := range actionsOf[GrantPermits](c.Step(2*time.Second, EntryReport{Entry: "e1", Permits: demand("r2")})) {
		is.Equal(a.Entry, "e1")
		for _, g := range a.Grants {
			told[g.Upstream] = g.Granted
		}
	}
	is.Equal(told, map[string]uint64{"r1": 1, "r2": 1})
}

// A model whose only runner takes fewer requests than there are is loaded on another one, where a
// runner without a limit would have been left alone.
func TestLimit_ModelLoadedElsewhere(t *testing.T) {
	is := is.New(t)
	c := coreWithRunner(testSettings(), "r1", "m1")
	c.Step(0, HeartbeatReceived{heartbeat("r2", 1)})
	c.Step(0, Tick{})
	c.Step(0, ReportReceived{Upstream: "r2", BornUnixMs: 1000, Report: runnerReport()})
	is.Equal(len(actionsOf[SendOrder](c.Step(time.Second, demandReport("m1", "", 9)))), 0)
	acts := c.Step(time.Second, EntryReport{Entry: "e1", Limits: []*wire.LimitStatement{limitStatement("r1", 0.5)}})
	orders := actionsOf[SendOrder](acts)
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Upstream, "r2")
	is.Equal(orders[0].Order.Model, "m1")
}

func TestLimit_OrdersAndReportsCount(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, RoutingChanged{testConfig()})
	c.Step(0, HeartbeatReceived{heartbeat("r1", 1, "m1")})
	c.Step(0, EntryReport{Entry: "e1", Limits: []*wire.LimitStatement{limitStatement("r1", 1)}})
	reads := 0
	for now := time.Duration(0); now < 12*time.Second; now += 25 * time.Millisecond {
		c.Step(now, HeartbeatReceived{heartbeat("r1", 2+uint64(now), "m1")})
		for _, r := range actionsOf[ReadReport](c.Step(now, Tick{})) {
			reads++
			c.Step(now, ReportReceived{Upstream: r.Upstream, BornUnixMs: r.BornUnixMs, Failed: true,
				Answer: Answer{Limit: &ratelimit.Statement{Limited: true, PerSecond: 1}}})
		}
	}
	is.True(reads >= 8 && reads <= 12) // every 400 ms without a limit
}
