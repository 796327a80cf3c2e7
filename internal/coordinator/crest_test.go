package coordinator

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gentiankeel/internal/dispatch"
	"gentiankeel/internal/fleet"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/wire"
)

// crest is a simulation, in virtual time, of the cores of a large deployment: entries, the acting
// coordinator with its feed, and runners that share a weight store. The coordinator takes time for what
// it does, by the costs below, so that work that multiplies delays all else.
type crest struct {
	size    crestSize
	rng     *rand.Rand
	now     time.Duration
	queue   crestQueue
	order   uint64
	entries []*crestEntry
	byName  map[string]*crestEntry
	runners map[string]*crestRunner
	core    *fleet.Core
	feed    *feed

	inbox    []func() // what the coordinator was given to do
	working  bool     // it does some of it
	loading  int      // loads from the store
	requests map[uint64]*crestRequest
	nextID   uint64

	// By second.
	busy             map[int]time.Duration // of the coordinator
	earned, asked    map[int]float64       // worth, by the second of arrival
	plain, plainGood map[int]int
	// Totals.
	updates, deadlines, served, refused int
	mostWaiting                         int
}

type crestSize struct{ entries, runners, models, hot int }

// Costs of the coordinator, from profiles of the bench's days.
const (
	costPerInput    = 40 * time.Microsecond
	costPerUpdate   = 40 * time.Microsecond
	costPerState    = 2 * time.Microsecond
	costPerExamined = 100 * time.Nanosecond
	// controlCores is what a control VM has of a core.
	controlCores = 0.96
)

type crestEntry struct {
	name      string
	core      *dispatch.Core
	last      *wire.EntryReport
	scheduled bool
}

type crestRunner struct {
	models   map[string]bool
	onDisk   map[string]bool
	sequence uint64
	busy     bool
	running  int
}

type crestRequest struct {
	entry   *crestEntry
	class   *crestClass
	arrived time.Duration
	decided bool
}

type crestClass struct {
	service       string
	rate          float64 // a second
	aim, deadline time.Duration
	worth         float64
	priority      int
	tokens        int // of output
	prompt        int
	rare          bool
}

var crestClasses = []*crestClass{
	{"llm", 246, time.Second, 12 * time.Second, 1.9, 1, 171, 1460, false},
	{"llm", 80, 2500 * time.Millisecond, 25 * time.Second, 12.9, 1, 171, 1460, true},
	{"llm", 151, 800 * time.Millisecond, 6 * time.Second, 1.3, 0, 72, 646, false},
	{"desk", 151, 300 * time.Millisecond, 1500 * time.Millisecond, 1, 1, 0, 0, false},
}

type crestEvent struct {
	at    time.Duration
	order uint64
	do    func()
}

type crestQueue []crestEvent

func (q crestQueue) Len() int { return len(q) }
func (q crestQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q crestQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *crestQueue) Push(x any)   { *q = append(*q, x.(crestEvent)) }
func (q *crestQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (s *crest) at(at time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, crestEvent{at, s.order, do})
}

func (s *crest) after(d time.Duration, do func()) { s.at(s.now+d, do) }

func crestModel(i int) string { return fmt.Sprintf("m%04d", i) }

func newCrest(size crestSize, seed uint64) *crest {
	s := &crest{size: size, rng: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*crestEntry{}, runners: map[string]*crestRunner{},
		feed: newFeed(), requests: map[uint64]*crestRequest{}, busy: map[int]time.Duration{}, earned: map[int]float64{}, asked: map[int]float64{},
		plain: map[int]int{}, plainGood: map[int]int{}}
	engine := &routing.Engine{Slots: 16, KVCacheTokens: 80_000, WeightMemoryMB: 230_000, AdapterSlots: 8, StoreLoadsPerSecond: 100}
	for i := range size.models {
		engine.Models = append(engine.Models, routing.Model{Name: crestModel(i), WeightsMB: 72_700, StoreLoadTime: 7800 * time.Millisecond,
			DiskLoadTime: 840 * time.Millisecond, MemoryLoadTime: 630 * time.Millisecond})
	}
	config := &routing.Config{Version: 1, Services: []routing.Service{{Name: "llm", Engine: engine}, {Name: "desk"}}}
	s.core = fleet.New(fleet.DefaultSettings())
	s.feed.setPlainServices(map[string]bool{"desk": true})
	s.core.Step(0, fleet.RoutingChanged{Config: config})
	for i := range size.entries {
		e := &crestEntry{name: fmt.Sprintf("e%03d", i), last: &wire.EntryReport{}}
		e.core = dispatch.New(dispatch.Options{Settings: dispatch.DefaultSettings(), Zone: crestZone(i), Seed: seed + uint64(i)})
		e.core.SetConfig(0, config)
		s.entries, s.byName[e.name] = append(s.entries, e), e
		s.feed.attach(e.name)
		s.core.Step(0, fleet.EntryReport{Entry: e.name})
	}
	for i := range size.runners {
		r := &crestRunner{models: map[string]bool{}, onDisk: map[string]bool{}}
		s.runners[fmt.Sprintf("r%03d", i)] = r
		for j := range 3 { // hot models on several runners, then the rare ones as far as there is room
			n := i*3 + j
			if n < 2*size.hot {
				n /= 2
			} else {
				n = (n - size.hot) % size.models
			}
			r.models[crestModel(n)], r.onDisk[crestModel(n)] = true, true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.runners)) {
		s.heartbeats(id)
	}
	for i := range 9 {
		s.deskHeartbeats(fmt.Sprintf("d%d", i))
	}
	s.tick()
	for _, e := range s.entries {
		s.entryTick(e)
	}
	return s
}

