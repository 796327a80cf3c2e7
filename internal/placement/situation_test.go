package placement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/wire"
)

func mdl(name string, replicas uint32, mem uint64) *wire.Model {
	return &wire.Model{Name: name, Version: "1", Replicas: replicas, MemoryMib: mem}
}

func rnr(id, zone string, held ...Held) Runner {
	return Runner{ID: id, Zone: zone, MemoryMiB: 100, Slots: 8, Held: held, Checkpoints: map[CheckpointKey]wire.Tier{}}
}

// near puts the weights of a model nearer to a runner.
func near(r Runner, model string, tier wire.Tier) Runner {
	r.Checkpoints[CheckpointKey{model, "1"}] = tier
	return r
}

// idle returns a loaded replica that has been idle for a while.
func idle(model string, mem uint64, since time.Duration) Held {
	return Held{
		OrderID: "o-" + model, Model: model, Version: "1", MemoryMiB: mem, State: Loaded,
		Since: testNow - since, LastUsed: testNow - since,
	}
}

func busy(model string, mem uint64) Held {
	h := idle(model, mem, time.Minute)
	h.Running = 1
	h.LastUsed = testNow
	return h
}

func waits(model string, n int, class wire.Class) Demand {
	return Demand{Model: model, Waiting: n, Oldest: testNow - time.Second, Deadline: testNow + 10*time.Second, Class: class, LastUsed: testNow}
}

func situation(models []*wire.Model, runners []Runner, demand ...Demand) Input {
	return Input{
		Now: testNow, WallClock: time.Date(2026, 1, 1, 3, 0, 0, 0, time.UTC), Cell: "tay",
		Spec: &wire.Spec{Models: models}, Runners: runners, Demand: demand, Settings: DefaultSettings(),
		Budget: Budget{StoreStarts: 4, StoreMax: 4, AdapterMax: 32},
	}
}

// short lists the orders of a plan as "kind model@runner".
func short(p Plan) string {
	var s []string
	for _, o := range p.Orders {
		kind := strings.ToLower(strings.TrimPrefix(o.Kind.String(), "ORDER_"))
		s = append(s, fmt.Sprintf("%s %s@%s", kind, Subject{o.Model, o.Adapter}, o.Runner))
	}
	return strings.Join(s, ", ")
}

