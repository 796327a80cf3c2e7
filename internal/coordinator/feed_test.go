package coordinator

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/fleet"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/wire"
)

// feedWithRunners returns a feed and the core of a fleet with two runners, u1 with the model m1 and u2
// with m2, of three models.
func feedWithRunners() (*feed, *fleet.Core) {
	engine := &routing.Engine{Slots: 8, WeightMemoryMB: 210, AdapterSlots: 2, StoreLoadsPerSecond: 3}
	for _, name := range []string{"m1", "m2", "m3"} {
		engine.Models = append(engine.Models, routing.Model{Name: name, WeightsMB: 100, StoreLoadTime: 6 * time.Second})
	}
	core := fleet.New(fleet.DefaultSettings())
	core.Step(0, fleet.RoutingChanged{Config: &routing.Config{Services: []routing.Service{{Name: "s", Engine: engine}}}})
	for i, id := range []string{"u1", "u2"} {
		s := upstreamHolding(id, &wire.HeldModel{Name: []string{"m1", "m2"}[i], Version: 1})
		s.Address = id + ":1"
		core.Step(0, fleet.HeartbeatReceived{State: s})
	}
	return newFeed(), core
}

func TestFeed_ChangeOfAModelThatFewFollow(t *testing.T) {
	is := is.New(t)
	f, core := feedWithRunners()
	for _, e := range []string{"e1", "e2", "e3"} {
		f.attach(e)
		f.subs[e].changedStates(core.Upstreams())
	}
	is.Equal(len(f.follow("e1", demandFor("m1", ""))), 1)
	up := f.followUp("e1", core, 1, []modelKey{{"s", "m1"}})
	is.Equal(len(up.Upstreams), 1) // u2 does not hold it
	is.Equal(up.Upstreams[0].Models[0].Name, "m1")
	f.follow("e2", demandFor("m2", ""))

	// u1 loads m2 beside m1: e2 alone is told.
	pub := newPublication(1)
	f.addState(pub, fleet.Publish{State: upstreamHolding("u1", &wire.HeldModel{Name: "m1", Version: 1}, &wire.HeldModel{Name: "m2", Version: 1}), OnlyModels: []string{"m2"}})
	updates := f.updates(pub, core)
	is.Equal(len(updates), 1)
	is.Equal(updates["e2"].Upstreams[0].Models[0].Name, "m2")

	// u1 drains: all are told.
	pub = newPublication(1)
	draining := upstreamHolding("u1")
	draining.Phase = wire.UpstreamPhase_PHASE_DRAINING
	f.addState(pub, fleet.Publish{State: draining})
	is.Equal(len(f.updates(pub, core)), 3)

	// An entry that attaches again follows nothing yet.
	f.attach("e2")
	pub = newPublication(1)
	f.addState(pub, fleet.Publish{State: upstreamHolding("u2"), OnlyModels: []string{"m2"}})
	is.Equal(len(f.updates(pub, core)), 0)
	f.detach("e1")
	is.Equal(len(f.followers), 0)
}

// An entry that begins to follow a model must not take its runners for idle ones until their loads change.
func TestFeed_LoadsOfAModelThatIsNew(t *testing.T) {
	is := is.New(t)
	f, core := feedWithRunners()
	f.attach("e1")
	core.Step(0, fleet.EntryReport{Entry: "e2", Loads: []*wire.UpstreamLoad{
		{Upstream: "u1", Running: 8, PrefillTokens: 640}, {Upstream: "u2", Running: 3}}})
	core.Step(time.Second, fleet.Tick{})
	added := f.follow("e1", demandFor("m1", ""))
	up := f.followUp("e1", core, 1, added)
	is.Equal(len(up.Upstreams), 1)
	is.Equal(up.Loads.GetUpstreams(), []uint32{up.Upstreams[0].Number})
	is.Equal(up.Loads.GetRunning(), []uint32{8})
	is.Equal(up.Loads.GetPrefillUnits(), []uint32{10})
	added = f.follow("e1", demandFor("m1", "a1"))
	is.True(f.followUp("e1", core, 1, added).GetLoads() != nil) // it was told of them before, and may have missed changes
}

// An entry that asks for a missing model late is told when it will be loaded, and the others are not.
func TestFeed_WaitsOfFollowersOnly(t *testing.T) {
	is := is.New(t)
	f, core := feedWithRunners()
	for _, e := range []string{"e1", "e2", "e3"} {
		f.attach(e)
	}
	demand := func(entry string) []fleet.Action {
		f.follow(entry, demandFor("m3", ""))
		return core.Step(time.Second, fleet.EntryReport{Entry: entry, Demand: []*wire.ModelDemand{{Service: "s", Model: "m3", Waiting: 1, Asked: 1}}})
	}
	pub := newPublication(1)
	for _, a := range demand("e1") {
		if w, ok := a.(fleet.PublishWaits); ok {
			is.Equal(w.Changed, []fleet.ModelRef{{Service: "s", Model: "m3"}})
			f.addWaits(pub, w)
		}
	}
	updates := f.updates(pub, core)
	is.Equal(len(updates), 1)
	is.Equal(updates["e1"].Waits[0].Model, "m3")

	is.Equal(len(slices.DeleteFunc(demand("e2"), func(a fleet.Action) bool { _, ok := a.(fleet.PublishWaits); return !ok })), 0)
	late := f.followUp("e2", core, 1, []modelKey{{"s", "m3"}})
	is.Equal(late.Waits[0].Model, "m3") // although the estimate did not change

	// So is one that attaches again, and nothing is kept of what it was sent before.
	f.attach("e1")
	f.follow("e1", demandFor("m3", ""))
	snapshot := f.snapshot("e1", core, 1)
	is.Equal(len(snapshot.Upstreams), 0) // it can use none of them
	is.Equal(len(snapshot.Software), 1)
	is.Equal(snapshot.Waits[0].Model, "m3")
}

// A fleet that starts, or gets another coordinator, must not tell each entry of each runner; those that
// leave are told to all, since the next coordinator learns it from them.
func TestFeed_RunnersThatAnEntryCanNotUse(t *testing.T) {
	is := is.New(t)
	f, core := feedWithRunners()
	f.setPlainServices(map[string]bool{"desk": true})
	f.attach("e1")
	is.Equal(len(f.snapshot("e1", core, 1).Upstreams), 0)
	desk := upstreamState("d1", wire.UpstreamPhase_PHASE_READY)
	desk.Service = "desk"
	leaves := upstreamHolding("u1")
	leaves.Phase = wire.UpstreamPhase_PHASE_DRAINING
	suspect := upstreamHolding("u2")
	suspect.Phase = wire.UpstreamPhase_PHASE_UNSPECIFIED
	for state, told := range map[*wire.UpstreamState]bool{upstreamHolding("u3", &wire.HeldModel{Name: "m1"}): false, desk: true, leaves: true, suspect: false} {
		pub := newPublication(1)
		f.addState(pub, fleet.Publish{State: state})
		is.Equal(len(f.updates(pub, core)) == 1, told)
	}
}