func crestZone(i int) string { return fmt.Sprintf("z%d", i%5) }

const crestHeartbeat = 1200 * time.Millisecond

func (s *crest) heartbeats(id string) {
	seq := uint64(0)
	zone := crestZone(int(id[len(id)-1] - '0'))
	var beat func()
	beat = func() {
		seq++
		state := &wire.UpstreamState{Id: id, BornUnixMs: 1000, Sequence: seq, Service: "llm", Address: id + ":1", Zone: zone, Slots: 16,
			Phase: wire.UpstreamPhase_PHASE_READY, OnDisk: slices.Sorted(maps.Keys(s.runners[id].onDisk))}
		for _, m := range slices.Sorted(maps.Keys(s.runners[id].models)) {
			state.Models = append(state.Models, &wire.HeldModel{Name: m, Version: 1})
		}
		s.input(fleet.HeartbeatReceived{State: state})
		s.after(crestHeartbeat, beat)
	}
	s.at(time.Duration(s.rng.Int64N(int64(crestHeartbeat))), beat)
}

func (s *crest) deskHeartbeats(id string) {
	seq := uint64(0)
	var beat func()
	beat = func() {
		seq++
		s.input(fleet.HeartbeatReceived{State: &wire.UpstreamState{Id: id, BornUnixMs: 1000, Sequence: seq, Service: "desk", Address: id + ":1",
			Zone: "z0", Slots: 6, Phase: wire.UpstreamPhase_PHASE_READY}})
		s.after(crestHeartbeat, beat)
	}
	s.at(time.Duration(s.rng.Int64N(int64(crestHeartbeat))), beat)
}

func (s *crest) tick() {
	s.input(fleet.Tick{})
	s.after(tickInterval, s.tick)
}

// entryTick re-evaluates what waits at an entry, as its shell does.
func (s *crest) entryTick(e *crestEntry) {
	s.decide(e, e.core.Tick(s.now))
	s.after(50*time.Millisecond, func() { s.entryTick(e) })
}

// input gives an event to the coordinator, which handles it once it has done what came before.
func (s *crest) input(ev fleet.Event) {
	s.work(func() { s.step(ev) })
}

// work runs do when the coordinator has done what came before, and charges what it costs.
func (s *crest) work(do func()) {
	s.inbox = append(s.inbox, do)
	if !s.working {
		s.working = true
		s.after(0, s.workOn)
	}
}

// workOn does what was given to the coordinator first, and goes on after the time that it takes.
func (s *crest) workOn() {
	do := s.inbox[0]
	s.inbox = s.inbox[1:]
	updates, filtered, examined := s.updates, s.feed.filtered, s.core.Examined()
	do()
	cost := costPerInput + time.Duration(s.updates-updates)*costPerUpdate + time.Duration(s.feed.filtered-filtered)*costPerState +
		time.Duration(s.core.Examined()-examined)*costPerExamined
	cost = time.Duration(float64(cost) / controlCores)
	s.busy[int(s.now/time.Second)] += cost
	s.after(cost, func() {
		if s.working = len(s.inbox) > 0; s.working {
			s.workOn()
		}
	})
}

func (s *crest) step(ev fleet.Event) {
	pub := newPublication(1)
	for _, a := range s.core.Step(s.now, ev) {
		switch a := a.(type) {
		case fleet.Publish:
			s.feed.addState(pub, a)
		case fleet.PublishLoads:
			pub.update.Loads, pub.everyone = a.Loads, true
			pub.update.ReportMs, pub.update.Entries = uint32(s.core.ReportInterval().Milliseconds()), uint32(len(s.entries))
		case fleet.PublishWaits:
			s.feed.addWaits(pub, a)
		case fleet.PublishSoftware:
			pub.update.HasSoftware, pub.update.Software, pub.everyone = true, a.Software, true
		case fleet.SendOrder:
			s.carryOut(a)
		case fleet.ReadReport:
			s.after(3*time.Millisecond, func() { s.input(s.report(a)) })
		}
	}
	updates := s.feed.updates(pub, s.core)
	for _, entry := range slices.Sorted(maps.Keys(updates)) {
		s.send(entry, updates[entry])
	}
}

