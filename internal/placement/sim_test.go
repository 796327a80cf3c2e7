package placement

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gentiankeel/internal/wire"
)

// sim runs plans against a simulated cell in virtual time. It measures the planner and
// does not model upstreams beyond the time that requests and loads take.
type sim struct {
	now             time.Duration
	rnd             *rand.Rand
	features        featureSet
	detector        *BurstDetector
	in              Input
	models          map[string]*simModel
	useMeanInterval bool
	queue           simQueue
	seq             int
	storeInFlight   int
	storeTokens     float64       // loads that may start under the store's rate limit
	refilledAt      time.Duration // when storeTokens was last refilled
	coldWaits       []float64     // waits of requests whose model no runner held, each divided by the time of one unqueued load
	waits           []float64     // seconds, of all requests
	idleHours       float64       // accelerator hours in which a loaded model ran nothing
	loads           int
	draining        map[string]bool
}

type simModel struct {
	spec            *wire.Model
	waiting         []simRequest
	lastUsed        time.Duration
	rate            float64
	rateUpdated     time.Duration
	busyUntil       time.Duration
	lastRequest     time.Duration
	lastBurst       time.Duration
	bursts          int
	meanInterval    time.Duration
	oracleIdleHours float64 // idle accelerator hours of an ideal replica
}

