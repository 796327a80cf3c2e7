package placement

import (
	"cmp"
	"slices"
	"time"

	"gentiankeel/internal/wire"
)

// storeBudget counts the loads from the weight store that may still start.
type storeBudget struct {
	starts   int // left under the rate limit
	slots    int // left under the concurrency limit
	reserved int // slots kept free for loads that requests wait for
}

func newStoreBudget(b Budget) storeBudget {
	return storeBudget{
		starts:   b.StoreStarts,
		slots:    b.StoreMax - b.StoreInFlight,
		reserved: min(1, b.StoreMax-1),
	}
}

// allows reports whether a load may start. One slot is kept for loads that requests
// wait for, so that a preload never takes the last one.
func (b storeBudget) allows(waiting bool) bool {
	if waiting {
		return b.starts > 0 && b.slots > 0
	}
	return b.starts > 0 && b.slots > b.reserved
}

// spend takes one load from the budget.
func (b *storeBudget) spend() {
	b.starts--
	b.slots--
}

// load is one replica that is desired and missing.
type load struct {
	model    *modelState
	waiting  bool // requests wait for it
	serving  int  // replicas that serve already
	optional bool // a preload for a predicted burst: evicts nothing
}

// loadModels loads the desired replicas that are missing, the most urgent first.
func (p *planner) loadModels() {
	for _, l := range p.missingLoads() {
		p.placeModel(l)
	}
}

// missingLoads returns the loads to order, the most urgent first, within the applied
// file's replica limit. To meet that limit, it also unloads replicas on leaving runners.
func (p *planner) missingLoads() []load {
	var loads []load
	for _, m := range p.models {
		missing := m.desired - m.serving
		if missing <= 0 {
			continue
		}
		free := missing
		if p.features.replicaLimit {
			p.unloadFromLeaving(m, missing)
			free = int(m.spec.GetReplicas()) - m.occupiedSlots(p.features)
		}
		if free < missing {
			m.missingReason = "waits until a replica that goes has been seen gone"
		}
		for i := range min(missing, free) {
			loads = append(loads, load{
				model: m, waiting: m.waiting > 0, serving: m.serving + i,
				optional: m.waiting == 0 && m.reason == "expected by its learnt interval",
			})
		}
	}
	if p.features.urgencyOrder {
		slices.SortStableFunc(loads, compareUrgency)
	}
	return loads
}

// occupiedSlots returns the number of replicas that count against the applied file's
// limit. A replica being unloaded counts until that is confirmed.
func (m *modelState) occupiedSlots(f featureSet) int {
	if f.countUnloading {
		return m.occupied
	}
	n := 0
	for _, rep := range m.replicas {
		if rep.status != statusUnloading && rep.status != statusDraining {
			n++
		}
	}
	return n
}

// unloadFromLeaving unloads as many idle replicas on leaving runners as must go before
// the missing ones are within the replica limit.
func (p *planner) unloadFromLeaving(m *modelState, missing int) {
	excess := missing - (int(m.spec.GetReplicas()) - m.occupied)
	for _, rep := range m.replicas {
		if excess <= 0 {
			return
		}
		if rep.status == statusUnloading {
			excess--
			continue
		}
		if rep.status == statusLeaving && rep.alloc.State == Loaded && rep.alloc.Running == 0 && !rep.runner.Suspect {
			p.unload(rep, "its runner is leaving and the replica is wanted elsewhere", Subject{})
			excess--
		}
	}
}

// compareUrgency sorts loads that requests wait for first, those by class; then models
// without a replica, the earliest deadline, the oldest request, loads that are not
// optional, and the name.
func compareUrgency(a, b load) int {
	switch {
	case a.waiting != b.waiting:
		return boolFirst(a.waiting)
	case a.waiting && a.model.class != b.model.class:
		return cmp.Compare(a.model.class, b.model.class)
	case (a.serving == 0) != (b.serving == 0):
		return boolFirst(a.serving == 0)
	case a.waiting && a.model.deadline != b.model.deadline:
		return cmp.Compare(a.model.deadline, b.model.deadline)
	case a.waiting && a.model.oldest != b.model.oldest:
		return cmp.Compare(a.model.oldest, b.model.oldest)
	case a.optional != b.optional:
		return boolFirst(b.optional)
	default:
		return cmp.Compare(a.model.spec.GetName(), b.model.spec.GetName())
	}
}

func boolFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}

// candidate is a runner that can take a load, now or after room is made.
type candidate struct {
	runner  *runnerState
	tier    wire.Tier
	victims []*victim // to be evicted first
	cost    time.Duration
}

// placeModel orders one load, or makes room for it, or records why it is missing.
func (p *planner) placeModel(l load) {
	if len(l.model.reservedOn) > 0 {
		p.placeReserved(l)
		return
	}
	best, reason := p.chooseRunner(l)
	if best == nil {
		l.model.missingReason = reason
		if reason == reasonNoRoom && l.waiting && l.serving == 0 {
			p.scaleDownOther(l)
		}
		return
	}
	if p.storeExhausted(l, best.tier) {
		p.waitForStore(l, best)
		return
	}
	for _, v := range best.victims {
		p.evict(v, Subject{Model: l.model.spec.GetName()})
	}
	best.runner.projected -= p.requiredMiB(l.model)
	if !p.fitsFree(best.runner, l.model) {
		l.model.waitingOn = append(l.model.waitingOn, best.runner)
		l.model.missingReason = "waits for room on " + best.runner.ID
		return
	}
	p.startLoad(l.model, best.runner, best.tier)
}

// storeExhausted reports whether a load must wait for the weight store.
func (p *planner) storeExhausted(l load, tier wire.Tier) bool {
	return tier == wire.Tier_TIER_REMOTE && p.features.storeBudget && !p.store.allows(l.waiting)
}

// waitForStore records that a load waits for the weight store. If the load needs no
// eviction, its memory is reserved. The choice of the runner ignores the store's budget: a
// less urgent load may use that up, and the next plan must still choose the same runner.
func (p *planner) waitForStore(l load, c *candidate) {
	l.model.missingReason = reasonNoStore
	if len(c.victims) == 0 {
		l.model.waitingOn = append(l.model.waitingOn, c.runner)
		c.runner.projected -= p.requiredMiB(l.model)
	}
}

// placeReserved orders a load on the runner where an earlier plan made room for it, once
// the memory is free. reserveRoom has reserved that memory.
func (p *planner) placeReserved(l load) {
	r := l.model.reservedOn[0]
	l.model.reservedOn = l.model.reservedOn[1:]
	tier := p.tier(l.model, r)
	switch {
	case !p.fitsFree(r, l.model):
		l.model.missingReason = "waits for room on " + r.ID
	case p.storeExhausted(l, tier):
		l.model.missingReason = reasonNoStore
	default:
		p.startLoad(l.model, r, tier)
	}
}

// startLoad orders a load.
func (p *planner) startLoad(m *modelState, r *runnerState, tier wire.Tier) {
	r.free -= int64(m.spec.GetMemoryMib())
	r.loadsInFlight++
	if tier == wire.Tier_TIER_REMOTE {
		p.store.spend()
	}
	m.occupied++
	m.serving++
	m.startedOn = append(m.startedOn, r)
	p.plan.Orders = append(p.plan.Orders, Order{
		Kind: wire.OrderKind_ORDER_LOAD, Runner: r.ID, Model: m.spec.GetName(),
		Version: m.spec.GetVersion(), MemoryMiB: m.spec.GetMemoryMib(), Tier: tier, Reason: m.reason,
	})
}

// requiredMiB returns the memory of a replica and of the largest adapter that requests
// wait for.
func (p *planner) requiredMiB(m *modelState) int64 {
	return int64(m.spec.GetMemoryMib()) + m.adapterMiB
}

// Reasons why a desired replica can't be loaded now.
const (
	reasonNoRunner = "no runner may hold it"
	reasonNoRoom   = "no runner has room, and nothing may be unloaded for it"
	reasonNoStore  = "waits for the weight store"
)

