package fleet

import (
	"maps"
	"slices"
)

// loadAdapters loads an adapter in use on the least busy runner that holds its model but
// not the adapter. It does so if no runner has the adapter, if requests wait for it while
// each runner that has it runs at least RequestsPerReplica requests, or if each of these
// runs over AdapterImbalance requests more than the chosen one.
func (p *planner) loadAdapters() {
	inFlight := p.adaptersInFlight()
	for _, model := range p.active {
		m, st := p.models[model], p.stats(model)
		for _, name := range slices.Sorted(maps.Keys(st.adapters)) {
			if inFlight >= p.c.settings.AdapterConcurrency {
				return
			}
			u := p.chooseAdapterRunner(m.Name, name)
			if u == nil {
				continue
			}
			if least, found := p.leastRunningWithAdapter(m.Name, name); found && (st.adapters[name].waiting == 0 || least < p.c.settings.RequestsPerReplica) &&
				least <= u.running+p.c.settings.AdapterImbalance {
				continue
			}
			if p.loadAdapter(u, m.Name, name) {
				inFlight++
			}
		}
	}
}

// adaptersInFlight returns the number of adapters being loaded or unloaded.
func (p *planner) adaptersInFlight() int {
	n := 0
	for _, u := range p.runners {
		for _, h := range u.models {
			for _, a := range h.adapters {
				if !a.isReady() {
					n++
				}
			}
		}
	}
	return n
}

// leastRunningWithAdapter returns the lowest number of running requests among the
// runners that have an adapter or are loading it; false if there are none. A load whose
// answer is overdue does not count.
func (p *planner) leastRunningWithAdapter(model, adapter string) (least int, found bool) {
	for _, r := range p.holders[model] {
		h := r.serving(model)
		if h == nil || !p.takes(r, model) || h.adapters[adapter] == nil || h.adapters[adapter].hidden && p.isAnswerOverdue(r.upstream) {
			continue
		}
		if !found || r.running < least {
			least, found = r.running, true
		}
	}
	return least, found
}

// chooseAdapterRunner returns the least busy runner that holds the model but not the
// adapter, or nil.
func (p *planner) chooseAdapterRunner(model, adapter string) *runner {
	var best *runner
	for _, r := range p.holders[model] {
		h := r.serving(model)
		if h == nil || h.adapters[adapter] != nil || !p.canOrder(r) || r.target != "" {
			continue
		}
		if best == nil || r.running < best.running {
			best = r
		}
	}
	return best
}

// loadAdapter loads an adapter, or unloads the least recently used idle one if the
// runner has no free adapter slot. It reports whether a load was ordered.
func (p *planner) loadAdapter(r *runner, model, adapter string) bool {
	count := 0
	lruModel, lruName := "", ""
	var lru *heldAdapter
	for _, modelName := range slices.Sorted(maps.Keys(r.models)) {
		h := r.models[modelName]
		for _, adapterName := range slices.Sorted(maps.Keys(h.adapters)) {
			a := h.adapters[adapterName]
			count++
			if a.running == 0 && a.isReady() && (lru == nil || a.lastUsed < lru.lastUsed) {
				lruModel, lruName, lru = modelName, adapterName, a
			}
		}
	}
	if count < p.engine.AdapterSlots {
		p.order(r, Order{Model: model, Adapter: adapter, Reason: "requests wait for the adapter"})
		return true
	}
	if lru != nil {
		p.order(r, Order{Unload: true, Model: lruModel, Adapter: lruName, Reason: "makes room for adapter " + adapter})
	}
	return false
}
