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

// sim runs plans against a small fake of a cell in virtual time. It is made for
// measuring policies, not upstreams: requests take their time and loads take theirs.
type sim struct {
	now     time.Duration
	rnd     *rand.Rand
	mech    mechanisms
	learner *Learner
	in      Input
	models  map[string]*simModel
	mean    bool
	queue   simQueue
	seq     int
	inStore int
	tokens  float64
	refill  time.Duration
	cold    []float64 // wait of a cold burst's first request over one unqueued load
	waits   []float64 // seconds, of all requests
	idle    float64   // accelerator hours loaded without a request
	loads   int
	drained map[string]bool
}

type simModel struct {
	spec     *wire.Model
	waiting  []simRequest
	last     time.Duration
	rate     float64
	rateAt   time.Duration
	busyTill time.Duration
	asked    time.Duration
	burst    time.Duration
	bursts   int
	interval time.Duration
	oracle   float64 // accelerator hours that the oracle leaves idle
}

type simRequest struct {
	at   time.Duration
	cold time.Duration // one unqueued load, when nothing held the model; else 0
	time time.Duration
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
	// Every so many models have a warm window; together they fill less than half of the
	// memory.
	simWarmEach = 4
)

// simLoad shapes the arrivals.
type simLoad struct {
	span      time.Duration
	idleAfter uint32 // seconds
	regular   float64
	dawn      bool // a quarter of the models burst within 30 s
	warm      bool // and have a warm window for it
	mean      bool // the mean interval stands in for what a Learner knows
}

func newSim(seed uint64, mech mechanisms, l simLoad) *sim {
	s := &sim{
		rnd: rand.New(rand.NewPCG(seed, 77)), mech: mech, learner: NewLearner(),
		models: map[string]*simModel{}, mean: l.mean, tokens: 4, drained: map[string]bool{},
	}
	s.in = Input{Spec: &wire.Spec{}, Settings: DefaultSettings(), Cell: "tay"}
	for i := range simModels {
		m := &wire.Model{
			Name: fmt.Sprintf("m%02d", i), Version: "1", Replicas: 1 + uint32(s.rnd.IntN(2)),
			MemoryMib: 12288 + s.rnd.Uint64N(28672), IdleAfterS: l.idleAfter,
		}
		if l.warm && i%simWarmEach == 0 {
			m.Warm = []*wire.WarmWindow{{FromMinute: 60, UntilMinute: 120, Replicas: 1}}
		}
		s.in.Spec.Models = append(s.in.Spec.Models, m)
		s.models[m.Name] = &simModel{spec: m, busyTill: -1}
	}
	for i := range simRunners {
		s.in.Runners = append(s.in.Runners, s.newRunner(i))
	}
	for i, m := range s.in.Spec.Models {
		s.schedule(s.models[m.Name], l, i)
	}
	s.after(0, s.everySecond)
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

// schedule draws a model's bursts: some come at regular times, the others at random.
func (s *sim) schedule(m *simModel, l simLoad, i int) {
	mean := time.Duration(10+s.rnd.IntN(35)) * time.Minute
	regular := s.rnd.Float64() < l.regular
	at := time.Duration(s.rnd.Int64N(int64(mean)))
	for ; at < l.span; at += s.gap(mean, regular) {
		s.after(at, func() { s.burst(m) })
	}
	if l.dawn && i%simWarmEach == 0 {
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
	r := simRequest{at: s.now, time: service}
	if !s.isHeld(m.spec.Name) {
		r.cold = s.unqueued(m)
	}
	m.rate = m.rate*math.Exp(-float64(s.now-m.rateAt)/float64(30*time.Second)) + 1.0/30
	m.rateAt, m.last = s.now, s.now
	m.waiting = append(m.waiting, r)
	m.note(s.now)
	s.oracle(m, s.now, s.now+service)
	s.serve(m)
	s.plan()
}

// note keeps the mean interval between the starts of bursts, as the grant core does.
func (m *simModel) note(now time.Duration) {
	if m.bursts == 0 || now-m.asked > burstGap {
		if m.bursts > 0 {
			weight := max(0.05, 1/float64(m.bursts))
			m.interval += time.Duration(weight * float64(now-m.burst-m.interval))
		}
		m.burst = now
		m.bursts++
	}
	m.asked = now
}

// oracle adds the idle time of one replica that is loaded exactly when it is needed,
// and unloaded as soon as the applied file allows.
func (s *sim) oracle(m *simModel, from, till time.Duration) {
	if m.busyTill >= 0 && from > m.busyTill {
		idle := min(from-m.busyTill, time.Duration(m.spec.IdleAfterS)*time.Second)
		m.oracle += hours(idle, m.spec.MemoryMib)
	}
	m.busyTill = max(m.busyTill, till)
}

func hours(d time.Duration, mib uint64) float64 { return d.Hours() * float64(mib) / simMemory }

// unqueued is the time of one load from the nearest weights.
func (s *sim) unqueued(m *simModel) time.Duration {
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
		for _, h := range s.in.Runners[i].Held {
			if h.Model == model && h.State != Unloading {
				return true
			}
		}
	}
	return false
}

// serve starts waiting requests on loaded replicas with free slots.
func (s *sim) serve(m *simModel) {
	for len(m.waiting) > 0 {
		r, h := s.freest(m.spec.Name)
		if h == nil {
			return
		}
		req := m.waiting[0]
		m.waiting = m.waiting[1:]
		s.waits = append(s.waits, (s.now - req.at).Seconds())
		if req.cold > 0 {
			s.cold = append(s.cold, float64(s.now-req.at)/float64(req.cold))
		}
		h.Running++
		id, order := r.ID, h.OrderID
		s.after(req.time, func() { s.end(m, id, order) })
	}
}

func (s *sim) freest(model string) (*Runner, *Held) {
	var bestR *Runner
	var best *Held
	for i := range s.in.Runners {
		r := &s.in.Runners[i]
		for j := range r.Held {
			h := &r.Held[j]
			if h.Model != model || h.State != Loaded || h.Running >= simSlots || s.drained[h.OrderID] {
				continue
			}
			if best == nil || h.Running < best.Running {
				bestR, best = r, h
			}
		}
	}
	return bestR, best
}

func (s *sim) end(m *simModel, runner, order string) {
	for i := range findRunner(s.in, runner).Held {
		h := &findRunner(s.in, runner).Held[i]
		if h.OrderID == order {
			h.Running--
			h.LastUsed = s.now
		}
	}
	m.last = s.now
	s.serve(m)
	s.plan()
}

func (s *sim) everySecond() {
	s.plan()
	s.after(time.Second, s.everySecond)
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now + d, s.seq, do})
}

