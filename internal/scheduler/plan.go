package scheduler

import (
	"time"

	"gentiankeel/internal/grant"
	"gentiankeel/internal/orders"
	"gentiankeel/internal/placement"
	"gentiankeel/internal/wire"
)

// planDuty makes plans apart from the decision goroutine, so that a large plan delays
// no grant.
func (a *active) planDuty() {
	defer a.done.Done()
	for {
		select {
		case <-a.ctx.Done():
			return
		case in := <-a.plans:
			begin := time.Now()
			plan := placement.Make(in)
			a.s.metrics.planSeconds.Observe(time.Since(begin).Seconds())
			a.offer(planned{plan})
		}
	}
}

// plan asks for the next plan when the last one is done and its time has come. Nothing
// is planned while slots are recovered: what runs is not known yet.
func (a *active) plan() {
	if a.planning || time.Since(a.lastPlan) < a.s.o.Plan || a.grants.Recovering() {
		return
	}
	in := a.orders.Snapshot(a.now(), a.usage())
	if in.Spec == nil {
		return
	}
	in.WallClock = time.Now().UTC()
	in.Settings = a.s.o.Placement
	in.Demand = a.demand()
	in.Bursts = a.learner.Observe(in.Demand)
	a.planning = true
	a.lastPlan = time.Now()
	a.plans <- in
}

func (a *active) demand() []placement.Demand {
	from := a.grants.Demand(a.now())
	out := make([]placement.Demand, len(from))
	for i, d := range from {
		out[i] = placement.Demand{
			Model: d.Model, Adapter: d.Adapter, Waiting: d.Waiting, Running: d.Running,
			Oldest: d.OldestArrival, Deadline: d.Deadline, Class: d.Class, LastUsed: d.LastUsed, Rate: d.Rate,
		}
	}
	return out
}

// heldKey names one held model or adapter.
type heldKey struct{ runner, model, adapter string }

// usage returns a look-up of what runs on each replica and when it was used last. A
// model counts the attempts of its adapters too.
func (a *active) usage() orders.Usage {
	uses := map[heldKey]grant.ModelUsage{}
	for _, u := range a.grants.Usage() {
		addUse(uses, heldKey{u.Upstream, u.Model, ""}, u)
		if u.Adapter != "" {
			addUse(uses, heldKey{u.Upstream, u.Model, u.Adapter}, u)
		}
	}
	return func(upstream, model, adapter string) (int, orders.Time) {
		use := uses[heldKey{upstream, model, adapter}]
		return use.Running, use.LastUsed
	}
}

func addUse(uses map[heldKey]grant.ModelUsage, key heldKey, u grant.ModelUsage) {
	have := uses[key]
	have.Running += u.Running
	have.LastUsed = max(have.LastUsed, u.LastUsed)
	uses[key] = have
}

// takePlan hands a plan on. Unloads of what has been granted since the snapshot are
// left out: they would cut off requests.
func (a *active) takePlan(p placement.Plan) {
	a.planning = false
	a.reasons = p.Reasons
	kept := p.Orders[:0:0]
	for _, o := range p.Orders {
		if o.Kind == wire.OrderKind_ORDER_UNLOAD && a.grants.ModelRunning(o.Runner, o.Model) > 0 {
			continue
		}
		if o.Kind == wire.OrderKind_ORDER_UNLOAD_ADAPTER && a.grants.AdapterRunning(o.Runner, o.Model, o.Adapter) > 0 {
			continue
		}
		kept = append(kept, o)
	}
	p.Orders = kept
	a.stepOrders(orders.Planned{Plan: p})
}