// Each mechanism is taken out in turn; the plan of its situation must then change.
func TestMechanisms_EachOneTakenOutChangesItsSituation(t *testing.T) {
	interactive, batch := wire.Class_CLASS_INTERACTIVE, wire.Class_CLASS_BATCH
	old := idle("m", 30, time.Minute)
	old.Version = "0"
	going := old
	going.State = Unloading
	young := idle("a", 80, time.Second)
	suspect := rnr("r0", "a", old)
	suspect.Suspect = true
	leaving := rnr("r0", "a")
	leaving.Leaving = true
	dropped := busy("gone", 10)
	idleModel := mdl("m", 1, 30)
	idleModel.IdleAfterS = 30
	learnt := mdl("m", 1, 30)
	learnt.IdleAfterS = 30
	warm := mdl("m", 1, 30)
	warm.Warm = []*wire.WarmWindow{{FromMinute: 181, UntilMinute: 240, Replicas: 1}}
	manyWarm := []*wire.Model{warm}
	for i := range 80 {
		w := mdl(fmt.Sprintf("w%02d", i), 1, 1)
		w.Warm = []*wire.WarmWindow{{FromMinute: 600, UntilMinute: 660, Replicas: 1}}
		manyWarm = append(manyWarm, w)
	}
	dueSoon := Demand{Model: "a", LastUsed: testNow - 80*time.Second, Interval: 2 * time.Minute}
	dueLate := Demand{Model: "b", LastUsed: testNow - time.Minute, Interval: 2 * time.Hour}
	full := Budget{StoreStarts: 4, StoreMax: 4, AdapterMax: 32, AdapterInFlight: 32}
	kept := idle("old", 60, time.Minute)
	kept.State, kept.RoomFor = Unloading, Subject{Model: "x"}
	adapterSpec := []*wire.Adapter{{Name: "x", Model: "m", Version: "1", MemoryMib: 1}}
	disk, memory := wire.Tier_TIER_DISK, wire.Tier_TIER_MEMORY

	withBudget := func(in Input, b Budget) Input { in.Budget = b; return in }
	withAdapters := func(in Input) Input { in.Spec.Adapters = adapterSpec; return in }
	adapterWaits := waits("m", 1, interactive)
	adapterWaits.Adapter = "x"

	for _, c := range []struct {
		name string
		off  func(*mechanisms)
		in   Input
		want string // plan with the mechanism
	}{
		{"memory is a hard limit", func(m *mechanisms) { m.memoryLimit = false },
			situation([]*wire.Model{mdl("a", 1, 80), mdl("m", 1, 30)}, []Runner{rnr("r0", "a", busy("a", 80))}, waits("m", 1, interactive)), ""},
		{"replicas never exceed the file", func(m *mechanisms) { m.countLimit = false },
			situation([]*wire.Model{mdl("m", 1, 30)}, []Runner{rnr("r0", "a", going), rnr("r1", "b")}, waits("m", 1, interactive)), ""},
		{"the old version goes before the new is counted", func(m *mechanisms) { m.oldFirst = false },
			situation([]*wire.Model{mdl("m", 1, 30)}, []Runner{rnr("r0", "a", going), rnr("r1", "b")}, waits("m", 1, interactive)), ""},
		{"replicas spread over availability zones", func(m *mechanisms) { m.zoneSpread = false },
			situation([]*wire.Model{mdl("m", 2, 30)}, []Runner{rnr("r0", "a", busy("m", 30)), near(rnr("r1", "a"), "m", disk), rnr("r2", "b")}, waits("m", 14, interactive)), "load m@r2"},
		{"the nearest checkpoint wins", func(m *mechanisms) { m.nearestTier = false },
			situation([]*wire.Model{mdl("m", 1, 30)}, []Runner{rnr("r0", "a"), near(rnr("r1", "b"), "m", memory)}, waits("m", 1, interactive)), "load m@r1"},
		{"the weight store's budget holds", func(m *mechanisms) { m.storeBudget = false },
			withBudget(situation([]*wire.Model{mdl("m", 1, 30)}, []Runner{rnr("r0", "a")}, waits("m", 1, interactive)), Budget{StoreStarts: 0, StoreMax: 4}), ""},
		{"the adapter budget holds", func(m *mechanisms) { m.adapterBudget = false },
			withAdapters(withBudget(situation([]*wire.Model{mdl("m", 1, 30)}, []Runner{rnr("r0", "a", idle("m", 30, time.Minute))}, adapterWaits), full)), ""},
		{"the most urgent load goes first", func(m *mechanisms) { m.urgency = false },
			situation([]*wire.Model{mdl("a", 1, 80), mdl("z", 1, 80)}, []Runner{rnr("r0", "a")}, waits("a", 1, batch), waits("z", 1, interactive)), "load z@r0"},
		{"a suspect runner gets no order", func(m *mechanisms) { m.suspectHold = false },
			situation([]*wire.Model{mdl("m", 1, 30)}, []Runner{suspect}), ""},
		{"a replica stays for a shortest time", func(m *mechanisms) { m.minResident = false },
			situation([]*wire.Model{mdl("a", 1, 80), mdl("m", 1, 30)}, []Runner{rnr("r0", "a", young)}, waits("m", 1, interactive)), ""},
		{"idle replicas go", func(m *mechanisms) { m.idleUnload = false },
			situation([]*wire.Model{idleModel}, []Runner{rnr("r0", "a", idle("m", 30, time.Minute))}), "unload m@r0"},
		{"a learnt interval preloads", func(m *mechanisms) { m.learntPreload = false },
			situation([]*wire.Model{learnt}, []Runner{rnr("r0", "a")}, Demand{Model: "m", LastUsed: testNow - 10*time.Minute, Interval: 10 * time.Minute}), "load m@r0"},
		{"warm replicas are loaded before their window opens", func(m *mechanisms) { m.warmLead = false },
			situation(manyWarm, []Runner{rnr("r0", "a")}), "load m@r0"},
		{"eviction by need", func(m *mechanisms) { m.evictByNeed = false },
			situation([]*wire.Model{mdl("a", 1, 50), mdl("b", 1, 50), mdl("m", 1, 50)}, []Runner{rnr("r0", "a", idle("a", 50, 80*time.Second), idle("b", 50, time.Minute))}, dueSoon, dueLate, waits("m", 1, interactive)), "unload b@r0"},
		{"no unload while attempts run", func(m *mechanisms) { m.drainFirst = false },
			situation(nil, []Runner{rnr("r0", "a", dropped)}), ""},
		{"room made for a model is kept for it", func(m *mechanisms) { m.roomKept = false },
			situation([]*wire.Model{mdl("old", 1, 60), mdl("x", 1, 60), mdl("y", 1, 60)},
				[]Runner{near(near(rnr("r0", "a", kept), "x", disk), "y", disk), rnr("r1", "b")}, waits("x", 1, batch), waits("y", 1, interactive)), "load y@r1"},
		{"a short queue loads no further replica", func(m *mechanisms) { m.scaleSlack = false },
			situation([]*wire.Model{mdl("m", 2, 30)}, []Runner{rnr("r0", "a", busy("m", 30)), rnr("r1", "b")}, waits("m", 10, interactive)), ""},
		{"a leaving runner gets nothing new", func(m *mechanisms) { m.leavingAvoid = false },
			situation([]*wire.Model{mdl("m", 1, 30)}, []Runner{leaving}, waits("m", 1, interactive)), ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(short(makePlan(&c.in, allMechanisms())), c.want)
			mech := allMechanisms()
			c.off(&mech)
			without := short(makePlan(&c.in, mech))
			is.True(without != c.want) // the mechanism is what makes the plan
		})
	}
}