func (s *sim) run(span time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= span {
		e := heap.Pop(&s.queue).(simEvent)
		s.account(e.at - s.now)
		s.now = e.at
		e.do()
	}
}

// account adds the idle time of all that is loaded and runs nothing.
func (s *sim) account(d time.Duration) {
	if d == 0 {
		return
	}
	for i := range s.in.Runners {
		for _, h := range s.in.Runners[i].Held {
			if h.State == Loaded && h.Running == 0 {
				s.idle += hours(d, h.MemoryMiB)
			}
		}
	}
}

func (s *sim) plan() {
	s.in.Now = s.now + 1
	s.in.WallClock = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(s.now)
	s.in.Demand = s.demand()
	if !s.mean {
		s.in.Bursts = s.learner.Observe(s.in.Demand)
	}
	s.tokens = min(4, s.tokens+3*(s.now-s.refill).Seconds())
	s.refill = s.now
	s.in.Budget = Budget{StoreStarts: int(s.tokens), StoreInFlight: s.inStore, StoreMax: 4, AdapterMax: 32}
	p := makePlan(&s.in, s.mech)
	clear(s.drained)
	for _, d := range p.Drains {
		s.drained[d.OrderID] = true
	}
	for _, o := range p.Orders {
		s.order(o)
	}
}

func (s *sim) demand() []Demand {
	var ds []Demand
	for _, spec := range s.in.Spec.Models {
		m := s.models[spec.Name]
		d := Demand{
			Model: spec.Name, Waiting: len(m.waiting), LastUsed: m.last, Class: wire.Class_CLASS_NORMAL,
			Rate: m.rate * math.Exp(-float64(s.now-m.rateAt)/float64(30*time.Second)),
		}
		if s.mean {
			d.Interval = m.interval
		}
		if d.Waiting > 0 {
			d.Oldest, d.Deadline = m.waiting[0].at, m.waiting[0].at+time.Minute
		}
		for i := range s.in.Runners {
			for _, h := range s.in.Runners[i].Held {
				if h.Model == spec.Name {
					d.Running += h.Running
				}
			}
		}
		ds = append(ds, d)
	}
	return ds
}

