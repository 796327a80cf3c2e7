package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/routing"
	"gentiankeel/internal/wire"
)

const llm = "llm"

// testConfig has runners with room for two models and two adapters.
func testConfig() *routing.Config {
	e := &routing.Engine{Slots: 8, KVTokens: 100_000, WeightsMB: 210, AdapterSlots: 2, LoadsPerS: 3}
	for _, name := range []string{"m1", "m2", "m3", "m4", "m5", "m6"} {
		e.Models = append(e.Models, routing.Model{Name: name, WeightsMB: 100, AdapterMB: 1, Adapters: 4,
			LoadTime: 6 * time.Second, DiskTime: 800 * time.Millisecond, WarmTime: 600 * time.Millisecond})
	}
	return &routing.Config{Version: 1, Services: []routing.Service{{Name: llm, Engine: e}, {Name: "desk"}}}
}

func beat(id string, seq uint64, models ...string) *wire.UpstreamState {
	s := &wire.UpstreamState{Id: id, BornUnixMs: 1000, Sequence: seq, Service: llm, Address: id + ":1", Zone: "a",
		Slots: 8, Phase: wire.UpstreamPhase_PHASE_READY, OnDisk: models}
	for _, m := range models {
		s.Models = append(s.Models, &wire.HeldModel{Name: m, Version: 1})
	}
	return s
}

func report(models ...string) Report {
	var r Report
	for _, m := range models {
		r.Models = append(r.Models, &wire.HeldModel{Name: m, Version: 1})
	}
	r.OnDisk = models
	return r
}

func quiet() Settings {
	s := DefaultSettings()
	s.Prefetch = false
	s.PlanInterval, s.PlanPerRunner = 0, 0
	return s
}

// known makes a core that knows the runner and its sequence.
func known(set Settings, id string, models ...string) *Core {
	c := New(set)
	c.Step(0, RoutingChanged{testConfig()})
	c.Step(0, Heard{beat(id, 1, models...)})
	c.Step(0, Tick{})
	c.Step(0, Reported{Upstream: id, Born: 1000, Report: report(models...)})
	return c
}

func wants(model, adapter string, waiting uint32) EntryReport {
	return EntryReport{Entry: "e1", Demand: []*wire.ModelDemand{
		{Service: llm, Model: model, Adapter: adapter, Waiting: waiting, Asked: waiting}}}
}

func pick[T Action](acts []Action) []T {
	var out []T
	for _, a := range acts {
		if t, ok := a.(T); ok {
			out = append(out, t)
		}
	}
	return out
}

func TestHeard_OlderHeartbeatsAndIncarnationsChangeNothing(t *testing.T) {
	is := is.New(t)
	c := New(quiet())
	c.Step(0, Heard{beat("r1", 5, "m1")})
	is.Equal(len(c.Step(0, Heard{beat("r1", 4, "m2")})), 0)
	old := beat("r1", 9, "m2")
	old.BornUnixMs = 999
	is.Equal(len(c.Step(0, Heard{old})), 0)
	is.Equal(c.Fleet()[0].Models[0].Name, "m1")
}

func TestHeard_LateHeartbeatDoesNotBringAGoneUpstreamBack(t *testing.T) {
	is := is.New(t)
	c := New(quiet())
	c.Step(0, Heard{beat("r1", 1, "m1")})
	acts := c.Step(0, Heard{&wire.UpstreamState{Id: "r1", UnknownIdentity: true}})
	is.Equal(pick[Publish](acts)[0].State.Phase, wire.UpstreamPhase_PHASE_GONE)
	is.Equal(len(c.Step(0, Heard{beat("r1", 2, "m1")})), 0)
	again := beat("r1", 1, "m1")
	again.BornUnixMs = 2000 // a new start under the same id
	is.Equal(len(pick[Publish](c.Step(0, Heard{again}))), 1)
}

