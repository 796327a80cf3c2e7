package fleet

import (
	"maps"
	"slices"
)

// loadAdapters loads the adapters that requests wait for, on a runner that holds the
// model, and those whose runners have much more work than another one that does.
func (p *planner) loadAdapters() {
	inFlight := p.adaptersInFlight()
	for _, model := range p.active {
		m, st := p.models[model], p.stats(model)
		for _, name := range slices.Sorted(maps.Keys(st.adapters)) {
			if inFlight >= p.c.set.AdapterConcurrency {
				return
			}
			u := p.adapterHost(m.Name, name)
			if u == nil {
				continue
			}
			if least, any := p.adapterLoad(m.Name, name); any && (st.adapters[name].waiting == 0 || least < p.c.set.RequestsPerReplica) &&
				least <= u.running+p.c.set.AdapterImbalance {
				continue
			}
			if p.loadAdapter(u, m.Name, name) {
				inFlight++
			}
		}
	}
}

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

// adapterLoad returns the least work of the runners that have an adapter or are loading
// it; false where there is none. A load whose answer may be lost does not count.
func (p *planner) adapterLoad(model, adapter string) (least int, found bool) {
	for _, u := range p.runners {
		h := u.serving(model)
		if h == nil || h.adapters[adapter] == nil || h.adapters[adapter].hidden && p.isUnanswered(u) {
			continue
		}
		if !found || u.running < least {
			least, found = u.running, true
		}
	}
	return least, found
}

// adapterHost returns the runner with the least work among those that hold the model but
// not the adapter.
func (p *planner) adapterHost(model, adapter string) *upstream {
	var best *upstream
	for _, u := range p.runners {
		h := u.serving(model)
		if h == nil || h.adapters[adapter] != nil || !p.mayOrder(u) || u.goal != "" {
			continue
		}
		if best == nil || u.running < best.running {
			best = u
		}
	}
	return best
}

// loadAdapter loads an adapter, or unloads the least recently used one when the runner
// has no place left. It reports whether a load was ordered.
func (p *planner) loadAdapter(u *upstream, model, adapter string) bool {
	count := 0
	oldModel, oldName := "", ""
	var old *heldAdapter
	for _, mn := range slices.Sorted(maps.Keys(u.models)) {
		h := u.models[mn]
		for _, an := range slices.Sorted(maps.Keys(h.adapters)) {
			a := h.adapters[an]
			count++
			if a.running == 0 && a.isReady() && (old == nil || a.lastUsed < old.lastUsed) {
				oldModel, oldName, old = mn, an, a
			}
		}
	}
	if count < p.engine.AdapterSlots {
		p.order(u, Order{Model: model, Adapter: adapter, Reason: "requests wait for the adapter"})
		return true
	}
	if old != nil {
		p.order(u, Order{Unload: true, Model: oldModel, Adapter: oldName, Reason: "makes room for adapter " + adapter})
	}
	return false
}