func (s *crest) send(entry string, up *wire.FleetUpdate) {
	s.updates++
	e := s.byName[entry]
	s.after(2*time.Millisecond, func() { s.decide(e, e.core.Apply(s.now, up)) })
}

func (s *crest) report(a fleet.ReadReport) fleet.ReportReceived {
	r := s.runners[a.Upstream]
	rep := fleet.Report{Busy: r.busy, Sequence: r.sequence, OnDisk: slices.Sorted(maps.Keys(r.onDisk))}
	for _, m := range slices.Sorted(maps.Keys(r.models)) {
		rep.Models = append(rep.Models, &wire.HeldModel{Name: m, Version: 1})
	}
	return fleet.ReportReceived{Upstream: a.Upstream, BornUnixMs: 1000, Report: rep}
}

// carryOut has a runner carry out an order. Beyond six loads at once the store slows down.
func (s *crest) carryOut(a fleet.SendOrder) {
	s.after(time.Millisecond, func() {
		r := s.runners[a.Upstream]
		result := fleet.OrderAccepted
		if r.busy || a.Order.ExpectedSequence != r.sequence {
			result = fleet.OrderConflict
		} else {
			r.sequence++
			r.busy = true
			took := 10 * time.Millisecond
			switch {
			case a.Order.Unload:
			case r.onDisk[a.Order.Model]:
				took = 840 * time.Millisecond
			default:
				s.loading++
				took = time.Duration(float64(7800*time.Millisecond) * max(1, float64(s.loading)/6))
				s.after(took, func() { s.loading-- })
			}
			if a.Order.Unload {
				delete(r.models, a.Order.Model)
			}
			s.after(took, func() {
				r.busy = false
				if !a.Order.Unload {
					r.models[a.Order.Model], r.onDisk[a.Order.Model] = true, true
				}
			})
		}
		s.after(time.Millisecond, func() {
			s.input(fleet.OrderAnswered{Upstream: a.Upstream, BornUnixMs: 1000, Result: result})
		})
	})
}

// signal schedules an entry's next report, as its shell does.
func (s *crest) signal(e *crestEntry) {
	if e.scheduled {
		return
	}
	e.scheduled = true
	delay := 4 * time.Millisecond
	if e.core.Waiting() == 0 {
		delay = s.core.ReportInterval()
	}
	s.after(delay, func() {
		e.scheduled = false
		next := e.core.Report(s.now)
		delta := dispatch.Delta(e.last, next)
		e.last = next
		if delta == nil {
			return
		}
		s.after(2*time.Millisecond, func() {
			s.work(func() {
				if added := s.feed.follow(e.name, delta.Demand); len(added) > 0 {
					if up := s.feed.followUp(e.name, s.core, 1, added); up != nil {
						s.send(e.name, up)
					}
				}
				s.step(entryReport(e.name, delta))
			})
		})
	})
}

// arrive submits requests of a class until end; during the burst those for rare models come more often.
func (s *crest) arrive(c *crestClass, burstFrom, burstUntil, end time.Duration, burst float64) {
	rate := c.rate * float64(s.size.entries) / 295
	if c.rare && s.now >= burstFrom && s.now < burstUntil {
		rate *= burst
	}
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now >= end {
			return
		}
		s.submit(c)
		s.arrive(c, burstFrom, burstUntil, end, burst)
	})
}

func (s *crest) submit(c *crestClass) {
	e := s.entries[s.rng.IntN(len(s.entries))]
	s.nextID++
	id := s.nextID
	req := dispatch.SlotRequest{ID: id, Service: c.service, Priority: c.priority, PromptTokens: c.prompt, OutputTokens: c.tokens,
		Deadline: s.now + c.deadline, MinServeTime: 100 * time.Millisecond}
	if c.service == "llm" {
		req.Model = crestModel(s.rng.IntN(s.size.hot))
		if c.rare {
			req.Model = crestModel(s.size.hot + s.rng.IntN(s.size.models-s.size.hot))
		}
	}
	s.requests[id] = &crestRequest{entry: e, class: c, arrived: s.now}
	second := int(s.now / time.Second)
	s.asked[second] += c.worth
	if c.service == "desk" {
		s.plain[second]++
	}
	s.decide(e, e.core.Submit(s.now, req))
	s.signal(e)
	s.after(c.deadline, func() {
		if r := s.requests[id]; r != nil && !r.decided {
			s.deadlines++
			delete(s.requests, id)
			s.decide(e, e.core.Cancel(s.now, id))
			s.signal(e)
		}
	})
}