func TestHeard_ReusedAddressEndsTheOlderUpstream(t *testing.T) {
	is := is.New(t)
	c := New(quiet())
	c.Step(0, Heard{beat("r1", 1, "m1")})
	next := beat("r2", 1)
	next.Address, next.BornUnixMs, next.Service = "r1:1", 2000, "desk"
	c.Step(0, Heard{next})
	is.Equal(len(c.Fleet()), 1)
	is.Equal(c.Fleet()[0].Id, "r2")
	is.Equal(len(c.Step(0, Heard{beat("r1", 2, "m1")})), 0) // it was delayed behind a cut
}

func TestHeard_DrainingUpstreamDoesNotComeBack(t *testing.T) {
	is := is.New(t)
	c := New(quiet())
	left := beat("r1", 1, "m1")
	left.Phase = wire.UpstreamPhase_PHASE_DRAINING
	c.Step(0, Heard{left})
	c.Step(0, Heard{beat("r1", 2, "m1")})
	is.Equal(c.Fleet()[0].Phase, wire.UpstreamPhase_PHASE_DRAINING)
}

func TestEntryKnows_FillsWhatANewCoordinatorLacks(t *testing.T) {
	is := is.New(t)
	c := New(quiet())
	c.Step(0, EntryKnows{[]*wire.UpstreamState{beat("r1", 3, "m1"), {Id: "r9", BornUnixMs: 5, Phase: wire.UpstreamPhase_PHASE_GONE}}})
	is.Equal(len(c.Fleet()), 1)
	late := beat("r9", 1)
	late.BornUnixMs = 5
	is.Equal(len(c.Step(0, Heard{late})), 0)
}

// Entries know only of the models that they ask for.
func TestTakeover_WhatSeveralEntriesKnowOfARunnerIsPutTogether(t *testing.T) {
	is := is.New(t)
	c := New(quiet())
	c.Step(0, EntryKnows{[]*wire.UpstreamState{beat("r1", 3, "m1")}})
	c.Step(0, EntryKnows{[]*wire.UpstreamState{beat("r1", 3, "m2")}})
	is.True(holds(c.Fleet()[0].Models, "m1"))
	is.True(holds(c.Fleet()[0].Models, "m2"))

	c.Step(0, Heard{beat("r1", 3, "m1", "m3")}) // the same heartbeat, whole
	is.Equal(len(c.Fleet()[0].Models), 2)
	is.True(holds(c.Fleet()[0].Models, "m3"))

	c.Step(0, EntryKnows{[]*wire.UpstreamState{beat("r1", 3, "m2")}}) // nothing to add to a heartbeat
	is.True(!holds(c.Fleet()[0].Models, "m2"))
}

func TestSilence_UpstreamIsAvoidedThenForgotten(t *testing.T) {
	is := is.New(t)
	c := New(quiet())
	c.Step(0, Heard{beat("r1", 1, "m1")})
	acts := c.Step(quiet().SuspectAfter, Tick{})
	is.Equal(pick[Publish](acts)[0].State.Phase, wire.UpstreamPhase_PHASE_UNSPECIFIED)
	acts = c.Step(quiet().ForgetAfter, Tick{})
	is.Equal(pick[Publish](acts)[0].State.Phase, wire.UpstreamPhase_PHASE_GONE)
}

func TestMissingModel_IsLoadedOnceUnderTheKnownSequence(t *testing.T) {
	is := is.New(t)
	c := known(quiet(), "r1", "m1")
	sends := pick[Send](c.Step(0, wants("m2", "", 1)))
	is.Equal(len(sends), 1)
	is.Equal(sends[0].Order.Model, "m2")
	is.Equal(sends[0].Order.Expected, uint64(0))
	is.Equal(len(pick[Send](c.Step(0, Tick{}))), 0) // its answer is awaited
	c.Step(0, Ordered{Upstream: "r1", Born: 1000, Result: OrderAccepted})
	is.Equal(len(pick[Send](c.Step(0, Tick{}))), 0) // it is being carried out
	acts := c.Step(time.Second, Heard{beat("r1", 2, "m1", "m2")})
	is.Equal(len(pick[Publish](acts)), 1)
	next := pick[Send](c.Step(time.Second, wants("m3", "", 1)))
	is.Equal(next[0].Order.Expected, uint64(1))
}