type simRequest struct {
	at       time.Duration
	loadTime time.Duration // time of one unqueued load if nothing held the model, else 0
	service  time.Duration
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

const (
	simMemory  = 81920 // MiB
	simSlots   = 8
	simModels  = 50
	simRunners = 9
	// Every simWarmEvery-th model has a warm window; together they fill less than half
	// of the memory.
	simWarmEvery = 4
)

// simLoad describes the arrivals.
type simLoad struct {
	duration        time.Duration
	idleAfter       uint32  // seconds
	regular         float64 // share of models whose bursts come at regular intervals
	morningPeak     bool    // every simWarmEvery-th model has a burst within the same 30 s
	warm            bool    // these models have a warm window for it
	useMeanInterval bool    // plan by the mean interval instead of learned burst patterns
}

func newSim(seed uint64, f featureSet, l simLoad) *sim {
	s := &sim{
		rnd: rand.New(rand.NewPCG(seed, 77)), features: f, detector: NewBurstDetector(),
		models: map[string]*simModel{}, useMeanInterval: l.useMeanInterval, storeTokens: 4, draining: map[string]bool{},
	}
	s.in = Input{Spec: &wire.Spec{}, Settings: DefaultSettings(), Cell: "tay"}
	for i := range simModels {
		m := &wire.Model{
			Name: fmt.Sprintf("m%02d", i), Version: "1", Replicas: 1 + uint32(s.rnd.IntN(2)),
			MemoryMib: 12288 + s.rnd.Uint64N(28672), IdleAfterS: l.idleAfter,
		}
		if l.warm && i%simWarmEvery == 0 {
			m.Warm = []*wire.WarmWindow{{FromMinute: 60, UntilMinute: 120, Replicas: 1}}
		}
		s.in.Spec.Models = append(s.in.Spec.Models, m)
		s.models[m.Name] = &simModel{spec: m, busyUntil: -1}
	}
	for i := range simRunners {
		s.in.Runners = append(s.in.Runners, s.newRunner(i))
	}
	for i, m := range s.in.Spec.Models {
		s.schedule(s.models[m.Name], l, i)
	}
	s.after(0, s.planEverySecond)
	return s
}

func (s *sim) newRunner(i int) Runner {
	r := Runner{
		ID: fmt.Sprintf("r%02d", i), Zone: string(rune('a' + i%3)), MemoryMiB: simMemory, Slots: simSlots,
		Checkpoints: map[CheckpointKey]wire.Tier{},
	}
	for _, m := range s.in.Spec.Models {
		switch x := s.rnd.Float64(); {
		case x < 0.05:
			r.Checkpoints[CheckpointKey{m.Name, "1"}] = wire.Tier_TIER_MEMORY
		case x < 0.25:
			r.Checkpoints[CheckpointKey{m.Name, "1"}] = wire.Tier_TIER_DISK
		}
	}
	return r
}

// schedule draws a model's bursts, at regular intervals for some models and at random
// for the others.
func (s *sim) schedule(m *simModel, l simLoad, i int) {
	mean := time.Duration(10+s.rnd.IntN(35)) * time.Minute
	regular := s.rnd.Float64() < l.regular
	at := time.Duration(s.rnd.Int64N(int64(mean)))
	for ; at < l.duration; at += s.gap(mean, regular) {
		s.after(at, func() { s.burst(m) })
	}
	if l.morningPeak && i%simWarmEvery == 0 {
		s.after(time.Hour+time.Duration(s.rnd.Int64N(int64(30*time.Second))), func() { s.burst(m) })
	}
}

func (s *sim) gap(mean time.Duration, regular bool) time.Duration {
	if regular {
		return time.Duration(float64(mean) * (1 + 0.03*s.rnd.NormFloat64()))
	}
	return time.Duration(float64(mean) * s.rnd.ExpFloat64())
}

func (s *sim) burst(m *simModel) {
	for range 1 + s.rnd.IntN(15) {
		service := time.Duration(float64(3*time.Second) * math.Exp(0.7*s.rnd.NormFloat64()))
		s.after(time.Duration(s.rnd.Int64N(int64(2*time.Second))), func() { s.arrive(m, service) })
	}
}

func (s *sim) arrive(m *simModel, service time.Duration) {
	r := simRequest{at: s.now, service: service}
	if !s.isHeld(m.spec.Name) {
		r.loadTime = s.unqueuedLoad(m)
	}
	m.rate = m.rate*math.Exp(-float64(s.now-m.rateUpdated)/float64(30*time.Second)) + 1.0/30
	m.rateUpdated, m.lastUsed = s.now, s.now
	m.waiting = append(m.waiting, r)
	m.recordRequest(s.now)
	s.addOracleIdle(m, s.now, s.now+service)
	s.serve(m)
	s.plan()
}

// recordRequest keeps the mean interval between the starts of bursts, as package grant
// does.
func (m *simModel) recordRequest(now time.Duration) {
	if m.bursts == 0 || now-m.lastRequest > burstGap {
		if m.bursts > 0 {
			weight := max(0.05, 1/float64(m.bursts))
			m.meanInterval += time.Duration(weight * float64(now-m.lastBurst-m.meanInterval))
		}
		m.lastBurst = now
		m.bursts++
	}
	m.lastRequest = now
}

// addOracleIdle adds the idle time of an ideal replica, which is loaded exactly when it
// is needed and unloaded as soon as the applied file allows.
func (s *sim) addOracleIdle(m *simModel, from, until time.Duration) {
	if m.busyUntil >= 0 && from > m.busyUntil {
		idle := min(from-m.busyUntil, time.Duration(m.spec.IdleAfterS)*time.Second)
		m.oracleIdleHours += hours(idle, m.spec.MemoryMib)
	}
	m.busyUntil = max(m.busyUntil, until)
}

// hours returns the accelerator hours that a replica takes up in a time, by its share of a
// runner's memory.
func hours(d time.Duration, mib uint64) float64 { return d.Hours() * float64(mib) / simMemory }

// unqueuedLoad returns the time of one load from the nearest weights.
func (s *sim) unqueuedLoad(m *simModel) time.Duration {
	best := wire.Tier_TIER_REMOTE
	for i := range s.in.Runners {
		if t, ok := s.in.Runners[i].Checkpoints[CheckpointKey{m.spec.Name, "1"}]; ok {
			best = min(best, t)
		}
	}
	return s.in.Settings.LoadCost[best]
}

func (s *sim) isHeld(model string) bool {
	for i := range s.in.Runners {
		for _, alloc := range s.in.Runners[i].Allocations {
			if alloc.Model == model && alloc.State != Unloading {
				return true
			}
		}
	}
	return false
}

// serve starts waiting requests on loaded replicas with free slots.
func (s *sim) serve(m *simModel) {
	for len(m.waiting) > 0 {
		r, alloc := s.leastBusy(m.spec.Name)
		if alloc == nil {
			return
		}
		req := m.waiting[0]
		m.waiting = m.waiting[1:]
		s.waits = append(s.waits, (s.now - req.at).Seconds())
		if req.loadTime > 0 {
			s.coldWaits = append(s.coldWaits, float64(s.now-req.at)/float64(req.loadTime))
		}
		alloc.Running++
		id, order := r.ID, alloc.OrderID
		s.after(req.service, func() { s.endRequest(m, id, order) })
	}
}

// leastBusy returns the loaded replica with a free slot that runs the fewest requests.
func (s *sim) leastBusy(model string) (*Runner, *Allocation) {
	var bestR *Runner
	var best *Allocation
	for i := range s.in.Runners {
		r := &s.in.Runners[i]
		for j := range r.Allocations {
			alloc := &r.Allocations[j]
			if alloc.Model != model || alloc.State != Loaded || alloc.Running >= simSlots || s.draining[alloc.OrderID] {
				continue
			}
			if best == nil || alloc.Running < best.Running {
				bestR, best = r, alloc
			}
		}
	}
	return bestR, best
}

func (s *sim) endRequest(m *simModel, runner, order string) {
	for i := range findRunner(s.in, runner).Allocations {
		alloc := &findRunner(s.in, runner).Allocations[i]
		if alloc.OrderID == order {
			alloc.Running--
			alloc.LastUsed = s.now
		}
	}
	m.lastUsed = s.now
	s.serve(m)
	s.plan()
}

func (s *sim) planEverySecond() {
	s.plan()
	s.after(time.Second, s.planEverySecond)
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now + d, s.seq, do})
}