func (s *sim) order(o Order) {
	r := findRunner(s.in, o.Runner)
	if !o.Kind.IsLoad() {
		i := slices.IndexFunc(r.Held, func(h Held) bool { return h.OrderID == o.Replaces })
		r.Held[i].State, r.Held[i].RoomFor = Unloading, o.RoomFor
		s.after(s.in.Settings.UnloadCost, func() {
			r.Held = slices.DeleteFunc(r.Held, func(h Held) bool { return h.OrderID == o.Replaces })
			r.Checkpoints[CheckpointKey{o.Model, "1"}] = wire.Tier_TIER_MEMORY
			s.plan()
		})
		return
	}
	s.loads++
	s.seq++
	id := fmt.Sprintf("o%d", s.seq)
	r.Held = append(r.Held, Held{OrderID: id, Model: o.Model, Version: "1", MemoryMiB: o.MemoryMiB, State: Loading})
	took := s.in.Settings.LoadCost[s.tier(r, o.Model)]
	if s.tier(r, o.Model) == wire.Tier_TIER_REMOTE {
		s.inStore++
		s.tokens--
		took = time.Duration(float64(took) * max(1, float64(s.inStore)/4))
		s.after(took, func() { s.inStore-- })
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
	for i := range r.Held {
		if h := &r.Held[i]; h.OrderID == id {
			h.State, h.Since, h.LastUsed = Loaded, s.now, s.now
		}
	}
	r.Checkpoints[CheckpointKey{o.Model, "1"}] = min(s.tier(r, o.Model), wire.Tier_TIER_DISK)
	s.serve(s.models[o.Model])
	s.plan()
}

// figures of one run.
type figures struct {
	coldStarts, loads                 int
	coldP50, coldP99, waitP99, idleBy float64
}

func (s *sim) figures() figures {
	oracle := 0.0
	for _, m := range s.models {
		oracle += m.oracle
	}
	return figures{
		coldStarts: len(s.cold), loads: s.loads, coldP50: quantile(s.cold, 0.5), coldP99: quantile(s.cold, 0.99),
		waitP99: quantile(s.waits, 0.99), idleBy: s.idle / oracle,
	}
}

func quantile(xs []float64, q float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(xs))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

var measure = flag.String("measure", "", "scenarios of the policy to measure: part of their names, or all")

// TestMeasure_Policy prints the figures of docs/design/placement.md; it asserts only
// that every wanted model is served.
func TestMeasure_Policy(t *testing.T) {
	off := func(name string, f func(*mechanisms)) variant {
		m := allMechanisms()
		f(&m)
		return variant{name, m}
	}
	all := variant{"all", allMechanisms()}
	anyTier := off("any tier", func(m *mechanisms) { m.nearestTier = false })
	noSlack := off("no slack for queues", func(m *mechanisms) { m.scaleSlack = false })
	scenarios := []scenario{
		{"day, idle after 5 min", simLoad{span: 4 * time.Hour, idleAfter: 300, regular: 0.4}, []variant{
			all, anyTier, noSlack,
			off("no preload", func(m *mechanisms) { m.learntPreload = false }),
			off("no idle unload", func(m *mechanisms) { m.idleUnload = false }),
		}},
		{"day, idle after 5 min, mean interval", simLoad{span: 4 * time.Hour, idleAfter: 300, regular: 0.4, mean: true}, []variant{all}},
		{"day, idle after 30 min", simLoad{span: 4 * time.Hour, idleAfter: 1800, regular: 0.4}, []variant{
			all, anyTier, noSlack,
			off("least recently used", func(m *mechanisms) { m.evictByNeed = false }),
		}},
		{"dawn, warm window", simLoad{span: 2 * time.Hour, idleAfter: 300, dawn: true, warm: true, regular: 0.4}, []variant{
			all, off("no warm lead", func(m *mechanisms) { m.warmLead = false }),
		}},
		{"dawn, no window", simLoad{span: 2 * time.Hour, idleAfter: 300, dawn: true, regular: 0.4}, []variant{
			all, off("no store budget", func(m *mechanisms) { m.storeBudget = false }),
		}},
	}
	seeds := uint64(5)
	if *measure == "" {
		seeds = 1
		scenarios = scenarios[3:4]
		scenarios[0].variants = []variant{all}
		scenarios[0].l.span = 70 * time.Minute
	}
	for _, sc := range scenarios {
		if *measure != "all" && !strings.Contains(sc.name, *measure) {
			continue
		}
		t.Logf("%s\n%-20s %18s %18s %18s %18s %16s %16s", sc.name, "policy", "cold p50 (x load)", "cold p99 (x load)",
			"wait p99 (s)", "idle (x oracle)", "cold starts", "loads")
		for _, v := range sc.variants {
			var fs []figures
			for seed := range seeds {
				s := newSim(seed+1, v.mech, sc.l)
				s.run(sc.l.span + time.Minute)
				fs = append(fs, s.figures())
			}
			t.Logf("%-20s %18s %18s %18s %18s %16s %16s", v.name,
				span(fs, func(f figures) float64 { return f.coldP50 }),
				span(fs, func(f figures) float64 { return f.coldP99 }),
				span(fs, func(f figures) float64 { return f.waitP99 }),
				span(fs, func(f figures) float64 { return f.idleBy }),
				span(fs, func(f figures) float64 { return float64(f.coldStarts) }),
				span(fs, func(f figures) float64 { return float64(f.loads) }))
			if fs[0].coldStarts == 0 {
				t.Fatal("no cold start was served")
			}
		}
	}
}

// variant is a policy to measure.
type variant struct {
	name string
	mech mechanisms
}

// scenario is a load with the policies that matter for it.
type scenario struct {
	name     string
	l        simLoad
	variants []variant
}

// span prints the smallest, the middle and the largest value.
func span(fs []figures, get func(figures) float64) string {
	slices.SortFunc(fs, func(a, b figures) int { return cmp.Compare(get(a), get(b)) })
	return fmt.Sprintf("%.3g/%.3g/%.3g", get(fs[0]), get(fs[len(fs)/2]), get(fs[len(fs)-1]))
}
