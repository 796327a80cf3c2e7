package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gentiankeel/internal/wire"
)

const (
	// reuseHorizon is how far ahead the reuse of an idle model is estimated.
	reuseHorizon = time.Minute
	// Probability of reuse within reuseHorizon for a model with a learned interval:
	// when its next burst falls within the horizon, when it is overdue, and when it
	// comes later.
	reuseDue     = 0.9
	reuseOverdue = 0.3
	reuseLater   = 0.05
)

// victim is an idle model or adapter that may be evicted.
type victim struct {
	rep   *replica
	model *modelState   // of the replica, or of the adapter
	mem   int64         // MiB freed; a model's include its adapters
	cost  time.Duration // expected cost of loading it again
}

// victimsOn returns what may be evicted on a runner, the cheapest for each MiB first.
func (p *planner) victimsOn(r *runnerState) []*victim {
	if r.victims != nil {
		return r.victims
	}
	r.victims = []*victim{}
	for _, rep := range r.replicas {
		if v := p.newVictim(rep); v != nil {
			r.victims = append(r.victims, v)
		}
	}
	slices.SortStableFunc(r.victims, func(a, b *victim) int {
		return cmp.Compare(float64(a.cost)/float64(a.mem), float64(b.cost)/float64(b.mem))
	})
	return r.victims
}

// newVictim returns the victim for a replica or adapter, or nil if it must not be
// evicted.
func (p *planner) newVictim(rep *replica) *victim {
	m := p.byName[rep.alloc.Model]
	if m == nil || !p.canEvict(rep) || rep.alloc.MemoryMiB == 0 {
		return nil
	}
	v := &victim{rep: rep, model: m, mem: int64(rep.alloc.MemoryMiB)}
	if rep.alloc.Adapter != "" {
		if m.wantsAdapter(rep.alloc.Adapter) {
			return nil
		}
		v.cost = p.adapterReloadCost(rep)
		return v
	}
	if m.waiting > 0 {
		return nil
	}
	for _, a := range rep.runner.replicas {
		if a.alloc.Adapter == "" || a.alloc.Model != rep.alloc.Model {
			continue
		}
		if a.alloc.State != Loaded {
			return nil // the outcomes of its adapters' orders must be known first
		}
		v.mem += int64(a.alloc.MemoryMiB)
	}
	v.cost = p.reloadCost(m, rep)
	return v
}

// reloadCost returns the probability that a model is used again times the cost to load
// it.
func (p *planner) reloadCost(m *modelState, rep *replica) time.Duration {
	idle := p.in.Now - max(rep.alloc.LastUsed, rep.alloc.LoadedAt)
	if !p.features.evictByReuse {
		return recencyCost(p.in.Settings.LoadCost[wire.Tier_TIER_REMOTE], idle)
	}
	cost := p.in.Settings.LoadCost[p.tier(m, rep.runner)]
	return time.Duration(p.reuseProbability(m) * float64(cost))
}

// recencyCost returns a cost that falls with the time since the last use and with
// nothing else.
func recencyCost(cost, idle time.Duration) time.Duration {
	return time.Duration(float64(cost) / (1 + idle.Seconds()))
}

// reuseProbability returns the probability that a model is requested within
// reuseHorizon.
func (p *planner) reuseProbability(m *modelState) float64 {
	if m.burstInterval == 0 {
		return 1 - math.Exp(-m.rate*reuseHorizon.Seconds())
	}
	untilBurst := m.nextBurst() - p.in.Now
	switch margin := m.burstMargin(); {
	case untilBurst > reuseHorizon+margin:
		return reuseLater
	case untilBurst >= -margin:
		return reuseDue
	default:
		return reuseOverdue
	}
}

// adapterReloadCost returns the expected cost of loading an adapter again.
func (p *planner) adapterReloadCost(rep *replica) time.Duration {
	return recencyCost(p.in.Settings.AdapterCost, p.in.Now-max(rep.alloc.LastUsed, rep.alloc.LoadedAt))
}

// evictionCandidate returns a runner as a candidate that evicts its cheapest victims
// first, or nil if that is not possible or can't cost less than best.
func (p *planner) evictionCandidate(l load, r *runnerState, best *candidate) *candidate {
	tier := p.tier(l.model, r)
	cost := p.placementCost(l.model, r, tier) + p.in.Settings.UnloadCost
	if best != nil && best.cost <= cost {
		return nil
	}
	victims, evictCost := p.selectVictims(r, p.requiredMiB(l.model)-r.projected, l.model, "")
	if victims == nil {
		return nil
	}
	return &candidate{runner: r, tier: tier, victims: victims, cost: cost + evictCost}
}

