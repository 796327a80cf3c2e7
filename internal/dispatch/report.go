package dispatch

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

// Report tells the coordinator what this entry needs and uses, sorted by its keys.
func (c *Core) Report(now Time) *wire.EntryReport {
	c.now = max(c.now, now)
	r := &wire.EntryReport{Changed: true}
	demand := map[modelKey]*wire.ModelDemand{}
	for k, m := range c.stats {
		if k.model != "" {
			demand[k] = &wire.ModelDemand{Service: k.service, Model: k.model, Adapter: k.adapter, Asked: m.asked, Running: m.running}
		}
	}
	for _, w := range c.waiting {
		d := demand[w.key]
		if d == nil {
			continue // a plain service: nothing to load
		}
		d.Waiting++
		d.OldestMs = max(d.OldestMs, uint32((c.now - w.came).Milliseconds()))
	}
	for _, d := range demand {
		r.Demand = append(r.Demand, d)
	}
	slices.SortFunc(r.Demand, func(a, b *wire.ModelDemand) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	for _, u := range c.order {
		if l := u.load(); l != nil {
			r.Loads = append(r.Loads, l)
		}
	}
	return r
}

func (u *upstream) load() *wire.UpstreamLoad {
	if u.running == 0 {
		return nil
	}
	l := &wire.UpstreamLoad{Upstream: u.state.Id, Running: uint32(u.running)}
	for k, n := range u.byModel {
		if k.model != "" {
			l.Models = append(l.Models, &wire.ModelRunning{Model: k.model, Adapter: k.adapter, Running: uint32(n)})
		}
	}
	slices.SortFunc(l.Models, func(a, b *wire.ModelRunning) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return l
}

// Delta returns what of next differs from prev, nil if nothing does. The age of waiting
// requests alone is no difference: it grows by itself.
func Delta(prev, next *wire.EntryReport) *wire.EntryReport {
	d := &wire.EntryReport{Changed: true}
	known := map[modelKey]*wire.ModelDemand{}
	for _, m := range prev.GetDemand() {
		known[modelKey{m.Service, m.Model, m.Adapter}] = m
	}
	for _, m := range next.Demand {
		old := known[modelKey{m.Service, m.Model, m.Adapter}]
		if old == nil || old.Waiting != m.Waiting || old.Running != m.Running || old.Asked != m.Asked {
			d.Demand = append(d.Demand, m)
		}
	}
	d.Loads = changedLoads(prev.GetLoads(), next.Loads)
	if len(d.Demand) == 0 && len(d.Loads) == 0 {
		return nil
	}
	return d
}

func changedLoads(prev, next []*wire.UpstreamLoad) []*wire.UpstreamLoad {
	known := map[string]*wire.UpstreamLoad{}
	for _, l := range prev {
		known[l.Upstream] = l
	}
	var out []*wire.UpstreamLoad
	for _, l := range next {
		if old := known[l.Upstream]; old == nil || !proto.Equal(old, l) {
			out = append(out, l)
		}
		delete(known, l.Upstream)
	}
	for _, l := range prev {
		if known[l.Upstream] != nil {
			out = append(out, &wire.UpstreamLoad{Upstream: l.Upstream})
		}
	}
	return out
}
