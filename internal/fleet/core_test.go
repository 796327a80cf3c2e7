package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/routing"
	"gentiankeel/internal/suspect"
	"gentiankeel/internal/wire"
)

const llm = "llm"

// testConfig returns a configuration whose runners have memory for two models and slots
// for two adapters.
func testConfig() *routing.Config {
	e := &routing.Engine{Slots: 8, KVCacheTokens: 100_000, WeightMemoryMB: 210, AdapterSlots: 2, StoreLoadsPerSecond: 3}
	for _, name := range []string{"m1", "m2", "m3", "m4", "m5", "m6"} {
		e.Models = append(e.Models, routing.Model{Name: name, WeightsMB: 100, AdapterMB: 1, AdapterCount: 4,
			StoreLoadTime: 6 * time.Second, DiskLoadTime: 800 * time.Millisecond, MemoryLoadTime: 600 * time.Millisecond})
	}
	return &routing.Config{Version: 1, Services: []routing.Service{{Name: llm, Engine: e}, {Name: "desk"}}}
}

func heartbeat(id string, seq uint64, models ...string) *wire.UpstreamState {
	s := &wire.UpstreamState{Id: id, BornUnixMs: 1000, Sequence: seq, Service: llm, Address: id + ":1", Zone: "a",
		Slots: 8, Phase: wire.UpstreamPhase_PHASE_READY, OnDisk: models}
	for _, m := range models {
		s.Models = append(s.Models, &wire.HeldModel{Name: m, Version: 1})
	}
	return s
}

func runnerReport(models ...string) Report {
	var r Report
	for _, m := range models {
		r.Models = append(r.Models, &wire.HeldModel{Name: m, Version: 1})
	}
	r.OnDisk = models
	return r
}

func testSettings() Settings {
	s := DefaultSettings()
	s.Prefetch = false
	s.PlanInterval, s.PlanIntervalPerUpstream = 0, 0
	return s
}

// coreWithRunner returns a core with one runner whose sequence is known.
func coreWithRunner(set Settings, id string, models ...string) *Core {
	c := New(set)
	c.Step(0, RoutingChanged{testConfig()})
	c.Step(0, HeartbeatReceived{heartbeat(id, 1, models...)})
	c.Step(0, Tick{})
	c.Step(0, ReportReceived{Upstream: id, BornUnixMs: 1000, Report: runnerReport(models...)})
	return c
}

func demandReport(model, adapter string, waiting uint32) EntryReport {
	return EntryReport{Entry: "e1", Demand: []*wire.ModelDemand{
		{Service: llm, Model: model, Adapter: adapter, Waiting: waiting, Asked: waiting}}}
}

// actionsOf returns the actions of one type.
func actionsOf[T Action](acts []Action) []T {
	var out []T
	for _, a := range acts {
		if t, ok := a.(T); ok {
			out = append(out, t)
		}
	}
	return out
}

func TestHeartbeat_OlderThanKnown(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, HeartbeatReceived{heartbeat("r1", 5, "m1")})
	is.Equal(len(c.Step(0, HeartbeatReceived{heartbeat("r1", 4, "m2")})), 0)
	old := heartbeat("r1", 9, "m2")
	old.BornUnixMs = 999
	is.Equal(len(c.Step(0, HeartbeatReceived{old})), 0)
	is.Equal(c.Upstreams()[0].Models[0].Name, "m1")
}

func TestHeartbeat_LateAfterGone(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, HeartbeatReceived{heartbeat("r1", 1, "m1")})
	acts := c.Step(0, HeartbeatReceived{&wire.UpstreamState{Id: "r1", Leaves: true}})
	is.Equal(actionsOf[Publish](acts)[0].State.Phase, wire.UpstreamPhase_PHASE_GONE)
	is.Equal(len(c.Step(0, HeartbeatReceived{heartbeat("r1", 2, "m1")})), 0)
	again := heartbeat("r1", 1, "m1")
	again.BornUnixMs = 2000 // a new incarnation under the same id
	is.Equal(len(actionsOf[Publish](c.Step(0, HeartbeatReceived{again}))), 1)
}

func TestHeartbeat_ReusedAddress(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, HeartbeatReceived{heartbeat("r1", 1, "m1")})
	next := heartbeat("r2", 1)
	next.Address, next.BornUnixMs, next.Service = "r1:1", 2000, "desk"
	c.Step(0, HeartbeatReceived{next})
	is.Equal(len(c.Upstreams()), 1)
	is.Equal(c.Upstreams()[0].Id, "r2")
	is.Equal(len(c.Step(0, HeartbeatReceived{heartbeat("r1", 2, "m1")})), 0) // delayed by a partition
}

