package coordinator

import (
	"testing"

	"github.com/matryer/is"

	"gentiankeel/internal/wire"
)

func holding(id string, models ...*wire.HeldModel) *wire.UpstreamState {
	s := state(id, wire.UpstreamPhase_PHASE_READY)
	s.Models = models
	return s
}

func wanting(model, adapter string) []*wire.ModelDemand {
	return []*wire.ModelDemand{{Service: "s", Model: model, Adapter: adapter}}
}

func TestInterest_EntryHearsOnlyOfWhatItAsksFor(t *testing.T) {
	is := is.New(t)
	i := newInterest(map[string]bool{"desk": true})
	is.True(i.learn(wanting("m1", "a1")))
	is.True(!i.learn(wanting("m1", "a1")))
	first := i.changes([]*wire.UpstreamState{holding("u1", &wire.HeldModel{Name: "m1", Adapters: []string{"a1", "a2"}}, &wire.HeldModel{Name: "m2"})})
	is.Equal(len(first), 1)
	is.Equal(len(first[0].Models), 1)
	is.Equal(first[0].Models[0].Adapters, []string{"a1"})
	// A change of another model or adapter says nothing to it.
	is.Equal(len(i.changes([]*wire.UpstreamState{holding("u1", &wire.HeldModel{Name: "m1", Adapters: []string{"a1", "a3"}}, &wire.HeldModel{Name: "m4"})})), 0)
	is.True(i.learn(wanting("m4", "")))
	more := i.changes([]*wire.UpstreamState{holding("u1", &wire.HeldModel{Name: "m1", Adapters: []string{"a1"}}, &wire.HeldModel{Name: "m4"})})
	is.Equal(len(more[0].Models), 2)
}

func TestInterest_DrainingAndGoneAreAlwaysTold(t *testing.T) {
	is := is.New(t)
	i := newInterest(nil)
	i.changes([]*wire.UpstreamState{holding("u1", &wire.HeldModel{Name: "m1"})})
	left := holding("u1")
	left.Phase = wire.UpstreamPhase_PHASE_DRAINING
	is.Equal(len(i.changes([]*wire.UpstreamState{left})), 1)
	gone := state("u1", wire.UpstreamPhase_PHASE_GONE)
	is.Equal(len(i.changes([]*wire.UpstreamState{gone})), 1)
}

func TestInterest_LoadsOfUnusableUpstreamsAreLeftOut(t *testing.T) {
	is := is.New(t)
	i := newInterest(map[string]bool{"desk": true})
	i.learn(wanting("m1", ""))
	desk := state("d1", wire.UpstreamPhase_PHASE_READY)
	desk.Service = "desk"
	u1, u2 := holding("u1", &wire.HeldModel{Name: "m1"}), holding("u2", &wire.HeldModel{Name: "m2"})
	u1.Number, u2.Number, desk.Number = 1, 2, 3
	i.changes([]*wire.UpstreamState{u1, u2, desk})
	up := i.update(&wire.FleetUpdate{Loads: &wire.FleetLoads{Upstreams: []uint32{1, 2, 3}, Running: []uint32{5, 6, 7}}})
	is.Equal(up.Loads.Upstreams, []uint32{1, 3})
	is.Equal(up.Loads.Running, []uint32{5, 7})
	is.Equal(i.update(&wire.FleetUpdate{Loads: &wire.FleetLoads{Upstreams: []uint32{2}, Running: []uint32{1}}}), nil) // nothing for it
}

func TestInterest_WaitsThatEndAreTold(t *testing.T) {
	is := is.New(t)
	i := newInterest(nil)
	i.learn(wanting("m1", ""))
	other := &wire.FleetUpdate{HasWaits: true, Waits: []*wire.ModelWait{{Service: "s", Model: "m2"}}}
	is.Equal(i.update(other), nil)
	own := &wire.FleetUpdate{HasWaits: true, Waits: []*wire.ModelWait{{Service: "s", Model: "m1"}}}
	is.Equal(len(i.update(own).Waits), 1)
	is.Equal(len(i.update(other).Waits), 0) // its wait has ended
	is.Equal(i.update(other), nil)
}
