package fleet

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"gentiankeel/internal/routing"
)

// tier is the nearest place of a model's weights, as seen from a runner.
type tier int

const (
	tierMemory tier = iota
	tierDisk
	tierStore
)

func (p *planner) tier(r *runner, model string) tier {
	switch {
	case slices.Contains(r.state.InMemory, model):
		return tierMemory
	case slices.Contains(r.state.OnDisk, model):
		return tierDisk
	}
	return tierStore
}

func loadTime(m *routing.Model, t tier) time.Duration {
	switch t {
	case tierMemory:
		return m.MemoryLoadTime
	case tierDisk:
		return m.DiskLoadTime
	}
	return m.StoreLoadTime
}

// measureMemory computes the memory of all models and adapters on a runner, and that of the adapters
// alone. A model that the configuration does not name counts as the largest one.
func (p *planner) measureMemory(r *runner) {
	if r.memoryKnown {
		return
	}
	r.memoryKnown, r.usedMB, r.adaptersMB = true, 0, 0
	for name, h := range r.models {
		m := p.models[name]
		if m == nil {
			r.usedMB += p.largestWeightsMB
			continue
		}
		r.usedMB += m.WeightsMB
		r.adaptersMB += float64(float64(len(h.adapters)) * m.AdapterMB)
	}
	r.usedMB += r.adaptersMB
}

// fits reports whether a model fits on a runner once freedMB are freed, beside adapters
// in all adapter slots.
func (p *planner) fits(r *runner, m *routing.Model, freedMB float64) bool {
	p.measureMemory(r)
	reserve := max(0, p.adapterReserveMB-r.adaptersMB)
	return r.usedMB-freedMB+m.WeightsMB+reserve <= p.engine.WeightMemoryMB
}

const (
	// busyModelCost is the cost, in seconds, of unloading a model whose requests must
	// end first: about the length of a stream. runningRequestCost is added for each of
	// these requests.
	busyModelCost      = 1.5
	runningRequestCost = 0.05
	// Unloading one of several replicas costs nothing while each remaining one gets at
	// most spareRequests requests, and spareRequestCost seconds for each request above
	// that. With fewer than ten requests on a runner, streams rarely pause for too long.
	spareRequests    = 5.0
	spareRequestCost = 0.5
	// unusedCopyCost is the cost, in seconds, of unloading one of several copies of a
	// model without requests so far: several copies mean that demand is expected.
	unusedCopyCost = 1.0
)

// evictionCost returns the cost of unloading a model from a runner, in seconds that
// requests would wait; infinite if it must stay.
func (p *planner) evictionCost(r *runner, model string) float64 {
	h := r.models[model]
	if h.hidden {
		return math.Inf(1)
	}
	cost := 0.0
	if h.running > 0 {
		cost += busyModelCost + float64(runningRequestCost*float64(h.running))
	}
	m, st := p.models[model], p.stats(model)
	if m == nil {
		return cost
	}
	if st == nil {
		return cost + p.unusedCost(r, model)
	}
	st.decay(p.c.now, p.c.settings)
	ready := p.copies[model].ready
	if ready > 1 {
		return cost + p.spareReplicaCost(st, ready)
	}
	if st.waiting > 0 {
		return math.Inf(1)
	}
	reload := m.DiskLoadTime
	if p.tier(r, model) == tierStore {
		reload = m.StoreLoadTime
	}
	cost += float64(st.rate * reload.Seconds())
	if st.everUsed && p.c.now-st.lastUsed < p.c.settings.RecentUseWindow {
		cost++
	}
	return cost
}

// spareReplicaCost returns the cost of unloading one of several replicas: the requests
// that the others would have to take over.
func (p *planner) spareReplicaCost(st *modelStats, ready int) float64 {
	if p.carry > 0 {
		return p.spareCapacityCost(st, ready)
	}
	remaining := float64(st.running+st.waiting) / float64(ready-1)
	return spareRequestCost * max(0, remaining-spareRequests)
}

// findVictims lists the models that may be unloaded from a runner, the cheapest first.
func (p *planner) findVictims(r *runner) {
	if r.victimsKnown {
		return
	}
	r.victimsKnown, r.victims = true, r.victims[:0]
	for name := range r.models {
		if cost := p.evictionCost(r, name); !math.IsInf(cost, 1) {
			r.victims = append(r.victims, victim{name, cost})
		}
	}
	slices.SortFunc(r.victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), strings.Compare(a.name, b.name))
	})
}

// makeRoom returns the model to unload first to make room for m, the cheapest one, and the cost, in
// seconds, of all that must go; false if that would not be enough.
func (p *planner) makeRoom(r *runner, m *routing.Model) (first string, cost float64, ok bool) {
	p.findVictims(r)
	freedMB := 0.0
	for _, v := range r.victims {
		cost += v.cost
		if modelConfig := p.models[v.name]; modelConfig != nil {
			freedMB += modelConfig.WeightsMB
		} else {
			freedMB += p.largestWeightsMB
		}
		if p.fits(r, m, freedMB) {
			return r.victims[0].name, cost, true
		}
	}
	return "", 0, false
}