func TestHeartbeat_ReadyAfterDraining(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	draining := heartbeat("r1", 1, "m1")
	draining.Phase = wire.UpstreamPhase_PHASE_DRAINING
	c.Step(0, HeartbeatReceived{draining})
	c.Step(0, HeartbeatReceived{heartbeat("r1", 2, "m1")})
	is.Equal(c.Upstreams()[0].Phase, wire.UpstreamPhase_PHASE_DRAINING)
}

func TestEntryState_NewCoordinator(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, EntrySnapshot{States: []*wire.UpstreamState{heartbeat("r1", 3, "m1"), {Id: "r9", BornUnixMs: 5, Phase: wire.UpstreamPhase_PHASE_GONE}}})
	is.Equal(len(c.Upstreams()), 1)
	late := heartbeat("r9", 1)
	late.BornUnixMs = 5
	is.Equal(len(c.Step(0, HeartbeatReceived{late})), 0)
}

// Entries know only the models that they request, so the states of several entries must
// be merged.
func TestEntryState_SeveralEntries(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, EntrySnapshot{States: []*wire.UpstreamState{heartbeat("r1", 3, "m1")}})
	c.Step(0, EntrySnapshot{States: []*wire.UpstreamState{heartbeat("r1", 3, "m2")}})
	is.True(containsModel(c.Upstreams()[0].Models, "m1"))
	is.True(containsModel(c.Upstreams()[0].Models, "m2"))

	c.Step(0, HeartbeatReceived{heartbeat("r1", 3, "m1", "m3")}) // the same heartbeat with all models
	is.Equal(len(c.Upstreams()[0].Models), 2)
	is.True(containsModel(c.Upstreams()[0].Models, "m3"))

	c.Step(0, EntrySnapshot{States: []*wire.UpstreamState{heartbeat("r1", 3, "m2")}}) // adds nothing to a heartbeat
	is.True(!containsModel(c.Upstreams()[0].Models, "m2"))
}

func TestHeartbeat_MissedUntilGone(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, HeartbeatReceived{heartbeat("r1", 1, "m1")})
	acts := c.Step(testSettings().SuspectAfter, Tick{})
	is.Equal(actionsOf[Publish](acts)[0].State.Phase, wire.UpstreamPhase_PHASE_UNSPECIFIED)
	acts = c.Step(testSettings().ForgetAfter, Tick{})
	is.Equal(actionsOf[Publish](acts)[0].State.Phase, wire.UpstreamPhase_PHASE_GONE)
}

func TestMissingModel_OrderOpen(t *testing.T) {
	is := is.New(t)
	c := coreWithRunner(testSettings(), "r1", "m1")
	sends := actionsOf[SendOrder](c.Step(0, demandReport("m2", "", 1)))
	is.Equal(len(sends), 1)
	is.Equal(sends[0].Order.Model, "m2")
	is.Equal(sends[0].Order.ExpectedSequence, uint64(0))
	is.Equal(len(actionsOf[SendOrder](c.Step(0, Tick{}))), 0) // the order has no answer yet
	c.Step(0, OrderAnswered{Upstream: "r1", BornUnixMs: 1000, Result: OrderAccepted})
	is.Equal(len(actionsOf[SendOrder](c.Step(0, Tick{}))), 0) // the order is being executed
	acts := c.Step(time.Second, HeartbeatReceived{heartbeat("r1", 2, "m1", "m2")})
	is.Equal(len(actionsOf[Publish](acts)), 1)
	next := actionsOf[SendOrder](c.Step(time.Second, demandReport("m3", "", 1)))
	is.Equal(next[0].Order.ExpectedSequence, uint64(1))
}

func TestMissingModel_RunnerFull(t *testing.T) {
	is := is.New(t)
	c := coreWithRunner(testSettings(), "r1", "m1", "m2")
	acts := c.Step(0, demandReport("m3", "", 1))
	sends := actionsOf[SendOrder](acts)
	is.Equal(len(sends), 1)
	is.True(sends[0].Order.Unload)
	victim := sends[0].Order.Model
	for _, m := range actionsOf[Publish](acts)[0].State.Models {
		is.True(m.Name != victim) // entries must send it no more requests
	}
	c.Step(0, OrderAnswered{Upstream: "r1", BornUnixMs: 1000, Result: OrderAccepted})
	kept := "m1"
	if victim == "m1" {
		kept = "m2"
	}
	sends = actionsOf[SendOrder](c.Step(time.Second, HeartbeatReceived{heartbeat("r1", 2, kept)}))
	is.Equal(len(sends), 1)
	is.True(!sends[0].Order.Unload)
	is.Equal(sends[0].Order.Model, "m3")
}

