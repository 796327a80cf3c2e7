package placement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/wire"
)

func testModel(name string, replicas uint32, mem uint64) *wire.Model {
	return &wire.Model{Name: name, Version: "1", Replicas: replicas, MemoryMib: mem}
}

func testRunner(id, zone string, held ...Allocation) Runner {
	return Runner{ID: id, Zone: zone, MemoryMiB: 100, Slots: 8, Allocations: held, Checkpoints: map[CheckpointKey]wire.Tier{}}
}

// withCheckpoint records that a runner has the weights of a model in a tier.
func withCheckpoint(r Runner, model string, tier wire.Tier) Runner {
	r.Checkpoints[CheckpointKey{model, "1"}] = tier
	return r
}

// idleReplica returns a loaded replica that was loaded and last used a given time ago.
func idleReplica(model string, mem uint64, since time.Duration) Allocation {
	return Allocation{
		OrderID: "o-" + model, Model: model, Version: "1", MemoryMiB: mem, State: Loaded,
		LoadedAt: testNow - since, LastUsed: testNow - since,
	}
}

func busyReplica(model string, mem uint64) Allocation {
	alloc := idleReplica(model, mem, time.Minute)
	alloc.Running = 1
	alloc.LastUsed = testNow
	return alloc
}

func waitingDemand(model string, n int, class wire.Class) Demand {
	return Demand{Model: model, Waiting: n, Oldest: testNow - time.Second, Deadline: testNow + 10*time.Second, Class: class, LastUsed: testNow}
}

func testInput(models []*wire.Model, runners []Runner, demand ...Demand) Input {
	return Input{
		Now: testNow, WallClock: time.Date(2026, 1, 1, 3, 0, 0, 0, time.UTC), Cell: "tay",
		Spec: &wire.Spec{Models: models}, Runners: runners, Demand: demand, Settings: DefaultSettings(),
		Budget: Budget{StoreStarts: 4, StoreMax: 4, AdapterMax: 32},
	}
}

// orderSummary lists the orders of a plan as "kind model@runner".
func orderSummary(p Plan) string {
	var s []string
	for _, o := range p.Orders {
		kind := strings.ToLower(strings.TrimPrefix(o.Kind.String(), "ORDER_"))
		s = append(s, fmt.Sprintf("%s %s@%s", kind, Subject{o.Model, o.Adapter}, o.Runner))
	}
	return strings.Join(s, ", ")
}

