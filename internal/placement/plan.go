package placement

import (
	"math"
	"time"

	"gentiankeel/internal/wire"
)

// featureSet enables the parts of the planner. All are on in production; tests disable
// one at a time to show its effect.
type featureSet struct {
	memoryLimit       bool // planned memory stays within the runner's
	replicaLimit      bool // replicas stay within the applied file's count
	zoneSpread        bool // replicas spread over availability zones
	nearestTier       bool // load times differ by where the weights are
	storeBudget       bool // loads from the weight store are bounded
	adapterBudget     bool // adapter loads are bounded
	urgencyOrder      bool // the most urgent loads come first
	skipSuspects      bool // suspect runners get no orders
	minResidence      bool // a replica stays for a minimum time before it is evicted
	idleUnload        bool // idle replicas are unloaded
	burstPreload      bool // models are loaded ahead of a predicted burst
	warmLead          bool // warm replicas are loaded before their window opens
	evictByReuse      bool // victims are chosen by expected reload cost; off: least recently used
	countUnloading    bool // replicas count until their unload is confirmed
	drainBeforeUnload bool // no unload while attempts run
	reserveRoom       bool // memory freed for a model is reserved for it
	avoidLeaving      bool // leaving runners get no loads
	queueSlack        bool // a short queue does not add a replica
}

func allFeatures() featureSet {
	return featureSet{
		memoryLimit: true, replicaLimit: true, zoneSpread: true, nearestTier: true,
		storeBudget: true, adapterBudget: true, urgencyOrder: true, skipSuspects: true,
		minResidence: true, idleUnload: true, burstPreload: true, warmLead: true,
		evictByReuse: true, countUnloading: true, drainBeforeUnload: true, reserveRoom: true,
		avoidLeaving: true, queueSlack: true,
	}
}

// ComputePlan computes the orders that move the runners towards the state that the
// applied file and the demand require. It does not modify its input and is
// deterministic. Once its orders are committed, planning again without other changes
// yields no orders. Without an applied file the plan is empty.
func ComputePlan(in Input) Plan {
	plan := planOnce(&in, allFeatures())
	orders := plan.Orders
	for range maxExtensions {
		if len(plan.Orders) == 0 {
			break
		}
		in = in.afterCommit(plan.Orders)
		plan = planOnce(&in, allFeatures())
		orders = append(orders, plan.Orders...)
	}
	plan.Orders = orders
	return plan
}

// planOnce computes a plan in a single pass.
func planOnce(in *Input, f featureSet) Plan {
	p := newPlanner(in, f)
	p.unloadDisallowed()
	p.countReplicas()
	p.reserveRoom()
	p.unloadIdle()
	p.loadModels()
	p.loadAdapters()
	p.explain()
	return p.plan
}

// status is what the plan does with a replica or adapter.
type status int

const (
	statusKept      status = iota
	statusUnloading        // an unload is ordered, by this plan or an earlier one
	statusDraining         // to be unloaded once its attempts have ended
	statusLeaving          // on a leaving runner: may be unloaded when it is idle
	statusSuspect          // on a suspect runner: counted, but no order is given
)

// replica is one model replica or adapter with its runner.
type replica struct {
	runner *runnerState
	alloc  *Allocation
	status status
	reason string // why it is unloaded or drained; empty otherwise
}

// runnerState is the planner's state of one runner.
type runnerState struct {
	*Runner
	free          int64 // MiB that nothing occupies
	projected     int64 // free, plus memory being freed, minus memory reserved for loads that wait
	draining      int64 // part of projected that is freed only when attempts have ended
	loadsInFlight int
	replicas      []*replica
	victims       []*victim // by cost for each MiB; nil until computed
}

func (r *runnerState) isAvailable() bool { return !r.Leaving && !r.Suspect }

// modelState is the planner's state of one model of the applied file.
type modelState struct {
	spec     *wire.Model
	replicas []*replica
	adapters []*adapterDemand

	waiting, running int
	oldest, deadline time.Duration // of the waiting requests; math.MaxInt64 if none wait
	class            wire.Class    // most urgent class of the waiting requests
	lastUsed         time.Duration
	lastBurst        time.Duration // start of the last burst
	burstDeviation   time.Duration // of burstInterval; 0: unknown
	rate             float64       // requests a second, decayed
	burstInterval    time.Duration // 0: unknown

	occupied      int            // replicas that count against the applied file's limit
	serving       int            // replicas that serve or soon will
	desired       int            // replicas to have
	needed        int            // replicas that the requests need if none may queue
	reason        string         // why that many are desired
	baseline      int            // replicas kept without demand
	missingReason string         // why a desired replica is missing
	adapterMiB    int64          // size of the largest adapter that requests wait for
	reservedOn    []*runnerState // runners where an earlier plan made room for it
	startedOn     []*runnerState // runners where this plan loads it
	waitingOn     []*runnerState // runners where a load of it waits for room
}

// spareReplicas returns how many replicas may be unloaded. Replicas that the requests
// need without a queue are not spare; otherwise a replica loaded for a queue would
// cause the unload of a sibling.
func (m *modelState) spareReplicas() int { return m.serving - max(m.desired, m.needed) }

// planner computes one plan.
type planner struct {
	in       *Input
	features featureSet
	runners  []*runnerState
	models   []*modelState
	byName   map[string]*modelState
	unlisted []*replica // replicas of models that the applied file does not name
	adapters []*replica // adapters on runners
	store    storeBudget
	plan     Plan
}