func TestMissingModel_WeightsOnBusyRunner(t *testing.T) {
	is := is.New(t)
	c := coreWithRunner(testSettings(), "r1", "m1")
	c.Step(0, HeartbeatReceived{heartbeat("r2", 1, "m2")})
	c.Step(0, Tick{})
	// The weights of m3 are on r1's disk. r2 is free but would load them from the store.
	rep := runnerReport("m1")
	rep.OnDisk = []string{"m1", "m3", "m4"}
	c.Step(0, ReportReceived{Upstream: "r1", BornUnixMs: 1000, Report: rep})
	c.Step(0, ReportReceived{Upstream: "r2", BornUnixMs: 1000, Report: runnerReport("m2")})
	first := actionsOf[SendOrder](c.Step(0, demandReport("m4", "", 1)))
	is.Equal(first[0].Upstream, "r1")
	is.Equal(len(actionsOf[SendOrder](c.Step(0, demandReport("m3", "", 1)))), 0) // waits for r1
	c.Step(0, OrderAnswered{Upstream: "r1", BornUnixMs: 1000, Result: OrderAccepted})
	next := heartbeat("r1", 2, "m1", "m4")
	next.OnDisk = []string{"m1", "m3", "m4"}
	sends := actionsOf[SendOrder](c.Step(time.Second, HeartbeatReceived{next}))
	is.Equal(sends[0].Upstream, "r1")
	is.True(sends[0].Order.Unload) // makes room for m3
}

func TestWaits_WeightsOnBusyRunner(t *testing.T) {
	is := is.New(t)
	c := coreWithRunner(testSettings(), "r1", "m1")
	rep := runnerReport("m1")
	rep.OnDisk = []string{"m1", "m3", "m4"}
	c.Step(0, ReportReceived{Upstream: "r1", BornUnixMs: 1000, Report: rep})
	c.Step(0, demandReport("m4", "", 1))
	acts := c.Step(0, demandReport("m3", "", 1)) // r1 loads m4 first
	waits := actionsOf[PublishWaits](acts)
	is.Equal(len(waits), 1)
	for _, w := range c.Waits(slices.Values(waits[0].Changed)) {
		is.True(w.ReadyInMs < 4000)
	}
	is.Equal(len(actionsOf[PublishWaits](c.Step(100*time.Millisecond, Tick{}))), 0) // entries count down themselves
}

func TestOrder_OutcomeUnknown(t *testing.T) {
	is := is.New(t)
	c := coreWithRunner(testSettings(), "r1", "m1")
	c.Step(0, demandReport("m2", "", 1))
	c.Step(0, OrderAnswered{Upstream: "r1", BornUnixMs: 1000, Result: OrderUnknown})
	is.Equal(len(actionsOf[SendOrder](c.Step(testSettings().ReportReadInterval, Tick{}))), 0)
	acts := c.Step(testSettings().ReportReadInterval, ReportReceived{Upstream: "r1", BornUnixMs: 1000, Report: Report{Sequence: 1, Busy: true}})
	is.Equal(len(actionsOf[SendOrder](acts)), 0) // the runner has executed the order
	r := runnerReport("m1", "m2")
	r.Sequence = 1
	c.Step(2*testSettings().ReportReadInterval, ReportReceived{Upstream: "r1", BornUnixMs: 1000, Report: r})
	is.Equal(len(c.Upstreams()[0].Models), 2)
}

func TestReport_OlderThanAcceptedOrder(t *testing.T) {
	is := is.New(t)
	c := coreWithRunner(testSettings(), "r1", "m1")
	c.Step(0, demandReport("m2", "", 1))
	c.Step(0, OrderAnswered{Upstream: "r1", BornUnixMs: 1000, Result: OrderAccepted})
	c.Step(0, ReportReceived{Upstream: "r1", BornUnixMs: 1000, Report: runnerReport("m1")}) // sequence 0: outdated
	is.Equal(len(actionsOf[SendOrder](c.Step(0, demandReport("m3", "", 1)))), 0)
}

func TestReport_SequenceStaysLower(t *testing.T) {
	is := is.New(t)
	c := coreWithRunner(testSettings(), "r1", "m1")
	c.Step(0, demandReport("m2", "", 1))
	c.Step(0, OrderAnswered{Upstream: "r1", BornUnixMs: 1000, Result: OrderCompleted}) // not counted by the runner
	c.Step(0, demandReport("m3", "", 1))
	rep := ReportReceived{Upstream: "r1", BornUnixMs: 1000, Report: runnerReport("m1", "m2")}
	is.Equal(len(actionsOf[SendOrder](c.Step(testSettings().MaxReportAge/2, rep))), 0) // may be outdated
	is.Equal(len(actionsOf[SendOrder](c.Step(testSettings().MaxReportAge, rep))), 1)
}

