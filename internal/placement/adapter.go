package placement

import (
	"cmp"
	"slices"

	"gentiankeel/internal/wire"
)

// adapterDemand is one adapter of the applied file that requests wait for.
type adapterDemand struct {
	spec       *wire.Adapter
	demand     *Demand
	reservedOn *runnerState   // runner where an earlier plan made room for it
	tried      []*runnerState // runners where this plan loads it or found no room
}

func (p *planner) findAdapter(model, name string) *wire.Adapter {
	all := p.in.Spec.GetAdapters()
	i, ok := slices.BinarySearchFunc(all, name, func(a *wire.Adapter, name string) int {
		if c := cmp.Compare(a.GetModel(), model); c != 0 {
			return c
		}
		return cmp.Compare(a.GetName(), name)
	})
	if !ok {
		return nil
	}
	return all[i]
}

func (p *planner) addAdapterDemand(m *modelState, d *Demand) {
	if d.Adapter == "" {
		return
	}
	spec := p.findAdapter(d.Model, d.Adapter)
	if spec == nil {
		return
	}
	m.adapters = append(m.adapters, &adapterDemand{spec: spec, demand: d})
	m.adapterMiB = max(m.adapterMiB, int64(spec.GetMemoryMib()))
}

func (m *modelState) wantsAdapter(name string) bool {
	return slices.ContainsFunc(m.adapters, func(a *adapterDemand) bool { return a.spec.GetName() == name })
}

// disallowedAdapterReason returns why the applied file does not allow an adapter, or
// "".
func (p *planner) disallowedAdapterReason(rep *replica) string {
	spec := p.findAdapter(rep.alloc.Model, rep.alloc.Adapter)
	switch {
	case spec == nil:
		return "the applied file does not name it"
	case spec.GetVersion() != rep.alloc.Version:
		return "the applied file names another version"
	default:
		return ""
	}
}

// loadAdapters loads the adapters that requests wait for on replicas of their model.
func (p *planner) loadAdapters() {
	budget := p.in.Budget.AdapterMax - p.in.Budget.AdapterInFlight
	for _, a := range p.adaptersByUrgency() {
		for range p.missingAdapterReplicas(a) {
			if p.features.adapterBudget && budget <= 0 {
				p.explainAdapter(a, "", "waits: too many adapter loads are in flight")
				break
			}
			if p.placeAdapter(a) {
				budget--
			}
		}
	}
}

// missingAdapterReplicas returns on how many more replicas an adapter is needed; the
// result may be negative.
func (p *planner) missingAdapterReplicas(a *adapterDemand) int {
	holders := 0
	for _, rep := range p.byName[a.demand.Model].replicas {
		if rep.status == statusKept && rep.runner.holdsAdapter(a.demand.Model, a.spec.GetName()) {
			holders++
		}
	}
	return (a.demand.Waiting+p.requestsPerReplica()-1)/p.requestsPerReplica() - holders
}

// adaptersByUrgency returns the adapters that requests wait for, the most urgent first.
func (p *planner) adaptersByUrgency() []*adapterDemand {
	var adapters []*adapterDemand
	for _, m := range p.models {
		adapters = append(adapters, m.adapters...)
	}
	if !p.features.urgencyOrder {
		return adapters
	}
	slices.SortStableFunc(adapters, func(a, b *adapterDemand) int {
		return cmp.Or(
			cmp.Compare(a.demand.Class, b.demand.Class),
			cmp.Compare(a.demand.Deadline, b.demand.Deadline),
			cmp.Compare(a.demand.Oldest, b.demand.Oldest),
		)
	})
	return adapters
}

// reserveAdapterRoom reserves the memory that an earlier plan freed for an adapter.
func (p *planner) reserveAdapterRoom(m *modelState, name string, r *runnerState) {
	for _, a := range m.adapters {
		if a.spec.GetName() == name && a.reservedOn == nil && !r.holdsAdapter(m.spec.GetName(), name) {
			a.reservedOn = r
			r.projected -= int64(a.spec.GetMemoryMib())
		}
	}
}

func (r *runnerState) holdsAdapter(model, name string) bool {
	return slices.ContainsFunc(r.replicas, func(a *replica) bool {
		return a.alloc.Model == model && a.alloc.Adapter == name
	})
}

// placeAdapter orders one load of an adapter. It returns false if no load is possible
// now, even if it has evicted something to make room.
func (p *planner) placeAdapter(a *adapterDemand) bool {
	var best *replica
	for _, rep := range p.byName[a.demand.Model].replicas {
		if p.canLoadAdapter(rep, a) && (best == nil || preferForAdapter(rep, best, a)) {
			best = rep
		}
	}
	if best == nil {
		p.explainAdapter(a, "", "waits for a loaded replica of its model")
		return false
	}
	a.tried = append(a.tried, best.runner)
	if a.reservedOn == best.runner {
		best.runner.projected += int64(a.spec.GetMemoryMib()) // release its own reservation
	}
	if !p.makeAdapterRoom(a, best.runner) {
		return false
	}
	best.runner.free -= int64(a.spec.GetMemoryMib())
	p.plan.Orders = append(p.plan.Orders, Order{
		Kind: wire.OrderKind_ORDER_LOAD_ADAPTER, Runner: best.runner.ID, Model: a.demand.Model,
		Version: a.spec.GetVersion(), Adapter: a.spec.GetName(), MemoryMiB: a.spec.GetMemoryMib(),
		Reason: "requests wait for it",
	})
	p.explainAdapter(a, best.runner.ID, "requests wait for it")
	return true
}

func (p *planner) canLoadAdapter(rep *replica, a *adapterDemand) bool {
	if rep.status != statusKept || rep.alloc.State != Loaded || !rep.runner.isAvailable() {
		return false
	}
	return !slices.Contains(a.tried, rep.runner) && !rep.runner.holdsAdapter(a.demand.Model, a.spec.GetName())
}

// preferForAdapter reports whether a is a better replica for an adapter than b: first
// the one on the runner reserved for it, then one where it fits without an eviction,
// then the one that runs fewer attempts.
func preferForAdapter(a, b *replica, adapter *adapterDemand) bool {
	if (a.runner == adapter.reservedOn) != (b.runner == adapter.reservedOn) {
		return a.runner == adapter.reservedOn
	}
	mem := int64(adapter.spec.GetMemoryMib())
	fitsA, fitsB := mem <= a.runner.projected, mem <= b.runner.projected
	if fitsA != fitsB {
		return fitsA
	}
	return a.alloc.Running < b.alloc.Running
}

// makeAdapterRoom reserves memory for an adapter, evicting idle models and adapters as
// needed. It reports whether the memory is free now.
func (p *planner) makeAdapterRoom(a *adapterDemand, r *runnerState) bool {
	mem := int64(a.spec.GetMemoryMib())
	if mem > r.projected {
		victims, _ := p.selectVictims(r, mem-r.projected, p.byName[a.demand.Model], a.spec.GetName())
		if victims == nil {
			p.explainAdapter(a, "", "no room on "+r.ID+", and nothing may be unloaded for it")
			return false
		}
		for _, v := range victims {
			p.evict(v, Subject{a.demand.Model, a.spec.GetName()})
		}
	}
	r.projected -= mem
	if mem > r.free {
		p.explainAdapter(a, "", "waits for room on "+r.ID)
		return false
	}
	return true
}

func (p *planner) explainAdapter(a *adapterDemand, runner, text string) {
	p.plan.Reasons = append(p.plan.Reasons, Reason{
		Model: a.demand.Model, Adapter: a.spec.GetName(), Runner: runner, Text: text,
	})
}