func TestMissingModel_MakesRoomFirstAndHidesWhatGoes(t *testing.T) {
	is := is.New(t)
	c := known(quiet(), "r1", "m1", "m2")
	acts := c.Step(0, wants("m3", "", 1))
	sends := pick[Send](acts)
	is.Equal(len(sends), 1)
	is.True(sends[0].Order.Unload)
	victim := sends[0].Order.Model
	for _, m := range pick[Publish](acts)[0].State.Models {
		is.True(m.Name != victim) // entries send it nothing more
	}
	c.Step(0, Ordered{Upstream: "r1", Born: 1000, Result: OrderAccepted})
	kept := "m1"
	if victim == "m1" {
		kept = "m2"
	}
	sends = pick[Send](c.Step(time.Second, Heard{beat("r1", 2, kept)}))
	is.Equal(len(sends), 1)
	is.True(!sends[0].Order.Unload)
	is.Equal(sends[0].Order.Model, "m3")
}

func TestMissingModel_WaitsForTheRunnerThatHasItsWeights(t *testing.T) {
	is := is.New(t)
	c := known(quiet(), "r1", "m1")
	c.Step(0, Heard{beat("r2", 1, "m2")})
	c.Step(0, Tick{})
	// m3 lies on r1's disk; r2 is free but would load it from the store.
	rep := report("m1")
	rep.OnDisk = []string{"m1", "m3", "m4"}
	c.Step(0, Reported{Upstream: "r1", Born: 1000, Report: rep})
	c.Step(0, Reported{Upstream: "r2", Born: 1000, Report: report("m2")})
	first := pick[Send](c.Step(0, wants("m4", "", 1)))
	is.Equal(first[0].Upstream, "r1")
	is.Equal(len(pick[Send](c.Step(0, wants("m3", "", 1)))), 0)
	c.Step(0, Ordered{Upstream: "r1", Born: 1000, Result: OrderAccepted})
	next := beat("r1", 2, "m1", "m4")
	next.OnDisk = []string{"m1", "m3", "m4"}
	sends := pick[Send](c.Step(time.Second, Heard{next}))
	is.Equal(sends[0].Upstream, "r1")
	is.True(sends[0].Order.Unload) // makes room for m3
}

func TestWaits_ModelOnABusyRunnersDiskIsNotEstimatedAsALoadFromTheStore(t *testing.T) {
	is := is.New(t)
	c := known(quiet(), "r1", "m1")
	rep := report("m1")
	rep.OnDisk = []string{"m1", "m3", "m4"}
	c.Step(0, Reported{Upstream: "r1", Born: 1000, Report: rep})
	c.Step(0, wants("m4", "", 1))
	acts := c.Step(0, wants("m3", "", 1)) // r1 loads m4 first
	waits := pick[PublishWaits](acts)
	is.Equal(len(waits), 1)
	for _, w := range waits[0].Waits {
		is.True(w.ReadyInMs < 4000)
	}
	is.Equal(len(pick[PublishWaits](c.Step(100*time.Millisecond, Tick{}))), 0) // entries count down
}

func TestUnknownOutcome_ReadsTheReportBeforeTheNextOrder(t *testing.T) {
	is := is.New(t)
	c := known(quiet(), "r1", "m1")
	c.Step(0, wants("m2", "", 1))
	c.Step(0, Ordered{Upstream: "r1", Born: 1000, Result: OrderUnknown})
	is.Equal(len(pick[Send](c.Step(quiet().ReadRetry, Tick{}))), 0)
	acts := c.Step(quiet().ReadRetry, Reported{Upstream: "r1", Born: 1000, Report: Report{Sequence: 1, Busy: true}})
	is.Equal(len(pick[Send](acts)), 0) // it was carried out after all
	r := report("m1", "m2")
	r.Sequence = 1
	c.Step(2*quiet().ReadRetry, Reported{Upstream: "r1", Born: 1000, Report: r})
	is.Equal(len(c.Fleet()[0].Models), 2)
}