func TestOrder_Fenced(t *testing.T) {
	is := is.New(t)
	c := coreWithRunner(testSettings(), "r1", "m1")
	c.Step(0, demandReport("m2", "", 1))
	is.Equal(len(actionsOf[TokenSuperseded](c.Step(0, OrderAnswered{Upstream: "r1", BornUnixMs: 1000, Result: OrderFenced}))), 1)
	c.Step(time.Second, ReportReceived{Upstream: "r1", BornUnixMs: 1000, Report: runnerReport("m1")})
	is.Equal(len(actionsOf[SendOrder](c.Step(10*time.Second, Tick{}))), 0)
}

func TestOrder_HeldUntilAllowed(t *testing.T) {
	is := is.New(t)
	set := testSettings()
	set.HoldOrders = true
	c := coreWithRunner(set, "r1", "m1")
	is.Equal(len(actionsOf[SendOrder](c.Step(0, demandReport("m2", "", 1)))), 0)
	is.Equal(len(actionsOf[SendOrder](c.Step(0, OrdersAllowed{}))), 1)
}

func TestStore_ConcurrencyLimit(t *testing.T) {
	is := is.New(t)
	set := testSettings()
	set.StoreConcurrency = 2
	c := New(set)
	c.Step(0, RoutingChanged{testConfig()})
	for i := range 5 {
		id := fmt.Sprintf("r%d", i)
		c.Step(0, HeartbeatReceived{heartbeat(id, 1)})
		c.Step(0, Tick{})
		c.Step(0, ReportReceived{Upstream: id, BornUnixMs: 1000, Report: runnerReport()})
	}
	sends := 0
	for _, m := range []string{"m1", "m2", "m3", "m4"} {
		sends += len(actionsOf[SendOrder](c.Step(0, demandReport(m, "", 1))))
	}
	is.Equal(sends, 2)
}

func TestAdapter_ModelLoaded(t *testing.T) {
	is := is.New(t)
	c := coreWithRunner(testSettings(), "r1", "m1")
	acts := c.Step(0, demandReport("m1", "a1", 1))
	sends := actionsOf[SendOrder](acts)
	is.Equal(len(sends), 1)
	is.Equal(sends[0].Order.Adapter, "a1")
	c.Step(0, OrderAnswered{Upstream: "r1", BornUnixMs: 1000, Result: OrderAccepted})
	is.Equal(len(c.Upstreams()[0].Models[0].Adapters), 0)
	c.Step(testSettings().AdapterLoadTime, Tick{})
	is.Equal(c.Upstreams()[0].Models[0].Adapters, []string{"a1"})
}

func TestAdapter_NoFreeSlot(t *testing.T) {
	is := is.New(t)
	c := coreWithRunner(testSettings(), "r1", "m1")
	for i, a := range []string{"a1", "a2"} {
		at := time.Duration(i) * time.Second
		c.Step(at, demandReport("m1", a, 1))
		c.Step(at, OrderAnswered{Upstream: "r1", BornUnixMs: 1000, Result: OrderAccepted})
		c.Step(at+testSettings().AdapterLoadTime, Tick{})
		c.Step(at+testSettings().AdapterLoadTime, EntryReport{Entry: "e1", Demand: []*wire.ModelDemand{{Service: llm, Model: "m1", Adapter: a}}})
	}
	sends := actionsOf[SendOrder](c.Step(5*time.Second, demandReport("m1", "a3", 1)))
	is.Equal(len(sends), 1)
	is.True(sends[0].Order.Unload)
	is.Equal(sends[0].Order.Adapter, "a1")
	sends = actionsOf[SendOrder](c.Step(5*time.Second, OrderAnswered{Upstream: "r1", BornUnixMs: 1000, Result: OrderCompleted}))
	is.Equal(len(sends), 1)
	is.Equal(sends[0].Order.Adapter, "a3")
}

func TestHeartbeat_OlderThanAcceptedOrder(t *testing.T) {
	is := is.New(t)
	c := coreWithRunner(testSettings(), "r1", "m1")
	for i, a := range []string{"a1", "a2"} {
		at := time.Duration(i) * time.Second
		c.Step(at, demandReport("m1", a, 1))
		c.Step(at, OrderAnswered{Upstream: "r1", BornUnixMs: 1000, Result: OrderAccepted})
		c.Step(at+testSettings().AdapterLoadTime, Tick{})
	}
	c.Step(2*time.Second, HeartbeatReceived{heartbeat("r1", 2, "m1")}) // sent before both loads
	sends := actionsOf[SendOrder](c.Step(2*time.Second, demandReport("m1", "a3", 1)))
	is.Equal(len(sends), 1)
	is.True(sends[0].Order.Unload) // both slots are taken
}