func TestPlan_Situations(t *testing.T) {
	interactive := wire.Class_CLASS_INTERACTIVE
	old := idle("m", 30, time.Minute)
	old.Version = "0"
	busyOld := busy("m", 30)
	busyOld.Version = "0"
	leavingHolder := rnr("r0", "a", idle("m", 30, time.Minute))
	leavingHolder.Leaving = true
	suspect := rnr("r0", "a", idle("m", 30, time.Minute))
	suspect.Suspect = true
	patient := waits("m", 1, interactive)
	impatient := patient
	impatient.Oldest = testNow - time.Minute
	backlog := waits("m", 10, interactive)
	backlog.Oldest = testNow - 3*time.Second
	quick := mdl("m", 2, 30)
	quick.IdleAfterS = 1
	underWay := Held{OrderID: "o-m1", Model: "m", Version: "1", MemoryMiB: 30, State: Loading}
	pinned := mdl("a", 1, 80)
	pinned.MinReplicas = 1
	second := idle("m", 30, 2*time.Minute)
	second.OrderID = "o-m2"
	adapter := waits("m", 1, interactive)
	adapter.Adapter = "x"
	adapterSpec := []*wire.Adapter{{Name: "x", Model: "m", Version: "1", MemoryMib: 10}}
	withAdapters := func(in Input) Input { in.Spec.Adapters = adapterSpec; return in }

	for _, c := range []struct {
		name   string
		in     Input
		want   string
		drains int
	}{
		{"nothing is wanted, nothing moves",
			situation([]*wire.Model{mdl("m", 1, 30)}, []Runner{rnr("r0", "a", idle("m", 30, time.Hour))}), "", 0},
		{"a version change unloads the idle old one",
			situation([]*wire.Model{mdl("m", 1, 30)}, []Runner{rnr("r0", "a", old)}, patient), "unload m@r0", 0},
		{"a version change loads beside the old one when count and memory allow",
			situation([]*wire.Model{mdl("m", 2, 30)}, []Runner{rnr("r0", "a", busyOld), rnr("r1", "b")}, patient), "load m@r1", 1},
		{"a lowered count takes the least used replica",
			situation([]*wire.Model{mdl("m", 1, 30)}, []Runner{rnr("r0", "a", idle("m", 30, time.Minute)), rnr("r1", "b", second)}), "unload m@r1", 0},
		{"a leaving runner's idle replica frees its slot",
			situation([]*wire.Model{mdl("m", 1, 30)}, []Runner{leavingHolder, rnr("r1", "b")}, patient), "unload m@r0", 0},
		{"a suspect runner's replica is waited for",
			situation([]*wire.Model{mdl("m", 2, 30)}, []Runner{suspect, rnr("r1", "b")}, patient), "", 0},
		{"patience with a suspect runner ends",
			situation([]*wire.Model{mdl("m", 2, 30)}, []Runner{suspect, rnr("r1", "b")}, impatient), "load m@r1", 0},
		{"a replica that the file keeps is no victim",
			situation([]*wire.Model{pinned, mdl("m", 1, 30)}, []Runner{rnr("r0", "a", idle("a", 80, time.Hour))}, patient), "", 0},
		{"a busy second replica is drained for a model that nothing serves",
			situation([]*wire.Model{mdl("a", 2, 80), mdl("m", 1, 30)}, []Runner{rnr("r0", "a", busy("a", 80)), rnr("r1", "b", busy("a", 80))}, patient), "", 1},
		{"a queue that does not drain loads a further replica",
			situation([]*wire.Model{mdl("m", 2, 30)}, []Runner{rnr("r0", "a", busy("m", 30)), rnr("r1", "b")}, backlog), "load m@r1", 0},
		{"a replica under way for a queue makes its sibling not spare",
			situation([]*wire.Model{quick}, []Runner{rnr("r0", "a", idle("m", 30, time.Minute)), rnr("r1", "b", underWay)}, backlog), "", 0},
		{"an adapter follows its model",
			withAdapters(situation([]*wire.Model{mdl("m", 1, 30)}, []Runner{rnr("r0", "a", idle("m", 30, time.Minute))}, adapter)), "load_adapter m:x@r0", 0},
		{"a model is loaded where its adapter fits too",
			withAdapters(situation([]*wire.Model{mdl("m", 1, 30), mdl("a", 1, 65)}, []Runner{rnr("r0", "a", busy("a", 65)), rnr("r1", "b")}, adapter)), "load m@r1", 0},
		{"adapters go along with their model",
			withAdapters(situation([]*wire.Model{mdl("m", 0, 30)}, []Runner{rnr("r0", "a", idle("m", 30, time.Minute), Held{OrderID: "oa", Model: "m", Adapter: "x", Version: "1", MemoryMiB: 10, State: Loaded})})),
			"unload m@r0", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := Make(c.in)
			is.Equal(short(p), c.want)
			is.Equal(len(p.Drains), c.drains)
			is.Equal(violation(c.in, p), "")
		})
	}
}