// chooseRunner returns the cheapest candidate and, for the case that it is nil, the
// reason why there is none. Runners with enough memory are compared first; an eviction
// is considered only where nearer weights could make up for its cost.
func (p *planner) chooseRunner(l load) (*candidate, string) {
	var best *candidate
	reason := reasonNoRunner
	evictable := make([]*runnerState, 0)
	for _, r := range p.runners {
		if !p.canHost(l.model, r) {
			continue
		}
		tier := p.tier(l.model, r)
		reason = reasonNoRoom
		c := &candidate{runner: r, tier: tier, cost: p.placementCost(l.model, r, tier)}
		switch {
		case p.fits(r, l.model):
		case p.requiredMiB(l.model) <= r.projected-r.draining:
			c.cost += p.in.Settings.UnloadCost
		case p.requiredMiB(l.model) <= r.projected:
			c.cost += p.in.Settings.DrainCost
		default:
			evictable = append(evictable, r)
			continue
		}
		best = p.cheaper(best, c)
	}
	if l.optional {
		return best, reason
	}
	for _, r := range evictable {
		best = p.cheaper(best, p.evictionCandidate(l, r, best))
	}
	return best, reason
}

// canHost reports whether a model may be loaded on a runner, disregarding memory.
func (p *planner) canHost(m *modelState, r *runnerState) bool {
	if r.Leaving && p.features.avoidLeaving || r.Suspect || !m.allowsZone(r.Zone) {
		return false
	}
	for _, rep := range m.replicas {
		if rep.runner == r {
			return false
		}
	}
	return !slices.Contains(m.startedOn, r) && !slices.Contains(m.waitingOn, r) && !slices.Contains(m.reservedOn, r)
}

// fits reports whether a model can be loaded now without taking memory claimed by
// others.
func (p *planner) fits(r *runnerState, m *modelState) bool {
	return p.fitsFree(r, m) && (p.requiredMiB(m) <= r.projected || !p.features.memoryLimit)
}

// fitsFree reports whether a replica fits into the memory that is free now.
func (p *planner) fitsFree(r *runnerState, m *modelState) bool {
	return int64(m.spec.GetMemoryMib()) <= r.free || !p.features.memoryLimit
}

// tier returns where a model's weights are, as seen from a runner.
func (p *planner) tier(m *modelState, r *runnerState) wire.Tier {
	if t, ok := r.Checkpoints[CheckpointKey{m.spec.GetName(), m.spec.GetVersion()}]; ok && t != wire.Tier_TIER_UNSPECIFIED {
		return t
	}
	return wire.Tier_TIER_REMOTE
}

// placementCost returns the load time, plus the time of a remote load for each replica
// of the model that serves or is planned in the same availability zone.
func (p *planner) placementCost(m *modelState, r *runnerState, tier wire.Tier) time.Duration {
	var cost time.Duration
	if p.features.nearestTier {
		cost = p.in.Settings.LoadCost[tier]
	}
	if !p.features.zoneSpread {
		return cost
	}
	remote := p.in.Settings.LoadCost[wire.Tier_TIER_REMOTE]
	for _, rep := range m.replicas {
		if rep.runner.Zone == r.Zone && p.isServing(m, rep) {
			cost += remote
		}
	}
	for _, planned := range [][]*runnerState{m.startedOn, m.waitingOn, m.reservedOn} {
		for _, o := range planned {
			if o.Zone == r.Zone {
				cost += remote
			}
		}
	}
	return cost
}

// cheaper returns the candidate with the lower cost; at equal cost the one with fewer
// loads in flight, then with more memory left, then the first by name.
func (p *planner) cheaper(a, b *candidate) *candidate {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.cost != b.cost:
		return pickCandidate(a, b, a.cost < b.cost)
	case a.runner.loadsInFlight != b.runner.loadsInFlight:
		return pickCandidate(a, b, a.runner.loadsInFlight < b.runner.loadsInFlight)
	case a.runner.projected != b.runner.projected:
		return pickCandidate(a, b, a.runner.projected > b.runner.projected)
	default:
		return a // runners are sorted by name
	}
}

// pickCandidate returns a or b.
func pickCandidate(a, b *candidate, preferA bool) *candidate {
	if preferA {
		return a
	}
	return b
}