func TestReport_AdaptersLoading(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, RoutingChanged{testConfig()})
	c.Step(0, HeartbeatReceived{heartbeat("r1", 1, "m1")})
	c.Step(0, Tick{})
	rep := runnerReport("m1")
	rep.LoadingAdapters = []LoadingAdapter{{"m1", "a1"}, {"m1", "a2"}}
	c.Step(0, ReportReceived{Upstream: "r1", BornUnixMs: 1000, Report: rep})
	is.Equal(len(actionsOf[SendOrder](c.Step(0, demandReport("m1", "a3", 1)))), 0) // no slot, and nothing to unload yet
}

func TestReplicas_BusyModel(t *testing.T) {
	is := is.New(t)
	c := coreWithRunner(testSettings(), "r1", "m1")
	c.Step(0, HeartbeatReceived{heartbeat("r2", 1, "m2")})
	c.Step(0, Tick{})
	rep := runnerReport("m2")
	rep.OnDisk = []string{"m1", "m2"}
	c.Step(0, ReportReceived{Upstream: "r2", BornUnixMs: 1000, Report: rep})
	n := uint32(testSettings().RequestsPerReplica)
	busy := func(n uint32) EntryReport {
		return EntryReport{Entry: "e1",
			Demand: []*wire.ModelDemand{{Service: llm, Model: "m1", Running: n}},
			Loads: []*wire.UpstreamLoad{{Upstream: "r1", Running: n,
				Models: []*wire.ModelRunning{{Model: "m1", Running: n}}}}}
	}
	is.Equal(len(actionsOf[SendOrder](c.Step(2*time.Second, busy(n)))), 0)
	sends := actionsOf[SendOrder](c.Step(2*time.Second, busy(n+1)))
	is.Equal(len(sends), 1)
	is.Equal(sends[0].Upstream, "r2")
	is.Equal(sends[0].Order.Model, "m1")
}

// Loads identify an upstream by the number that it was published with. A new
// incarnation must get another number, or entries would attribute loads of the old one
// to it.
func TestLoads_UpstreamRestarted(t *testing.T) {
	is := is.New(t)
	set := testSettings()
	c := coreWithRunner(set, "r1", "m1")
	first := c.Upstreams()[0].Number
	c.Step(time.Second, EntryReport{Entry: "e1", Loads: []*wire.UpstreamLoad{{Upstream: "r1", Running: 3}}})
	published := actionsOf[PublishLoads](c.Step(time.Second, Tick{}))
	is.Equal(len(published), 1)
	is.Equal(published[0].Loads.Upstreams, []uint32{first})
	is.Equal(published[0].Loads.Running, []uint32{3})
	again := heartbeat("r1", 1, "m1")
	again.BornUnixMs++
	c.Step(2*time.Second, HeartbeatReceived{again})
	is.True(c.Upstreams()[0].Number != first)
}

func TestEntry_GoneWithDemand(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, RoutingChanged{testConfig()})
	c.Step(0, demandReport("m1", "", 3))
	c.Step(0, EntryGone{"e1"})
	c.Step(0, HeartbeatReceived{heartbeat("r1", 1)})
	c.Step(0, Tick{})
	is.Equal(len(actionsOf[SendOrder](c.Step(0, ReportReceived{Upstream: "r1", BornUnixMs: 1000, Report: runnerReport()}))), 0)
}

func TestEntry_GoneForLong(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, RoutingChanged{testConfig()})
	m := modelKey{llm, "m1"}
	c.Step(0, demandReport("m1", "", 3))
	c.Step(0, EntryGone{"e1"})
	c.Step(goneEntryTTL/2, Tick{})
	c.Step(goneEntryTTL/2, demandReport("m1", "", 4)) // the same process connects again
	rate := c.models[m].rate
	c.Step(2*goneEntryTTL, Tick{})
	is.Equal(len(c.models[m].requestCounts), 1)
	for i := range 100 { // an entry that starts again and again
		r := demandReport("m1", "", 1)
		r.Entry = fmt.Sprint("e2/", i)
		c.Step(2*goneEntryTTL, r)
		c.Step(2*goneEntryTTL, EntryGone{r.Entry})
	}
	c.Step(3*goneEntryTTL, Tick{})
	is.Equal(len(c.models[m].requestCounts), 1) // that of e1
	is.Equal(len(c.goneEntries), 0)
	is.True(rate > 0)
}

