package placement

import (
	"math"
	"time"

	"gentiankeel/internal/wire"
)

// mechanisms switches parts of the policy. All are on in production; a test takes one
// out to show what it is for.
type mechanisms struct {
	memoryLimit   bool
	countLimit    bool
	zoneSpread    bool
	nearestTier   bool
	storeBudget   bool
	adapterBudget bool
	urgency       bool
	suspectHold   bool
	minResident   bool
	idleUnload    bool
	learntPreload bool
	warmLead      bool
	evictByNeed   bool // off: least recently used first
	oldFirst      bool // old versions go before new ones are counted
	drainFirst    bool // no unload while attempts run
	roomKept      bool // room made for a model is kept for it
	leavingAvoid  bool
	scaleSlack    bool // a short queue is no reason for a further replica
}

func allMechanisms() mechanisms {
	return mechanisms{
		memoryLimit: true, countLimit: true, zoneSpread: true, nearestTier: true,
		storeBudget: true, adapterBudget: true, urgency: true, suspectHold: true,
		minResident: true, idleUnload: true, learntPreload: true, warmLead: true,
		evictByNeed: true, oldFirst: true, drainFirst: true, roomKept: true,
		leavingAvoid: true, scaleSlack: true,
	}
}

// Make returns the orders that bring the runners nearer to what the applied file and
// the demand want. It does not change its input; the same input gives the same plan, and
// once its orders are committed the next plan is empty.
func Make(in Input) Plan {
	plan := makePlan(&in, allMechanisms())
	orders := plan.Orders
	for range extensions {
		if len(plan.Orders) == 0 {
			break
		}
		in = in.committed(plan.Orders)
		plan = makePlan(&in, allMechanisms())
		orders = append(orders, plan.Orders...)
	}
	plan.Orders = orders
	return plan
}

func makePlan(in *Input, mech mechanisms) Plan {
	p := newPlanner(in, mech)
	p.removeForbidden()
	p.countServing()
	p.keepRoom()
	p.unloadIdle()
	p.loadModels()
	p.loadAdapters()
	p.explain()
	return p.out
}

// fate is what becomes of a held model or adapter.
type fate int

const (
	fateStay   fate = iota
	fateGoing       // an unload is ordered, now or before
	fateDrain       // shall go when its attempts have ended
	fateLost        // on a leaving runner: serves nothing new, may be unloaded
	fateFrozen      // on a suspect runner: counted, not touched
)

// replica is one held model or adapter with its runner.
type replica struct {
	r    *runner
	h    *Held
	fate fate
	why  string
}

// runner is the planner's view of one runner.
type runner struct {
	*Runner
	free     int64 // MiB that nothing holds
	pending  int64 // free, plus what is going, less what waiting loads claim
	draining int64 // part of pending that waits for attempts to end
	loading  int   // loads in flight
	replicas []*replica
	victims  []*victim // by cost for each MiB; nil until asked for
}

func (r *runner) usable() bool { return !r.Leaving && !r.Suspect }

// model is the planner's view of one model of the applied file.
type model struct {
	spec     *wire.Model
	replicas []*replica
	adapters []*adapterDemand

	waiting, running int
	oldest, deadline time.Duration
	class            wire.Class
	lastUsed         time.Duration
	burst            time.Duration // start of the last burst
	spread           time.Duration // of the learnt interval; 0: unknown
	rate             float64
	interval         time.Duration

	count   int // replicas that hold a slot of the file
	serving int // replicas that serve or are about to
	want    int
	keep    int       // replicas that the requests are worth without slack for queues
	why     string    // why that many are wanted
	floor   int       // kept without demand
	missing string    // why a wanted replica is missing
	room    int64     // MiB for the largest adapter wanted
	kept    []*runner // runners where an earlier plan makes room for it
	started []*runner // where this plan loads it
	claimed []*runner // where a load of it waits for room
}

// spare is how many replicas are not needed. What the requests are worth without slack
// is kept: a replica loaded for a queue must not make its sibling spare.
func (m *model) spare() int { return m.serving - max(m.want, m.keep) }

type planner struct {
	in      *Input
	mech    mechanisms
	runners []*runner
	models  []*model
	byName  map[string]*model
	strays  []*replica // models that the file does not name
	adapter []*replica // held adapters
	store   storeBudget
	out     Plan
}

func newPlanner(in *Input, mech mechanisms) *planner {
	p := &planner{in: in, mech: mech, store: newStoreBudget(in.Budget)}
	if in.Spec == nil {
		p.in = &Input{}
		return p
	}
	p.byName = make(map[string]*model, len(in.Spec.GetModels()))
	for _, s := range in.Spec.GetModels() {
		m := &model{spec: s, class: wire.Class_CLASS_BATCH, deadline: math.MaxInt64, oldest: math.MaxInt64}
		p.models = append(p.models, m)
		p.byName[s.GetName()] = m
	}
	for name, b := range in.Bursts {
		if m := p.byName[name]; m != nil {
			m.burst, m.interval, m.spread = b.Start, b.Interval, b.Spread
		}
	}
	p.addDemand()
	p.addRunners()
	return p
}

