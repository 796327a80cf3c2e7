package coordinator

import (
	"testing"

	"github.com/matryer/is"

	"gentiankeel/internal/wire"
)

func upstreamHolding(id string, models ...*wire.HeldModel) *wire.UpstreamState {
	s := upstreamState(id, wire.UpstreamPhase_PHASE_READY)
	s.Models = models
	return s
}

func demandFor(model, adapter string) []*wire.ModelDemand {
	return []*wire.ModelDemand{{Service: "s", Model: model, Adapter: adapter}}
}

func TestSubscription_ModelsNotRequested(t *testing.T) {
	is := is.New(t)
	sub := newSubscription(map[string]bool{"desk": true})
	is.Equal(len(sub.subscribe(demandFor("m1", "a1"))), 1)
	is.Equal(len(sub.subscribe(demandFor("m1", "a1"))), 0)
	first := sub.changedStates([]*wire.UpstreamState{upstreamHolding("u1", &wire.HeldModel{Name: "m1", Adapters: []string{"a1", "a2"}}, &wire.HeldModel{Name: "m2"})})
	is.Equal(len(first), 1)
	is.Equal(len(first[0].Models), 1)
	is.Equal(first[0].Models[0].Adapters, []string{"a1"})
	// A change of other models and adapters alone is not sent.
	is.Equal(len(sub.changedStates([]*wire.UpstreamState{upstreamHolding("u1", &wire.HeldModel{Name: "m1", Adapters: []string{"a1", "a3"}}, &wire.HeldModel{Name: "m4"})})), 0)
	is.Equal(len(sub.subscribe(demandFor("m4", ""))), 1)
	more := sub.changedStates([]*wire.UpstreamState{upstreamHolding("u1", &wire.HeldModel{Name: "m1", Adapters: []string{"a1"}}, &wire.HeldModel{Name: "m4"})})
	is.Equal(len(more[0].Models), 2)
}

func TestSubscription_UpstreamDrainingOrGone(t *testing.T) {
	is := is.New(t)
	sub := newSubscription(nil)
	sub.changedStates([]*wire.UpstreamState{upstreamHolding("u1", &wire.HeldModel{Name: "m1"})})
	draining := upstreamHolding("u1")
	draining.Phase = wire.UpstreamPhase_PHASE_DRAINING
	is.Equal(len(sub.changedStates([]*wire.UpstreamState{draining})), 1)
	gone := upstreamState("u1", wire.UpstreamPhase_PHASE_GONE)
	is.Equal(len(sub.changedStates([]*wire.UpstreamState{gone})), 1)
}

func TestSubscription_LoadsOfUnusableUpstreams(t *testing.T) {
	is := is.New(t)
	sub := newSubscription(map[string]bool{"desk": true})
	sub.subscribe(demandFor("m1", ""))
	desk := upstreamState("d1", wire.UpstreamPhase_PHASE_READY)
	desk.Service = "desk"
	u1, u2 := upstreamHolding("u1", &wire.HeldModel{Name: "m1"}), upstreamHolding("u2", &wire.HeldModel{Name: "m2"})
	u1.Number, u2.Number, desk.Number = 1, 2, 3
	sub.changedStates([]*wire.UpstreamState{u1, u2, desk})
	filtered := sub.filterUpdate(&wire.FleetUpdate{Loads: &wire.FleetLoads{Upstreams: []uint32{1, 2, 3}, Running: []uint32{5, 6, 7}}})
	is.Equal(filtered.Loads.Upstreams, []uint32{1, 3})
	is.Equal(filtered.Loads.Running, []uint32{5, 7})
	filtered = sub.filterUpdate(&wire.FleetUpdate{Loads: &wire.FleetLoads{Upstreams: []uint32{1, 2, 3}, Running: []uint32{5, 6, 7},
		PrefillUnits: []uint32{50, 60, 70}, KvUnits: []uint32{51, 61, 71}, Pace: []uint32{0, 1200, 900}}})
	is.Equal(filtered.Loads.PrefillUnits, []uint32{50, 70}) // as long as the list of upstreams
	is.Equal(filtered.Loads.KvUnits, []uint32{51, 71})
	is.Equal(filtered.Loads.Pace, []uint32{0, 900})
	is.Equal(sub.filterUpdate(&wire.FleetUpdate{Loads: &wire.FleetLoads{Upstreams: []uint32{2}, Running: []uint32{1}}}), nil) // it can't use u2
}

func TestSubscription_WaitEnds(t *testing.T) {
	is := is.New(t)
	sub := newSubscription(nil)
	sub.subscribe(demandFor("m1", ""))
	other := &wire.FleetUpdate{HasWaits: true, Waits: []*wire.ModelWait{{Service: "s", Model: "m2"}}}
	is.Equal(sub.filterUpdate(other), nil)
	subscribed := &wire.FleetUpdate{HasWaits: true, Waits: []*wire.ModelWait{{Service: "s", Model: "m1"}}}
	is.Equal(len(sub.filterUpdate(subscribed).Waits), 1)
	is.Equal(len(sub.filterUpdate(other).Waits), 0) // the empty list ends the wait
	is.Equal(sub.filterUpdate(other), nil)
}

func TestFilterUpdate_WaitsEndAfterMixedUpdate(t *testing.T) {
	is := is.New(t)
	sub := newSubscription(nil)
	sub.subscribe([]*wire.ModelDemand{{Service: "s", Model: "m"}})
	mixed := &wire.FleetUpdate{
		Upstreams: []*wire.UpstreamState{{Id: "r1", BornUnixMs: 1, Service: "s", Number: 1}},
		Waits:     []*wire.ModelWait{{Service: "s", Model: "m", ReadyInMs: 100}}, HasWaits: true,
	}
	is.Equal(len(sub.filterUpdate(mixed).Waits), 1)
	ended := sub.filterUpdate(&wire.FleetUpdate{HasWaits: true})
	is.True(ended != nil) // else the entry would refuse requests for a load that has ended
	is.True(ended.HasWaits)
	is.Equal(sub.filterUpdate(&wire.FleetUpdate{HasWaits: true}), nil)
}