func TestLoads_AllForASnapshot(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	for _, id := range []string{"r1", "r2"} {
		c.Step(0, HeartbeatReceived{heartbeat(id, 1)})
	}
	load := func(running uint32) EntryReport {
		return EntryReport{Entry: "e1", Loads: []*wire.UpstreamLoad{{Upstream: "r2", Running: running}}}
	}
	c.Step(0, load(3))
	c.Step(time.Second, Tick{})
	is.Equal(c.Loads().Running, []uint32{3})
	is.Equal(c.Loads().Upstreams, []uint32{2})
	c.Step(time.Second, load(0))
	c.Step(2*time.Second, Tick{})
	is.Equal(len(c.Loads().Running), 0)
}

// Entries must know of the prompts and the KV cache use of each other. A change of these alone, as when
// a prompt has been read, must be published as well.
func TestLoads_TokensOfAllEntries(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, HeartbeatReceived{heartbeat("r1", 1)})
	report := func(entry string, prefill uint32) EntryReport {
		return EntryReport{Entry: entry, Loads: []*wire.UpstreamLoad{{Upstream: "r1", Running: 1, PrefillTokens: prefill, KvTokens: 1100}}}
	}
	c.Step(0, report("e1", 1000))
	c.Step(0, report("e2", 500))
	published := actionsOf[PublishLoads](c.Step(time.Second, Tick{}))
	is.Equal(published[0].Loads.PrefillUnits, []uint32{24})
	is.Equal(published[0].Loads.KvUnits, []uint32{5})
	c.Step(time.Second, report("e1", 0))
	published = actionsOf[PublishLoads](c.Step(2*time.Second, Tick{}))
	is.Equal(published[0].Loads.Running, []uint32{2})
	is.Equal(published[0].Loads.PrefillUnits, []uint32{8})
	is.Equal(c.Loads().KvUnits, []uint32{5})
}

// Entries must know how many others wait for the same upstream, so that they do not all use one free slot.
func TestLoads_Contenders(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, HeartbeatReceived{heartbeat("r1", 1, "m1")})
	report := func(entry string, waiting uint32) EntryReport {
		return EntryReport{Entry: entry, Loads: []*wire.UpstreamLoad{{Upstream: "r1", Running: 1}},
			Demand: []*wire.ModelDemand{{Service: "llm", Model: "m1", Waiting: waiting, Running: 1, Asked: 5}}}
	}
	for i := range 5 {
		c.Step(0, report(fmt.Sprint("e", i), uint32(min(i, 1)))) // all but one wait
	}
	published := actionsOf[PublishLoads](c.Step(time.Second, Tick{}))
	is.Equal(published[0].Loads.Contenders, []uint32{4})
	for i := range 5 {
		c.Step(time.Second, report(fmt.Sprint("e", i), 0))
	}
	published = actionsOf[PublishLoads](c.Step(2*time.Second, Tick{}))
	is.Equal(published[0].Loads.Contenders, []uint32{0})
}

// Requests of one entry for several adapters of a model are one contender. Counted more often, the entry itself would
// leave free room unused.
func TestLoads_ContendersWithAdapters(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, HeartbeatReceived{heartbeat("r1", 1, "m1")})
	for i := range 5 {
		rep := EntryReport{Entry: fmt.Sprint("e", i), Loads: []*wire.UpstreamLoad{{Upstream: "r1", Running: 1}}}
		for a := range 4 {
			if i == 0 {
				rep.Demand = append(rep.Demand, &wire.ModelDemand{Service: "llm", Model: "m1", Adapter: fmt.Sprint("a", a), Waiting: 1, Asked: 1})
			}
		}
		c.Step(0, rep)
	}
	published := actionsOf[PublishLoads](c.Step(time.Second, Tick{}))
	is.Equal(published[0].Loads.Contenders, []uint32{1})
}

// An entry that attaches again before the end of its old stream was noticed reports its loads in full: requests that
// ended in between must not count for ever.
func TestLoads_EntryAttachesAgain(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, HeartbeatReceived{heartbeat("r1", 1, "m1")})
	c.Step(0, EntryReport{Entry: "e1", Loads: []*wire.UpstreamLoad{{Upstream: "r1", Running: 3, PrefillTokens: 640, KvTokens: 1024}}})
	is.Equal(actionsOf[PublishLoads](c.Step(time.Second, Tick{}))[0].Loads.Running, []uint32{3})
	c.Step(2*time.Second, EntrySnapshot{Entry: "e1"})
	c.Step(2*time.Second, EntryReport{Entry: "e1"})
	published := actionsOf[PublishLoads](c.Step(3*time.Second, Tick{}))
	is.Equal(len(published), 1)
	is.Equal(published[0].Loads.Running, []uint32{0})
	is.Equal(published[0].Loads.PrefillUnits, []uint32{0})
	is.Equal(published[0].Loads.KvUnits, []uint32{0})
}

