package placement

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentiankeel/internal/wire"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

const testNow = time.Hour

func drawSpec(t *rapid.T, models int) *wire.Spec {
	s := &wire.Spec{}
	for i := range models {
		m := &wire.Model{
			Name:       fmt.Sprintf("m%02d", i),
			Version:    rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version"),
			Replicas:   rapid.Uint32Range(0, 3).Draw(t, "replicas"),
			MemoryMib:  rapid.Uint64Range(5, 60).Draw(t, "mem"),
			IdleAfterS: rapid.Uint32Range(0, 100).Draw(t, "idleAfter"),
		}
		if m.Replicas > 0 {
			m.MinReplicas = rapid.Uint32Range(0, 1).Draw(t, "min")
		}
		if rapid.IntRange(0, 5).Draw(t, "zoned") == 0 {
			m.Zones = []string{"a"}
		}
		s.Models = append(s.Models, m)
		for j := range rapid.IntRange(0, 2).Draw(t, "adapters") {
			s.Adapters = append(s.Adapters, &wire.Adapter{
				Model: m.Name, Name: fmt.Sprintf("x%d", j), Version: "1", MemoryMib: rapid.Uint64Range(1, 8).Draw(t, "amem"),
			})
		}
	}
	return s
}

// drawRunner draws a runner and what it holds, within its memory.
func drawRunner(t *rapid.T, i int, s *wire.Spec) Runner {
	r := Runner{
		ID: fmt.Sprintf("r%02d", i), Zone: string(rune('a' + i%3)), MemoryMiB: 100, Slots: 8,
		Leaving:     rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
		Suspect:     rapid.IntRange(0, 9).Draw(t, "suspect") == 0,
		Checkpoints: map[CheckpointKey]wire.Tier{},
	}
	var used uint64
	for _, m := range s.Models {
		if tier := rapid.IntRange(0, 3).Draw(t, "tier"); tier > 0 {
			r.Checkpoints[CheckpointKey{m.Name, m.Version}] = wire.Tier(tier)
		}
		if rapid.IntRange(0, 2).Draw(t, "held") > 0 || used+m.MemoryMib > r.MemoryMiB {
			continue
		}
		alloc := drawAllocation(t, fmt.Sprintf("%s-%s", r.ID, m.Name), m)
		r.Allocations = append(r.Allocations, alloc)
		used += alloc.MemoryMiB
		for _, a := range s.Adapters {
			if a.Model == m.Name && alloc.State == Loaded && used+a.MemoryMib <= r.MemoryMiB && rapid.Bool().Draw(t, "heldAdapter") {
				r.Allocations = append(r.Allocations, Allocation{
					OrderID: alloc.OrderID + a.Name, Model: m.Name, Adapter: a.Name, Version: "1",
					MemoryMiB: a.MemoryMib, State: Loaded, LoadedAt: alloc.LoadedAt, LastUsed: alloc.LastUsed,
				})
				used += a.MemoryMib
			}
		}
	}
	return r
}

func drawAllocation(t *rapid.T, id string, m *wire.Model) Allocation {
	alloc := Allocation{
		OrderID: id, Model: m.Name, Version: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "heldVersion"),
		MemoryMiB: m.MemoryMib,
		State:     AllocationState(rapid.IntRange(int(Loading), int(OutcomeUnknown)).Draw(t, "state")),
		LoadedAt:  testNow - time.Duration(rapid.IntRange(0, 200).Draw(t, "since"))*time.Second,
	}
	if alloc.State == Loaded {
		alloc.LastUsed = testNow - time.Duration(rapid.IntRange(0, 200).Draw(t, "used"))*time.Second
		alloc.Running = max(0, rapid.IntRange(-3, 3).Draw(t, "running"))
	}
	return alloc
}

func drawDemand(t *rapid.T, s *wire.Spec) []Demand {
	var ds []Demand
	add := func(model, adapter string) {
		ds = append(ds, Demand{
			Model: model, Adapter: adapter, Waiting: max(0, rapid.IntRange(-10, 20).Draw(t, "waiting")),
			Oldest:        testNow - time.Duration(rapid.IntRange(0, 10).Draw(t, "oldest"))*time.Second,
			Deadline:      testNow + time.Duration(rapid.IntRange(1, 30).Draw(t, "deadline"))*time.Second,
			Class:         wire.Class(rapid.IntRange(1, 3).Draw(t, "class")),
			Rate:          float64(rapid.IntRange(0, 10).Draw(t, "rate")) / 10,
			LastUsed:      testNow - time.Duration(rapid.IntRange(0, 500).Draw(t, "lastUsed"))*time.Second,
			BurstInterval: time.Duration(max(0, rapid.IntRange(-300, 600).Draw(t, "interval"))) * time.Second,
		})
	}
	for _, m := range s.Models {
		if rapid.Bool().Draw(t, "demand") {
			add(m.Name, "")
		}
		for _, a := range s.Adapters {
			if a.Model == m.Name && rapid.Bool().Draw(t, "adapterDemand") {
				add(m.Name, a.Name)
			}
		}
	}
	return ds
}