func TestReport_OlderThanAnAcceptedOrderIsIgnored(t *testing.T) {
	is := is.New(t)
	c := known(quiet(), "r1", "m1")
	c.Step(0, wants("m2", "", 1))
	c.Step(0, Ordered{Upstream: "r1", Born: 1000, Result: OrderAccepted})
	c.Step(0, Reported{Upstream: "r1", Born: 1000, Report: report("m1")}) // sequence 0: late
	is.Equal(len(pick[Send](c.Step(0, wants("m3", "", 1)))), 0)
}

func TestReport_ThatStaysBelowTheCountIsTrustedInTheEnd(t *testing.T) {
	is := is.New(t)
	c := known(quiet(), "r1", "m1")
	c.Step(0, wants("m2", "", 1))
	c.Step(0, Ordered{Upstream: "r1", Born: 1000, Result: OrderHolds}) // and was not counted there
	c.Step(0, wants("m3", "", 1))
	rep := Reported{Upstream: "r1", Born: 1000, Report: report("m1", "m2")}
	is.Equal(len(pick[Send](c.Step(quiet().ReportLag/2, rep))), 0) // it may be old
	is.Equal(len(pick[Send](c.Step(quiet().ReportLag, rep))), 1)
}

func TestFenced_NoOrderFollows(t *testing.T) {
	is := is.New(t)
	c := known(quiet(), "r1", "m1")
	c.Step(0, wants("m2", "", 1))
	is.Equal(len(pick[Stop](c.Step(0, Ordered{Upstream: "r1", Born: 1000, Result: OrderFenced}))), 1)
	c.Step(time.Second, Reported{Upstream: "r1", Born: 1000, Report: report("m1")})
	is.Equal(len(pick[Send](c.Step(10*time.Second, Tick{}))), 0)
}

func TestStore_ConcurrencyAndRateAreKept(t *testing.T) {
	is := is.New(t)
	set := quiet()
	set.StoreConcurrency = 2
	c := New(set)
	c.Step(0, RoutingChanged{testConfig()})
	for i := range 5 {
		id := fmt.Sprintf("r%d", i)
		c.Step(0, Heard{beat(id, 1)})
		c.Step(0, Tick{})
		c.Step(0, Reported{Upstream: id, Born: 1000, Report: report()})
	}
	sends := 0
	for _, m := range []string{"m1", "m2", "m3", "m4"} {
		sends += len(pick[Send](c.Step(0, wants(m, "", 1))))
	}
	is.Equal(sends, 2)
}

func TestAdapter_IsLoadedWhereTheModelIsAndPublishedWhenReady(t *testing.T) {
	is := is.New(t)
	c := known(quiet(), "r1", "m1")
	acts := c.Step(0, wants("m1", "a1", 1))
	sends := pick[Send](acts)
	is.Equal(len(sends), 1)
	is.Equal(sends[0].Order.Adapter, "a1")
	c.Step(0, Ordered{Upstream: "r1", Born: 1000, Result: OrderAccepted})
	is.Equal(len(c.Fleet()[0].Models[0].Adapters), 0)
	c.Step(quiet().AdapterTime, Tick{})
	is.Equal(c.Fleet()[0].Models[0].Adapters, []string{"a1"})
}

func TestAdapter_FullRunnerUnloadsTheOneUsedLongestAgo(t *testing.T) {
	is := is.New(t)
	c := known(quiet(), "r1", "m1")
	for i, a := range []string{"a1", "a2"} {
		at := time.Duration(i) * time.Second
		c.Step(at, wants("m1", a, 1))
		c.Step(at, Ordered{Upstream: "r1", Born: 1000, Result: OrderAccepted})
		c.Step(at+quiet().AdapterTime, Tick{})
		c.Step(at+quiet().AdapterTime, EntryReport{Entry: "e1", Demand: []*wire.ModelDemand{{Service: llm, Model: "m1", Adapter: a}}})
	}
	sends := pick[Send](c.Step(5*time.Second, wants("m1", "a3", 1)))
	is.Equal(len(sends), 1)
	is.True(sends[0].Order.Unload)
	is.Equal(sends[0].Order.Adapter, "a1")
	sends = pick[Send](c.Step(5*time.Second, Ordered{Upstream: "r1", Born: 1000, Result: OrderHolds}))
	is.Equal(len(sends), 1)
	is.Equal(sends[0].Order.Adapter, "a3")
}