// The requests of an entry that is gone must not count at the others until one of them has something to report.
func TestLoads_EntryGone(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, HeartbeatReceived{heartbeat("r1", 1, "m1")})
	c.Step(0, EntryReport{Entry: "e1", Loads: []*wire.UpstreamLoad{{Upstream: "r1", Running: 3}}})
	c.Step(0, EntryReport{Entry: "e2"})
	c.Step(time.Second, Tick{})
	c.Step(2*time.Second, EntryGone{Entry: "e1"})
	published := actionsOf[PublishLoads](c.Step(3*time.Second, Tick{}))
	is.Equal(len(published), 1)
	is.Equal(published[0].Loads.Running, []uint32{0})
}

// Factors of speed are sent with the loads, once, and are part of the state for entries that learn of the upstream
// later. A new incarnation has none.
func TestLoads_Pace(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	for _, id := range []string{"r1", "r2"} {
		c.Step(0, HeartbeatReceived{heartbeat(id, 1)})
	}
	var published []*wire.FleetLoads
	for s := range 12 {
		now := Time(s) * time.Second
		c.Step(now, EntryReport{Entry: "e1", Paces: []*wire.UpstreamPace{
			{Number: 1, Model: "m1", Gaps: 50, GapsMs: 50 * 120, Work: 50_000},
			{Number: 2, Model: "m1", Gaps: 50, GapsMs: 50 * 40, Work: 50_000},
		}})
		for _, a := range actionsOf[PublishLoads](c.Step(now, Tick{})) {
			published = append(published, a.Loads)
		}
	}
	last := map[uint32]uint32{}
	for _, l := range published {
		is.Equal(len(l.Pace), len(l.Upstreams))
		for i, number := range l.Upstreams {
			last[number] = l.Pace[i]
		}
	}
	is.True(last[1] > 1400 && last[2] < 600)
	is.True(len(published) < 8) // only what has changed by 5 in 100
	is.Equal(c.Upstreams()[0].Pace, last[1])
	next := heartbeat("r1", 1)
	next.BornUnixMs++
	c.Step(13*time.Second, HeartbeatReceived{next})
	is.Equal(c.Upstreams()[0].Pace, uint32(0))
}

// lostOn returns a lost run of one request.
func lostOn(inc suspect.Incarnation) suspect.LossReport {
	r := suspect.NewRequest("POST", "h", "/x", "", []byte("body"), "", nil)
	return suspect.LossReport{LostRun: suspect.LostRun{Incarnation: inc, Traits: r.Traits()}}
}

// isQuarantined reports whether any trait is in quarantine.
func isQuarantined(c *Core) bool {
	return slices.ContainsFunc(c.Suspects(), func(s suspect.Suspicion) bool { return s.Until > 0 })
}

// A heartbeat that was delayed arrives after its upstream ended while it began to run a
// request. The upstream never comes back, so that only its silence tells.
func TestLostRun_DelayedHeartbeatThenSilence(t *testing.T) {
	is := is.New(t)
	set := DefaultSettings()
	c := New(set)
	lose := func(id string) {
		inc := suspect.Incarnation{Upstream: id, BornUnixMs: 1000}
		c.Step(c.now, RunsReported{Lost: []suspect.LossReport{lostOn(inc)}})
	}
	for i, id := range []string{"r1", "r2", "r3"} {
		c.Step(time.Duration(i)*time.Second, HeartbeatReceived{heartbeat(id, 1)})
		lose(id)
	}
	is.True(isQuarantined(c))
	c.Step(4*time.Second, HeartbeatReceived{heartbeat("r2", 2)})
	is.True(isQuarantined(c))
	c.Step(4*time.Second, HeartbeatReceived{heartbeat("r3", 2)})
	is.True(!isQuarantined(c)) // refuted
	quarantined := false
	for now := 5 * time.Second; now <= 4*time.Second+set.ForgetAfter; now += time.Second {
		c.Step(now, Tick{})
		quarantined = isQuarantined(c)
	}
	is.True(quarantined)
}

// An upstream that drains may cut its last runs off.
func TestLostRun_UpstreamDrains(t *testing.T) {
	is := is.New(t)
	c := New(DefaultSettings())
	for _, id := range []string{"r1", "r2", "r3"} {
		s := heartbeat(id, 1)
		s.Phase = wire.UpstreamPhase_PHASE_DRAINING
		c.Step(0, HeartbeatReceived{s})
		inc := suspect.Incarnation{Upstream: id, BornUnixMs: s.BornUnixMs}
		c.Step(0, RunsReported{Lost: []suspect.LossReport{lostOn(inc)}})
	}
	is.Equal(len(c.Suspects()), 0)
}