func drawInput(t *rapid.T) Input {
	s := drawSpec(t, rapid.IntRange(1, 6).Draw(t, "models"))
	in := Input{
		Now: testNow, WallClock: time.Unix(0, 0), Spec: s, Settings: DefaultSettings(), Demand: drawDemand(t, s),
		Budget: Budget{
			StoreStarts: rapid.IntRange(0, 4).Draw(t, "starts"), StoreMax: 4,
			StoreInFlight: rapid.IntRange(0, 4).Draw(t, "storeInFlight"),
			AdapterMax:    32, AdapterInFlight: rapid.IntRange(28, 32).Draw(t, "adapterInFlight"),
		},
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "runners") {
		in.Runners = append(in.Runners, drawRunner(t, i, s))
	}
	return in
}

// commitOrders returns the input once the plan's orders are committed.
func commitOrders(in Input, p Plan) Input {
	out := in
	out.Runners = make([]Runner, len(in.Runners))
	for i, r := range in.Runners {
		out.Runners[i] = r
		out.Runners[i].Allocations = append([]Allocation(nil), r.Allocations...)
	}
	for n, o := range p.Orders {
		r := findRunner(out, o.Runner)
		if o.Kind.IsLoad() {
			r.Allocations = append(r.Allocations, Allocation{
				OrderID: fmt.Sprintf("new-%d", n), Model: o.Model, Version: o.Version, Adapter: o.Adapter,
				MemoryMiB: o.MemoryMiB, State: Loading,
			})
			if o.Adapter != "" {
				out.Budget.AdapterInFlight++
			} else if o.Tier == wire.Tier_TIER_REMOTE {
				out.Budget.StoreInFlight++
				out.Budget.StoreStarts--
			}
			continue
		}
		for i := range r.Allocations {
			if r.Allocations[i].OrderID == o.LoadOrderID || o.Adapter == "" && r.Allocations[i].Model == o.Model {
				r.Allocations[i].State = Unloading
				r.Allocations[i].EvictedFor = o.EvictedFor
			}
		}
	}
	return out
}

// completeOrders returns the input once all orders in flight are reported as done.
func completeOrders(in Input) Input {
	out := commitOrders(in, Plan{})
	out.Budget.StoreInFlight, out.Budget.AdapterInFlight, out.Budget.StoreStarts = 0, 0, 4
	for i := range out.Runners {
		var allocs []Allocation
		for _, alloc := range out.Runners[i].Allocations {
			if alloc.State == Unloading {
				continue
			}
			if alloc.State != Loaded {
				alloc.State, alloc.LoadedAt, alloc.LastUsed = Loaded, out.Now, out.Now
			}
			allocs = append(allocs, alloc)
		}
		out.Runners[i].Allocations = allocs
	}
	return out
}

// findRunner returns the runner with an id, or nil.
func findRunner(in Input, id string) *Runner {
	for i := range in.Runners {
		if in.Runners[i].ID == id {
			return &in.Runners[i]
		}
	}
	return nil
}

// limitViolation describes the first limit that a plan breaks; "" if it breaks none.
func limitViolation(in Input, p Plan) string {
	after := commitOrders(in, p)
	counts := map[string]int{}
	for _, r := range after.Runners {
		var used, before uint64
		for _, alloc := range r.Allocations {
			used += alloc.MemoryMiB
			if alloc.Adapter == "" {
				counts[alloc.Model]++
			}
		}
		for _, alloc := range findRunner(in, r.ID).Allocations {
			before += alloc.MemoryMiB
		}
		if used > max(before, r.MemoryMiB) {
			return fmt.Sprintf("%s holds %d MiB of %d", r.ID, used, r.MemoryMiB)
		}
	}
	replicas := map[string]int{}
	for _, m := range in.Spec.Models {
		replicas[m.Name] = int(m.Replicas)
	}
	for _, o := range p.Orders {
		if violation := orderViolation(in, o, counts, replicas); violation != "" {
			return violation
		}
	}
	if after.Budget.StoreInFlight > max(in.Budget.StoreInFlight, in.Budget.StoreMax) || after.Budget.StoreStarts < min(0, in.Budget.StoreStarts) {
		return "the weight store's budget is exceeded"
	}
	if after.Budget.AdapterInFlight > max(in.Budget.AdapterInFlight, in.Budget.AdapterMax) {
		return "the adapter budget is exceeded"
	}
	return ""
}

