package scheduler

import (
	"time"

	"gentiankeel/internal/grant"
	"gentiankeel/internal/orders"
	"gentiankeel/internal/placement"
	"gentiankeel/internal/wire"
)

// planLoop computes plans outside the decision goroutine, so that a large plan delays no grant.
func (t *term) planLoop() {
	defer t.workers.Done()
	for {
		select {
		case <-t.ctx.Done():
			return
		case in := <-t.planInputs:
			start := time.Now()
			plan := placement.ComputePlan(in)
			t.server.metrics.planSeconds.Observe(time.Since(start).Seconds())
			t.enqueue(planResult{plan})
		}
	}
}

// requestPlan requests the next plan if none is in progress and the plan interval has
// passed. None is requested while the grant core recovers: what runs is not known yet.
func (t *term) requestPlan() {
	if t.planning || time.Since(t.lastPlan) < t.server.opts.PlanInterval || t.grants.Recovering() {
		return
	}
	in := t.orders.Snapshot(t.now(), t.usage())
	if in.Spec == nil {
		return
	}
	in.WallClock = time.Now().UTC()
	in.Settings = t.server.opts.Placement
	in.Demand = t.demand()
	in.Bursts = t.burstDetector.Observe(in.Demand)
	t.planning = true
	t.lastPlan = time.Now()
	t.planInputs <- in
}

// demand returns the grant core's demand in the form that placement takes.
func (t *term) demand() []placement.Demand {
	from := t.grants.Demand(t.now())
	out := make([]placement.Demand, len(from))
	for i, d := range from {
		out[i] = placement.Demand{
			Model: d.Model, Adapter: d.Adapter, Waiting: d.Waiting, Running: d.Running,
			Oldest: d.OldestArrival, Deadline: d.Deadline, Class: d.Class, LastUsed: d.LastUsed, Rate: d.Rate,
		}
	}
	return out
}

// replicaKey identifies a model or adapter on a runner.
type replicaKey struct{ runner, model, adapter string }

// usage returns a lookup of the running attempts and the last use of each replica. Attempts
// of adapters count for their model too.
func (t *term) usage() orders.UsageFunc {
	uses := map[replicaKey]grant.ModelUsage{}
	for _, u := range t.grants.Usage() {
		addUse(uses, replicaKey{u.Upstream, u.Model, ""}, u)
		if u.Adapter != "" {
			addUse(uses, replicaKey{u.Upstream, u.Model, u.Adapter}, u)
		}
	}
	return func(upstream, model, adapter string) (int, orders.Time) {
		use := uses[replicaKey{upstream, model, adapter}]
		return use.Running, use.LastUsed
	}
}

func addUse(uses map[replicaKey]grant.ModelUsage, key replicaKey, u grant.ModelUsage) {
	total := uses[key]
	total.Running += u.Running
	total.LastUsed = max(total.LastUsed, u.LastUsed)
	uses[key] = total
}

// applyPlan passes a plan to the orders core, without unloads of what attempts run on: grants
// since the snapshot may have started them, and the unload would cut them off.
func (t *term) applyPlan(p placement.Plan) {
	t.planning = false
	t.lastReasons = p.Reasons
	kept := p.Orders[:0:0]
	for _, o := range p.Orders {
		if o.Kind == wire.OrderKind_ORDER_UNLOAD && t.grants.ModelRunning(o.Runner, o.Model) > 0 {
			continue
		}
		if o.Kind == wire.OrderKind_ORDER_UNLOAD_ADAPTER && t.grants.AdapterRunning(o.Runner, o.Model, o.Adapter) > 0 {
			continue
		}
		kept = append(kept, o)
	}
	p.Orders = kept
	t.stepOrders(orders.Planned{Plan: p})
}
