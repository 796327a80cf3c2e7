package placement

import (
	"cmp"
	"slices"

	"gentiankeel/internal/wire"
)

// adapterDemand is one adapter of the applied file that requests wait for.
type adapterDemand struct {
	spec  *wire.Adapter
	d     *Demand
	kept  *runner   // where an earlier plan makes room for it
	tried []*runner // where this plan loads it or found no room
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

func (p *planner) addAdapterDemand(m *model, d *Demand) {
	if d.Adapter == "" {
		return
	}
	spec := p.findAdapter(d.Model, d.Adapter)
	if spec == nil {
		return
	}
	m.adapters = append(m.adapters, &adapterDemand{spec: spec, d: d})
	m.room = max(m.room, int64(spec.GetMemoryMib()))
}

func (m *model) waitsForAdapter(name string) bool {
	return slices.ContainsFunc(m.adapters, func(a *adapterDemand) bool { return a.spec.GetName() == name })
}

func (p *planner) forbidsAdapter(rep *replica) string {
	spec := p.findAdapter(rep.h.Model, rep.h.Adapter)
	switch {
	case spec == nil:
		return "the applied file does not name it"
	case spec.GetVersion() != rep.h.Version:
		return "the applied file names another version"
	default:
		return ""
	}
}

// loadAdapters loads the adapters that requests wait for on replicas of their model.
func (p *planner) loadAdapters() {
	budget := p.in.Budget.AdapterMax - p.in.Budget.AdapterInFlight
	for _, w := range p.wantedAdapters() {
		for range p.missingAdapters(w) {
			if p.mech.adapterBudget && budget <= 0 {
				p.explainAdapter(w, "", "waits: too many adapter loads are in flight")
				break
			}
			if p.placeAdapter(w) {
				budget--
			}
		}
	}
}

// missingAdapters is the number of replicas that shall take the adapter as well.
func (p *planner) missingAdapters(w *adapterDemand) int {
	holders := 0
	for _, rep := range p.byName[w.d.Model].replicas {
		if rep.fate == fateStay && rep.r.holdsAdapter(w.d.Model, w.spec.GetName()) {
			holders++
		}
	}
	return (w.d.Waiting+p.perReplica()-1)/p.perReplica() - holders
}

// wantedAdapters lists the adapters that requests wait for, the most urgent first.
func (p *planner) wantedAdapters() []*adapterDemand {
	var wanted []*adapterDemand
	for _, m := range p.models {
		wanted = append(wanted, m.adapters...)
	}
	if !p.mech.urgency {
		return wanted
	}
	slices.SortStableFunc(wanted, func(a, b *adapterDemand) int {
		return cmp.Or(
			cmp.Compare(a.d.Class, b.d.Class),
			cmp.Compare(a.d.Deadline, b.d.Deadline),
			cmp.Compare(a.d.Oldest, b.d.Oldest),
		)
	})
	return wanted
}

// keepAdapterRoom claims the room that an earlier plan makes for an adapter.
func (p *planner) keepAdapterRoom(m *model, name string, r *runner) {
	for _, a := range m.adapters {
		if a.spec.GetName() == name && a.kept == nil && !r.holdsAdapter(m.spec.GetName(), name) {
			a.kept = r
			r.pending -= int64(a.spec.GetMemoryMib())
		}
	}
}

func (r *runner) holdsAdapter(model, name string) bool {
	return slices.ContainsFunc(r.replicas, func(a *replica) bool {
		return a.h.Model == model && a.h.Adapter == name
	})
}

// placeAdapter orders one adapter load and tells whether it did.
func (p *planner) placeAdapter(w *adapterDemand) bool {
	var best *replica
	for _, rep := range p.byName[w.d.Model].replicas {
		if p.mayTakeAdapter(rep, w) && (best == nil || adapterFirst(rep, best, w)) {
			best = rep
		}
	}
	if best == nil {
		p.explainAdapter(w, "", "waits for a loaded replica of its model")
		return false
	}
	w.tried = append(w.tried, best.r)
	if w.kept == best.r {
		best.r.pending += int64(w.spec.GetMemoryMib()) // its own claim
	}
	if !p.makeAdapterRoom(w, best.r) {
		return false
	}
	best.r.free -= int64(w.spec.GetMemoryMib())
	p.out.Orders = append(p.out.Orders, Order{
		Kind: wire.OrderKind_ORDER_LOAD_ADAPTER, Runner: best.r.ID, Model: w.d.Model,
		Version: w.spec.GetVersion(), Adapter: w.spec.GetName(), MemoryMiB: w.spec.GetMemoryMib(),
		Reason: "requests wait for it",
	})
	p.explainAdapter(w, best.r.ID, "requests wait for it")
	return true
}

func (p *planner) mayTakeAdapter(rep *replica, w *adapterDemand) bool {
	if rep.fate != fateStay || rep.h.State != Loaded || !rep.r.usable() {
		return false
	}
	return !slices.Contains(w.tried, rep.r) && !rep.r.holdsAdapter(w.d.Model, w.spec.GetName())
}

// adapterFirst prefers a replica where the adapter fits, then one that runs less.
func adapterFirst(a, b *replica, w *adapterDemand) bool {
	if (a.r == w.kept) != (b.r == w.kept) {
		return a.r == w.kept
	}
	mem := int64(w.spec.GetMemoryMib())
	fitsA, fitsB := mem <= a.r.pending, mem <= b.r.pending
	if fitsA != fitsB {
		return fitsA
	}
	return a.h.Running < b.h.Running
}

// makeAdapterRoom claims room for an adapter, unloads idle ones where that is needed,
// and tells whether the room is there now.
func (p *planner) makeAdapterRoom(w *adapterDemand, r *runner) bool {
	mem := int64(w.spec.GetMemoryMib())
	if mem > r.pending {
		victims, _ := p.pickVictims(r, mem-r.pending, p.byName[w.d.Model], w.spec.GetName())
		if victims == nil {
			p.explainAdapter(w, "", "no room on "+r.ID+", and nothing may be unloaded for it")
			return false
		}
		for _, v := range victims {
			p.evict(v, Subject{w.d.Model, w.spec.GetName()})
		}
	}
	r.pending -= mem
	if mem > r.free {
		p.explainAdapter(w, "", "waits for room on "+r.ID)
		return false
	}
	return true
}

func (p *planner) explainAdapter(w *adapterDemand, runner, text string) {
	p.out.Reasons = append(p.out.Reasons, Reason{
		Model: w.d.Model, Adapter: w.spec.GetName(), Runner: runner, Text: text,
	})
}