// Each feature of the planner is disabled in turn. The plan must then differ from the
// one with all features, or the case would not cover the feature.
func TestFeatures_OneDisabled(t *testing.T) {
	interactive, batch := wire.Class_CLASS_INTERACTIVE, wire.Class_CLASS_BATCH
	old := idleReplica("m", 30, time.Minute)
	old.Version = "0"
	unloading := old
	unloading.State = Unloading
	recent := idleReplica("a", 80, time.Second)
	suspect := testRunner("r0", "a", old)
	suspect.Suspect = true
	leaving := testRunner("r0", "a")
	leaving.Leaving = true
	unlisted := busyReplica("gone", 10)
	idleModel := testModel("m", 1, 30)
	idleModel.IdleAfterS = 30
	bursty := testModel("m", 1, 30)
	bursty.IdleAfterS = 30
	warm := testModel("m", 1, 30)
	warm.Warm = []*wire.WarmWindow{{FromMinute: 181, UntilMinute: 240, Replicas: 1}}
	manyWarm := []*wire.Model{warm}
	for i := range 80 {
		w := testModel(fmt.Sprintf("w%02d", i), 1, 1)
		w.Warm = []*wire.WarmWindow{{FromMinute: 600, UntilMinute: 660, Replicas: 1}}
		manyWarm = append(manyWarm, w)
	}
	dueSoon := Demand{Model: "a", LastUsed: testNow - 80*time.Second, BurstInterval: 2 * time.Minute}
	dueLate := Demand{Model: "b", LastUsed: testNow - time.Minute, BurstInterval: 2 * time.Hour}
	full := Budget{StoreStarts: 4, StoreMax: 4, AdapterMax: 32, AdapterInFlight: 32}
	evicted := idleReplica("old", 60, time.Minute)
	evicted.State, evicted.EvictedFor = Unloading, Subject{Model: "x"}
	adapterSpec := []*wire.Adapter{{Name: "x", Model: "m", Version: "1", MemoryMib: 1}}
	disk, memory := wire.Tier_TIER_DISK, wire.Tier_TIER_MEMORY

	withBudget := func(in Input, b Budget) Input { in.Budget = b; return in }
	withAdapters := func(in Input) Input { in.Spec.Adapters = adapterSpec; return in }
	adapterWaits := waitingDemand("m", 1, interactive)
	adapterWaits.Adapter = "x"

	for _, c := range []struct {
		name    string
		disable func(*featureSet)
		in      Input
		want    string // plan with all features
	}{
		{"memory limit, runner full", func(f *featureSet) { f.memoryLimit = false },
			testInput([]*wire.Model{testModel("a", 1, 80), testModel("m", 1, 30)}, []Runner{testRunner("r0", "a", busyReplica("a", 80))}, waitingDemand("m", 1, interactive)), ""},
		{"replica limit, a replica is unloading", func(f *featureSet) { f.replicaLimit = false },
			testInput([]*wire.Model{testModel("m", 1, 30)}, []Runner{testRunner("r0", "a", unloading), testRunner("r1", "b")}, waitingDemand("m", 1, interactive)), ""},
		{"replica limit, the old version is unloading", func(f *featureSet) { f.countUnloading = false },
			testInput([]*wire.Model{testModel("m", 1, 30)}, []Runner{testRunner("r0", "a", unloading), testRunner("r1", "b")}, waitingDemand("m", 1, interactive)), ""},
		{"zone spread, a second replica in another availability zone", func(f *featureSet) { f.zoneSpread = false },
			testInput([]*wire.Model{testModel("m", 2, 30)}, []Runner{testRunner("r0", "a", busyReplica("m", 30)), withCheckpoint(testRunner("r1", "a"), "m", disk), testRunner("r2", "b")}, waitingDemand("m", 14, interactive)), "load m@r2"},
		{"nearest checkpoint", func(f *featureSet) { f.nearestTier = false },
			testInput([]*wire.Model{testModel("m", 1, 30)}, []Runner{testRunner("r0", "a"), withCheckpoint(testRunner("r1", "b"), "m", memory)}, waitingDemand("m", 1, interactive)), "load m@r1"},
		{"store budget used up", func(f *featureSet) { f.storeBudget = false },
			withBudget(testInput([]*wire.Model{testModel("m", 1, 30)}, []Runner{testRunner("r0", "a")}, waitingDemand("m", 1, interactive)), Budget{StoreStarts: 0, StoreMax: 4}), ""},
		{"adapter budget used up", func(f *featureSet) { f.adapterBudget = false },
			withAdapters(withBudget(testInput([]*wire.Model{testModel("m", 1, 30)}, []Runner{testRunner("r0", "a", idleReplica("m", 30, time.Minute))}, adapterWaits), full)), ""},
		{"most urgent load first", func(f *featureSet) { f.urgencyOrder = false },
			testInput([]*wire.Model{testModel("a", 1, 80), testModel("z", 1, 80)}, []Runner{testRunner("r0", "a")}, waitingDemand("a", 1, batch), waitingDemand("z", 1, interactive)), "load z@r0"},
		{"suspect runner", func(f *featureSet) { f.skipSuspects = false },
			testInput([]*wire.Model{testModel("m", 1, 30)}, []Runner{suspect}), ""},
		{"recently loaded replica is not evicted", func(f *featureSet) { f.minResidence = false },
			testInput([]*wire.Model{testModel("a", 1, 80), testModel("m", 1, 30)}, []Runner{testRunner("r0", "a", recent)}, waitingDemand("m", 1, interactive)), ""},
		{"idle replica", func(f *featureSet) { f.idleUnload = false },
			testInput([]*wire.Model{idleModel}, []Runner{testRunner("r0", "a", idleReplica("m", 30, time.Minute))}), "unload m@r0"},
		{"preload ahead of a predicted burst", func(f *featureSet) { f.burstPreload = false },
			testInput([]*wire.Model{bursty}, []Runner{testRunner("r0", "a")}, Demand{Model: "m", LastUsed: testNow - 10*time.Minute, BurstInterval: 10 * time.Minute}), "load m@r0"},
		{"warm window opens soon", func(f *featureSet) { f.warmLead = false },
			testInput(manyWarm, []Runner{testRunner("r0", "a")}), "load m@r0"},
		{"eviction by expected reuse", func(f *featureSet) { f.evictByReuse = false },
			testInput([]*wire.Model{testModel("a", 1, 50), testModel("b", 1, 50), testModel("m", 1, 50)}, []Runner{testRunner("r0", "a", idleReplica("a", 50, 80*time.Second), idleReplica("b", 50, time.Minute))}, dueSoon, dueLate, waitingDemand("m", 1, interactive)), "unload b@r0"},
		{"running attempts delay the unload", func(f *featureSet) { f.drainBeforeUnload = false },
			testInput(nil, []Runner{testRunner("r0", "a", unlisted)}), ""},
		{"memory freed for a model is reserved", func(f *featureSet) { f.reserveRoom = false },
			testInput([]*wire.Model{testModel("old", 1, 60), testModel("x", 1, 60), testModel("y", 1, 60)},
				[]Runner{withCheckpoint(withCheckpoint(testRunner("r0", "a", evicted), "x", disk), "y", disk), testRunner("r1", "b")}, waitingDemand("x", 1, batch), waitingDemand("y", 1, interactive)), "load y@r1"},
		{"short queue adds no replica", func(f *featureSet) { f.queueSlack = false },
			testInput([]*wire.Model{testModel("m", 2, 30)}, []Runner{testRunner("r0", "a", busyReplica("m", 30)), testRunner("r1", "b")}, waitingDemand("m", 10, interactive)), ""},
		{"leaving runner", func(f *featureSet) { f.avoidLeaving = false },
			testInput([]*wire.Model{testModel("m", 1, 30)}, []Runner{leaving}, waitingDemand("m", 1, interactive)), ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(orderSummary(planOnce(&c.in, allFeatures())), c.want)
			features := allFeatures()
			c.disable(&features)
			without := orderSummary(planOnce(&c.in, features))
			is.True(without != c.want) // the plan depends on the feature
		})
	}
}