// An entry tells only after the upstream that drained has been replaced.
func TestLostRun_DrainedUpstreamReplaced(t *testing.T) {
	is := is.New(t)
	c := New(DefaultSettings())
	for _, id := range []string{"r1", "r2", "r3"} {
		s := heartbeat(id, 1)
		s.Phase = wire.UpstreamPhase_PHASE_DRAINING
		c.Step(0, HeartbeatReceived{s})
		next := heartbeat(id, 1)
		next.BornUnixMs++
		c.Step(time.Second, HeartbeatReceived{next})
		l := lostOn(suspect.Incarnation{Upstream: id, BornUnixMs: s.BornUnixMs})
		l.Inferred, l.Ended, l.Ran, l.Span = true, true, time.Second, time.Second
		c.Step(time.Second, RunsReported{Lost: []suspect.LossReport{l}})
		l.Inferred = false
		c.Step(time.Second, RunsReported{Lost: []suspect.LossReport{l}})
	}
	is.Equal(len(c.Suspects()), 0)
}

// Upstreams fell silent one after the other while an earlier coordinator heard their heartbeats; the next one
// hears only their successors.
func TestLostRun_LastHeardByAnotherCoordinator(t *testing.T) {
	is := is.New(t)
	c := New(DefaultSettings())
	for i, id := range []string{"r1", "r2", "r3"} {
		s := heartbeat(id, 1)
		c.Step(0, EntrySnapshot{Entry: "e1", States: []*wire.UpstreamState{s}})
		l := lostOn(suspect.Incarnation{Upstream: id, BornUnixMs: s.BornUnixMs})
		l.Inferred, l.Ran, l.Span, l.Age = true, time.Second, 900*time.Millisecond, time.Duration(12-5*i)*time.Second
		c.Step(0, RunsReported{Lost: []suspect.LossReport{l}})
		next := heartbeat(id, 1)
		next.BornUnixMs++
		c.Step(time.Second, HeartbeatReceived{next})
	}
	is.True(isQuarantined(c))
}

// While the coordinator is behind, a model that requests wait for is still loaded, but no estimate is
// published and nothing is prefetched.
func TestPlan_CoordinatorBehind(t *testing.T) {
	is := is.New(t)
	set := testSettings()
	set.Prefetch = true
	c := coreWithRunner(set, "r1", "m1")
	c.Step(0, HeartbeatReceived{heartbeat("r2", 1)})
	c.Step(0, Tick{Behind: true})
	acts := slices.Clone(c.Step(0, ReportReceived{Upstream: "r2", BornUnixMs: 1000, Report: runnerReport()}))
	is.Equal(len(actionsOf[SendOrder](acts)), 0)
	acts = slices.Clone(c.Step(0, demandReport("m4", "", 1)))
	is.Equal(len(actionsOf[SendOrder](acts)), 1)
	is.Equal(len(actionsOf[PublishWaits](acts)), 0)
	is.Equal(len(actionsOf[PublishWaits](c.Step(25*time.Millisecond, Tick{}))), 1)
}

func TestReport_ManyRunnersAtOnce(t *testing.T) {
	is := is.New(t)
	set := testSettings()
	set.MaxReportReads = 3
	c := New(set)
	c.Step(0, RoutingChanged{testConfig()})
	for i := range 8 {
		c.Step(0, HeartbeatReceived{heartbeat(fmt.Sprintf("r%d", i), 1, "m1")})
	}
	reads := actionsOf[ReadReport](slices.Clone(c.Step(0, Tick{})))
	is.Equal(len(reads), 3)
	is.Equal(len(actionsOf[ReadReport](c.Step(25*time.Millisecond, Tick{}))), 0)
	read := map[string]bool{}
	for now := 50 * time.Millisecond; len(reads) > 0; now += 25 * time.Millisecond {
		for _, r := range reads {
			read[r.Upstream] = true
			c.Step(now, ReportReceived{Upstream: r.Upstream, BornUnixMs: r.BornUnixMs, Report: runnerReport("m1")})
		}
		reads = actionsOf[ReadReport](slices.Clone(c.Step(now, Tick{})))
	}
	is.Equal(len(read), 8)
}

// An entry that has served a thousand requests tells a new coordinator of one that waits. Its demand is that one, or
// replicas are loaded for requests that ended long ago.
func TestEntry_FirstReportOfATerm(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, RoutingChanged{testConfig()})
	first := demandReport("m1", "", 1)
	first.Demand[0].Asked = 1000
	c.Step(0, first)
	one := c.models[modelKey{llm, "m1"}].rate
	c2 := New(testSettings())
	c2.Step(0, RoutingChanged{testConfig()})
	c2.Step(0, demandReport("m1", "", 1))
	is.Equal(one, c2.models[modelKey{llm, "m1"}].rate)
}