func (s *sim) run(duration time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= duration {
		e := heap.Pop(&s.queue).(simEvent)
		s.accountIdle(e.at - s.now)
		s.now = e.at
		e.do()
	}
}

// accountIdle adds a span d of virtual time to the idle hours of everything that is
// loaded and runs nothing.
func (s *sim) accountIdle(d time.Duration) {
	if d == 0 {
		return
	}
	for i := range s.in.Runners {
		for _, alloc := range s.in.Runners[i].Allocations {
			if alloc.State == Loaded && alloc.Running == 0 {
				s.idleHours += hours(d, alloc.MemoryMiB)
			}
		}
	}
}

func (s *sim) plan() {
	s.in.Now = s.now + 1
	s.in.WallClock = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(s.now)
	s.in.Demand = s.demand()
	if !s.useMeanInterval {
		s.in.Bursts = s.detector.Observe(s.in.Demand)
	}
	s.storeTokens = min(4, s.storeTokens+3*(s.now-s.refilledAt).Seconds())
	s.refilledAt = s.now
	s.in.Budget = Budget{StoreStarts: int(s.storeTokens), StoreInFlight: s.storeInFlight, StoreMax: 4, AdapterMax: 32}
	p := planOnce(&s.in, s.features)
	clear(s.draining)
	for _, d := range p.Drains {
		s.draining[d.OrderID] = true
	}
	for _, o := range p.Orders {
		s.carryOut(o)
	}
}

func (s *sim) demand() []Demand {
	var ds []Demand
	for _, spec := range s.in.Spec.Models {
		m := s.models[spec.Name]
		d := Demand{
			Model: spec.Name, Waiting: len(m.waiting), LastUsed: m.lastUsed, Class: wire.Class_CLASS_NORMAL,
			Rate: m.rate * math.Exp(-float64(s.now-m.rateUpdated)/float64(30*time.Second)),
		}
		if s.useMeanInterval {
			d.BurstInterval = m.meanInterval
		}
		if d.Waiting > 0 {
			d.Oldest, d.Deadline = m.waiting[0].at, m.waiting[0].at+time.Minute
		}
		for i := range s.in.Runners {
			for _, alloc := range s.in.Runners[i].Allocations {
				if alloc.Model == spec.Name {
					d.Running += alloc.Running
				}
			}
		}
		ds = append(ds, d)
	}
	return ds
}

func (s *sim) carryOut(o Order) {
	r := findRunner(s.in, o.Runner)
	if !o.Kind.IsLoad() {
		i := slices.IndexFunc(r.Allocations, func(alloc Allocation) bool { return alloc.OrderID == o.LoadOrderID })
		r.Allocations[i].State, r.Allocations[i].EvictedFor = Unloading, o.EvictedFor
		s.after(s.in.Settings.UnloadCost, func() {
			r.Allocations = slices.DeleteFunc(r.Allocations, func(alloc Allocation) bool { return alloc.OrderID == o.LoadOrderID })
			r.Checkpoints[CheckpointKey{o.Model, "1"}] = wire.Tier_TIER_MEMORY
			s.plan()
		})
		return
	}
	s.loads++
	s.seq++
	id := fmt.Sprintf("o%d", s.seq)
	r.Allocations = append(r.Allocations, Allocation{OrderID: id, Model: o.Model, Version: "1", MemoryMiB: o.MemoryMiB, State: Loading})
	took := s.in.Settings.LoadCost[s.tier(r, o.Model)]
	if s.tier(r, o.Model) == wire.Tier_TIER_REMOTE {
		s.storeInFlight++
		s.storeTokens--
		took = time.Duration(float64(took) * max(1, float64(s.storeInFlight)/4))
		s.after(took, func() { s.storeInFlight-- })
	}
	s.after(took, func() { s.loaded(o, id) })
}

func (s *sim) tier(r *Runner, model string) wire.Tier {
	if t, ok := r.Checkpoints[CheckpointKey{model, "1"}]; ok {
		return t
	}
	return wire.Tier_TIER_REMOTE
}

func (s *sim) loaded(o Order, id string) {
	r := findRunner(s.in, o.Runner)
	for i := range r.Allocations {
		if alloc := &r.Allocations[i]; alloc.OrderID == id {
			alloc.State, alloc.LoadedAt, alloc.LastUsed = Loaded, s.now, s.now
		}
	}
	r.Checkpoints[CheckpointKey{o.Model, "1"}] = min(s.tier(r, o.Model), wire.Tier_TIER_DISK)
	s.serve(s.models[o.Model])
	s.plan()
}