func TestPlan_Situations(t *testing.T) {
	interactive := wire.Class_CLASS_INTERACTIVE
	old := idleReplica("m", 30, time.Minute)
	old.Version = "0"
	busyOld := busyReplica("m", 30)
	busyOld.Version = "0"
	leavingHolder := testRunner("r0", "a", idleReplica("m", 30, time.Minute))
	leavingHolder.Leaving = true
	suspect := testRunner("r0", "a", idleReplica("m", 30, time.Minute))
	suspect.Suspect = true
	shortWait := waitingDemand("m", 1, interactive)
	longWait := shortWait
	longWait.Oldest = testNow - time.Minute
	backlog := waitingDemand("m", 10, interactive)
	backlog.Oldest = testNow - 3*time.Second
	shortIdle := testModel("m", 2, 30)
	shortIdle.IdleAfterS = 1
	loading := Allocation{OrderID: "o-m1", Model: "m", Version: "1", MemoryMiB: 30, State: Loading}
	pinned := testModel("a", 1, 80)
	pinned.MinReplicas = 1
	second := idleReplica("m", 30, 2*time.Minute)
	second.OrderID = "o-m2"
	adapter := waitingDemand("m", 1, interactive)
	adapter.Adapter = "x"
	adapterSpec := []*wire.Adapter{{Name: "x", Model: "m", Version: "1", MemoryMib: 10}}
	withAdapters := func(in Input) Input { in.Spec.Adapters = adapterSpec; return in }

	for _, c := range []struct {
		name   string
		in     Input
		want   string
		drains int
	}{
		{"no demand",
			testInput([]*wire.Model{testModel("m", 1, 30)}, []Runner{testRunner("r0", "a", idleReplica("m", 30, time.Hour))}), "", 0},
		{"version change, old replica idle",
			testInput([]*wire.Model{testModel("m", 1, 30)}, []Runner{testRunner("r0", "a", old)}, shortWait), "unload m@r0", 0},
		{"version change, old replica busy and a second one allowed",
			testInput([]*wire.Model{testModel("m", 2, 30)}, []Runner{testRunner("r0", "a", busyOld), testRunner("r1", "b")}, shortWait), "load m@r1", 1},
		{"replica count lowered",
			testInput([]*wire.Model{testModel("m", 1, 30)}, []Runner{testRunner("r0", "a", idleReplica("m", 30, time.Minute)), testRunner("r1", "b", second)}), "unload m@r1", 0},
		{"idle replica on a leaving runner",
			testInput([]*wire.Model{testModel("m", 1, 30)}, []Runner{leavingHolder, testRunner("r1", "b")}, shortWait), "unload m@r0", 0},
		{"replica on a suspect runner, short wait",
			testInput([]*wire.Model{testModel("m", 2, 30)}, []Runner{suspect, testRunner("r1", "b")}, shortWait), "", 0},
		{"replica on a suspect runner, long wait",
			testInput([]*wire.Model{testModel("m", 2, 30)}, []Runner{suspect, testRunner("r1", "b")}, longWait), "load m@r1", 0},
		{"idle replica protected by min_replicas",
			testInput([]*wire.Model{pinned, testModel("m", 1, 30)}, []Runner{testRunner("r0", "a", idleReplica("a", 80, time.Hour))}, shortWait), "", 0},
		{"busy second replica, another model without one",
			testInput([]*wire.Model{testModel("a", 2, 80), testModel("m", 1, 30)}, []Runner{testRunner("r0", "a", busyReplica("a", 80)), testRunner("r1", "b", busyReplica("a", 80))}, shortWait), "", 1},
		{"queue does not drain",
			testInput([]*wire.Model{testModel("m", 2, 30)}, []Runner{testRunner("r0", "a", busyReplica("m", 30)), testRunner("r1", "b")}, backlog), "load m@r1", 0},
		{"replica loading for a queue, sibling idle",
			testInput([]*wire.Model{shortIdle}, []Runner{testRunner("r0", "a", idleReplica("m", 30, time.Minute)), testRunner("r1", "b", loading)}, backlog), "", 0},
		{"adapter of a loaded model",
			withAdapters(testInput([]*wire.Model{testModel("m", 1, 30)}, []Runner{testRunner("r0", "a", idleReplica("m", 30, time.Minute))}, adapter)), "load_adapter m:x@r0", 0},
		{"model and adapter fit only on one runner",
			withAdapters(testInput([]*wire.Model{testModel("m", 1, 30), testModel("a", 1, 65)}, []Runner{testRunner("r0", "a", busyReplica("a", 65)), testRunner("r1", "b")}, adapter)), "load m@r1", 0},
		{"unload of a model with an adapter",
			withAdapters(testInput([]*wire.Model{testModel("m", 0, 30)}, []Runner{testRunner("r0", "a", idleReplica("m", 30, time.Minute), Allocation{OrderID: "oa", Model: "m", Adapter: "x", Version: "1", MemoryMiB: 10, State: Loaded})})),
			"unload m@r0", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := ComputePlan(c.in)
			is.Equal(orderSummary(p), c.want)
			is.Equal(len(p.Drains), c.drains)
			is.Equal(limitViolation(c.in, p), "")
		})
	}
}