func TestPlan_GivesEachReplicaSlotAReason(t *testing.T) {
	is := is.New(t)
	in := situation([]*wire.Model{mdl("a", 2, 80), mdl("m", 3, 30)}, []Runner{rnr("r0", "a", busy("a", 80)), rnr("r1", "b")}, waits("m", 20, wire.Class_CLASS_NORMAL))
	in.Budget.StoreStarts = 0
	slots := map[string]int{}
	for _, r := range Make(in).Reasons {
		is.True(r.Text != "")
		slots[r.Model]++
	}
	is.Equal(slots, map[string]int{"a": 2, "m": 3})
}

func TestPlan_DemandThatFlapsLoadsOncePerStay(t *testing.T) {
	is := is.New(t)
	in := situation([]*wire.Model{mdl("a", 1, 80), mdl("b", 1, 80)}, []Runner{rnr("r0", "a")})
	loads := 0
	for i := range 100 { // ten seconds in which the demand changes sides each 100 ms
		in.Now = testNow + time.Duration(i)*100*time.Millisecond
		in.Demand = []Demand{waits([]string{"a", "b"}[i%2], 1, wire.Class_CLASS_INTERACTIVE)}
		p := Make(in)
		for _, o := range p.Orders {
			if o.Kind.IsLoad() {
				loads++
			}
		}
		in = finish(apply(in, p))
	}
	is.True(loads <= 3) // a shortest stay of five seconds allows no more in ten
}
