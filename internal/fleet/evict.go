package fleet

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"gentiankeel/internal/routing"
)

// tier is where a model's weights lie nearest to a runner.
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
		return m.WarmTime
	case tierDisk:
		return m.DiskTime
	}
	return m.LoadTime
}

// used is the memory of all that a runner holds, in MB. A model that the configuration
// does not name counts as the largest one.
func (p *planner) used(u *upstream) float64 {
	sum := 0.0
	for name, h := range u.models {
		m := p.models[name]
		if m == nil {
			sum += p.largest()
			continue
		}
		sum += m.WeightsMB + float64(len(h.adapters))*m.AdapterMB
	}
	return sum
}

func (p *planner) largest() float64 {
	most := 0.0
	for i := range p.engine.Models {
		most = max(most, p.engine.Models[i].WeightsMB)
	}
	return most
}

// reserveMB leaves room for a full set of adapters.
func (p *planner) reserveMB() float64 {
	most := 0.0
	for i := range p.engine.Models {
		most = max(most, p.engine.Models[i].AdapterMB)
	}
	return most * float64(p.engine.AdapterSlots)
}

func (p *planner) fits(u *upstream, m *routing.Model, freed float64) bool {
	adapters := 0.0
	for name, h := range u.models {
		if held := p.models[name]; held != nil {
			adapters += float64(len(h.adapters)) * held.AdapterMB
		}
	}
	reserve := max(0, p.reserveMB()-adapters)
	return p.used(u)-freed+m.WeightsMB+reserve <= p.engine.WeightsMB
}

const (
	// busyCost is the cost, in seconds, of unloading a model whose requests must end first:
	// about the length of a stream; runningShare is what each of them adds.
	busyCost     = 1.5
	runningShare = 0.05
	// spareFrom is the number of requests for each remaining replica up to which the loss
	// of one costs nothing, spareCost what each one beyond costs, in seconds: below ten
	// requests on a runner hardly any stream pauses for too long.
	spareFrom = 5.0
	spareCost = 0.5
	// unusedSpare keeps several copies of a model that nobody has asked for yet: whoever
	// placed them expected it to be busy.
	unusedSpare = 1.0
)

// keepValue is what the loss of a runner's copy of a model would cost, in seconds of
// waiting that requests would meet; infinite where it must stay.
func (p *planner) keepValue(u *upstream, model string) float64 {
	h := u.models[model]
	if h.hidden {
		return math.Inf(1)
	}
	value := 0.0
	if h.running > 0 {
		value += busyCost + runningShare*float64(h.running)
	}
	m, st := p.models[model], p.stats(model)
	if m == nil {
		return value
	}
	if st == nil {
		if p.copies[model].ready > 1 {
			value += unusedSpare
		}
		return value
	}
	st.decay(p.c.now, p.c.set)
	ready := p.copies[model].ready
	if ready > 1 {
		return value + p.spareValue(st, ready)
	}
	if st.waiting > 0 {
		return math.Inf(1)
	}
	again := m.DiskTime
	if p.tier(u, model) == tierStore {
		again = m.LoadTime
	}
	value += st.rate * again.Seconds()
	if st.used && p.c.now-st.lastUsed < p.c.set.RecentUse {
		value++
	}
	return value
}

// spareValue is the worth of one of several replicas: what the others would have to
// take over.
func (p *planner) spareValue(st *modelStats, ready int) float64 {
	left := float64(st.running+st.waiting) / float64(ready-1)
	return spareCost * max(0, left-spareFrom)
}

// victims returns the models to unload for m, cheapest first, and what their loss
// costs; none where that is not possible.
func (p *planner) victims(u *upstream, m *routing.Model) ([]string, float64) {
	type candidate struct {
		name  string
		value float64
	}
	var list []candidate
	for name := range u.models {
		if v := p.keepValue(u, name); !math.IsInf(v, 1) {
			list = append(list, candidate{name, v})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.value, b.value), strings.Compare(a.name, b.name))
	})
	var names []string
	freed, cost := 0.0, 0.0
	for _, v := range list {
		names = append(names, v.name)
		cost += v.value
		if held := p.models[v.name]; held != nil {
			freed += held.WeightsMB
		} else {
			freed += p.largest()
		}
		if p.fits(u, m, freed) {
			return names, cost
		}
	}
	return nil, 0
}