func (s *crest) decide(e *crestEntry, decisions []dispatch.Decision) {
	s.mostWaiting = max(s.mostWaiting, e.core.Waiting())
	for _, d := range slices.Clone(decisions) {
		r := s.requests[d.RequestID]
		if r == nil {
			continue
		}
		r.decided = true
		s.signal(e)
		if d.Target == nil {
			s.refused++
			delete(s.requests, d.RequestID)
			continue
		}
		s.served++
		took := 60 * time.Millisecond // of a plain service
		first := took
		if r.class.service == "llm" {
			runner := s.runners[d.Target.ID]
			runner.running++
			first = time.Duration(float64(r.class.prompt)/22.1*float64(time.Millisecond)) + 60*time.Millisecond
			step := 6800*time.Microsecond + time.Duration(runner.running)*34*time.Microsecond
			took = first + time.Duration(r.class.tokens)*step
		}
		if s.now+first-r.arrived <= r.class.aim {
			second := int(r.arrived / time.Second)
			s.earned[second] += r.class.worth
			if r.class.service == "desk" {
				s.plainGood[second]++
			}
		}
		id := d.RequestID
		s.after(took, func() {
			if r.class.service == "llm" {
				s.runners[d.Target.ID].running--
			}
			delete(s.requests, id)
			s.decide(e, e.core.Release(s.now, id, dispatch.Served))
			s.signal(e)
		})
	}
}

const (
	crestSettle = 4 * time.Second // until the fleet is known and its reports are read
	crestFrom   = 8 * time.Second
	crestUntil  = 14 * time.Second
	crestEnd    = 20 * time.Second
)

// play plays a burst of requests for rare models, burst times as many as else.
func (s *crest) play(burst float64) {
	s.at(crestSettle, func() {
		s.updates, s.feed.filtered = 0, 0 // each entry was told of each upstream
		for _, c := range crestClasses {
			s.arrive(c, crestFrom, crestUntil, crestEnd, burst)
		}
	})
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(crestEvent)
		if e.at > crestEnd {
			return
		}
		s.now = e.at
		e.do()
	}
}

// share returns the share of the worth earned of requests that arrived in the seconds from..until.
func (s *crest) share(from, until int) float64 {
	earned, asked := 0.0, 0.0
	for i := from; i < until; i++ {
		earned += s.earned[i]
		asked += s.asked[i]
	}
	return earned / asked
}

var largeCrest = crestSize{entries: 295, runners: 256, models: 1421, hot: 126}

// A burst of requests for rare models must pass: three seconds after it as much of the worth is earned
// as before it, plain services are served all through it, and the coordinator has half of its time left.
func TestRandom_BurstOfRareModelsPasses(t *testing.T) {
	s := newCrest(largeCrest, 1)
	s.play(2.4)
	before, later := s.share(5, 8), s.share(17, 20)
	t.Logf("worth %.3f before, %.3f in the burst, %.3f later; %s", before, s.share(8, 14), later, s.summary())
	if later < before-0.05 {
		t.Errorf("%.3f of the worth is earned three seconds after the burst, %.3f before it", later, before)
	}
	for second := 8; second < 20; second++ {
		if s.busy[second] > time.Second/2 {
			t.Errorf("the coordinator works %v in second %d", s.busy[second], second)
		}
		if good := float64(s.plainGood[second]) / float64(s.plain[second]); good < 0.97 {
			t.Errorf("%.3f of the plain requests of second %d are served in time", good, second)
		}
	}
	if n := s.served + s.refused + s.deadlines; s.deadlines > n/200 {
		t.Errorf("%d of %d requests end at the deadline", s.deadlines, n)
	}
}

// The coordinator's work must grow with the deployment, and not with the product of entries and models,
// or of waiting requests and runners: twice the size may cost less than three times as much, where a
// product costs four times as much.
func TestRandom_WorkGrowsWithSize(t *testing.T) {
	one := newCrest(crestSize{entries: 100, runners: 86, models: 474, hot: 42}, 1)
	one.play(2.4)
	two := newCrest(crestSize{entries: 200, runners: 172, models: 948, hot: 84}, 1)
	two.play(2.4)
	t.Logf("one: %s; two: %s", one.summary(), two.summary())
	for name, n := range map[string][2]int{
		"updates of entries": {one.updates, two.updates}, "states filtered": {one.feed.filtered, two.feed.filtered},
		"runners examined": {int(one.core.Examined()), int(two.core.Examined())},
	} {
		if n[1] >= 3*n[0] {
			t.Errorf("%s: %d at one size, %d at twice that", name, n[0], n[1])
		}
	}
}

func (s *crest) summary() string {
	return fmt.Sprintf("%d served, %d refused, %d at the deadline, %d updates, %d states filtered, %d runners examined, at most %d requests wait at an entry",
		s.served, s.refused, s.deadlines, s.updates, s.feed.filtered, s.core.Examined(), s.mostWaiting)
}