func newPlanner(in *Input, f featureSet) *planner {
	p := &planner{in: in, features: f, store: newStoreBudget(in.Budget)}
	if in.Spec == nil {
		p.in = &Input{}
		return p
	}
	p.byName = make(map[string]*modelState, len(in.Spec.GetModels()))
	for _, s := range in.Spec.GetModels() {
		m := &modelState{spec: s, class: wire.Class_CLASS_BATCH, deadline: math.MaxInt64, oldest: math.MaxInt64}
		p.models = append(p.models, m)
		p.byName[s.GetName()] = m
	}
	for name, b := range in.Bursts {
		if m := p.byName[name]; m != nil {
			m.lastBurst, m.burstInterval, m.burstDeviation = b.LastStart, b.Interval, b.Deviation
		}
	}
	p.addDemand()
	p.addRunners()
	return p
}

// addDemand sums the demand for each model, with and without adapters.
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
		if d.BurstInterval > 0 && p.in.Bursts == nil && (m.burstInterval == 0 || d.BurstInterval < m.burstInterval) {
			m.burstInterval = d.BurstInterval
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
	p.runners = make([]*runnerState, 0, len(p.in.Runners))
	for i := range p.in.Runners {
		r := &runnerState{Runner: &p.in.Runners[i]}
		r.free = int64(r.MemoryMiB)
		for j := range r.Allocations {
			p.addAllocation(r, &r.Allocations[j])
		}
		r.projected += r.free
		p.runners = append(p.runners, r)
	}
}

func (p *planner) addAllocation(r *runnerState, alloc *Allocation) {
	r.free -= int64(alloc.MemoryMiB)
	rep := &replica{runner: r, alloc: alloc}
	r.replicas = append(r.replicas, rep)
	switch {
	case alloc.State == Unloading:
		rep.status = statusUnloading
		r.projected += int64(alloc.MemoryMiB)
	case r.Suspect && p.features.skipSuspects:
		rep.status = statusSuspect
	case r.Leaving:
		rep.status = statusLeaving
	}
	if alloc.State == Loading {
		r.loadsInFlight++
	}
	m := p.byName[alloc.Model]
	switch {
	case alloc.Adapter != "":
		p.adapters = append(p.adapters, rep)
	case m == nil:
		p.unlisted = append(p.unlisted, rep)
	default:
		m.replicas = append(m.replicas, rep)
		m.occupied++
	}
}

// unload orders the unload of a replica or adapter. It drains it instead while attempts
// run on it, while an order for one of its adapters is open, or while its runner is
// suspect.
func (p *planner) unload(rep *replica, reason string, evictedFor Subject) {
	if rep.alloc.State != Loaded {
		return // the outcome of an open order must be known before the next one
	}
	if rep.runner.Suspect && p.features.skipSuspects {
		p.drain(rep, reason)
		return
	}
	if (rep.alloc.Running > 0 || !rep.adapterOrdersDone()) && p.features.drainBeforeUnload {
		p.drain(rep, reason)
		return
	}
	if rep.alloc.Adapter == "" {
		rep.markAdaptersUnloading(reason)
	}
	rep.status = statusUnloading
	rep.reason = reason
	rep.runner.projected += int64(rep.alloc.MemoryMiB)
	p.plan.Orders = append(p.plan.Orders, Order{
		Kind: unloadKind(rep.alloc), Runner: rep.runner.ID, Model: rep.alloc.Model, Version: rep.alloc.Version,
		Adapter: rep.alloc.Adapter, MemoryMiB: rep.alloc.MemoryMiB, LoadOrderID: rep.alloc.OrderID,
		EvictedFor: evictedFor, Reason: reason,
	})
}

func unloadKind(alloc *Allocation) wire.OrderKind {
	if alloc.Adapter != "" {
		return wire.OrderKind_ORDER_UNLOAD_ADAPTER
	}
	return wire.OrderKind_ORDER_UNLOAD
}

func (p *planner) drain(rep *replica, reason string) {
	rep.status = statusDraining
	rep.reason = reason
	if !rep.runner.Suspect {
		rep.runner.projected += int64(rep.alloc.MemoryMiB)
		rep.runner.draining += int64(rep.alloc.MemoryMiB)
	}
	p.plan.Drains = append(p.plan.Drains, Drain{
		Runner: rep.runner.ID, Model: rep.alloc.Model, Version: rep.alloc.Version,
		Adapter: rep.alloc.Adapter, OrderID: rep.alloc.OrderID, Reason: reason,
	})
}

// adapterOrdersDone reports whether the outcomes of all adapter orders on a model are
// known. Until then the model is not unloaded.
func (rep *replica) adapterOrdersDone() bool {
	if rep.alloc.Adapter != "" {
		return true
	}
	for _, a := range rep.runner.replicas {
		if a.alloc.Adapter != "" && a.alloc.Model == rep.alloc.Model && a.alloc.State != Loaded {
			return false
		}
	}
	return true
}

// markAdaptersUnloading records that the adapters of a model are unloaded with it.
func (rep *replica) markAdaptersUnloading(reason string) {
	for _, a := range rep.runner.replicas {
		if a.alloc.Adapter != "" && a.alloc.Model == rep.alloc.Model && a.status != statusUnloading {
			a.status, a.reason = statusUnloading, reason
			a.runner.projected += int64(a.alloc.MemoryMiB)
		}
	}
}