func TestPlan_ReasonsOfReplicaSlots(t *testing.T) {
	is := is.New(t)
	in := testInput([]*wire.Model{testModel("a", 2, 80), testModel("m", 3, 30)}, []Runner{testRunner("r0", "a", busyReplica("a", 80)), testRunner("r1", "b")}, waitingDemand("m", 20, wire.Class_CLASS_NORMAL))
	in.Budget.StoreStarts = 0
	slots := map[string]int{}
	for _, r := range ComputePlan(in).Reasons {
		is.True(r.Text != "")
		slots[r.Model]++
	}
	is.Equal(slots, map[string]int{"a": 2, "m": 3})
}

func TestPlan_AlternatingDemand(t *testing.T) {
	is := is.New(t)
	in := testInput([]*wire.Model{testModel("a", 1, 80), testModel("b", 1, 80)}, []Runner{testRunner("r0", "a")})
	loads := 0
	for i := range 100 { // 10 s in which the demand alternates each 100 ms
		in.Now = testNow + time.Duration(i)*100*time.Millisecond
		in.Demand = []Demand{waitingDemand([]string{"a", "b"}[i%2], 1, wire.Class_CLASS_INTERACTIVE)}
		p := ComputePlan(in)
		for _, o := range p.Orders {
			if o.Kind.IsLoad() {
				loads++
			}
		}
		in = completeOrders(commitOrders(in, p))
	}
	is.True(loads <= 3) // each replica stays for 5 s at least
}