func TestHeartbeat_SentBeforeAnAcceptedOrderDoesNotUndoIt(t *testing.T) {
	is := is.New(t)
	c := known(quiet(), "r1", "m1")
	for i, a := range []string{"a1", "a2"} {
		at := time.Duration(i) * time.Second
		c.Step(at, wants("m1", a, 1))
		c.Step(at, Ordered{Upstream: "r1", Born: 1000, Result: OrderAccepted})
		c.Step(at+quiet().AdapterTime, Tick{})
	}
	c.Step(2*time.Second, Heard{beat("r1", 2, "m1")}) // it was sent before both loads
	sends := pick[Send](c.Step(2*time.Second, wants("m1", "a3", 1)))
	is.Equal(len(sends), 1)
	is.True(sends[0].Order.Unload) // both places are taken
}

func TestReport_CountsAdaptersOnTheirWay(t *testing.T) {
	is := is.New(t)
	c := New(quiet())
	c.Step(0, RoutingChanged{testConfig()})
	c.Step(0, Heard{beat("r1", 1, "m1")})
	c.Step(0, Tick{})
	rep := report("m1")
	rep.Coming = []ComingAdapter{{"m1", "a1"}, {"m1", "a2"}}
	c.Step(0, Reported{Upstream: "r1", Born: 1000, Report: rep})
	is.Equal(len(pick[Send](c.Step(0, wants("m1", "a3", 1)))), 0) // no place, and nothing to unload yet
}

func TestBusyModel_GetsAnotherReplica(t *testing.T) {
	is := is.New(t)
	c := known(quiet(), "r1", "m1")
	c.Step(0, Heard{beat("r2", 1, "m2")})
	c.Step(0, Tick{})
	rep := report("m2")
	rep.OnDisk = []string{"m1", "m2"}
	c.Step(0, Reported{Upstream: "r2", Born: 1000, Report: rep})
	n := uint32(quiet().RequestsPerReplica)
	busy := func(n uint32) EntryReport {
		return EntryReport{Entry: "e1",
			Demand: []*wire.ModelDemand{{Service: llm, Model: "m1", Running: n}},
			Loads: []*wire.UpstreamLoad{{Upstream: "r1", Running: n,
				Models: []*wire.ModelRunning{{Model: "m1", Running: n}}}}}
	}
	is.Equal(len(pick[Send](c.Step(2*time.Second, busy(n)))), 0)
	sends := pick[Send](c.Step(2*time.Second, busy(n+1)))
	is.Equal(len(sends), 1)
	is.Equal(sends[0].Upstream, "r2")
	is.Equal(sends[0].Order.Model, "m1")
}

// Entries know an upstream in the loads by the number that it was published with, its next
// incarnation by another one.
func TestLoads_NameUpstreamsAsPublished(t *testing.T) {
	is := is.New(t)
	set := quiet()
	c := known(set, "r1", "m1")
	first := c.Fleet()[0].Number
	c.Step(time.Second, EntryReport{Entry: "e1", Loads: []*wire.UpstreamLoad{{Upstream: "r1", Running: 3}}})
	told := pick[PublishLoads](c.Step(time.Second, Tick{}))
	is.Equal(len(told), 1)
	is.Equal(told[0].Loads.Upstreams, []uint32{first})
	is.Equal(told[0].Loads.Running, []uint32{3})
	again := beat("r1", 1, "m1")
	again.BornUnixMs++
	c.Step(2*time.Second, Heard{again})
	is.True(c.Fleet()[0].Number != first)
}

func TestEntryGone_ItsDemandIsForgotten(t *testing.T) {
	is := is.New(t)
	c := New(quiet())
	c.Step(0, RoutingChanged{testConfig()})
	c.Step(0, wants("m1", "", 3))
	c.Step(0, EntryGone{"e1"})
	c.Step(0, Heard{beat("r1", 1)})
	c.Step(0, Tick{})
	is.Equal(len(pick[Send](c.Step(0, Reported{Upstream: "r1", Born: 1000, Report: report()}))), 0)
}