// orderViolation describes the first rule that an order breaks; "" if it breaks none.
func orderViolation(in Input, o Order, counts, replicas map[string]int) string {
	r := findRunner(in, o.Runner)
	if r.Suspect {
		return "order for suspect runner " + r.ID
	}
	if o.Kind.IsLoad() {
		if r.Leaving {
			return "load on leaving runner " + r.ID
		}
		if o.Adapter == "" && counts[o.Model] > replicas[o.Model] {
			return fmt.Sprintf("%d replicas of %s, the file allows %d", counts[o.Model], o.Model, replicas[o.Model])
		}
		for _, alloc := range r.Allocations {
			if alloc.Model == o.Model && alloc.Adapter == o.Adapter {
				return "second load of " + o.Model + " on " + r.ID
			}
		}
		return ""
	}
	for _, alloc := range r.Allocations {
		unloaded := alloc.OrderID == o.LoadOrderID || o.Adapter == "" && alloc.Model == o.Model
		if unloaded && (alloc.Running > 0 || alloc.State != Loaded) {
			return "unload of a busy replica, or of one with an open order, of " + alloc.Model
		}
	}
	return ""
}

func TestRandomPlan_RespectsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		if violation := limitViolation(in, ComputePlan(in)); violation != "" {
			t.Fatal(violation)
		}
	})
}

func TestRandomPlan_Idempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		first := ComputePlan(in)
		if again := ComputePlan(commitOrders(in, first)); len(again.Orders) > 0 {
			t.Fatalf("planning again yields orders\nfirst plan: %v\nsecond plan: %v", first.Orders, again.Orders)
		}
	})
}

// Seeds whose first input has yielded orders on planning again, for one of three faults:
// a load that waited for the weight store reserved memory on the other of two equal
// runners once a less urgent load had started; a new replica made another one of its
// model evictable for a model that had found no room; a load took memory whose
// reservation had made another load wait.
func TestRandomPlan_RegressionSeeds(t *testing.T) {
	defer func(seed, checks string) {
		_ = flag.Set("rapid.seed", seed)
		_ = flag.Set("rapid.checks", checks)
	}(flag.Lookup("rapid.seed").Value.String(), flag.Lookup("rapid.checks").Value.String())
	_ = flag.Set("rapid.checks", "1")
	for _, seed := range []string{
		"361818505", "8419357", "10028484", "811420480", "667531046", "5599537", "838103218", "584734511",
	} {
		_ = flag.Set("rapid.seed", seed)
		t.Run(seed, TestRandomPlan_Idempotent)
	}
}

func TestRandomPlan_Converges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		for range 20 {
			p := ComputePlan(in)
			if len(p.Orders) == 0 && ordersInFlight(in) == 0 {
				return
			}
			if violation := limitViolation(in, p); violation != "" {
				t.Fatal(violation)
			}
			in = completeOrders(commitOrders(in, p))
		}
		t.Fatalf("orders remain after 20 plans: %v", ComputePlan(in).Orders)
	})
}

func ordersInFlight(in Input) int {
	n := 0
	for _, r := range in.Runners {
		for _, alloc := range r.Allocations {
			if alloc.State != Loaded {
				n++
			}
		}
	}
	return n
}

// A runner that becomes suspect and recovers must cause no orders: nothing on it is
// unloaded, and nothing that it holds is loaded elsewhere.
func TestRandomPlan_FlappingHeartbeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		for i := range in.Demand {
			in.Demand[i].Waiting = 0
			in.Demand[i].BurstInterval = 0
		}
		for i := range in.Runners {
			in.Runners[i].Suspect = false
		}
		for range 20 {
			in = completeOrders(commitOrders(in, ComputePlan(in)))
		}
		if len(ComputePlan(in).Orders) > 0 {
			t.Skip("orders remain after 20 plans")
		}
		for i := range in.Runners {
			in.Runners[i].Suspect = true
			if p := ComputePlan(in); len(p.Orders) > 0 {
				t.Fatalf("orders after %s became suspect: %v", in.Runners[i].ID, p.Orders)
			}
			in.Runners[i].Suspect = false
			if p := ComputePlan(in); len(p.Orders) > 0 {
				t.Fatalf("orders after %s recovered: %v", in.Runners[i].ID, p.Orders)
			}
		}
	})
}