// results are the measurements of one run.
type results struct {
	coldStarts, loads                    int
	coldP50, coldP99, waitP99, idleRatio float64
}

func (s *sim) results() results {
	oracle := 0.0
	for _, m := range s.models {
		oracle += m.oracleIdleHours
	}
	return results{
		coldStarts: len(s.coldWaits), loads: s.loads, coldP50: quantile(s.coldWaits, 0.5), coldP99: quantile(s.coldWaits, 0.99),
		waitP99: quantile(s.waits, 0.99), idleRatio: s.idleHours / oracle,
	}
}

func quantile(xs []float64, q float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(xs))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

var measure = flag.String("measure", "", "scenarios to measure: part of their names, or \"all\"")

// TestMeasure_Policy prints the measurements behind docs/design/placement.md. It
// asserts only that cold starts are served.
func TestMeasure_Policy(t *testing.T) {
	without := func(name string, disable func(*featureSet)) variant {
		features := allFeatures()
		disable(&features)
		return variant{name, features}
	}
	all := variant{"all", allFeatures()}
	anyTier := without("any tier", func(f *featureSet) { f.nearestTier = false })
	noSlack := without("no slack for queues", func(f *featureSet) { f.queueSlack = false })
	scenarios := []scenario{
		{"day, idle after 5 min", simLoad{duration: 4 * time.Hour, idleAfter: 300, regular: 0.4}, []variant{
			all, anyTier, noSlack,
			without("no preload", func(f *featureSet) { f.burstPreload = false }),
			without("no idle unload", func(f *featureSet) { f.idleUnload = false }),
		}},
		{"day, idle after 5 min, mean interval", simLoad{duration: 4 * time.Hour, idleAfter: 300, regular: 0.4, useMeanInterval: true}, []variant{all}},
		{"day, idle after 30 min", simLoad{duration: 4 * time.Hour, idleAfter: 1800, regular: 0.4}, []variant{
			all, anyTier, noSlack,
			without("least recently used", func(f *featureSet) { f.evictByReuse = false }),
		}},
		{"dawn, warm window", simLoad{duration: 2 * time.Hour, idleAfter: 300, morningPeak: true, warm: true, regular: 0.4}, []variant{
			all, without("no warm lead", func(f *featureSet) { f.warmLead = false }),
		}},
		{"dawn, no window", simLoad{duration: 2 * time.Hour, idleAfter: 300, morningPeak: true, regular: 0.4}, []variant{
			all, without("no store budget", func(f *featureSet) { f.storeBudget = false }),
		}},
	}
	seeds := uint64(5)
	if *measure == "" {
		seeds = 1
		scenarios = scenarios[3:4]
		scenarios[0].variants = []variant{all}
		scenarios[0].load.duration = 70 * time.Minute
	}
	for _, sc := range scenarios {
		if *measure != "all" && !strings.Contains(sc.name, *measure) {
			continue
		}
		t.Logf("%s\n%-20s %18s %18s %18s %18s %16s %16s", sc.name, "policy", "cold p50 (x load)", "cold p99 (x load)",
			"wait p99 (s)", "idle (x oracle)", "cold starts", "loads")
		for _, v := range sc.variants {
			var rs []results
			for seed := range seeds {
				s := newSim(seed+1, v.features, sc.load)
				s.run(sc.load.duration + time.Minute)
				rs = append(rs, s.results())
			}
			t.Logf("%-20s %18s %18s %18s %18s %16s %16s", v.name,
				spread(rs, func(r results) float64 { return r.coldP50 }),
				spread(rs, func(r results) float64 { return r.coldP99 }),
				spread(rs, func(r results) float64 { return r.waitP99 }),
				spread(rs, func(r results) float64 { return r.idleRatio }),
				spread(rs, func(r results) float64 { return float64(r.coldStarts) }),
				spread(rs, func(r results) float64 { return float64(r.loads) }))
			if rs[0].coldStarts == 0 {
				t.Fatal("no cold start was served")
			}
		}
	}
}

// variant is a planner configuration to measure.
type variant struct {
	name     string
	features featureSet
}

// scenario is a load and the variants to measure under it.
type scenario struct {
	name     string
	load     simLoad
	variants []variant
}

// spread formats the smallest, the median and the largest value.
func spread(rs []results, get func(results) float64) string {
	slices.SortFunc(rs, func(a, b results) int { return cmp.Compare(get(a), get(b)) })
	return fmt.Sprintf("%.3g/%.3g/%.3g", get(rs[0]), get(rs[len(rs)/2]), get(rs[len(rs)-1]))
}
