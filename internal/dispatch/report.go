package dispatch

import (
	"cmp"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

// Report returns this entry's demand for models and its load on upstreams, both sorted.
func (c *Core) Report(now Time) *wire.EntryReport {
	c.now = max(c.now, now)
	r := &wire.EntryReport{Changed: true}
	byModel := map[modelKey]*wire.ModelDemand{}
	for k, m := range c.stats {
		if k.model != "" {
			byModel[k] = &wire.ModelDemand{Service: k.service, Model: k.model, Adapter: k.adapter, Asked: m.requested, Running: m.running}
		}
	}
	for _, w := range c.waiting {
		d := byModel[w.key]
		if d == nil {
			continue // a plain service has no models to load
		}
		d.Waiting++
		d.OldestMs = max(d.OldestMs, uint32((c.now - w.queuedAt).Milliseconds()))
	}
	for _, d := range byModel {
		r.Demand = append(r.Demand, d)
	}
	slices.SortFunc(r.Demand, func(a, b *wire.ModelDemand) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	for _, u := range c.upstreams {
		u.reportedPrefill, u.reportedKV = u.prefillTokens, u.reservedTokens
		if l := u.loadReport(); l != nil {
			r.Loads = append(r.Loads, l)
		}
	}
	r.Permits = c.permitDemands()
	return r
}

// loadReport returns this entry's load on an upstream, nil if nothing runs.
func (u *upstream) loadReport() *wire.UpstreamLoad {
	if u.running == 0 {
		return nil
	}
	l := &wire.UpstreamLoad{Upstream: u.state.Id, Running: uint32(u.running),
		PrefillTokens: tokenCount(u.prefillTokens), KvTokens: tokenCount(u.reservedTokens)}
	for k, n := range u.runningByModel {
		if k.model != "" {
			l.Models = append(l.Models, &wire.ModelRunning{Model: k.model, Adapter: k.adapter, Running: uint32(n)})
		}
	}
	slices.SortFunc(l.Models, func(a, b *wire.ModelRunning) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return l
}

// tokenCount bounds a sum of tokens. Two requests that name as many as they may, 1<<30 each for prompt and output,
// would otherwise count as none.
func tokenCount(n int) uint32 { return uint32(min(max(0, n), math.MaxUint32)) }

// Delta returns the demands and loads of next that differ from prev; nil if none do. prev
// may be nil. A change of the waiting time alone is no difference, since it grows with
// every report.
func Delta(prev, next *wire.EntryReport) *wire.EntryReport {
	d := &wire.EntryReport{Changed: true}
	byModel := map[modelKey]*wire.ModelDemand{}
	for _, m := range prev.GetDemand() {
		byModel[modelKey{m.Service, m.Model, m.Adapter}] = m
	}
	for _, m := range next.Demand {
		old := byModel[modelKey{m.Service, m.Model, m.Adapter}]
		if old == nil || old.Waiting != m.Waiting || old.Running != m.Running || old.Asked != m.Asked {
			d.Demand = append(d.Demand, m)
		}
	}
	d.Loads = changedLoads(prev.GetLoads(), next.Loads)
	for _, p := range next.Permits {
		if !slices.ContainsFunc(prev.GetPermits(), func(o *wire.PermitDemand) bool { return proto.Equal(o, p) }) {
			d.Permits = append(d.Permits, p)
		}
	}
	if len(d.Demand) == 0 && len(d.Loads) == 0 && len(d.Permits) == 0 {
		return nil
	}
	return d
}

// changedLoads returns the loads of next that differ from prev. A load that has ended is
// returned without running requests.
func changedLoads(prev, next []*wire.UpstreamLoad) []*wire.UpstreamLoad {
	unmatched := map[string]*wire.UpstreamLoad{}
	for _, l := range prev {
		unmatched[l.Upstream] = l
	}
	var out []*wire.UpstreamLoad
	for _, l := range next {
		if old := unmatched[l.Upstream]; old == nil || !proto.Equal(old, l) {
			out = append(out, l)
		}
		delete(unmatched, l.Upstream)
	}
	for _, l := range prev {
		if unmatched[l.Upstream] != nil {
			out = append(out, &wire.UpstreamLoad{Upstream: l.Upstream})
		}
	}
	return out
}