// selectVictims returns the cheapest victims on a runner that free the memory, and
// their cost; nil if there are not enough. Victims that turn out superfluous beside a
// larger one are left out. Replicas of forModel and adapters named forAdapter are never
// selected, since the room is made for these.
func (p *planner) selectVictims(r *runnerState, neededMiB int64, forModel *modelState, forAdapter string) ([]*victim, time.Duration) {
	var picked []*victim
	var freed int64
	for _, v := range p.victimsOn(r) {
		if freed >= neededMiB {
			break
		}
		if !p.canEvictBeside(v, picked) || v.model == forModel && v.rep.alloc.Adapter == "" || forAdapter != "" && v.rep.alloc.Adapter == forAdapter {
			continue
		}
		picked = append(picked, v)
		freed += v.mem
	}
	if freed < neededMiB || len(picked) == 0 {
		return nil, 0
	}
	picked = dropSurplus(picked, freed-neededMiB)
	var cost time.Duration
	for _, v := range picked {
		cost += v.cost
	}
	return picked, cost
}

// canEvictBeside reports whether a victim may be evicted together with those picked.
func (p *planner) canEvictBeside(v *victim, picked []*victim) bool {
	if v.rep.status != statusKept {
		return false
	}
	if v.rep.alloc.Adapter == "" {
		return v.model.spareReplicas() > 0
	}
	for _, o := range picked {
		if o.rep.alloc.Adapter == "" && o.rep.alloc.Model == v.rep.alloc.Model {
			return false // unloading its model unloads it too
		}
	}
	return true
}

// dropSurplus removes victims, the most expensive first, as long as the rest frees
// enough; surplus is the memory freed beyond what is needed.
func dropSurplus(picked []*victim, surplus int64) []*victim {
	byCost := slices.Clone(picked)
	slices.SortStableFunc(byCost, func(a, b *victim) int { return cmp.Compare(b.cost, a.cost) })
	for _, v := range byCost {
		if v.mem <= surplus && len(picked) > 1 {
			surplus -= v.mem
			picked = slices.DeleteFunc(picked, func(o *victim) bool { return o == v })
		}
	}
	return picked
}

// evict unloads a victim to make room for a model or adapter.
func (p *planner) evict(v *victim, evictedFor Subject) {
	if v.rep.status != statusKept {
		return
	}
	p.unload(v.rep, "makes room for "+evictedFor.String(), evictedFor)
	if v.rep.alloc.Adapter == "" {
		v.model.serving--
	}
	v.rep.runner.victims = nil
}

// reserveRoom reserves memory for the adapters of loads in flight, and the memory that
// an earlier plan freed. The waiting load then finds it free, and no second victim is
// evicted for the same load.
func (p *planner) reserveRoom() {
	for _, m := range p.models {
		if m.adapterMiB == 0 {
			continue
		}
		for _, rep := range m.replicas {
			if rep.alloc.State == Loading || rep.alloc.State == OutcomeUnknown {
				rep.runner.projected -= m.adapterMiB
			}
		}
	}
	if !p.features.reserveRoom {
		return
	}
	for _, r := range p.runners {
		for _, rep := range r.replicas {
			if rep.status == statusUnloading && rep.alloc.EvictedFor.Model != "" {
				p.reserveRoomFor(rep.alloc.EvictedFor, r)
			}
		}
	}
}

// reserveRoomFor reserves memory on a runner for the model or adapter that room was
// made for, if that still waits for it.
func (p *planner) reserveRoomFor(s Subject, r *runnerState) {
	m := p.byName[s.Model]
	if m != nil && s.Adapter != "" {
		p.reserveAdapterRoom(m, s.Adapter, r)
		return
	}
	if m == nil || m.desired <= m.serving || !p.canHost(m, r) {
		return
	}
	m.reservedOn = append(m.reservedOn, r)
	r.projected -= p.requiredMiB(m)
}

// scaleDownOther unloads one replica of a model that has others, or drains it while it is
// busy, so that a model of the same or a more urgent class that has none can be loaded.
func (p *planner) scaleDownOther(l load) {
	var best *replica
	for _, r := range p.runners {
		if !p.canHost(l.model, r) {
			continue
		}
		for _, rep := range r.replicas {
			if p.canScaleDown(rep, l) && (best == nil || compareByUse(rep, best) < 0) {
				best = rep
			}
		}
	}
	if best == nil {
		return
	}
	other := p.byName[best.alloc.Model]
	p.unload(best, "shared memory is wanted by "+l.model.spec.GetName()+", which nothing serves", Subject{Model: l.model.spec.GetName()})
	other.serving--
	other.desired, other.needed = min(other.desired, other.serving), min(other.needed, other.serving)
	best.runner.projected -= p.requiredMiB(l.model)
	l.model.missingReason = "waits until a busy replica on " + best.runner.ID + " has drained"
}

// canScaleDown reports whether a replica may be unloaded or drained for a load: its model
// keeps a replica and has no more urgent requests waiting, the replica has been loaded for
// MinResidence, and its memory suffices.
func (p *planner) canScaleDown(rep *replica, l load) bool {
	if rep.status != statusKept || rep.alloc.State != Loaded || rep.alloc.Adapter != "" || !rep.runner.isAvailable() {
		return false
	}
	m := p.byName[rep.alloc.Model]
	if m == nil || m.serving <= max(1, m.baseline) || m.waiting > 0 && m.class < l.model.class {
		return false
	}
	resident := p.in.Now-rep.alloc.LoadedAt >= p.in.Settings.MinResidence
	return resident && rep.runner.projected+int64(rep.alloc.MemoryMiB) >= p.requiredMiB(l.model)
}
