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

func (p *planner) tier(u *upstream, model string) tier {
	switch {
	case slices.Contains(u.state.InMemory, model):
		return tierMemory
	case slices.Contains(u.state.OnDisk, model):
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

// usedMB returns the memory of all models and adapters on a runner. A model that the
// configuration does not name counts as the largest one.
func (p *planner) usedMB(u *upstream) float64 {
	sum := 0.0
	for name, h := range u.models {
		m := p.models[name]
		if m == nil {
			sum += p.largestWeightsMB()
			continue
		}
		sum += m.WeightsMB + float64(len(h.adapters))*m.AdapterMB
	}
	return sum
}

func (p *planner) largestWeightsMB() float64 {
	largest := 0.0
	for i := range p.engine.Models {
		largest = max(largest, p.engine.Models[i].WeightsMB)
	}
	return largest
}

// adapterReserveMB returns the memory of adapters in all adapter slots of a runner, each
// as large as the largest one.
func (p *planner) adapterReserveMB() float64 {
	largest := 0.0
	for i := range p.engine.Models {
		largest = max(largest, p.engine.Models[i].AdapterMB)
	}
	return largest * float64(p.engine.AdapterSlots)
}

// fits reports whether a model fits on a runner once freedMB are freed, beside adapters
// in all adapter slots.
func (p *planner) fits(u *upstream, m *routing.Model, freedMB float64) bool {
	adaptersMB := 0.0
	for name, h := range u.models {
		if modelConfig := p.models[name]; modelConfig != nil {
			adaptersMB += float64(len(h.adapters)) * modelConfig.AdapterMB
		}
	}
	reserve := max(0, p.adapterReserveMB()-adaptersMB)
	return p.usedMB(u)-freedMB+m.WeightsMB+reserve <= p.engine.WeightMemoryMB
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
func (p *planner) evictionCost(u *upstream, model string) float64 {
	h := u.models[model]
	if h.hidden {
		return math.Inf(1)
	}
	cost := 0.0
	if h.running > 0 {
		cost += busyModelCost + runningRequestCost*float64(h.running)
	}
	m, st := p.models[model], p.stats(model)
	if m == nil {
		return cost
	}
	if st == nil {
		if p.copies[model].ready > 1 {
			cost += unusedCopyCost
		}
		return cost
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
	if p.tier(u, model) == tierStore {
		reload = m.StoreLoadTime
	}
	cost += st.rate * reload.Seconds()
	if st.everUsed && p.c.now-st.lastUsed < p.c.settings.RecentUseWindow {
		cost++
	}
	return cost
}

// spareReplicaCost returns the cost of unloading one of several replicas: the requests
// that the others would have to take over.
func (p *planner) spareReplicaCost(st *modelStats, ready int) float64 {
	remaining := float64(st.running+st.waiting) / float64(ready-1)
	return spareRequestCost * max(0, remaining-spareRequests)
}

// victims returns the models to unload to make room for m, the cheapest first, and
// their cost; nil if there are not enough.
func (p *planner) victims(u *upstream, m *routing.Model) ([]string, float64) {
	type victim struct {
		name string
		cost float64 // seconds
	}
	var candidates []victim
	for name := range u.models {
		if cost := p.evictionCost(u, name); !math.IsInf(cost, 1) {
			candidates = append(candidates, victim{name, cost})
		}
	}
	slices.SortFunc(candidates, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), strings.Compare(a.name, b.name))
	})
	var names []string
	freedMB, totalCost := 0.0, 0.0
	for _, v := range candidates {
		names = append(names, v.name)
		totalCost += v.cost
		if modelConfig := p.models[v.name]; modelConfig != nil {
			freedMB += modelConfig.WeightsMB
		} else {
			freedMB += p.largestWeightsMB()
		}
		if p.fits(u, m, freedMB) {
			return names, totalCost
		}
	}
	return nil, 0
}