// addDemand sums what is asked of each model, with and without adapters.
func (p *planner) addDemand() {
	for i := range p.in.Demand {
		d := &p.in.Demand[i]
		m := p.byName[d.Model]
		if m == nil {
			continue
		}
		m.running += d.Running
		m.rate += d.Rate
		m.lastUsed = max(m.lastUsed, d.LastUsed)
		if d.Interval > 0 && p.in.Bursts == nil && (m.interval == 0 || d.Interval < m.interval) {
			m.interval = d.Interval
		}
		if d.Waiting == 0 {
			continue
		}
		m.waiting += d.Waiting
		m.oldest = min(m.oldest, d.Oldest)
		m.deadline = min(m.deadline, d.Deadline)
		if d.Class != wire.Class_CLASS_UNSPECIFIED {
			m.class = min(m.class, d.Class)
		}
		p.addAdapterDemand(m, d)
	}
}

func (p *planner) addRunners() {
	p.runners = make([]*runner, 0, len(p.in.Runners))
	for i := range p.in.Runners {
		r := &runner{Runner: &p.in.Runners[i]}
		r.free = int64(r.MemoryMiB)
		for j := range r.Held {
			p.addHeld(r, &r.Held[j])
		}
		r.pending += r.free
		p.runners = append(p.runners, r)
	}
}

func (p *planner) addHeld(r *runner, h *Held) {
	r.free -= int64(h.MemoryMiB)
	rep := &replica{r: r, h: h}
	r.replicas = append(r.replicas, rep)
	switch {
	case h.State == Unloading:
		rep.fate = fateGoing
		r.pending += int64(h.MemoryMiB)
	case r.Suspect && p.mech.suspectHold:
		rep.fate = fateFrozen
	case r.Leaving:
		rep.fate = fateLost
	}
	if h.State == Loading {
		r.loading++
	}
	m := p.byName[h.Model]
	switch {
	case h.Adapter != "":
		p.adapter = append(p.adapter, rep)
	case m == nil:
		p.strays = append(p.strays, rep)
	default:
		m.replicas = append(m.replicas, rep)
		m.count++
	}
}

// unload orders a held model or adapter to go, or marks it while attempts run on it.
func (p *planner) unload(rep *replica, why string, roomFor Subject) {
	if rep.h.State != Loaded {
		return // an outcome must be known before the next order
	}
	if rep.r.Suspect && p.mech.suspectHold {
		p.drain(rep, why)
		return
	}
	if (rep.h.Running > 0 || !rep.adaptersSettled()) && p.mech.drainFirst {
		p.drain(rep, why)
		return
	}
	if rep.h.Adapter == "" {
		rep.takeAdaptersAlong(why)
	}
	rep.fate = fateGoing
	rep.why = why
	rep.r.pending += int64(rep.h.MemoryMiB)
	p.out.Orders = append(p.out.Orders, Order{
		Kind: unloadKind(rep.h), Runner: rep.r.ID, Model: rep.h.Model, Version: rep.h.Version,
		Adapter: rep.h.Adapter, MemoryMiB: rep.h.MemoryMiB, Replaces: rep.h.OrderID,
		RoomFor: roomFor, Reason: why,
	})
}

func unloadKind(h *Held) wire.OrderKind {
	if h.Adapter != "" {
		return wire.OrderKind_ORDER_UNLOAD_ADAPTER
	}
	return wire.OrderKind_ORDER_UNLOAD
}

func (p *planner) drain(rep *replica, why string) {
	rep.fate = fateDrain
	rep.why = why
	if !rep.r.Suspect {
		rep.r.pending += int64(rep.h.MemoryMiB)
		rep.r.draining += int64(rep.h.MemoryMiB)
	}
	p.out.Drains = append(p.out.Drains, Drain{
		Runner: rep.r.ID, Model: rep.h.Model, Version: rep.h.Version,
		Adapter: rep.h.Adapter, OrderID: rep.h.OrderID, Reason: why,
	})
}

// adaptersSettled tells whether the outcomes of all adapter orders on a model are
// known; until then the model may not go.
func (rep *replica) adaptersSettled() bool {
	if rep.h.Adapter != "" {
		return true
	}
	for _, a := range rep.r.replicas {
		if a.h.Adapter != "" && a.h.Model == rep.h.Model && a.h.State != Loaded {
			return false
		}
	}
	return true
}

// takeAdaptersAlong notes that the adapters of a model go with it.
func (rep *replica) takeAdaptersAlong(why string) {
	for _, a := range rep.r.replicas {
		if a.h.Adapter != "" && a.h.Model == rep.h.Model && a.fate != fateGoing {
			a.fate, a.why = fateGoing, why
			a.r.pending += int64(a.h.MemoryMiB)
		}
	}
}
